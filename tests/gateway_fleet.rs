//! What the gateway believes of targets, zones and the configuration.

use std::{sync::Arc, time::Duration};

use bluebelldrift::gateway::{
    Change, ChangeLog, Config, FeedState, Fleet, Target, Topic, cold_share,
};
use proptest::prelude::*;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target(id: &str, is_draining: bool) -> Change {
    Change::Target(Target {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".into(),
        slots: 8,
        is_draining,
        cold_for: Duration::ZERO,
    })
}

fn open_ids(fleet: &Fleet) -> Vec<&str> {
    fleet.open_targets("s").map(|k| &*k.target.id).collect()
}

/// A feed whose store was away and came back at 10 s.
fn back_at_10_s() -> FeedState {
    let mut feed = FeedState::default();
    feed.succeeded(at(1_000), at(1_000));
    feed.failed(at(5_000));
    feed.succeeded(at(9_990), at(10_000));
    feed
}

#[test]
fn entries_that_lapsed_with_the_store_stay_until_two_seconds_after_its_return() {
    let feed = back_at_10_s();
    let mut fleet = Fleet::default();
    fleet.apply(&[target("a", false), target("b", false)], &feed, at(1_000));
    fleet.replace(Topic::Targets, &[target("b", false)], &feed, at(10_000));
    assert_eq!(open_ids(&fleet), ["a", "b"]);
    fleet.expire(at(11_900));
    assert_eq!(open_ids(&fleet), ["a", "b"]);
    fleet.expire(at(12_300));
    assert_eq!(open_ids(&fleet), ["b"]);
}

#[test]
fn an_entry_that_comes_back_in_time_never_left() {
    let feed = back_at_10_s();
    let mut fleet = Fleet::default();
    fleet.apply(&[target("a", false)], &feed, at(1_000));
    fleet.replace(Topic::Targets, &[], &feed, at(10_000));
    fleet.apply(&[target("a", false)], &feed, at(11_000));
    fleet.expire(at(20_000));
    assert_eq!(open_ids(&fleet), ["a"]);
}

#[test]
fn an_entry_that_vanishes_while_the_store_is_well_is_gone() {
    let mut feed = FeedState::default();
    feed.succeeded(at(1_000), at(1_000));
    let mut fleet = Fleet::default();
    fleet.apply(&[target("a", false)], &feed, at(1_000));
    fleet.apply(&[Change::TargetGone("a".into())], &feed, at(2_000));
    assert!(open_ids(&fleet).is_empty());
}

#[test]
fn a_target_that_was_leaving_does_not_lapse() {
    let feed = back_at_10_s();
    let mut fleet = Fleet::default();
    fleet.apply(&[target("a", true)], &feed, at(1_000));
    fleet.replace(Topic::Targets, &[], &feed, at(10_000));
    assert!(fleet.targets.is_empty());
}

#[test]
fn runs_go_on_at_a_leaving_target_for_half_of_its_bound() {
    let feed = FeedState::default();
    let mut fleet = Fleet::default();
    fleet.apply(&[target("a", true)], &feed, at(1_000));
    let known = fleet.targets["a"].target.clone();
    assert!(!fleet.is_open(&known));
    assert!(fleet.takes_resumed(&known, at(3_000), at(2_400)));
    assert!(!fleet.takes_resumed(&known, at(3_000), at(2_600)));
    fleet.apply(&[Change::ZoneOut("z".into())], &feed, at(1_100));
    assert!(!fleet.takes_resumed(&known, at(3_000), at(1_200)));
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let feed = FeedState::default();
    let mut fleet = Fleet::default();
    let config = |version| {
        Arc::new(Config {
            version,
            ..Config::default()
        })
    };
    fleet.apply(&[Change::Config(7, config(70))], &feed, at(1));
    fleet.replace(
        Topic::Config,
        &[Change::Config(6, config(60))],
        &feed,
        at(2),
    );
    assert_eq!(fleet.config.as_ref().map(|c| c.version), Some(70));
}

#[test]
fn an_unreadable_entry_takes_only_its_own_target_out() {
    let feed = FeedState::default();
    let mut fleet = Fleet::default();
    fleet.apply(&[target("a", false), target("b", false)], &feed, at(1));
    let unreadable = Change::Unreadable {
        name: "a".into(),
        reason: "a test".into(),
    };
    fleet.apply(&[unreadable], &feed, at(2));
    assert_eq!(open_ids(&fleet), ["b"]);
}

proptest! {
    #[test]
    fn a_change_log_leaves_nothing_out(
        steps in proptest::collection::vec((1_u64..4, 0_usize..3), 1..200),
        have in 0_usize..200,
    ) {
        let mut log = ChangeLog::default();
        log.restart(1);
        let mut all = vec![];
        let mut revision = 1;
        for (step, changes) in &steps {
            revision += step;
            let changes: Vec<_> = (0..*changes)
                .map(|i| Change::TargetGone(format!("{revision}-{i}").into()))
                .collect();
            log.push(revision, &changes);
            all.extend(changes.into_iter().map(|c| (revision, format!("{c:?}"))));
        }
        let have = have as u64 % (revision + 1);
        if let Some(since) = log.since(have) {
            let since: Vec<_> = since.iter().map(|c| format!("{c:?}")).collect();
            let expected: Vec<_> =
                all.into_iter().filter(|(at, _)| *at > have).map(|(_, c)| c).collect();
            prop_assert_eq!(since, expected);
        } else {
            prop_assert!(have < revision);
        }
    }

    #[test]
    fn daemons_together_send_a_cold_target_no_more_than_it_bears(
        daemons in 1_usize..120,
        limit in 4.0_f64..80.0,
        seed in 0_u32..1_000,
    ) {
        let target = format!("target-{seed}");
        let names: Vec<Box<str>> = (0..daemons).map(|i| Box::from(format!("entry-{i}"))).collect();
        // Each daemon may not have heard of a tenth of the others.
        let shares = names.iter().enumerate().map(|(i, name)| {
            let known = names.iter().enumerate().filter(|(j, _)| i == *j || (i + j) % 10 != 0);
            let known: Vec<_> = known.map(|(_, name)| name.clone()).collect();
            cold_share(&target, name, limit, &known)
        });
        let total: u32 = shares.sum();
        prop_assert!(f64::from(total) <= limit, "{total} of {limit}");
    }
}
