//! Tests how changes from the store alter the gateway's view of targets, zones and the
//! configuration; in particular, that a store outage does not remove healthy targets.

use std::{sync::Arc, time::Duration};

use bluebelldrift::gateway::{
    Change, ChangeLog, Config, FeedState, Fleet, ListProgress, Rollout, RolloutOrder, Target,
    Topic, cold_request_quota,
};
use proptest::prelude::*;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target(id: &str, is_draining: bool) -> Change {
    Change::Target(Target {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().expect("a socket address"),
        zone: "z".into(),
        slots: 8,
        is_draining,
        cold_for: Duration::ZERO,
    })
}

fn available_ids(fleet: &Fleet) -> Vec<&str> {
    fleet
        .available_targets("s")
        .map(|k| &*k.target.id)
        .collect()
}

/// Returns the state of a feed whose store was unavailable from 5 s until 10 s.
fn feed_restored_at_10_s() -> FeedState {
    let mut feed = FeedState::default();
    feed.record_success(at(1_000), at(1_000));
    feed.record_failure(at(5_000));
    feed.record_success(at(9_990), at(10_000));
    feed
}

#[test]
fn targets_whose_entries_expired_in_a_store_outage_stay_until_two_seconds_after_it() {
    let feed = feed_restored_at_10_s();
    let mut fleet = Fleet::default();
    fleet.apply(
        Topic::Targets,
        &[target("a", false), target("b", false)],
        &feed,
        at(1_000),
    );
    fleet.replace(Topic::Targets, &[target("b", false)], &feed, at(10_000));
    assert_eq!(available_ids(&fleet), ["a", "b"]);
    fleet.expire(at(11_900));
    assert_eq!(available_ids(&fleet), ["a", "b"]);
    fleet.expire(at(12_300));
    assert_eq!(available_ids(&fleet), ["b"]);
}

#[test]
fn an_entry_that_returns_within_the_grace_period_keeps_its_target() {
    let feed = feed_restored_at_10_s();
    let mut fleet = Fleet::default();
    fleet.apply(Topic::Targets, &[target("a", false)], &feed, at(1_000));
    fleet.replace(Topic::Targets, &[], &feed, at(10_000));
    fleet.apply(Topic::Targets, &[target("a", false)], &feed, at(11_000));
    fleet.expire(at(20_000));
    assert_eq!(available_ids(&fleet), ["a"]);
}

#[test]
fn a_target_whose_entry_is_removed_while_the_store_is_available_is_removed_at_once() {
    let mut feed = FeedState::default();
    feed.record_success(at(1_000), at(1_000));
    let mut fleet = Fleet::default();
    fleet.apply(Topic::Targets, &[target("a", false)], &feed, at(1_000));
    fleet.apply(
        Topic::Targets,
        &[Change::TargetGone("a".into())],
        &feed,
        at(2_000),
    );
    assert!(available_ids(&fleet).is_empty());
}

#[test]
fn a_leaving_target_has_no_grace_period_after_a_store_outage() {
    let feed = feed_restored_at_10_s();
    let mut fleet = Fleet::default();
    fleet.apply(Topic::Targets, &[target("a", true)], &feed, at(1_000));
    fleet.replace(Topic::Targets, &[], &feed, at(10_000));
    assert!(fleet.targets.is_empty());
}

#[test]
fn runs_are_resumed_at_a_leaving_target_for_half_of_the_drain_bound() {
    let feed = FeedState::default();
    let mut fleet = Fleet::default();
    fleet.apply(Topic::Targets, &[target("a", true)], &feed, at(1_000));
    let known = fleet.targets["a"].target.clone();
    assert!(!fleet.accepts_new_work(&known));
    assert!(fleet.accepts_resumed_runs(&known, at(3_000), at(2_400)));
    assert!(!fleet.accepts_resumed_runs(&known, at(3_000), at(2_600)));
    fleet.apply(
        Topic::Targets,
        &[Change::ZoneOut("z".into())],
        &feed,
        at(1_100),
    );
    assert!(!fleet.accepts_resumed_runs(&known, at(3_000), at(1_200)));
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
    fleet.apply(
        Topic::Targets,
        &[Change::Config(7, config(70))],
        &feed,
        at(1),
    );
    fleet.replace(
        Topic::Config,
        &[Change::Config(6, config(60))],
        &feed,
        at(2),
    );
    assert_eq!(fleet.config.as_ref().map(|c| c.version), Some(70));
}

