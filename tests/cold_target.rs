//! Tests that a target that has just started never gets more requests than it can
//! handle while cold. They guard against daemons that together send a cold target
//! too many requests and crash it (docs/PROOFS.md, section 2).
//!
//! The engine stand-in counts its requests: it crashes when it has more than
//! `COLD_LIMIT` of them while it is cold. The tests start an engine under load
//! from all daemons and inject failures during its ramp.

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
    Caller, Fleet, Process, ZONES, client, default_records, history, link_proxy::LinkProxy,
    wait_for,
};
use serde_json::{Value, json};

const COLD_LIMIT: usize = 4;
/// Time spent on work until the engine is warm, in milliseconds.
const COLD_MS: &str = "1500";
const CALLERS_PER_DAEMON: usize = 8;
const DAEMONS: usize = 3;

/// Callers that send requests continuously until dropped.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..fleet.daemons.len() * CALLERS_PER_DAEMON).map(|i| {
            let caller = fleet.caller(i % fleet.daemons.len());
            let stop = stop.clone();
            std::thread::spawn(move || send_requests(&caller, &stop))
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

/// Sends requests until stopped, with a short pause after each refused one.
fn send_requests(caller: &Caller, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let generated = caller.generate("[n=10] report", &json!({}), &[]);
        if generated.status != 200 {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Starts daemons, without an engine. `BLUEBELL_TEST_POLICY` selects the placement
/// policy, so that the same checks can be run on the baseline.
fn fleet() -> Fleet {
    let policy = std::env::var("BLUEBELL_TEST_POLICY").unwrap_or("credits".into());
    let mut fleet = Fleet::start();
    for i in 0..DAEMONS {
        fleet.add_daemon(i, &json!({"policy": policy}));
    }
    let mut records = default_records();
    let service = json!({"type": "generation", "model": "denture-7b", "capacity":
        {"limit": 24, "cold_limit": COLD_LIMIT, "ramp_window": "2s"}});
    let service_record = json!({"schema": "bluebelldrift/v2", "kind": "Service", "name": "drafting-desk",
                      "spec": service});
    let records = records.as_array_mut().expect("the records are a list");
    records.retain(|r| r["name"] != "drafting-desk");
    records.push(service_record);
    fleet.write_records(&Value::Array(records.clone()));
    fleet.wait_ready();
    fleet
}

/// Starts a cold engine that reports its load with a lag of 300 ms.
fn start_engine(fleet: &mut Fleet) {
    let cold_capacity = COLD_LIMIT.to_string();
    let args = [
        "--cold-ms",
        COLD_MS,
        "--cold-bears",
        &cold_capacity,
        "--report-lag-ms",
        "300",
    ];
    fleet.add_engine("engine-new", ZONES[0].0, &args);
}

/// Returns how often the engine recorded an event.
fn count_events(fleet: &Fleet, event: &str) -> usize {
    history::events_named(&fleet.targets[0].history, event).len()
}

/// Waits until the engine has admitted `more` further requests.
fn wait_admitted(fleet: &Fleet, more: usize) {
    let before = count_events(fleet, "admitted");
    wait_for("the engine gets work", || {
        (count_events(fleet, "admitted") >= before + more).then_some(())
    });
}

/// Returns the highest number of requests that the engine had at the same time.
fn peak_in_flight(fleet: &Fleet) -> i64 {
    let (mut in_flight, mut peak) = (0, 0);
    for event in history::read_events(&fleet.targets[0].history) {
        in_flight += match event.name.as_str() {
            "admitted" => 1,
            "finished" | "cancelled" | "dropped" => -1,
            _ => 0,
        };
        peak = peak.max(in_flight);
    }
    peak
}

/// Waits until the owner of the warm engine has released its lease. While it holds
/// the lease, it may send work to the next start of the engine, also without the
/// platform.
fn wait_lease_released(fleet: &Fleet) {
    let path = "/v1/objects/lease/target/engine-new";
    wait_for("the lease on the warm engine is released", || {
        let answer = client::call("GET", &fleet.platform_address, path, &[], &Value::Null);
        let lease: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        (lease["value"]["ramp"]["is_warm"] == json!(true)).then_some(())
    });
}

/// Waits until the engine has more requests than a cold one can handle, and checks
/// that it did not crash before.
fn assert_ramped(fleet: &Fleet) {
    wait_for("the engine ramps up or crashes", || {
        let is_ramped =
            peak_in_flight(fleet) > COLD_LIMIT.try_into().expect("the limit fits in i64");
        (is_ramped || count_events(fleet, "fell_over") > 0).then_some(())
    });
    assert_eq!(
        count_events(fleet, "fell_over"),
        0,
        "the engine crashed; peak in flight: {}",
        peak_in_flight(fleet)
    );
}

/// Prints the rate of control datagrams under load, for each daemon and kind.
fn print_datagram_rates(fleet: &Fleet) {
    let read = |i: usize| {
        let address = &fleet.daemons[i].caller_address;
        let answer = client::call("GET", address, "/metrics", &[], &Value::Null);
        let lines = answer.body.lines().filter_map(|l| l.rsplit_once(' '));
        let datagrams = lines.filter(|(name, _)| name.starts_with("bluebell_datagrams{"));
        let counts = datagrams.map(|(name, n)| (name.to_owned(), n.parse().unwrap_or(0.0)));
        counts.collect::<Vec<(String, f64)>>()
    };
    let before: Vec<_> = (0..DAEMONS).map(read).collect();
    std::thread::sleep(Duration::from_secs(2));
    for (i, before) in before.iter().enumerate() {
        for (name, after) in read(i) {
            let earlier = before.iter().find(|(n, _)| *n == name);
            let increase = after - earlier.map_or(0.0, |(_, n)| *n);
            println!("daemon {i}: {name} {:.1} per second", increase / 2.0);
        }
    }
}

#[test]
fn load_from_all_daemons_does_not_overload_a_cold_engine() {
    let mut fleet = fleet();
    let load = Load::start(&fleet);
    let started = Instant::now();
    start_engine(&mut fleet);
    wait_admitted(&fleet, 1);
    println!("first request admitted after {:?}", started.elapsed());
    assert_ramped(&fleet);
    println!("above the cold limit after {:?}", started.elapsed());
    wait_for("the engine has at least 20 requests in flight", || {
        (peak_in_flight(&fleet) >= 20).then_some(())
    });
    println!("20 requests in flight after {:?}", started.elapsed());
    print_datagram_rates(&fleet);
    drop(load);
    assert_eq!(count_events(&fleet, "fell_over"), 0);
}

#[test]
fn killing_the_owner_during_the_ramp_does_not_overload_the_engine() {
    let mut fleet = fleet();
    let load = Load::start(&fleet);
    start_engine(&mut fleet);
    wait_admitted(&fleet, 2);
    fleet.daemons[0].process.kill();
    // The engine keeps the last requests of the killed daemon for a while.
    wait_admitted(&fleet, 20);
    assert_ramped(&fleet);
    drop(load);
}

#[test]
fn pausing_the_owner_during_the_ramp_does_not_overload_the_engine() {
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
fn a_partition_between_daemons_during_the_ramp_does_not_overload_the_engine() {
    let mut fleet = fleet();
    let proxies: Vec<LinkProxy> = fleet
        .daemons
        .iter()
        .map(|d| LinkProxy::start(&d.peer_address))
        .collect();
    for (i, (daemon, proxy)) in fleet.daemons.iter().zip(&proxies).enumerate() {
        let instance = json!({"name": daemon.name, "zone": ZONES[i].0, "state": "live",
                              "address": proxy.address.to_string(), "role": "daemon"});
        fleet.set_instance(&instance);
    }
    let load = Load::start(&fleet);
    start_engine(&mut fleet);
    wait_admitted(&fleet, 2);
    for proxy in &proxies {
        proxy.set_cut(true);
    }
    wait_admitted(&fleet, 30);
    for proxy in &proxies {
        proxy.set_cut(false);
    }
    assert_ramped(&fleet);
    drop(load);
}

#[test]
fn a_warm_engine_that_restarts_cold_under_load_is_not_overloaded() {
    let mut fleet = fleet();
    let load = Load::start(&fleet);
    start_engine(&mut fleet);
    wait_for("the engine has at least 20 requests in flight", || {
        (peak_in_flight(&fleet) >= 20).then_some(())
    });
    restart_engine(&mut fleet);
    wait_admitted(&fleet, 30);
    drop(load);
    assert_eq!(count_events(&fleet, "fell_over"), 0);
}

#[test]
fn an_engine_that_starts_while_the_platform_is_down_gets_no_work_until_it_is_back() {
    let mut fleet = fleet();
    let load = Load::start(&fleet);
    start_engine(&mut fleet);
    wait_for("the engine has at least 20 requests in flight", || {
        (peak_in_flight(&fleet) >= 20).then_some(())
    });
    wait_lease_released(&fleet);
    fleet.set_faults(&json!({"is_down": true}));
    restart_engine(&mut fleet);
    // A starting target needs a lease from the platform before any daemon sends
    // it work. The platform comes back later.
    std::thread::sleep(Duration::from_secs(3));
    let admitted_while_down = count_events(&fleet, "admitted");
    fleet.set_faults(&json!({}));
    wait_admitted(&fleet, 20);
    drop(load);
    assert_eq!(count_events(&fleet, "fell_over"), 0);
    assert_eq!(admitted_while_down, 0, "work admitted without a lease");
}

/// An engine restarts while requests to it are held up on the way, and the platform
/// is down. Their daemons find the connections broken before they know of the restart,
/// and start the same requests again with credits of the earlier start.
#[test]
fn a_credit_of_an_earlier_start_is_not_used_at_a_restarted_engine() {
    let mut fleet = fleet();
    start_engine(&mut fleet);
    let link = LinkProxy::start(&fleet.targets[0].address);
    let target = &fleet.targets[0];
    fleet.set_instance(
        &json!({"name": target.name, "zone": target.zone, "state": "live",
                               "address": link.address.to_string(), "role": "target",
                               "service": target.service}),
    );
    let load = Load::start(&fleet);
    wait_for("the engine has at least 20 requests in flight", || {
        (peak_in_flight(&fleet) >= 20).then_some(())
    });
    wait_lease_released(&fleet);
    fleet.set_faults(&json!({"is_down": true}));
    link.set_stalled(true);
    // Requests that are sent now wait on the link for an answer.
    std::thread::sleep(Duration::from_millis(100));
    restart_engine(&mut fleet);
    link.set_stalled(false);
    std::thread::sleep(Duration::from_secs(3));
    let admitted_while_down = count_events(&fleet, "admitted");
    assert_eq!(admitted_while_down, 0, "work admitted without a lease");
    fleet.set_faults(&json!({}));
    wait_admitted(&fleet, 20);
    drop(load);
    assert_eq!(count_events(&fleet, "fell_over"), 0);
}

/// Kills the engine and starts a new, cold one at the same address, with an empty
/// history.
fn restart_engine(fleet: &mut Fleet) {
    let engine = &mut fleet.targets[0];
    engine.process.kill();
    std::fs::remove_file(&engine.history).expect("the history is removed");
    let (history, cold_capacity) = (engine.history.display().to_string(), COLD_LIMIT.to_string());
    engine.process = Process::start_standin(&[
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
        &cold_capacity,
    ]);
}
