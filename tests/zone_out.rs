//! An availability zone that operators have taken out gets no new work after
//! a few seconds, whatever fails meanwhile; what runs there finishes.

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
    relay::Relay,
    wait_for, zone_record,
};
use serde_json::{Value, json};

/// No new work in the zone after this time.
const NO_NEW_WORK: Duration = Duration::from_secs(5);
/// Time for which callers go on after the bound.
const WATCHED: Duration = Duration::from_secs(2);
const ZONE: &str = "kushiro-a";
const LONG: &str = "[mark=long] [n=400] report";

/// Ends the load also when a check fails.
struct EndLoad<'a>(&'a AtomicBool);

impl Drop for EndLoad<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Runs `during` and the write through the first daemon under steady load
/// through all others, and checks the engine's history.
fn check_zone_out(fleet: &Fleet, callers: &[usize], prepare: impl FnOnce(), during: impl FnOnce()) {
    let engine = fleet
        .targets
        .iter()
        .find(|t| t.zone == ZONE)
        .expect("its engine");
    let is_over = AtomicBool::new(false);
    thread::scope(|s| {
        let _end = EndLoad(&is_over);
        for i in callers {
            let (caller, is_over) = (fleet.caller(*i), &is_over);
            s.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    caller.generate("[n=3] fitting", &json!({}), &[]);
                }
            });
        }
        wait_for("the zone has work", || {
            (history::named(&engine.history, "admitted").len() > 3).then_some(())
        });
        let running = s.spawn(|| run_in_zone(fleet, engine));
        wait_for("a long answer runs there", || {
            admitted_long(engine).then_some(())
        });
        prepare();
        let answer = fleet
            .operator(0)
            .put_records(&json!([zone_record(ZONE, "out")]));
        assert_eq!(answer.status, 200, "{answer:?}");
        let accepted_ms = u64::try_from(now().as_millis()).expect("a time");
        during();
        thread::sleep(NO_NEW_WORK + WATCHED);
        let bound_ms = accepted_ms + u64::try_from(NO_NEW_WORK.as_millis()).expect("a time");
        let admitted = history::named(&engine.history, "admitted").into_iter();
        let late: Vec<u64> = admitted
            .filter(|e| e.at_ms > bound_ms)
            .map(|e| e.at_ms - accepted_ms)
            .collect();
        is_over.store(true, Ordering::SeqCst);
        let served = running.join().expect("the long answer");
        assert!(served.is_whole, "running work finishes: {served:?}");
        assert!(late.is_empty(), "new work after {late:?} ms");
    });
}

fn admitted_long(engine: &common::Target) -> bool {
    let admitted = history::named(&engine.history, "admitted");
    admitted
        .iter()
        .any(|e| e.detail.to_string().contains("long"))
}

/// Starts long answers until one runs in the zone; returns that one.
fn run_in_zone(fleet: &Fleet, engine: &common::Target) -> Generated {
    for _ in 0..40 {
        let stream = fleet
            .caller(0)
            .open_stream(LONG, &json!({}), &[])
            .expect("a stream");
        thread::sleep(Duration::from_millis(50));
        if admitted_long(engine) {
            return client::collect(stream);
        }
    }
    panic!("no long answer runs in the zone");
}

fn bring_back(fleet: &Fleet) {
    let engine = fleet
        .targets
        .iter()
        .find(|t| t.zone == ZONE)
        .expect("its engine");
    fleet.write_records(&json!([zone_record(ZONE, "serving")]));
    let before = history::named(&engine.history, "admitted").len();
    wait_for("the zone serves again", || {
        fleet.caller(0).generate("[n=3] fitting", &json!({}), &[]);
        (history::named(&engine.history, "admitted").len() > before).then_some(())
    });
}

#[test]
fn a_zone_out_gets_no_new_work_and_serves_again_when_brought_back() {
    let fleet = Fleet::with_daemons(3);
    check_zone_out(&fleet, &[0, 1, 2], || {}, || {});
    bring_back(&fleet);
}

#[test]
fn with_a_daemon_paused_during_the_write_and_a_silent_watch() {
    let fleet = Fleet::one_cell(4);
    let paused = &fleet.daemons[2].process;
    check_zone_out(
        &fleet,
        &[0, 1, 2, 3],
        || {
            fleet.set_faults(&json!({"silent_watches": true}));
            paused.pause();
        },
        || {
            thread::sleep(NO_NEW_WORK);
            paused.unpause();
        },
    );
    fleet.set_faults(&json!({}));
    bring_back(&fleet);
}

#[test]
fn with_lost_datagrams_and_a_stalled_link_and_the_platform_failing_after_the_write() {
    let fleet = Fleet::one_cell(4);
    let relays: Vec<Relay> = fleet
        .daemons
        .iter()
        .map(|d| Relay::start(&d.peer))
        .collect();
    for (daemon, relay) in fleet.daemons.iter().zip(&relays) {
        fleet.set_instance(&json!({"name": daemon.name, "zone": common::ZONES[0].0,
            "state": "live", "address": relay.address.to_string(), "role": "daemon"}));
    }
    wait_listed(&fleet, &relays);
    check_zone_out(
        &fleet,
        &[0, 1, 2, 3],
        || {
            for relay in &relays {
                relay.set_loss_percent(30);
            }
            relays[3].set_stalled(true);
            fleet.set_faults(&json!({"down_after_writes": 1}));
        },
        || {},
    );
}

/// Waits until every daemon knows the others by their relays.
fn wait_listed(fleet: &Fleet, relays: &[Relay]) {
    for i in 0..fleet.daemons.len() {
        wait_for("all are listed by their relays", || {
            let status = fleet.operator(i).status();
            let peers = status["peers"].as_array()?.clone();
            let listed = |r: &&Relay| {
                let address: Value = json!(r.address.to_string());
                peers.iter().any(|p| p["address"] == address)
            };
            (relays.iter().filter(listed).count() + 1 == relays.len()).then_some(())
        });
    }
}
