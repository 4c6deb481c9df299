//! Hedges and retries while one engine is stalled: the extra runs stay within the
//! budget, and the first token arrives sooner than without hedges.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{Caller, Fleet};
use serde_json::json;

/// Number of requests. They are sent at a fixed pace, whether or not earlier ones
/// have been answered.
const REQUESTS: usize = 160;
/// Time between two requests.
const PACE: Duration = Duration::from_millis(50);
/// Number of requests after which the first engine is paused, and after which it
/// continues.
const STALLED: std::ops::Range<usize> = 30..110;
/// Extra runs that the budget allows without any request: at the start, and during the
/// test.
const FLOOR: usize = 5 + 10;

/// Results of one measurement: times to the first token, and counts.
#[derive(Debug)]
struct Figures {
    p95: Duration,
    p99: Duration,
    /// Requests without a whole answer.
    failed: usize,
    /// Hedges and lost runs.
    extra_runs: usize,
}

/// Sends the requests to one daemon, with hedges after `hedge_after`, while its nearest
/// engine is paused for a part of them.
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
        let due = started + PACE * u32::try_from(i).expect("the index fits in 32 bits");
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
    let results = calls
        .into_iter()
        .map(|c| c.join().expect("the caller's thread ends"));
    let results: Vec<Option<Duration>> = results.collect();
    let mut times: Vec<Duration> = results.iter().flatten().copied().collect();
    times.sort();
    let percentile = |percent: usize| times[(times.len() * percent / 100).min(times.len() - 1)];
    let log =
        std::fs::read_to_string(&fleet.daemons[0].log).expect("the log of the daemon is readable");
    let count = |event: &str| log.lines().filter(|l| l.contains(event)).count();
    Figures {
        p95: percentile(95),
        p99: percentile(99),
        failed: REQUESTS - times.len(),
        extra_runs: count("event=hedged") + count("event=run_lost"),
    }
}

/// Returns the time to the first token, if the answer is whole.
fn first_token(caller: &Caller) -> Option<Duration> {
    let sent_at = Instant::now();
    let mut stream = caller.open_stream("[n=5]", &json!({}), &[]).ok()?;
    let first = stream.next()?.at - sent_at;
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
