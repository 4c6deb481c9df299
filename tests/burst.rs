//! Test of a burst of requests at one daemon.
//!
//! An idle daemon holds few credits, so that it has to ask the owners for more when
//! the burst arrives. If it asked only with its next heartbeat, requests would wait
//! past their queue timeout although the targets have room.

mod common;

use std::{thread, time::Duration};

use common::{Fleet, wait_for};
use serde_json::json;

/// Number of concurrent requests: more than the limit of one target and less than
/// the sum of the limits of all three.
const REQUESTS: usize = 40;

#[test]
fn a_burst_is_served_while_targets_have_room() {
    let mut fleet = Fleet::start();
    for (zone, _) in common::ZONES {
        fleet.add_engine(&format!("engine-{zone}"), zone, &[]);
    }
    // The default heartbeat, longer than in other tests: requests for credits
    // must not wait for it.
    let timing = json!({"heartbeat": "500ms", "suspect_after": "1500ms"});
    fleet.add_daemon(0, &json!({"timing": timing}));
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    wait_for("owners grant credits to the daemon", || {
        let first = fleet.caller(0).generate("[n=1]", &json!({}), &[]);
        first.is_whole.then_some(())
    });
    // By then the daemon has returned the credits of that request.
    thread::sleep(Duration::from_secs(4));
    let calls: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let caller = fleet.caller(0);
            thread::spawn(move || caller.generate("[n=100]", &json!({}), &[]))
        })
        .collect();
    let answers = calls
        .into_iter()
        .map(|c| c.join().expect("the caller does not panic"));
    let statuses: Vec<u16> = answers.map(|a| a.status).collect();
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(
        served, REQUESTS,
        "not all requests were served: {statuses:?}"
    );
}
