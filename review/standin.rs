//! Stand-ins and checks of the review's scripts: `standin CASE RECORD`, from the root of the
//! repository. `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken, 0 if
//! it held, 2 if the case could not run.

mod bodies;
mod deadly;
mod early;
mod endless;
mod http;
mod store;
mod twice;
mod world;

use std::{path::Path, thread, time::Duration};

/// Longest time that a script may take.
const LIMIT: Duration = Duration::from_secs(100);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = world::Record::create(Path::new(path));
    record.note(&format!("case {case} trouble={has_trouble}"));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        world::finish(&watched, 2, "the script took too long");
    });
    let hooked = record.clone();
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        print(info);
        world::finish(&hooked, 2, "the script failed");
    }));
    match case.as_str() {
        "bodies" => bodies::run(&record, has_trouble),
        "deadly" => deadly::run(&record, has_trouble),
        "early" => early::run(&record, has_trouble),
        "endless" => endless::run(&record, has_trouble),
        "twice" => twice::run(&record, has_trouble),
        _ => world::finish(&record, 2, "unknown case"),
    }
}
