//! Hedges and retries while one engine is stalled: the extra runs stay within the
//! budget, and the first token arrives sooner than without hedges.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{Caller, Fleet};
use serde_json::json;

/// Number of requests. They are sent one pace apart, whether or not earlier ones have been
/// answered. If this process stands still, the rest is sent later: the engine is paused
/// for the same time.
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
    /// What callers of requests without a whole answer got.
    failed: Vec<String>,
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
    let mut due = Instant::now();
    for i in 0..REQUESTS {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        due = Instant::now().max(due) + PACE;
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
    let (mut times, mut failed) = (Vec::new(), Vec::new());
    for result in results {
        match result {
            Ok(time) => times.push(time),
            Err(answer) => failed.push(answer),
        }
    }
    times.sort();
    let percentile = |percent: usize| times[(times.len() * percent / 100).min(times.len() - 1)];
    let log =
        std::fs::read_to_string(&fleet.daemons[0].log).expect("the log of the daemon is readable");
    let count = |event: &str| log.lines().filter(|l| l.contains(event)).count();
    Figures {
        p95: percentile(95),
        p99: percentile(99),
        failed,
        extra_runs: count("event=hedged") + count("event=run_lost"),
    }
}

/// Returns the time to the first token.
///
/// # Errors
/// Returns what the caller got if the answer is not whole.
fn first_token(caller: &Caller) -> Result<Duration, String> {
    let sent_at = Instant::now();
    let stream = caller.open_stream("[n=5]", &json!({}), &[]);
    let mut stream = stream.map_err(|e| format!("{e:?}"))?;
    let first = stream.next().map(|token| token.at - sent_at);
    let generated = common::client::collect(stream);
    let first = first.filter(|_| generated.is_whole);
    first.ok_or_else(|| format!("{generated:?}"))
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
    assert!(with.failed.is_empty(), "{with:?}");
    assert!(without.failed.is_empty(), "{without:?}");
}