#[test]
fn an_undecodable_entry_removes_only_its_own_target() {
    let feed = FeedState::default();
    let mut fleet = Fleet::default();
    fleet.apply(
        Topic::Targets,
        &[target("a", false), target("b", false)],
        &feed,
        at(1),
    );
    let unreadable = Change::Unreadable {
        name: "a".into(),
        reason: "a test".into(),
    };
    fleet.apply(Topic::Targets, &[unreadable], &feed, at(2));
    assert_eq!(available_ids(&fleet), ["b"]);
}

/// An entry that could not be decoded removed the target, and ended the rollout, of the same name.
#[test]
fn an_undecodable_entry_of_another_topic_removes_a_target() {
    let feed = FeedState::default();
    let rollout = Change::Rollout(Rollout {
        order: RolloutOrder {
            service: "a".into(),
            version: "v2".into(),
            time_limit: Duration::from_secs(9),
        },
        status: None,
        revision: 1,
    });
    let unreadable = Change::Unreadable {
        name: "a".into(),
        reason: "a test".into(),
    };
    for topic in Topic::followed(true) {
        let mut fleet = Fleet::default();
        fleet.apply(Topic::Targets, &[target("a", false)], &feed, at(1));
        fleet.apply(
            Topic::Rollouts,
            std::slice::from_ref(&rollout),
            &feed,
            at(1),
        );
        fleet.apply(topic, std::slice::from_ref(&unreadable), &feed, at(2));
        let has_target = !available_ids(&fleet).is_empty();
        assert_eq!(has_target, topic != Topic::Targets, "{topic}");
        let has_rollout = fleet.rollouts.contains_key("a");
        assert_eq!(has_rollout, topic != Topic::Rollouts, "{topic}");
    }
}

proptest! {
    #[test]
    fn a_change_log_returns_every_later_change(
        steps in proptest::collection::vec((1_u64..4, 0_usize..3), 1..200),
        known in 0_usize..200,
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
        let known = known as u64 % (revision + 1);
        if let Some(since) = log.since(known) {
            let since: Vec<_> = since.iter().map(|c| format!("{c:?}")).collect();
            let expected: Vec<_> =
                all.into_iter().filter(|(at, _)| *at > known).map(|(_, c)| c).collect();
            prop_assert_eq!(since, expected);
        } else {
            prop_assert!(known < revision);
        }
    }

    #[test]
    fn daemons_together_stay_within_the_limit_of_a_cold_target(
        daemons in 1_usize..120,
        limit in 4.0_f64..80.0,
        seed in 0_u32..1_000,
    ) {
        let target = format!("target-{seed}");
        let names: Vec<Box<str>> = (0..daemons).map(|i| Box::from(format!("entry-{i}"))).collect();
        // A tenth of the other daemons is missing from each daemon's list.
        let quotas = names.iter().enumerate().map(|(i, name)| {
            let listed = names.iter().enumerate().filter(|(j, _)| i == *j || (i + j) % 10 != 0);
            let listed: Vec<_> = listed.map(|(_, name)| name.clone()).collect();
            cold_request_quota(&target, name, limit, &listed)
        });
        let total: u32 = quotas.sum();
        prop_assert!(f64::from(total) <= limit, "{total} requests allowed, limit {limit}");
    }
}

fn version(id: &str, version: &str) -> Change {
    Change::TargetVersion(id.into(), version.into())
}

fn version_of(fleet: &Fleet, id: &str) -> Option<String> {
    let version = fleet.targets[id].version.as_deref();
    version.map(str::to_owned)
}

/// Guards against targets of a known version that count as targets without one, because their
/// entry was renewed.
#[test]
fn the_version_of_a_target_is_kept_until_another_one_is_stated() {
    let feed = FeedState::default();
    let mut fleet = Fleet::default();
    fleet.apply(Topic::Targets, &[version("a", "v1")], &feed, at(900));
    assert!(fleet.targets.is_empty());
    fleet.apply(
        Topic::Targets,
        &[target("a", false), version("a", "v1")],
        &feed,
        at(1_000),
    );
    fleet.apply(Topic::Targets, &[target("a", true)], &feed, at(2_000));
    assert_eq!(version_of(&fleet, "a").as_deref(), Some("v1"));
    fleet.apply(
        Topic::Targets,
        &[target("a", true), version("a", "v2")],
        &feed,
        at(3_000),
    );
    assert_eq!(version_of(&fleet, "a").as_deref(), Some("v2"));
}

