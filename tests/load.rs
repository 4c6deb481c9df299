//! The load tool: the same seed gives the same traffic, and a run leaves its
//! figures behind.

use std::process::Command;

use bluebelldrift::{
    cli::{LoadCli, LoadCommand, TrafficArgs},
    load::{Planned, Sort, compare, draw, read},
};
use clap::Parser;

/// Customers in these tests.
const CUSTOMERS: usize = 10;

fn traffic(more: &[&str]) -> TrafficArgs {
    let mut words = vec!["bluebell-load", "fleet", "--out", "unused"];
    words.extend(more);
    match LoadCli::parse_from(words).command {
        LoadCommand::Fleet(args) => args.traffic,
        other => panic!("{other:?}"),
    }
}

fn count(planned: &[Planned], is_counted: impl Fn(&Planned) -> bool) -> usize {
    planned.iter().filter(|p| is_counted(p)).count()
}

#[test]
fn a_seed_fixes_the_traffic_and_another_changes_it() {
    let args = traffic(&["--rate", "50", "--duration", "20", "--seed", "7"]);
    let planned = draw(&args, CUSTOMERS);
    assert_eq!(planned, draw(&args, CUSTOMERS));
    let other = traffic(&["--rate", "50", "--duration", "20", "--seed", "8"]);
    assert_ne!(planned, draw(&other, CUSTOMERS));
}

#[test]
fn the_traffic_has_the_stated_shape() {
    let args = traffic(&["--rate", "500", "--duration", "20"]);
    let planned = draw(&args, CUSTOMERS);
    assert!(
        (9_000..11_000).contains(&planned.len()),
        "{}",
        planned.len()
    );
    assert!(planned.is_sorted_by_key(|p| p.at));
    let long = count(&planned, |p| p.sort == Sort::Long);
    assert!((2_700..3_300).contains(&long), "3 of 10: {long}");
    let heavy = count(&planned, |p| p.length > 10_000);
    assert!(heavy > 30, "a heavy tail: {heavy}");
    assert!(planned.iter().all(|p| p.length <= 40_000));
    let capped = |p: &Planned| p.max_tokens.is_some() == (p.sort == Sort::Short);
    assert!(planned.iter().all(capped));
    let (first, last) = (
        count(&planned, |p| p.customer == 0),
        count(&planned, |p| p.customer == CUSTOMERS - 1),
    );
    assert!(first > 6 * last, "a few are large: {first} {last}");
}

#[test]
fn a_run_is_whole_and_leaves_its_figures() {
    let folder = tempfile::tempdir().expect("a folder");
    let out = folder.path().join("run");
    let ran = Command::new(env!("CARGO_BIN_EXE_bluebell-load"))
        .args(["fleet", "--policy", "token_credits", "--engines", "1"])
        .args(["--rate", "15", "--duration", "2", "--time-scale", "10"])
        .args(["--length-scale", "50", "--kv-tokens", "20000", "--out"])
        .arg(&out)
        .output()
        .expect("it runs");
    assert!(ran.status.success(), "{ran:?}");
    let summary = read(&out).expect("a summary");
    let sorts = summary.whole.sorts.values();
    let (offered, whole) = sorts.fold((0, 0), |(o, w), e| (o + e.offered, w + e.whole));
    assert!(offered > 10);
    assert_eq!(offered, whole, "{:?}", summary.whole.sorts);
    for file in ["first_token_long.hdr", "first_token_short.hdr", "gap.hdr"] {
        let bytes = std::fs::read(out.join(file)).expect("a histogram");
        let mut reader = hdrhistogram::serialization::Deserializer::new();
        let read = reader.deserialize::<u64, _>(&mut bytes.as_slice());
        assert!(!read.expect("a valid one").is_empty(), "{file}");
    }
    let plot = std::fs::read_to_string(out.join("run.svg")).expect("a plot");
    assert!(plot.starts_with("<svg"));
    assert!(compare(&summary, &summary).contains("1.00"));
}

#[test]
fn an_unknown_policy_is_refused() {
    let ran = Command::new(env!("CARGO_BIN_EXE_bluebell-load"))
        .args(["fleet", "--policy", "fastest", "--out", "unused"])
        .output()
        .expect("it runs");
    let said = String::from_utf8_lossy(&ran.stderr);
    assert!(!ran.status.success() && said.contains("fastest"), "{said}");
}
