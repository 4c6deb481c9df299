//! A burst at one daemon starts within the queue timeout while targets have
//! room, though the daemon holds few credits at rest.

mod common;

use std::{thread, time::Duration};

use common::{Fleet, wait_for};
use serde_json::json;

/// Requests at once: more than one target takes, fewer than all three do.
const REQUESTS: usize = 40;

#[test]
fn a_burst_is_served_while_targets_have_room() {
    let mut fleet = Fleet::start();
    for (zone, _) in common::ZONES {
        fleet.add_engine(&format!("engine-{zone}"), zone, &[]);
    }
    // Heartbeats as they are by default: asks must not wait for them.
    let timing = json!({"heartbeat": "500ms", "suspect_after": "1500ms"});
    fleet.add_daemon(0, &json!({"timing": timing}));
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    wait_for("owners give credits", || {
        let first = fleet.caller(0).generate("[n=1]", &json!({}), &[]);
        first.is_whole.then_some(())
    });
    // Until the credits of that one are given back.
    thread::sleep(Duration::from_secs(4));
    let calls: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let caller = fleet.caller(0);
            thread::spawn(move || caller.generate("[n=100]", &json!({}), &[]))
        })
        .collect();
    let answers = calls.into_iter().map(|c| c.join().expect("a caller"));
    let statuses: Vec<u16> = answers.map(|a| a.status).collect();
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(served, REQUESTS, "{statuses:?}");
}
