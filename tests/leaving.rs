//! Tests that a target that the instance list marks as leaving gets no new work
//! after a few seconds, and finishes the work it has. They guard against work that
//! is lost because a daemon sends it to a target that is about to stop. The check is
//! repeated with a paused daemon and with a daemon that cannot read the list
//! (docs/PROOFS.md, section 7).

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use common::{Fleet, ZONES, default_records, history, link_proxy::LinkProxy, wait_for};
use serde_json::json;

/// Longest time for which a leaving target may still get new work.
const NEW_WORK_DEADLINE_MS: u64 = 5_000;
/// Number of tokens of a long answer, each of which takes 20 ms.
const LONG_ANSWER_TOKENS: usize = 500;

/// Starts three daemons and two engines; the first engine is the one that leaves.
/// `BLUEBELL_TEST_POLICY` selects the placement policy, so that the same checks
/// can be run on the baseline.
fn fleet() -> Fleet {
    fleet_with_proxy(|_| None)
}

/// Like [`fleet`], but `proxy` receives the address of the platform and may
/// return another one, through which the first daemon reaches it.
fn fleet_with_proxy(proxy: impl FnOnce(&str) -> Option<String>) -> Fleet {
    let policy = std::env::var("BLUEBELL_TEST_POLICY").unwrap_or("credits".into());
    let mut fleet = Fleet::start();
    for (i, (zone, _)) in ZONES.iter().enumerate().take(2) {
        fleet.add_engine(&format!("engine-{i}"), zone, &[]);
    }
    let platform = proxy(&fleet.platform_address).unwrap_or(fleet.platform_address.clone());
    // The first daemon keeps serving without the platform: its peers still confirm
    // its records, and the long `stale_after` keeps them from becoming stale.
    let overrides = json!({"policy": policy, "platform": {"address": platform},
                       "timing": {"stale_after": "60s"}});
    fleet.add_daemon(0, &overrides);
    for i in 1..3 {
        fleet.add_daemon(i, &json!({"policy": policy}));
    }
    // The cold limit equals the full limit, so that targets start without a ramp:
    // the lease of a starting target could otherwise delay the work that the test
    // looks for.
    let mut records = default_records();
    for record in records.as_array_mut().expect("the records are a list") {
        if record["name"] == "drafting-desk" {
            record["spec"]["cold_limit"] = json!(24);
        }
    }
    fleet.write_records(&records);
    fleet.wait_ready();
    fleet.set_faults(&json!({"instance_lag_ms": 1000}));
    fleet
}

/// Runs `body` while callers request short answers from all daemons, and returns
/// its value.
fn with_short_requests<T>(fleet: &Fleet, body: impl FnOnce() -> T) -> T {
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
    let value = body();
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    value
}

/// Marks the first engine as leaving in the instance list. Returns the time right
/// before that, in milliseconds since the epoch.
fn list_as_leaving(fleet: &Fleet) -> u64 {
    let target = &fleet.targets[0];
    let instance = json!({"name": target.name, "zone": target.zone, "address": target.address,
                          "state": "leaving", "role": "target", "service": target.service});
    let at = bluebelldrift::now();
    fleet.set_instance(&instance);
    u64::try_from(at.as_millis()).expect("milliseconds fit in u64")
}

/// Checks that after the deadline the leaving engine admitted no work, while the
/// other engine did.
fn assert_no_late_work(fleet: &Fleet, listed_at: u64) {
    let admitted = |i: usize| history::events_named(&fleet.targets[i].history, "admitted");
    let late_count = |i: usize| {
        let events = admitted(i).into_iter();
        events
            .filter(|e| e.at_ms > listed_at + NEW_WORK_DEADLINE_MS)
            .count()
    };
    let last = admitted(0).iter().map(|e| e.at_ms).max();
    println!(
        "last work admitted {:?} ms after listing",
        last.map(|at| at.saturating_sub(listed_at))
    );
    assert_eq!(late_count(0), 0, "work admitted late by the leaving engine");
    assert!(late_count(1) > 0, "the other engine gets no work");
}

/// Waits until the other engine has admitted work more than 2 s after the deadline.
fn wait_past_deadline(fleet: &Fleet, listed_at: u64) {
    wait_for("the other engine gets work after the deadline", || {
        let admitted = history::events_named(&fleet.targets[1].history, "admitted");
        let last = admitted.iter().map(|e| e.at_ms).max().unwrap_or(0);
        (last > listed_at + NEW_WORK_DEADLINE_MS + 2_000).then_some(())
    });
}

#[test]
fn a_leaving_target_finishes_its_work_and_gets_no_new_work() {
    let fleet = fleet();
    let caller = fleet.caller(0);
    let prompt = format!("[n={LONG_ANSWER_TOKENS}] long");
    let long_answer = std::thread::spawn(move || caller.generate(&prompt, &json!({}), &[]));
    wait_for("the long answer runs at the engine", || {
        let admitted = history::events_named(&fleet.targets[0].history, "admitted");
        admitted.first().map(|_| ())
    });
    let listed_at = with_short_requests(&fleet, || {
        let listed_at = list_as_leaving(&fleet);
        wait_past_deadline(&fleet, listed_at);
        listed_at
    });
    let generated = long_answer.join().expect("the caller does not panic");
    assert!(generated.is_whole, "{:?}", generated.error);
    assert_eq!(generated.token_texts.len(), LONG_ANSWER_TOKENS);
    assert_no_late_work(&fleet, listed_at);
}

#[test]
fn a_daemon_paused_while_a_target_leaves_sends_it_no_late_work() {
    let fleet = fleet();
    let listed_at = with_short_requests(&fleet, || {
        wait_for("the leaving engine gets work", || {
            let admitted = history::events_named(&fleet.targets[0].history, "admitted");
            (admitted.len() > 5).then_some(())
        });
        fleet.daemons[0].process.pause();
        let listed_at = list_as_leaving(&fleet);
        std::thread::sleep(Duration::from_millis(NEW_WORK_DEADLINE_MS + 500));
        fleet.daemons[0].process.unpause();
        wait_past_deadline(&fleet, listed_at);
        listed_at
    });
    assert_no_late_work(&fleet, listed_at);
}

#[test]
fn a_daemon_cut_off_from_the_platform_sends_a_leaving_target_no_late_work() {
    let mut proxy = None;
    let fleet = fleet_with_proxy(|platform| {
        let started = proxy.insert(LinkProxy::start(platform));
        Some(started.address.to_string())
    });
    let proxy = proxy.expect("the proxy was started");
    let listed_at = with_short_requests(&fleet, || {
        wait_for("the leaving engine gets work", || {
            let admitted = history::events_named(&fleet.targets[0].history, "admitted");
            (admitted.len() > 5).then_some(())
        });
        proxy.set_cut(true);
        let listed_at = list_as_leaving(&fleet);
        wait_past_deadline(&fleet, listed_at);
        listed_at
    });
    assert_no_late_work(&fleet, listed_at);
}
