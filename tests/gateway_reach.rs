//! Tests in virtual time on which way targets are reached, and through which other daemons.

use std::time::Duration;

use bluebelldrift::gateway::{MAX_SIBLINGS, ReachTable, Sibling, SiblingTable, Way};
use proptest::prelude::*;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a way through others that is taken because one target has crashed.
#[test]
fn one_failed_target_of_several_is_no_cut() {
    let mut reach = ReachTable::default();
    reach.record_failure("s", 1, at(1_000));
    assert!(!reach.is_suspected("s", 5, at(1_000)));
    assert!(reach.is_suspected("s", 1, at(1_000)));
    reach.record_failure("s", 2, at(1_100));
    assert!(reach.is_suspected("s", 5, at(1_100)));
    // One that is reached shows that the others have crashed.
    reach.record_success("s", 3, at(1_200));
    assert!(!reach.is_suspected("s", 5, at(1_200)));
    // Failures that are long apart say nothing.
    reach.record_failure("s", 1, at(2_000));
    reach.record_failure("s", 2, at(6_000));
    assert!(!reach.is_suspected("s", 5, at(6_000)));
}

/// Targets that fail for all daemons are no reason to go through others.
#[test]
fn targets_that_nobody_reaches_are_tried_directly() {
    let mut reach = ReachTable::default();
    for target in 0..5 {
        reach.record_failure("s", target, at(1_000));
    }
    assert_eq!(reach.way("s", 0, at(1_000)), Way::Direct);
    assert!(!reach.is_cut_off(at(5_000)));
}

#[test]
fn a_cut_lasts_until_a_target_is_reached_directly() {
    let mut reach = ReachTable::default();
    reach.record_success("other", 9, at(500));
    for target in [1, 2] {
        reach.record_failure("s", target, at(1_000));
    }
    assert!(reach.record_detour("s", 2, 5, at(1_100)));
    assert!(!reach.record_detour("s", 3, 5, at(1_200)));
    assert_eq!(reach.way("s", 4, at(60_000)), Way::Sibling);
    assert_eq!(reach.way("other", 9, at(60_000)), Way::Direct);
    assert_eq!(reach.cut_services().collect::<Vec<_>>(), ["s"]);
    assert!(!reach.is_cut_off(at(1_200)));
    assert!(reach.is_cut_off(at(1_500)));
    // The targets of another service are still reached.
    reach.record_success("other", 9, at(2_000));
    assert!(!reach.is_cut_off(at(2_000)));
    assert!(reach.record_success("s", 1, at(3_000)));
    assert_eq!(reach.way("s", 1, at(3_000)), Way::Direct);
}

/// Guards against targets that are never tried directly again while requests go on.
#[test]
fn targets_that_are_reached_through_others_under_load_are_tried_directly_again() {
    let mut reach = ReachTable::default();
    reach.record_failure("s", 1, at(1_000));
    reach.record_detour("s", 1, 5, at(1_000));
    let direct = (1_000..4_000).step_by(10).filter(|ms| {
        let way = reach.way("s", 1, at(*ms));
        if way == Way::Direct {
            reach.record_failure("s", 1, at(*ms));
            reach.record_detour("s", 1, 5, at(*ms));
        }
        way == Way::Direct
    });
    assert_eq!(direct.collect::<Vec<_>>(), [2_000, 3_000]);
}

/// A link to one target may be cut while those to others are not.
#[test]
fn a_single_target_that_others_reach_is_tried_directly_each_second() {
    let mut reach = ReachTable::default();
    reach.record_failure("s", 1, at(1_000));
    assert!(!reach.record_detour("s", 1, 5, at(1_100)));
    assert_eq!(reach.way("s", 1, at(2_000)), Way::Sibling);
    assert_eq!(reach.way("s", 2, at(2_000)), Way::Direct);
    assert_eq!(reach.way("s", 1, at(2_200)), Way::Direct);
    assert!(!reach.is_cut_off(at(2_000)));
}

fn siblings(zones: &[&str], per_zone: usize) -> Vec<Sibling> {
    let zone = |i: usize| zones[i % zones.len()];
    let all = (0..zones.len() * per_zone).map(|i| Sibling {
        name: format!("entry-{i}").into(),
        zone: zone(i).into(),
        address: ([127, 0, 0, 1], 7_215).into(),
    });
    all.collect()
}

proptest! {
    /// Guards against a request that is seen by a daemon in a region that may not see it, and
    /// against more daemons that are asked than the limit says.
    #[test]
    fn few_daemons_are_asked_and_only_allowed_ones(
        per_zone in 0_usize..20,
        bad in prop::collection::vec(0_usize..60, 0..40),
        good in prop::collection::vec(0_usize..60, 0..8),
        draws in prop::collection::vec(0.0_f64..1.0, 40),
    ) {
        let siblings = siblings(&["z1", "z2", "z3"], per_zone);
        let mut table = SiblingTable::default();
        for (i, opened) in bad.iter().map(|i| (i, false)).chain(good.iter().map(|i| (i, true))) {
            table.record(&format!("entry-{i}"), opened, at(1_000));
        }
        let mut draws = draws.into_iter().cycle();
        let draw = || draws.next().unwrap_or_default();
        let is_allowed = |zone: &str| zone != "z3";
        let chosen = table.candidates(&siblings, "z1", is_allowed, at(1_500), draw);
        prop_assert!(chosen.len() <= MAX_SIBLINGS);
        prop_assert!(chosen.iter().all(|s| *s.zone != *"z3"));
        let mut names: Vec<_> = chosen.iter().map(|s| &s.name).collect();
        names.sort_unstable();
        names.dedup();
        prop_assert_eq!(names.len(), chosen.len());
        prop_assert_eq!(chosen.is_empty(), per_zone == 0);
    }
}

/// Guards against callers of a zone that has lost its targets as a whole: its daemons ask those of
/// other zones too.
#[test]
fn daemons_of_more_than_one_zone_are_asked() {
    let siblings = siblings(&["z1", "z2"], 10);
    let mut table = SiblingTable::default();
    for _ in 0..100 {
        let chosen = table.candidates(&siblings, "z1", |_| true, at(1_000), rand::random);
        assert_eq!(chosen.len(), MAX_SIBLINGS);
        assert!(chosen.iter().any(|s| *s.zone == *"z1"));
        assert!(chosen.iter().any(|s| *s.zone == *"z2"));
    }
    // Those through which no target was reached are asked last.
    for i in (0..20).step_by(2) {
        table.record(&format!("entry-{i}"), false, at(1_000));
    }
    let chosen = table.candidates(&siblings, "z1", |_| true, at(1_100), rand::random);
    assert!(chosen.iter().all(|s| *s.zone == *"z2"));
    let later = table.candidates(&siblings, "z1", |_| true, at(3_100), rand::random);
    assert!(later.iter().any(|s| *s.zone == *"z1"));
}