/// Guards against versions that are forwarded with each renewal of an entry, and against
/// versions that other daemons never learn.
#[test]
fn only_versions_that_others_may_lack_are_forwarded() {
    let feed = FeedState::default();
    let mut fleet = Fleet::default();
    fleet.apply(
        Topic::Targets,
        &[target("a", false), version("a", "v1")],
        &feed,
        at(1_000),
    );
    let forwarded = |fleet: &Fleet, batch: &[Change]| {
        let mut changes = batch.to_vec();
        fleet.remove_known_versions(&mut changes);
        let versions = changes.iter();
        versions
            .filter(|c| matches!(c, Change::TargetVersion(..)))
            .count()
    };
    let renewed = [target("a", false), version("a", "v1")];
    assert_eq!(forwarded(&fleet, &renewed), 0);
    assert_eq!(
        forwarded(&fleet, &[target("a", false), version("a", "v2")]),
        1
    );
    assert_eq!(
        forwarded(&fleet, &[target("b", false), version("b", "v1")]),
        1
    );
    let removed = Change::TargetGone("a".into());
    let returned = [removed.clone(), target("a", false), version("a", "v1")];
    assert_eq!(forwarded(&fleet, &returned), 1);
    fleet.apply(
        Topic::Targets,
        &[removed],
        &feed_restored_at_10_s(),
        at(10_500),
    );
    assert!(fleet.targets["a"].removal_due_at.is_some());
    assert_eq!(forwarded(&fleet, &renewed), 1);
}

/// Guards against messages that daemons of the version before take for others: the encoding
/// begins with the position of the variant.
#[test]
fn topics_and_changes_keep_their_encoding() {
    let tag = |change: &Change| postcard::to_stdvec(change).expect("encode the change")[0];
    let zone = || "z".into();
    assert_eq!(tag(&target("a", false)), 2);
    assert_eq!(tag(&Change::ZoneBack(zone())), 5);
    let unreadable = Change::Unreadable {
        name: zone(),
        reason: zone(),
    };
    assert_eq!(tag(&unreadable), 6);
    assert_eq!(tag(&Change::RolloutGone(zone())), 8);
    assert_eq!(tag(&version("a", "v1")), 9);
    let without = [Topic::Config, Topic::Targets, Topic::Evacuations];
    assert_eq!(Topic::followed(false).collect::<Vec<_>>(), without);
    let with: Vec<_> = Topic::followed(true).collect();
    assert_eq!(postcard::to_stdvec(&with), Ok(vec![4, 0, 1, 2, 3]));
}

/// Guards against an endless read of a list, and against an end of a long one that advances.
#[test]
fn a_list_ends_with_an_error_only_without_progress() {
    let mut progress = ListProgress::default();
    for page in 0..10_000 {
        let name = format!("entry-{page}");
        progress.record_page(1, Some(&name)).expect("progress");
    }
    progress.record_page(1, None).expect("the last page");
    assert!(progress.record_page(1, Some("entry-7")).is_err());
    let mut progress = ListProgress::default();
    let pages = (0..1_000).map(|page| format!("entry-{page}"));
    let mut results = pages.map(|name| progress.record_page(500, Some(&name)));
    assert!(results.any(|result| result.is_err()));
}

/// The log kept each change of the last batches, and an answer with all of them was larger than
/// a message may be.
#[test]
fn a_change_log_keeps_any_number_of_changes() {
    let unreadable = |at: u64| Change::Unreadable {
        name: format!("odd-{at}").into(),
        reason: "a test".repeat(40).into(),
    };
    let mut log = ChangeLog::default();
    log.restart(1);
    for batch in 0..40 {
        let changes: Vec<_> = (0..2_000)
            .map(|at| unreadable(batch * 2_000 + at))
            .collect();
        log.push(batch + 2, &changes);
    }
    assert_eq!(log.revision(), 41);
    assert!(log.since(1).is_none(), "the first batch was dropped");
    let latest = log.since(40).expect("the last batch");
    assert_eq!(latest.len(), 2_000);
    for known in 1..41 {
        let kept = log.since(known).map_or(0, |changes| changes.len());
        assert!(kept <= 20_000, "{kept} changes");
    }
    // A batch that is too large by itself is not kept either.
    let changes: Vec<_> = (0..30_000).map(unreadable).collect();
    log.push(99, &changes);
    assert_eq!(log.revision(), 99);
    assert!(log.since(41).is_none());
    assert_eq!(log.since(99).map(|changes| changes.len()), Some(0));
}
