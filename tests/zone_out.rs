//! An availability zone that operators take out of service gets no new work
//! after a few seconds, and work that runs there finishes. The tests repeat this
//! with a paused daemon, a silent watch, lost datagrams, a stalled link and a
//! platform outage.

mod common;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use bluebelldrift::now;
use common::{
    Fleet,
    client::{self, Generated},
    history,
    link_proxy::LinkProxy,
    wait_for, zone_record,
};
use serde_json::{Value, json};

/// Longest time for which the zone may still get new work.
const NEW_WORK_DEADLINE: Duration = Duration::from_secs(5);
/// Time for which callers continue after that deadline, so that late work is
/// detected.
const TIME_AFTER_DEADLINE: Duration = Duration::from_secs(2);
const ZONE: &str = "kushiro-a";
const LONG_PROMPT: &str = "[mark=long] [n=400] report";

/// Stops the load when dropped, so that a failed check does not leave callers
/// running.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Takes the zone out through the first daemon, under steady load through the
/// daemons in `callers`. Runs `before_write` right before that write and
/// `after_write` right after it. Checks that the engine in the zone admits no new
/// work after the deadline, and that a long answer there finishes.
fn check_zone_out(
    fleet: &Fleet,
    callers: &[usize],
    before_write: impl FnOnce(),
    after_write: impl FnOnce(),
) {
    let engine = fleet
        .targets
        .iter()
        .find(|t| t.zone == ZONE)
        .expect("the zone has an engine");
    let is_stopped = AtomicBool::new(false);
    thread::scope(|s| {
        let _stop = StopOnDrop(&is_stopped);
        for i in callers {
            let (caller, is_stopped) = (fleet.caller(*i), &is_stopped);
            s.spawn(move || {
                while !is_stopped.load(Ordering::SeqCst) {
                    caller.generate("[n=3] fitting", &json!({}), &[]);
                }
            });
        }
        wait_for("the zone gets work", || {
            (history::events_named(&engine.history, "admitted").len() > 3).then_some(())
        });
        let long_answer = s.spawn(|| run_long_answer_in_zone(fleet, engine));
        wait_for("a long answer runs in the zone", || {
            has_admitted_long(engine).then_some(())
        });
        before_write();
        let answer = fleet
            .operator(0)
            .put_records(&json!([zone_record(ZONE, "out")]));
        assert_eq!(answer.status, 200, "{answer:?}");
        let accepted_ms = u64::try_from(now().as_millis()).expect("milliseconds fit in u64");
        after_write();
        thread::sleep(NEW_WORK_DEADLINE + TIME_AFTER_DEADLINE);
        let deadline_ms = accepted_ms
            + u64::try_from(NEW_WORK_DEADLINE.as_millis()).expect("milliseconds fit in u64");
        let admitted = history::events_named(&engine.history, "admitted").into_iter();
        let late_ms: Vec<u64> = admitted
            .filter(|e| e.at_ms > deadline_ms)
            .map(|e| e.at_ms - accepted_ms)
            .collect();
        is_stopped.store(true, Ordering::SeqCst);
        let generated = long_answer.join().expect("the long answer does not panic");
        assert!(
            generated.is_whole,
            "running work was cut off: {generated:?}"
        );
        assert!(
            late_ms.is_empty(),
            "new work {late_ms:?} ms after the write"
        );
    });
}

/// Returns whether the engine has admitted a long answer.
fn has_admitted_long(engine: &common::Target) -> bool {
    let admitted = history::events_named(&engine.history, "admitted");
    admitted
        .iter()
        .any(|e| e.detail.to_string().contains("long"))
}

/// Starts long answers until one runs in the zone; returns that one.
fn run_long_answer_in_zone(fleet: &Fleet, engine: &common::Target) -> Generated {
    for _ in 0..40 {
        let stream = fleet
            .caller(0)
            .open_stream(LONG_PROMPT, &json!({}), &[])
            .expect("a stream opens");
        thread::sleep(Duration::from_millis(50));
        if has_admitted_long(engine) {
            return client::collect(stream);
        }
    }
    panic!("no long answer was placed in the zone");
}

/// Puts the zone back into service and waits until its engine gets work.
fn return_zone_to_service(fleet: &Fleet) {
    let engine = fleet
        .targets
        .iter()
        .find(|t| t.zone == ZONE)
        .expect("the zone has an engine");
    fleet.write_records(&json!([zone_record(ZONE, "serving")]));
    let before = history::events_named(&engine.history, "admitted").len();
    wait_for("the zone serves again", || {
        fleet.caller(0).generate("[n=3] fitting", &json!({}), &[]);
        (history::events_named(&engine.history, "admitted").len() > before).then_some(())
    });
}

#[test]
fn a_zone_taken_out_gets_no_new_work_and_serves_again_when_returned() {
    let fleet = Fleet::with_daemons(3);
    check_zone_out(&fleet, &[0, 1, 2], || {}, || {});
    return_zone_to_service(&fleet);
}

#[test]
fn a_zone_taken_out_during_a_daemon_pause_and_a_silent_watch_gets_no_new_work() {
    let fleet = Fleet::with_daemons_in_one_cell(4);
    let paused_daemon = &fleet.daemons[2].process;
    check_zone_out(
        &fleet,
        &[0, 1, 2, 3],
        || {
            fleet.set_faults(&json!({"silent_watches": true}));
            paused_daemon.pause();
        },
        || {
            thread::sleep(NEW_WORK_DEADLINE);
            paused_daemon.unpause();
        },
    );
    fleet.set_faults(&json!({}));
    return_zone_to_service(&fleet);
}

#[test]
fn a_zone_taken_out_during_packet_loss_and_a_platform_failure_gets_no_new_work() {
    let fleet = Fleet::with_daemons_in_one_cell(4);
    let proxies: Vec<LinkProxy> = fleet
        .daemons
        .iter()
        .map(|d| LinkProxy::start(&d.peer_address))
        .collect();
    for (daemon, proxy) in fleet.daemons.iter().zip(&proxies) {
        fleet.set_instance(&json!({"name": daemon.name, "zone": common::ZONES[0].0,
            "state": "live", "address": proxy.address.to_string(), "role": "daemon"}));
    }
    wait_until_proxied(&fleet, &proxies);
    check_zone_out(
        &fleet,
        &[0, 1, 2, 3],
        || {
            for proxy in &proxies {
                proxy.set_loss_percent(30);
            }
            proxies[3].set_stalled(true);
            fleet.set_faults(&json!({"down_after_writes": 1}));
        },
        || {},
    );
}

/// Waits until every daemon reaches the others only through their network
/// proxies.
fn wait_until_proxied(fleet: &Fleet, proxies: &[LinkProxy]) {
    for i in 0..fleet.daemons.len() {
        wait_for("a daemon reaches all others through their proxies", || {
            let status = fleet.operator(i).status();
            let peers = status["peers"].as_array()?.clone();
            let is_used = |proxy: &&LinkProxy| {
                let address: Value = json!(proxy.address.to_string());
                peers.iter().any(|p| p["address"] == address)
            };
            (proxies.iter().filter(is_used).count() + 1 == proxies.len()).then_some(())
        });
    }
}
