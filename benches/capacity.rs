//! Measures how the control cost of a daemon grows with the number of daemons,
//! targets, customers and open streams, and how long changes take to reach all
//! daemons: `cargo bench --bench capacity`, or with `-- PART` for one of `daemons`,
//! `targets`, `customers`, `streams`, `spread`.
//!
//! Each row starts its own fleet of processes on loopback and, except for `spread`,
//! samples it at the start and the end of an interval. The benchmark only reports
//! figures and asserts nothing about them.

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use common::{Fleet, ZONES, client, record};
use serde_json::{Value, json};

/// Time that a fleet gets to reach a steady state before it is sampled.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time between the two samples of a row.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(10);

/// Number of changes timed by [`report_propagation`].
const CHANGES: usize = 5;

/// Size of a fleet.
#[derive(Clone, Copy)]
struct Size {
    daemons: usize,
    targets: usize,
    customers: usize,
    streams: usize,
}

/// Size of a fleet in the dimensions that a row does not vary.
const BASE: Size = Size {
    daemons: 2,
    targets: 4,
    customers: 10,
    streams: 0,
};

/// Sums of the counters of all daemons of a fleet at one time.
struct Sample {
    at: Instant,
    /// Processor time of the control threads, in seconds.
    control_seconds: f64,
    /// Bytes of control messages sent and received between daemons.
    control_bytes: f64,
    /// Number of calls to the platform.
    platform_calls: f64,
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let parts: Vec<&str> = args
        .iter()
        .map(|a| &**a)
        .filter(|a| !a.starts_with('-'))
        .collect();
    let is_selected = |part: &str| parts.is_empty() || parts.contains(&part);
    println!("varied      size  core_percent  bytes_per_s  platform_calls_per_s  resident_kib");
    for daemons in [2, 4, 8, 16].into_iter().filter(|_| is_selected("daemons")) {
        report("daemons", daemons, Size { daemons, ..BASE });
    }
    for targets in [4, 32, 128, 600]
        .into_iter()
        .filter(|_| is_selected("targets"))
    {
        report("targets", targets, Size { targets, ..BASE });
    }
    for customers in [10, 100, 250]
        .into_iter()
        .filter(|_| is_selected("customers"))
    {
        report("customers", customers, Size { customers, ..BASE });
    }
    for streams in [0, 100, 500, 1000]
        .into_iter()
        .filter(|_| is_selected("streams"))
    {
        report("streams", streams, Size { streams, ..BASE });
    }
    println!("daemons  in_force_everywhere_ms (five changes)");
    for daemons in [3, 9, 16].into_iter().filter(|_| is_selected("spread")) {
        report_propagation(Size { daemons, ..BASE });
    }
}

/// Prints how long changes take from the start of the write until every daemon has
/// applied them.
fn report_propagation(size: Size) {
    let fleet = start(size);
    let mut times = Vec::new();
    for i in 0..CHANGES {
        let state = if i % 2 == 0 { "out" } else { "serving" };
        let started_at = Instant::now();
        let change = json!([common::zone_record(ZONES[0].0, state)]);
        let response = fleet.operator(0).put_records(&change).json();
        common::wait_for("every daemon has applied the change", || {
            let is_everywhere = (0..size.daemons).all(|d| {
                let revision = &fleet.operator(d).status()["revision"];
                revision.as_u64() >= response["revision"].as_u64()
            });
            is_everywhere.then_some(())
        });
        times.push(started_at.elapsed().as_millis());
    }
    println!("{:>7}  {times:?}", size.daemons);
}

