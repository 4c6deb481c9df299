//! Sound engines answer before they have read a long body, and read on later. The daemon breaks
//! such streams off after some two seconds, here around changes of its settings.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    store::Store,
    world::{
        Client, Daemon, End, Record, Seen, Server, Stop, Work, configure, engine_headers, finish,
        temporary_folder,
    },
};

/// Clients, each with one report at a time.
const CLIENTS: usize = 6;
/// Size of a body; `max-body-bytes` allows four times as much.
const BODY: usize = 1_000_000;
/// Time from the start of traffic to the first change of the settings, between changes, and to
/// the end of traffic.
const FIRST_CHANGE_AT: Duration = Duration::from_secs(5);
const CHANGE_EVERY: Duration = Duration::from_secs(8);
const END_AT: Duration = Duration::from_secs(40);
/// `config-ms`: requests that were sent so long after SIGHUP count.
const CONFIG: Duration = Duration::from_millis(3000);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> ! {
    let dir = temporary_folder();
    let seen: Arc<Seen> = Arc::default();
    let store = Store::open();
    configure(&store);
    let work = Work::Stream {
        first_ms: (300, 600),
        events: 125,
        gap_ms: 40,
    };
    for number in 1..=4 {
        let name = format!("engine-{number}");
        let engine = Server::open_sound(&name, work, has_trouble, &seen, record);
        engine.register(&store, "rensmodell", 64);
    }
    let daemon = Daemon::start("edge-nord-tromso-1", &store, &dir);
    if !daemon.wait_until_ready() {
        finish(record, 2, "the daemon did not become ready");
    }
    let stop = Stop::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, record, front) = (stop.clone(), record.clone(), daemon.front);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(400 * number as u64));
                let mut client = Client::new(format!("c{number}"), front, &record);
                let mut asked = Vec::new();
                let body = vec![b'p'; BODY];
                while !stop.is_set() {
                    let headers = engine_headers(2200, 500, &format!("{number:x}"));
                    let (limit, gap) = (Duration::from_secs(39), Duration::from_millis(7200));
                    asked.extend(client.ask("POST", "/report/a", &headers, &body, limit, gap));
                    thread::sleep(Duration::from_millis(200));
                }
                asked
            })
        })
        .collect();
    let began = Instant::now();
    let (mut next, mut changes) = (FIRST_CHANGE_AT, Vec::new());
    while began.elapsed() < END_AT {
        thread::sleep(Duration::from_millis(20));
        if began.elapsed() >= next {
            next += CHANGE_EVERY;
            let is_odd = changes.len() % 2 == 1;
            let values = ["\"cold_extra\": 5", "\"cold_extra\": 6"];
            let (from, to) = (values[usize::from(is_odd)], values[usize::from(!is_odd)]);
            daemon.change_settings(from, to);
            record.note("settings changed, SIGHUP sent");
            changes.push(Instant::now());
        }
    }
    stop.set();
    let asked = clients.into_iter().filter_map(|c| c.join().ok()).flatten();
    let asked: Vec<_> = asked.collect();
    daemon.kill();
    let arrivals = seen.arrivals.lock().expect("lock").clone();
    let is_around = |sent: Instant| {
        let mut after = changes.iter().map(|c| sent.checked_duration_since(*c));
        after.any(|after| after.is_some_and(|after| after <= CONFIG))
    };
    let is_cut = |end: End| matches!(end, End::ClosedWithoutAnswer | End::ClosedWithin);
    let has_arrived = |id: &str| arrivals.iter().any(|(request, ..)| request == id);
    let cut: Vec<_> = asked
        .iter()
        .filter(|a| is_cut(a.end) && is_around(a.sent) && has_arrived(&a.request))
        .map(|a| a.request.clone())
        .collect();
    let all_cut = asked.iter().filter(|a| is_cut(a.end)).count();
    let around = asked.iter().filter(|a| is_around(a.sent)).count();
    record.note(&format!("cut around changes of the settings: {cut:?}"));
    let summary = format!(
        "asked={} around_changes={around} cut_around_changes={} cut={all_cut}",
        asked.len(),
        cut.len()
    );
    if around < 5 {
        finish(record, 2, &format!("too little traffic: {summary}"));
    }
    finish(record, i32::from(!cut.is_empty()), &summary)
}
