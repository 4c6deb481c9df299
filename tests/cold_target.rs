//! Promise 2: a target that has just started never gets more than it can bear.
//!
//! Work is counted at the engine: it falls over when it has more than
//! `COLD_LIMIT` requests while it is cold.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use common::{
    Caller, Fleet, Process, ZONES, client, default_records, history, relay::Relay, wait_for,
};
use serde_json::{Value, json};

const COLD_LIMIT: usize = 4;
/// Work time for which the engine is cold, in milliseconds.
const COLD_MS: &str = "1500";
const CALLERS_EACH: usize = 8;
const DAEMONS: usize = 3;

/// Callers that ask again and again until dropped.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..fleet.daemons.len() * CALLERS_EACH).map(|i| {
            let caller = fleet.caller(i % fleet.daemons.len());
            let stop = stop.clone();
            std::thread::spawn(move || ask_until(&caller, &stop))
        });
        let callers = callers.collect();
        Self { stop, callers }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers.drain(..) {
            let _ = caller.join();
        }
    }
}

fn ask_until(caller: &Caller, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let generated = caller.generate("[n=10] report", &json!({}), &[]);
        if generated.status != 200 {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Daemons that serve, and no engine yet. The policy can be set from outside,
/// to see what the baseline does.
fn fleet() -> Fleet {
    let policy = std::env::var("BLUEBELL_TEST_POLICY").unwrap_or("credits".into());
    let mut fleet = Fleet::start();
    for i in 0..DAEMONS {
        fleet.add_daemon(i, &json!({"policy": policy}));
    }
    let mut records = default_records();
    let service = json!({"type": "generation", "model": "denture-7b", "capacity":
        {"limit": 24, "cold_limit": COLD_LIMIT, "ramp_window": "2s"}});
    let more = json!({"schema": "bluebelldrift/v2", "kind": "Service", "name": "drafting-desk",
                      "spec": service});
    let records = records.as_array_mut().expect("a list");
    records.retain(|r| r["name"] != "drafting-desk");
    records.push(more);
    fleet.write_records(&Value::Array(records.clone()));
    fleet.wait_ready();
    fleet
}

fn start_engine(fleet: &mut Fleet) {
    let bears = COLD_LIMIT.to_string();
    let args = [
        "--cold-ms",
        COLD_MS,
        "--cold-bears",
        &bears,
        "--report-lag-ms",
        "300",
    ];
    fleet.add_engine("engine-new", ZONES[0].0, &args);
}

fn count(fleet: &Fleet, event: &str) -> usize {
    history::named(&fleet.targets[0].history, event).len()
}

fn wait_admitted(fleet: &Fleet, more: usize) {
    let before = count(fleet, "admitted");
    wait_for("the engine gets work", || {
        (count(fleet, "admitted") >= before + more).then_some(())
    });
}

/// Most requests that the engine had at once.
fn most_at_once(fleet: &Fleet) -> i64 {
    let (mut now, mut most) = (0, 0);
    for event in history::read(&fleet.targets[0].history) {
        now += match event.name.as_str() {
            "admitted" => 1,
            "finished" | "cancelled" | "dropped" => -1,
            _ => 0,
        };
        most = most.max(now);
    }
    most
}

/// Waits until the engine carries more than a cold one bears, and checks that
/// it never fell over on the way.
fn assert_ramped(fleet: &Fleet) {
    wait_for("the engine carries more, or has fallen over", || {
        let is_ramped = most_at_once(fleet) > COLD_LIMIT.try_into().expect("a small number");
        (is_ramped || count(fleet, "fell_over") > 0).then_some(())
    });
    assert_eq!(
        count(fleet, "fell_over"),
        0,
        "at once: {}",
        most_at_once(fleet)
    );
}

/// Prints what control costs under load, for each daemon and second.
fn print_control_cost(fleet: &Fleet) {
    let read = |i: usize| {
        let address = &fleet.daemons[i].caller;
        let answer = client::call("GET", address, "/metrics", &[], &Value::Null);
        let lines = answer.body.lines().filter_map(|l| l.rsplit_once(' '));
        let wanted = lines.filter(|(name, _)| name.starts_with("bluebell_datagrams{"));
        let counts = wanted.map(|(name, n)| (name.to_owned(), n.parse().unwrap_or(0.0)));
        counts.collect::<Vec<(String, f64)>>()
    };
    let before: Vec<_> = (0..DAEMONS).map(read).collect();
    std::thread::sleep(Duration::from_secs(2));
    for (i, before) in before.iter().enumerate() {
        for (name, after) in read(i) {
            let earlier = before.iter().find(|(n, _)| *n == name);
            let grown = after - earlier.map_or(0.0, |(_, n)| *n);
            println!("daemon {i}: {name} {:.1} a second", grown / 2.0);
        }
    }
}

#[test]
fn all_daemons_at_once_do_not_overload_a_cold_engine() {
    let mut fleet = fleet();
    let load = Load::start(&fleet);
    let started = Instant::now();
    start_engine(&mut fleet);
    wait_admitted(&fleet, 1);
    println!("first work after {:?}", started.elapsed());
    assert_ramped(&fleet);
    println!("more than cold after {:?}", started.elapsed());
    wait_for("the engine carries its full share", || {
        (most_at_once(&fleet) >= 20).then_some(())
    });
    println!("full share after {:?}", started.elapsed());
    print_control_cost(&fleet);
    drop(load);
    assert_eq!(count(&fleet, "fell_over"), 0);
}

#[test]
fn the_owner_killed_during_the_ramp() {
    let mut fleet = fleet();
    let load = Load::start(&fleet);
    start_engine(&mut fleet);
    wait_admitted(&fleet, 2);
    fleet.daemons[0].process.kill();
    // Its last requests stay at the engine, which keeps them for a while.
    wait_admitted(&fleet, 20);
    assert_ramped(&fleet);
    drop(load);
}

#[test]
fn the_owner_paused_during_the_ramp() {
    let mut fleet = fleet();
    let load = Load::start(&fleet);
    start_engine(&mut fleet);
    wait_admitted(&fleet, 2);
    fleet.daemons[0].process.pause();
    wait_admitted(&fleet, 10);
    fleet.daemons[0].process.unpause();
    wait_admitted(&fleet, 20);
    assert_ramped(&fleet);
    drop(load);
}

#[test]
fn daemons_cut_off_from_one_another_during_the_ramp() {
    let mut fleet = fleet();
    let relays: Vec<Relay> = fleet
        .daemons
        .iter()
        .map(|d| Relay::start(&d.peer))
        .collect();
    for (i, (daemon, relay)) in fleet.daemons.iter().zip(&relays).enumerate() {
        let instance = json!({"name": daemon.name, "zone": ZONES[i].0, "state": "live",
                              "address": relay.address.to_string(), "role": "daemon"});
        fleet.set_instance(&instance);
    }
    let load = Load::start(&fleet);
    start_engine(&mut fleet);
    wait_admitted(&fleet, 2);
    for relay in &relays {
        relay.set_cut(true);
    }
    wait_admitted(&fleet, 30);
    for relay in &relays {
        relay.set_cut(false);
    }
    assert_ramped(&fleet);
    drop(load);
}

#[test]
fn a_warm_engine_turns_cold_again_in_mid_load() {
    let mut fleet = fleet();
    let load = Load::start(&fleet);
    start_engine(&mut fleet);
    wait_for("the engine carries its full share", || {
        (most_at_once(&fleet) >= 20).then_some(())
    });
    restart_engine(&mut fleet);
    wait_admitted(&fleet, 30);
    drop(load);
    assert_eq!(count(&fleet, "fell_over"), 0);
}

#[test]
fn an_engine_that_starts_while_the_platform_is_down() {
    let mut fleet = fleet();
    let load = Load::start(&fleet);
    start_engine(&mut fleet);
    wait_for("the engine carries its full share", || {
        (most_at_once(&fleet) >= 20).then_some(())
    });
    fleet.set_faults(&json!({"is_down": true}));
    restart_engine(&mut fleet);
    // Without the lease nobody gives it work; the platform comes back later.
    std::thread::sleep(Duration::from_secs(3));
    let while_down = count(&fleet, "admitted");
    fleet.set_faults(&json!({}));
    wait_admitted(&fleet, 20);
    drop(load);
    assert_eq!(count(&fleet, "fell_over"), 0);
    assert_eq!(while_down, 0, "work without the lease");
}

/// Ends the engine and starts it anew, cold, at the same address. Its earlier
/// history is dropped.
fn restart_engine(fleet: &mut Fleet) {
    let engine = &mut fleet.targets[0];
    engine.process.kill();
    std::fs::remove_file(&engine.history).expect("its history is removed");
    let (history, bears) = (engine.history.display().to_string(), COLD_LIMIT.to_string());
    engine.process = Process::standin(&[
        "engine",
        "--name",
        "engine-new",
        "--zone",
        ZONES[0].0,
        "--service",
        "drafting-desk",
        "--listen",
        &engine.address,
        "--history",
        &history,
        "--cold-ms",
        COLD_MS,
        "--cold-bears",
        &bears,
    ]);
}
