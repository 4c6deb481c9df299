//! Hedges and retries under a stalled engine: their load stays within the
//! budget, and the first token comes sooner than without them.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{Caller, Fleet};
use serde_json::json;

/// Requests offered, at a fixed pace whatever becomes of them.
const REQUESTS: usize = 160;
const PACE: Duration = Duration::from_millis(50);
/// Requests after which the first engine stalls, and goes on again.
const STALLED: std::ops::Range<usize> = 30..110;
/// Extra runs that a quiet daemon may make: at the start, and while it runs.
const FLOOR: usize = 5 + 10;

#[derive(Debug)]
struct Figures {
    p95: Duration,
    p99: Duration,
    failed: usize,
    extra_runs: usize,
}

fn measure(hedge_after: &str) -> Figures {
    let mut fleet = Fleet::start();
    for (zone, _) in common::ZONES {
        fleet.add_engine(&format!("engine-{zone}"), zone, &[]);
    }
    fleet.add_daemon(0, &json!({"timing": {"hedge_after": hedge_after}}));
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    let mut calls = Vec::new();
    let started = Instant::now();
    for i in 0..REQUESTS {
        let due = started + PACE * u32::try_from(i).expect("few requests");
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if i == STALLED.start {
            fleet.targets[0].process.pause();
        }
        if i == STALLED.end {
            fleet.targets[0].process.unpause();
        }
        let caller = fleet.caller(0);
        calls.push(thread::spawn(move || first_token(&caller)));
    }
    let results = calls.into_iter().map(|c| c.join().expect("a caller"));
    let results: Vec<Option<Duration>> = results.collect();
    let mut times: Vec<Duration> = results.iter().flatten().copied().collect();
    times.sort();
    let at = |percent: usize| times[(times.len() * percent / 100).min(times.len() - 1)];
    let log = std::fs::read_to_string(&fleet.daemons[0].log).expect("the log");
    let count = |event: &str| log.lines().filter(|l| l.contains(event)).count();
    Figures {
        p95: at(95),
        p99: at(99),
        failed: REQUESTS - times.len(),
        extra_runs: count("event=hedged") + count("event=run_lost"),
    }
}

/// Time to the first token of an answer that is whole.
fn first_token(caller: &Caller) -> Option<Duration> {
    let asked = Instant::now();
    let mut stream = caller.open_stream("[n=5]", &json!({}), &[]).ok()?;
    let first = stream.next()?.at - asked;
    let generated = common::client::collect(stream);
    generated.is_whole.then_some(first)
}

#[test]
fn hedges_bring_the_first_token_sooner_within_their_budget() {
    let without = measure("60s");
    let with = measure("300ms");
    println!("without={without:?} with={with:?} requests={REQUESTS}");
    assert!(with.extra_runs <= REQUESTS / 20 + FLOOR, "{with:?}");
    assert!(without.extra_runs <= REQUESTS / 20 + FLOOR, "{without:?}");
    assert!(with.p95 < without.p95, "{with:?} {without:?}");
    assert!(with.p99 < without.p99, "{with:?} {without:?}");
    assert_eq!((with.failed, without.failed), (0, 0));
}
