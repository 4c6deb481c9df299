//! Promise 7: a leaving target gets no new work after a few seconds.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use common::{Fleet, ZONES, default_records, history, relay::Relay, wait_for};
use serde_json::json;

/// Longest time for which a leaving target may still get new work.
const BOUND_MS: u64 = 5_000;
/// Tokens of the long answers, 20 ms each.
const LONG: usize = 500;

/// Three daemons and two engines, of which the first is to leave. The policy
/// can be set from outside, to see what the baseline does.
fn fleet() -> Fleet {
    fleet_with(|_| None)
}

/// The same, with the first daemon's platform behind a relay made from its
/// address.
fn fleet_with(relay: impl FnOnce(&str) -> Option<String>) -> Fleet {
    let policy = std::env::var("BLUEBELL_TEST_POLICY").unwrap_or("credits".into());
    let mut fleet = Fleet::start();
    for (i, (zone, _)) in ZONES.iter().enumerate().take(2) {
        fleet.add_engine(&format!("engine-{i}"), zone, &[]);
    }
    let platform = relay(&fleet.platform_address).unwrap_or(fleet.platform_address.clone());
    // Peers still confirm its records, so it goes on without the platform.
    let first = json!({"policy": policy, "platform": {"address": platform},
                       "timing": {"stale_after": "60s"}});
    fleet.add_daemon(0, &first);
    for i in 1..3 {
        fleet.add_daemon(i, &json!({"policy": policy}));
    }
    // Without a ramp, so that no lease stands in for what is tested here.
    let mut records = default_records();
    for record in records.as_array_mut().expect("a list") {
        if record["name"] == "drafting-desk" {
            record["spec"]["cold_limit"] = json!(24);
        }
    }
    fleet.write_records(&records);
    fleet.wait_ready();
    fleet.set_faults(&json!({"instance_lag_ms": 1000}));
    fleet
}

/// Asks all daemons for short answers for `time` and more, until `done`.
fn ask_meanwhile<T>(fleet: &Fleet, meanwhile: impl FnOnce() -> T) -> T {
    let stop = Arc::new(AtomicBool::new(false));
    let callers = (0..6).map(|i| {
        let (caller, stop) = (fleet.caller(i % fleet.daemons.len()), stop.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                caller.generate("[n=3] short", &json!({}), &[]);
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    let value = meanwhile();
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    value
}

fn list_as_leaving(fleet: &Fleet) -> u64 {
    let target = &fleet.targets[0];
    let instance = json!({"name": target.name, "zone": target.zone, "address": target.address,
                          "state": "leaving", "role": "target", "service": target.service});
    let at = bluebelldrift::now();
    fleet.set_instance(&instance);
    u64::try_from(at.as_millis()).expect("milliseconds")
}

/// The engine that leaves was admitted nothing after the bound, while the other
/// one was.
fn assert_left(fleet: &Fleet, listed_at: u64) {
    let admitted = |i: usize| history::named(&fleet.targets[i].history, "admitted");
    let late = |i: usize| {
        let events = admitted(i).into_iter();
        events.filter(|e| e.at_ms > listed_at + BOUND_MS).count()
    };
    let last = admitted(0).iter().map(|e| e.at_ms).max();
    println!(
        "last admitted {:?} ms after",
        last.map(|at| at.saturating_sub(listed_at))
    );
    assert_eq!(late(0), 0, "admitted late by the engine that leaves");
    assert!(late(1) > 0, "the other engine goes on");
}

fn wait_past_bound(fleet: &Fleet, listed_at: u64) {
    wait_for("the other engine works after the bound", || {
        let admitted = history::named(&fleet.targets[1].history, "admitted");
        let last = admitted.iter().map(|e| e.at_ms).max().unwrap_or(0);
        (last > listed_at + BOUND_MS + 2_000).then_some(())
    });
}

#[test]
fn a_leaving_target_finishes_its_work_and_gets_no_more() {
    let fleet = fleet();
    let caller = fleet.caller(0);
    let prompt = format!("[n={LONG}] long");
    let long = std::thread::spawn(move || caller.generate(&prompt, &json!({}), &[]));
    wait_for("the long answer runs at the engine", || {
        let admitted = history::named(&fleet.targets[0].history, "admitted");
        admitted.first().map(|_| ())
    });
    let listed_at = ask_meanwhile(&fleet, || {
        let listed_at = list_as_leaving(&fleet);
        wait_past_bound(&fleet, listed_at);
        listed_at
    });
    let long = long.join().expect("the caller ends");
    assert!(long.is_whole, "{:?}", long.error);
    assert_eq!(long.texts.len(), LONG);
    assert_left(&fleet, listed_at);
}

#[test]
fn a_daemon_paused_while_a_target_leaves_sends_it_nothing_late() {
    let fleet = fleet();
    let listed_at = ask_meanwhile(&fleet, || {
        wait_for("the engine works", || {
            let admitted = history::named(&fleet.targets[0].history, "admitted");
            (admitted.len() > 5).then_some(())
        });
        fleet.daemons[0].process.pause();
        let listed_at = list_as_leaving(&fleet);
        std::thread::sleep(Duration::from_millis(BOUND_MS + 500));
        fleet.daemons[0].process.unpause();
        wait_past_bound(&fleet, listed_at);
        listed_at
    });
    assert_left(&fleet, listed_at);
}

#[test]
fn a_daemon_cut_off_from_the_platform_sends_a_leaving_target_nothing_late() {
    let mut relay = None;
    let fleet = fleet_with(|platform| {
        let started = relay.insert(Relay::start(platform));
        Some(started.address.to_string())
    });
    let relay = relay.expect("the relay was started");
    let listed_at = ask_meanwhile(&fleet, || {
        wait_for("the engine works", || {
            let admitted = history::named(&fleet.targets[0].history, "admitted");
            (admitted.len() > 5).then_some(())
        });
        relay.set_cut(true);
        let listed_at = list_as_leaving(&fleet);
        wait_past_bound(&fleet, listed_at);
        listed_at
    });
    assert_left(&fleet, listed_at);
}
