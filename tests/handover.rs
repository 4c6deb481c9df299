//! No request is refused while the owner of a target changes: a daemon joins and
//! becomes the owner, then stops and hands the target over to another daemon.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use common::{Caller, Fleet, ZONES, default_records, wait_for};
use serde_json::json;

/// Pause between two requests of a caller, long enough for the daemon to return
/// its unused credits.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1_200);

/// Starts two daemons, and one engine in the zone of a third daemon that joins
/// later. The engine has no ramp, since the ownership of a starting target
/// changes through its lease instead.
fn fleet() -> Fleet {
    let mut fleet = Fleet::start();
    fleet.add_engine("engine-1", ZONES[2].0, &["--step-us", "5000"]);
    for i in 0..2 {
        fleet.add_daemon(i, &json!({}));
    }
    let mut records = default_records();
    for record in records.as_array_mut().expect("the records are a list") {
        if record["name"] == "drafting-desk" {
            record["spec"]["cold_limit"] = json!(24);
        }
    }
    fleet.write_records(&records);
    fleet.wait_ready();
    fleet
}

/// Sends requests until stopped; returns the number of complete answers and the
/// statuses of all others.
fn send_requests(caller: &Caller, stop: &AtomicBool) -> (usize, Vec<u16>) {
    let (mut answered, mut refused) = (0, Vec::new());
    while !stop.load(Ordering::SeqCst) {
        let generated = caller.generate("[n=3] short", &json!({}), &[]);
        if generated.is_whole {
            answered += 1;
        } else {
            refused.push(generated.status);
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    (answered, refused)
}

#[test]
fn no_request_is_refused_while_an_owner_joins_and_stops() {
    let mut fleet = fleet();
    let stop = Arc::new(AtomicBool::new(false));
    let callers = (0..2).map(|daemon| {
        let (caller, stop) = (fleet.caller(daemon), stop.clone());
        std::thread::spawn(move || send_requests(&caller, &stop))
    });
    let callers: Vec<JoinHandle<_>> = callers.collect();
    let joined = fleet.add_daemon(2, &json!({}));
    fleet.wait_ready();
    wait_for_owner(&fleet, 0, "entry-2");
    std::thread::sleep(Duration::from_secs(4));
    fleet.daemons[joined].process.terminate();
    wait_for("the owner stops", || {
        fleet.daemons[joined].process.exit_success()
    });
    std::thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let (answered, refused) = caller.join().expect("the caller does not panic");
        assert!(refused.is_empty(), "refused: {refused:?}");
        assert!(answered > 0);
    }
}

/// Waits until the last ownership change that `daemon` logged names `owner`.
fn wait_for_owner(fleet: &Fleet, daemon: usize, owner: &str) {
    wait_for("the target has its new owner", || {
        let log = std::fs::read_to_string(&fleet.daemons[daemon].log).unwrap_or_default();
        let mut changes = log.lines().filter(|l| l.contains("event=target_owner"));
        let last = changes.next_back()?;
        last.ends_with(&format!("owner={owner}")).then_some(())
    });
}
