//! Tests of the load generator: the same seed gives the same traffic, and a run
//! writes its summary, histograms and plot.

use std::process::Command;

use bluebelldrift::{
    cli::{LoadCli, LoadCommand, TrafficArgs},
    load::{PlannedRequest, RequestKind, compare, plan_requests, read_summary},
};
use clap::Parser;

/// Number of customers in these tests.
const CUSTOMERS: usize = 10;

fn traffic(extra_args: &[&str]) -> TrafficArgs {
    let mut command_line = vec!["bluebell-load", "fleet", "--out", "unused"];
    command_line.extend(extra_args);
    match LoadCli::parse_from(command_line).command {
        LoadCommand::Fleet(args) => args.traffic,
        other => panic!("expected the fleet command, got {other:?}"),
    }
}

fn count(planned: &[PlannedRequest], is_counted: impl Fn(&PlannedRequest) -> bool) -> usize {
    planned.iter().filter(|p| is_counted(p)).count()
}

#[test]
fn same_seed_gives_same_traffic_and_another_seed_differs() {
    let args = traffic(&["--rate", "50", "--duration", "20", "--seed", "7"]);
    let planned = plan_requests(&args, CUSTOMERS);
    assert_eq!(planned, plan_requests(&args, CUSTOMERS));
    let other = traffic(&["--rate", "50", "--duration", "20", "--seed", "8"]);
    assert_ne!(planned, plan_requests(&other, CUSTOMERS));
}

#[test]
fn traffic_follows_the_configured_distributions() {
    let args = traffic(&["--rate", "500", "--duration", "20"]);
    let planned = plan_requests(&args, CUSTOMERS);
    assert!(
        (9_000..11_000).contains(&planned.len()),
        "expected about 10,000 requests, got {}",
        planned.len()
    );
    assert!(planned.is_sorted_by_key(|p| p.due_at));
    let long = count(&planned, |p| p.kind == RequestKind::Long);
    assert!(
        (2_700..3_300).contains(&long),
        "expected about 3 of 10 requests to be long, got {long}"
    );
    let heavy = count(&planned, |p| p.length > 10_000);
    assert!(
        heavy > 30,
        "expected a heavy tail, got {heavy} requests above 10,000 tokens"
    );
    assert!(planned.iter().all(|p| p.length <= 40_000));
    let has_expected_limit =
        |p: &PlannedRequest| p.max_tokens.is_some() == (p.kind == RequestKind::Short);
    assert!(planned.iter().all(has_expected_limit));
    let (first, last) = (
        count(&planned, |p| p.customer == 0),
        count(&planned, |p| p.customer == CUSTOMERS - 1),
    );
    assert!(
        first > 6 * last,
        "expected the first customer to dominate: {first} requests, last customer {last}"
    );
}

#[test]
fn fleet_run_completes_every_request_and_writes_its_results() {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let out = folder.path().join("run");
    let output = Command::new(env!("CARGO_BIN_EXE_bluebell-load"))
        .args(["fleet", "--policy", "token_credits", "--engines", "1"])
        .args(["--rate", "15", "--duration", "2", "--time-scale", "10"])
        .args(["--length-scale", "50", "--kv-tokens", "20000", "--out"])
        .arg(&out)
        .output()
        .expect("run bluebell-load");
    assert!(output.status.success(), "the run failed: {output:?}");
    let summary = read_summary(&out).expect("read the summary");
    let endings = summary.whole.kinds.values();
    let (offered, whole) = endings.fold((0, 0), |(o, w), e| (o + e.offered, w + e.whole));
    assert!(offered > 10);
    assert_eq!(
        offered, whole,
        "not every request got a complete response: {:?}",
        summary.whole.kinds
    );
    for file in ["first_token_long.hdr", "first_token_short.hdr", "gap.hdr"] {
        let bytes = std::fs::read(out.join(file)).expect("read the histogram file");
        let mut reader = hdrhistogram::serialization::Deserializer::new();
        let read = reader.deserialize::<u64, _>(&mut bytes.as_slice());
        assert!(
            !read.expect("decode the histogram").is_empty(),
            "{file} is empty"
        );
    }
    let plot = std::fs::read_to_string(out.join("run.svg")).expect("read the plot");
    assert!(plot.starts_with("<svg"));
    assert!(compare(&summary, &summary).contains("1.00"));
}

#[test]
fn unknown_policy_is_rejected() {
    let output = Command::new(env!("CARGO_BIN_EXE_bluebell-load"))
        .args(["fleet", "--policy", "fastest", "--out", "unused"])
        .output()
        .expect("run bluebell-load");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && stderr.contains("fastest"),
        "expected an error that names the policy: {stderr}"
    );
}