/// Prints one row: the rates are averages per daemon, the resident memory is that of
/// the largest daemon.
fn report(varied: &str, value: usize, size: Size) {
    let fleet = start(size);
    let streams = open_streams(&fleet, size.streams);
    std::thread::sleep(SETTLE_TIME);
    let before = sample(&fleet);
    std::thread::sleep(SAMPLE_INTERVAL);
    let after = sample(&fleet);
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    #[expect(clippy::cast_precision_loss, reason = "a few daemons")]
    let daemons = size.daemons as f64;
    let rate = |before: f64, after: f64| (after - before) / seconds / daemons;
    let resident = fleet.daemons.iter().map(|d| d.process.resident_kib()).max();
    println!(
        "{varied:<10} {value:>5} {:>13.3} {:>12.0} {:>21.2} {:>13}",
        100.0 * rate(before.control_seconds, after.control_seconds),
        rate(before.control_bytes, after.control_bytes),
        rate(before.platform_calls, after.platform_calls),
        resident.unwrap_or(0),
    );
    drop(streams);
}

/// Starts a fleet in one zone. All targets share the engine of the first.
fn start(size: Size) -> Fleet {
    let mut fleet = Fleet::start();
    let zone = ZONES[0].0;
    let engine_args = [
        "--kv-tokens",
        "10000000",
        "--max-batch",
        "2000",
        "--step-us",
        "100000",
    ];
    fleet.add_engine("engine-0", zone, &engine_args);
    let address = fleet.targets[0].address.clone();
    for i in 1..size.targets {
        let instance = json!({"name": format!("engine-{i}"), "zone": zone, "address": address,
                              "state": "live", "role": "target", "service": "drafting-desk"});
        fleet.set_instance(&instance);
    }
    for i in 0..size.daemons {
        // Daemons are assigned to the three zones round-robin, so every third index is
        // in the first zone.
        fleet.add_daemon(
            i * ZONES.len(),
            &json!({"timing": {"heartbeat": "500ms",
            "suspect_after": "1500ms", "platform_poll": "2s", "stale_after": "6s"}}),
        );
    }
    fleet.write_records(&records(size.customers));
    common::wait_for("all daemons serve", || {
        let is_serving = (0..size.daemons).all(|i| {
            let status = fleet.operator(i).status();
            let targets = status["targets"].as_array().map_or(0, Vec::len);
            status["is_ready"] == json!(true) && targets == size.targets
        });
        is_serving.then_some(())
    });
    fleet
}

fn records(customers: usize) -> Value {
    let Value::Array(mut records) = common::default_records() else {
        return Value::Null;
    };
    for service in records.iter_mut().filter(|r| r["kind"] == "Service") {
        service["spec"]["limit"] = json!(4000);
        service["spec"]["cold_limit"] = json!(4000);
    }
    let key_hash = bluebelldrift::hash_key("5a17", "somebody-else");
    let other_customers = (1..customers).map(|i| {
        let spec = json!({"key_salt": "5a17", "key_hash": key_hash});
        record("Customer", &format!("customer-{i}"), &spec)
    });
    records.extend(other_customers);
    Value::Array(records)
}

/// Opens long streams at the first daemon and reads each on its own thread.
fn open_streams(fleet: &Fleet, count: usize) -> Vec<std::thread::JoinHandle<()>> {
    let caller = fleet.caller(0);
    let readers = (0..count).map(|_| {
        let caller = caller.clone();
        std::thread::spawn(move || {
            let opened = caller.open_stream("[n=100000] report", &json!({}), &[]);
            opened.into_iter().flatten().for_each(drop);
        })
    });
    readers.collect()
}

fn sample(fleet: &Fleet) -> Sample {
    let mut sums: BTreeMap<&str, f64> = BTreeMap::new();
    for daemon in &fleet.daemons {
        let text = client::call("GET", &daemon.caller_address, "/metrics", &[], &Value::Null).body;
        for name in [
            "bluebell_control_seconds",
            "bluebell_control_bytes",
            "bluebell_platform_calls",
        ] {
            *sums.entry(name).or_default() += sum_of_series(&text, name);
        }
    }
    Sample {
        at: Instant::now(),
        control_seconds: sums["bluebell_control_seconds"],
        control_bytes: sums["bluebell_control_bytes"],
        platform_calls: sums["bluebell_platform_calls"],
    }
}

/// Returns the sum of all series of one metric.
fn sum_of_series(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|l| l.starts_with(name));
    let values = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}
