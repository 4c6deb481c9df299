//! Tests what one daemon makes of orders, versions, statuses and reports: which targets its
//! requests go to, and what it tells the store and other daemons.
#![allow(
    clippy::cast_precision_loss,
    reason = "numbers of requests in a test are small"
)]
#![allow(dead_code, reason = "the simulated fleet is used by other tests")]

#[path = "rollouts/fleet.rs"]
mod fleet;

use std::{collections::BTreeSet, time::Duration};

use bluebelldrift::gateway::{
    Capacity, Fleet, KnownTarget, OutcomeSums, OutcomeTable, Outcomes, Preference, ReportScope,
    ReportTo, Rollout, RolloutDecision, RolloutMoment, RolloutReport, RolloutState, RolloutStep,
    Rollouts, ShareCredit, Side, VerdictCause, VersionSend, VersionUse, revision_in_era,
    target_key,
};
use fleet::{NEW, OLD, SERVICE, at, order, settings, target};
use proptest::prelude::*;
use rustix::time::{ClockId, clock_gettime};

const ZONE: &str = "zone-1";

fn daemon(name: &str) -> Rollouts {
    Rollouts::new(Some(&settings()), name, ZONE)
}

/// A fleet with `count` targets of each version.
fn fleet_of(versions: &[&str], count: usize) -> Fleet {
    let mut fleet = Fleet {
        is_complete: true,
        ..Fleet::default()
    };
    for version in versions {
        for i in 0..count {
            let id = format!("{version}-{i}");
            let known = target(&id, version, ZONE);
            fleet.targets.insert(id.into(), known);
        }
    }
    fleet
}

fn with_order(mut fleet: Fleet, revision: u64, state: Option<(RolloutState, &str)>) -> Fleet {
    let rollout = Rollout {
        order: order(NEW, 12),
        status: state.map(|(state, version)| (state, version.into())),
        revision,
    };
    fleet.rollouts.insert(SERVICE.into(), rollout);
    fleet
}

/// Ticks a daemon five times a second.
fn tick(rollouts: &Rollouts, fleet: &Fleet, from_ms: u64, to_ms: u64) {
    for ms in (from_ms..=to_ms).step_by(200) {
        rollouts.tick(fleet, |_| false, at(ms));
    }
}

/// Returns the versions of the targets to which a request may go.
fn versions(rollouts: &Rollouts, fleet: &Fleet, offered: Option<f64>, ms: u64) -> BTreeSet<String> {
    let selected = select(rollouts, fleet, offered, ms);
    let versions = selected.iter().filter_map(|known| known.version.as_deref());
    versions.map(ToOwned::to_owned).collect()
}

fn select<'a>(
    rollouts: &Rollouts,
    fleet: &'a Fleet,
    offered: Option<f64>,
    ms: u64,
) -> Vec<&'a KnownTarget> {
    let available = fleet.available_targets(SERVICE).collect();
    let versions = rollouts.version_use(SERVICE, offered, at(ms));
    versions.select(available, |_| true)
}

fn set(versions: &[&str]) -> BTreeSet<String> {
    versions.iter().map(|v| (*v).to_owned()).collect()
}

fn send(version: &str) -> VersionSend<'_> {
    VersionSend {
        service: SERVICE,
        version: Some(version),
        route: 1,
        zone: 2,
        target: 3,
        objective: Duration::from_millis(300),
        is_comparable: true,
    }
}

fn decision(rollouts: &Rollouts, fleet: &Fleet, ms: u64) -> RolloutDecision {
    rollouts.decisions(fleet, at(ms))[0].1
}

/// Counts responses of a version, of which the first `bad` are bad.
fn respond(rollouts: &Rollouts, version: &str, all: usize, bad: usize, ms: u64) {
    for i in 0..all {
        let mut meter = rollouts.start(&send(version), at(ms)).expect("a meter");
        meter.record_response(i < bad, at(ms + 20));
    }
}

/// Requests of 1,200 per second from many daemons: some have fewer than one for each request
/// of the canary.
#[test]
fn the_share_is_kept_by_each_daemon_and_in_the_sum() {
    for (daemons, requests) in [(58, 200), (340, 3), (340, 40)] {
        let mut random = 0.0;
        let mut taken = 0;
        for i in 0..daemons {
            let mut credit = ShareCredit::new(&format!("daemon-{i}"), 7);
            let mut own = 0;
            for _ in 0..requests {
                random = (random + 0.618_034) % 1.0;
                if credit.offer(0.08, random) {
                    credit.record_send();
                    own += 1;
                }
            }
            assert!(f64::from(own) <= 0.08 * f64::from(requests) + 1.0);
            taken += own;
        }
        let share = f64::from(taken) / f64::from(daemons * requests);
        assert!(
            (0.05..0.1).contains(&share),
            "{daemons} {requests}: {share}"
        );
    }
}

#[test]
fn a_target_that_was_away_does_not_get_all_requests_at_once_that_it_missed() {
    let mut credit = ShareCredit::new("daemon-1", 7);
    for _ in 0..1_000 {
        credit.offer(0.08, 0.9);
    }
    let mut taken = 0;
    while credit.offer(0.08, 0.0) {
        credit.record_send();
        taken += 1;
    }
    assert!(taken <= 2, "{taken}");
}

/// Requests that alternate between two routes.
#[test]
fn each_route_gets_its_share_of_a_regular_pattern() {
    let mut credit = ShareCredit::new("daemon-1", 7);
    let mut taken = [0; 2];
    let mut random = 0.0;
    for i in 0..4_000 {
        random = (random + 0.618_034) % 1.0;
        if credit.offer(0.25, random) {
            credit.record_send();
            taken[i % 2] += 1;
        }
    }
    assert!(taken.iter().all(|count| *count > 300), "{taken:?}");
}

#[test]
fn all_daemons_choose_the_same_few_targets_for_the_canary() {
    let fleet = fleet_of(&[OLD, NEW], 30);
    let few = VersionUse {
        excluded: Vec::new(),
        order: Some((NEW.into(), Preference::Few(0.08))),
    };
    let ids = |targets: Vec<&KnownTarget>| -> Vec<String> {
        targets.iter().map(|k| k.target.id.to_string()).collect()
    };
    let first = ids(few.select(fleet.available_targets(SERVICE).collect(), |_| true));
    // 0.08 of 30 targets.
    assert_eq!(first.len(), 3);
    let mut reversed: Vec<_> = fleet.available_targets(SERVICE).collect();
    reversed.reverse();
    assert_eq!(ids(few.select(reversed, |_| true)), first);
    // One that takes no requests is replaced by the next.
    let mut others: Vec<_> = fleet.available_targets(SERVICE).collect();
    others.retain(|known| *known.target.id != *first[0]);
    let others = ids(few.select(others, |_| true));
    assert_eq!(others.len(), 3);
    assert_eq!(others[..2], first[1..]);
}

#[test]
fn nothing_is_counted_or_changed_without_the_setting() {
    let rollouts = Rollouts::new(None, "daemon-1", ZONE);
    let fleet = with_order(fleet_of(&[OLD, NEW], 2), 10, None);
    tick(&rollouts, &fleet, 0, 2_000);
    assert!(rollouts.start(&send(NEW), at(2_000)).is_none());
    assert!(rollouts.reports(true, at(2_000)).is_empty());
    assert!(rollouts.decisions(&fleet, at(2_000)).is_empty());
    assert_eq!(select(&rollouts, &fleet, Some(0.0), 2_000).len(), 4);
}

#[test]
fn a_service_without_an_order_is_served_by_all_targets() {
    let rollouts = daemon("daemon-1");
    let fleet = fleet_of(&[OLD, NEW], 2);
    tick(&rollouts, &fleet, 0, 400);
    // Both were there when the daemon started.
    assert_eq!(
        versions(&rollouts, &fleet, Some(0.0), 400),
        set(&[OLD, NEW])
    );
    assert!(rollouts.start(&send(NEW), at(400)).is_none());
    assert!(rollouts.reports(true, at(400)).is_empty());
}

#[test]
fn a_version_that_appears_without_an_order_gets_nothing_for_three_seconds() {
    let rollouts = daemon("daemon-1");
    tick(&rollouts, &fleet_of(&[OLD], 2), 0, 1_000);
    let fleet = fleet_of(&[OLD, NEW], 2);
    rollouts.observe(&fleet, at(1_100));
    for ms in (1_200..4_000).step_by(200) {
        rollouts.tick(&fleet, |_| false, at(ms));
        assert_eq!(versions(&rollouts, &fleet, Some(0.0), ms), set(&[OLD]));
        assert_eq!(versions(&rollouts, &fleet, None, ms), set(&[OLD]));
    }
    tick(&rollouts, &fleet, 4_000, 4_200);
    assert_eq!(
        versions(&rollouts, &fleet, Some(0.0), 4_200),
        set(&[OLD, NEW])
    );
}

/// The version of a target may be read after the target.
#[test]
fn a_target_without_a_version_beside_others_gets_nothing_for_three_seconds() {
    let rollouts = daemon("daemon-1");
    tick(&rollouts, &fleet_of(&[OLD], 2), 0, 1_000);
    let mut fleet = fleet_of(&[OLD, NEW], 2);
    for known in fleet.targets.values_mut() {
        if known.version.as_deref() == Some(NEW) {
            known.version = None;
        }
    }
    rollouts.observe(&fleet, at(1_100));
    assert_eq!(select(&rollouts, &fleet, Some(0.0), 1_100).len(), 2);
    tick(&rollouts, &fleet, 1_200, 4_200);
    assert_eq!(select(&rollouts, &fleet, Some(0.0), 4_200).len(), 4);
}

/// Without another version there is nothing else to use.
#[test]
fn the_only_version_of_a_service_is_used_at_once() {
    let rollouts = daemon("daemon-1");
    tick(&rollouts, &fleet_of(&[], 0), 0, 1_000);
    let fleet = fleet_of(&[NEW], 2);
    rollouts.observe(&fleet, at(1_100));
    assert_eq!(versions(&rollouts, &fleet, Some(0.0), 1_100), set(&[NEW]));
}

#[test]
fn further_sends_of_a_request_do_not_go_to_the_canary() {
    let rollouts = daemon("daemon-1");
    let fleet = with_order(fleet_of(&[OLD, NEW], 4), 10, None);
    tick(&rollouts, &fleet, 0, 1_000);
    let mut to_new = 0;
    for _ in 0..100 {
        assert_eq!(versions(&rollouts, &fleet, None, 1_000), set(&[OLD]));
        if versions(&rollouts, &fleet, Some(0.0), 1_000) == set(&[NEW]) {
            to_new += 1;
            drop(rollouts.start(&send(NEW), at(1_000)));
        }
    }
    assert!((7..=9).contains(&to_new), "{to_new}");
}

/// The old targets may all be gone for a moment; a version that is not judged yet does not
/// get their requests.
#[test]
fn the_canary_does_not_replace_old_targets_that_are_gone() {
    let rollouts = daemon("daemon-1");
    let fleet = with_order(fleet_of(&[OLD, NEW], 4), 10, None);
    tick(&rollouts, &fleet, 0, 1_000);
    let new_only = with_order(fleet_of(&[NEW], 4), 10, None);
    assert!(select(&rollouts, &new_only, None, 1_000).is_empty());
}

#[test]
fn a_daemon_that_finds_a_final_status_keeps_to_it() {
    let fleet = fleet_of(&[OLD, NEW], 2);
    let completed = with_order(fleet.clone(), 12, Some((RolloutState::Completed, NEW)));
    let rollouts = daemon("daemon-1");
    tick(&rollouts, &completed, 0, 1_000);
    for offered in [Some(0.0), None] {
        assert_eq!(versions(&rollouts, &completed, offered, 1_000), set(&[NEW]));
    }
    assert_eq!(
        decision(&rollouts, &completed, 1_000),
        RolloutDecision::Complete
    );
    let rolled_back = with_order(fleet, 12, Some((RolloutState::RolledBack, NEW)));
    let rollouts = daemon("daemon-1");
    tick(&rollouts, &rolled_back, 0, 30_000);
    for offered in [Some(0.0), None] {
        assert_eq!(
            versions(&rollouts, &rolled_back, offered, 30_000),
            set(&[OLD])
        );
    }
    assert_eq!(
        decision(&rollouts, &rolled_back, 30_000),
        RolloutDecision::RollBack
    );
    assert!(rollouts.reports(true, at(30_000)).is_empty());
}

#[test]
fn a_version_that_was_rolled_back_gets_nothing_during_the_next_order() {
    let rollouts = daemon("daemon-1");
    let fleet = fleet_of(&[OLD, NEW, "v3"], 2);
    let mut next = with_order(fleet, 20, Some((RolloutState::RolledBack, NEW)));
    if let Some(rollout) = next.rollouts.get_mut(SERVICE) {
        rollout.order.version = "v3".into();
    }
    tick(&rollouts, &next, 0, 1_000);
    assert_eq!(versions(&rollouts, &next, None, 1_000), set(&[OLD]));
    assert!(matches!(
        decision(&rollouts, &next, 1_000),
        RolloutDecision::Running { .. }
    ));
}

#[test]
fn a_verdict_survives_a_store_that_has_lost_the_status() {
    let rollouts = daemon("daemon-1");
    let fleet = fleet_of(&[OLD, NEW], 2);
    let rolled_back = with_order(fleet.clone(), 12, Some((RolloutState::RolledBack, NEW)));
    tick(&rollouts, &rolled_back, 0, 1_000);
    let revision = revision_in_era(1, 10).expect("a revision");
    let restored = with_order(fleet, revision, None);
    tick(&rollouts, &restored, 1_200, 2_000);
    assert_eq!(
        decision(&rollouts, &restored, 2_000),
        RolloutDecision::RollBack
    );
    assert_eq!(
        versions(&rollouts, &restored, Some(0.0), 2_000),
        set(&[OLD])
    );
}

#[test]
fn an_order_that_is_written_again_starts_over() {
    let rollouts = daemon("daemon-1");
    let fleet = fleet_of(&[OLD, NEW], 2);
    let rolled_back = with_order(fleet.clone(), 12, Some((RolloutState::RolledBack, NEW)));
    tick(&rollouts, &rolled_back, 0, 1_000);
    let again = with_order(fleet, 20, None);
    tick(&rollouts, &again, 1_200, 2_000);
    let now = decision(&rollouts, &again, 2_000);
    assert!(matches!(now, RolloutDecision::Running { share } if share > 0.0));
}

#[test]
fn the_evidence_is_kept_when_the_status_is_written() {
    let rollouts = daemon("daemon-1");
    let fleet = fleet_of(&[OLD, NEW], 2);
    let ordered = with_order(fleet.clone(), 10, None);
    tick(&rollouts, &ordered, 0, 200);
    respond(&rollouts, NEW, 3, 0, 300);
    let running = with_order(fleet, 11, Some((RolloutState::Running, NEW)));
    tick(&rollouts, &running, 400, 800);
    let sums = rollouts.sums(SERVICE).expect("an order");
    assert_eq!(sums.total(Side::New).responses, 3);
}

/// The response to a request of an earlier order says nothing of the present one.
#[test]
fn responses_to_requests_of_an_earlier_order_are_not_counted() {
    let rollouts = daemon("daemon-1");
    let fleet = fleet_of(&[OLD, NEW], 2);
    tick(&rollouts, &with_order(fleet.clone(), 10, None), 0, 200);
    let mut meter = rollouts.start(&send(NEW), at(200)).expect("a meter");
    tick(&rollouts, &fleet, 400, 400);
    tick(&rollouts, &with_order(fleet, 20, None), 600, 600);
    meter.record_response(true, at(700));
    let sums = rollouts.sums(SERVICE).expect("an order");
    assert_eq!(sums, OutcomeSums::default());
}

#[test]
fn a_stream_that_breaks_is_one_bad_response_and_one_that_its_caller_ends_is_none() {
    let rollouts = daemon("daemon-1");
    let fleet = with_order(fleet_of(&[OLD, NEW], 2), 10, None);
    tick(&rollouts, &fleet, 0, 200);
    let total = || rollouts.sums(SERVICE).expect("an order").total(Side::New);
    let mut meter = rollouts.start(&send(NEW), at(200)).expect("a meter");
    meter.record_first_event(at(250));
    meter.record_first_event(at(260));
    assert_eq!(
        total(),
        Outcomes {
            responses: 1,
            bad: 0
        }
    );
    meter.record_broken();
    meter.record_broken();
    assert_eq!(
        total(),
        Outcomes {
            responses: 1,
            bad: 1
        }
    );
    drop(rollouts.start(&send(NEW), at(300)));
    assert_eq!(
        total(),
        Outcomes {
            responses: 1,
            bad: 1
        }
    );
    let mut meter = rollouts.start(&send(NEW), at(300)).expect("a meter");
    meter.record_broken();
    assert_eq!(
        total(),
        Outcomes {
            responses: 2,
            bad: 2
        }
    );
}

/// A version that hangs would otherwise look unused where deadlines are short.
#[test]
fn a_request_that_a_deadline_ends_counts_in_the_times_if_it_was_late() {
    let rollouts = daemon("daemon-1");
    let fleet = with_order(fleet_of(&[OLD, NEW], 2), 10, None);
    tick(&rollouts, &fleet, 0, 200);
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).expect("seconds since boot");
    let now = Duration::from_secs(secs + 1);
    drop(rollouts.start(&send(NEW), now.saturating_sub(Duration::from_millis(1_900))));
    drop(rollouts.start(&send(NEW), now));
    let sums = rollouts.sums(SERVICE).expect("an order");
    assert_eq!(sums.total(Side::New), Outcomes::default());
    let times = sums
        .routes
        .iter()
        .map(|(_, [_, new])| new.times.iter().sum::<u32>());
    assert_eq!(times.sum::<u32>(), 1);
}

fn report_of(rollouts: &Rollouts, leads: bool, ms: u64) -> RolloutReport {
    let reports = rollouts.reports(leads, at(ms));
    reports.first().expect("a report").1.clone()
}

#[test]
fn reports_that_are_repeated_or_late_change_nothing() {
    let (leader, other) = (daemon("leader"), daemon("other"));
    let fleet = with_order(fleet_of(&[OLD, NEW], 2), 10, None);
    for rollouts in [&leader, &other] {
        tick(rollouts, &fleet, 0, 200);
    }
    respond(&other, NEW, 2, 0, 300);
    let early = report_of(&other, false, 400);
    respond(&other, NEW, 5, 0, 500);
    let late = report_of(&other, false, 1_500);
    for report in [&late, &early, &late, &early] {
        let _ = leader.merge(std::slice::from_ref(report), ("other", 1), ZONE, at(1_600));
    }
    let total = |rollouts: &Rollouts| {
        let sums = rollouts.sums(SERVICE).expect("an order");
        sums.total(Side::New).responses
    };
    assert_eq!(total(&leader), 7);
    // The daemon restarts and counts from zero.
    let restarted = daemon("other");
    tick(&restarted, &fleet, 1_600, 1_800);
    respond(&restarted, NEW, 1, 0, 1_900);
    let report = report_of(&restarted, false, 3_000);
    let _ = leader.merge(&[report], ("other", 2), ZONE, at(3_000));
    assert_eq!(total(&leader), 8);
}

#[test]
fn a_daemon_that_starts_learns_the_age_the_step_and_the_verdict_from_others() {
    let fleet = with_order(fleet_of(&[OLD, NEW], 2), 10, None);
    let leader = daemon("leader");
    tick(&leader, &fleet, 0, 200);
    respond(&leader, OLD, 200, 0, 300);
    respond(&leader, NEW, 30, 0, 300);
    tick(&leader, &fleet, 400, 5_000);
    let running = with_order(
        fleet_of(&[OLD, NEW], 2),
        11,
        Some((RolloutState::Running, NEW)),
    );
    // It knows the object at a later revision than the leader.
    tick(&leader, &running, 5_200, 5_400);
    let started = daemon("started");
    tick(&started, &running, 5_000, 5_400);
    let report = report_of(&started, false, 5_400);
    assert_eq!(report.step, RolloutStep::Canary);
    let is_behind = leader.merge(&[report], ("started", 1), ZONE, at(5_400));
    assert!(is_behind);
    let _ = started.merge(&leader.news(at(5_400)), ("leader", 1), ZONE, at(5_400));
    let report = report_of(&started, false, 6_500);
    assert!(report.step > RolloutStep::Canary && report.age_ms >= 5_000);
    let is_behind = leader.merge(&[report], ("started", 1), ZONE, at(6_500));
    assert!(!is_behind);
}

#[test]
fn a_verdict_is_sent_to_all_three_times_and_reaches_those_that_missed_it() {
    let fleet = with_order(fleet_of(&[OLD, NEW], 2), 10, None);
    let (first, other) = (daemon("first"), daemon("other"));
    for rollouts in [&first, &other] {
        tick(rollouts, &fleet, 0, 1_000);
    }
    respond(&first, OLD, 100, 0, 1_000);
    respond(&first, NEW, 10, 10, 1_000);
    let mut to_all = Vec::new();
    for ms in (1_200..3_000).step_by(200) {
        first.tick(&fleet, |_| false, at(ms));
        let reports = first.reports(false, at(ms));
        let news = reports.into_iter().filter(|(to, _)| *to == ReportTo::All);
        to_all.extend(news.map(|(_, report)| report));
    }
    assert_eq!(to_all.len(), 3);
    assert!(to_all.iter().all(|report| report.verdict.is_some()));
    assert_eq!(decision(&first, &fleet, 3_000), RolloutDecision::RollBack);
    let report = report_of(&other, false, 3_000);
    assert!(first.merge(&[report], ("other", 1), ZONE, at(3_000)));
    let _ = other.merge(&first.news(at(3_000)), ("first", 1), ZONE, at(3_000));
    assert_eq!(decision(&other, &fleet, 3_000), RolloutDecision::RollBack);
}

#[test]
fn a_report_about_another_order_is_ignored() {
    let fleet = fleet_of(&[OLD, NEW], 2);
    let (old, new) = (daemon("old"), daemon("new"));
    tick(&old, &with_order(fleet.clone(), 10, None), 0, 1_000);
    respond(&old, OLD, 100, 0, 1_000);
    respond(&old, NEW, 10, 10, 1_000);
    tick(&old, &with_order(fleet.clone(), 10, None), 1_200, 2_000);
    // The same order was removed and written again.
    let again = with_order(fleet, 20, None);
    tick(&new, &again, 0, 2_000);
    let _ = new.merge(&old.news(at(2_000)), ("old", 1), ZONE, at(2_000));
    assert!(matches!(
        decision(&new, &again, 2_000),
        RolloutDecision::Running { .. }
    ));
}

#[test]
fn a_daemon_that_stood_still_uses_the_old_version_until_it_has_heard_from_others() {
    let rollouts = daemon("daemon-1");
    let fleet = with_order(fleet_of(&[OLD, NEW], 2), 10, None);
    tick(&rollouts, &fleet, 0, 1_000);
    let may_use_new = |ms| {
        let mut offers = (0..100).map(|_| rollouts.version_use(SERVICE, Some(0.0), at(ms)));
        offers.any(|versions| {
            matches!(versions.order, Some((_, preference)) if preference != Preference::Old)
        })
    };
    assert!(may_use_new(1_000));
    assert!(!may_use_new(4_000));
    rollouts.tick(&fleet, |_| false, at(4_100));
    assert!(!may_use_new(4_200));
    tick(&rollouts, &fleet, 4_200, 6_000);
    assert!(may_use_new(6_000));
}

fn moment(sums: &OutcomeSums) -> RolloutMoment<'_> {
    RolloutMoment {
        age: Duration::from_secs(3),
        time_limit: Duration::from_secs(12),
        step: RolloutStep::Canary,
        step_age: Duration::from_secs(3),
        ready_for: Duration::from_secs(3),
        old_idle_for: Duration::ZERO,
        capacity: Capacity {
            old_slots: 100,
            new_slots: 100,
        },
        sums,
    }
}

#[test]
fn the_share_does_not_exceed_the_capacity_of_the_new_targets() {
    let sums = OutcomeSums::default();
    let at_capacity = |step, new_slots| RolloutMoment {
        step,
        step_age: Duration::from_secs(3),
        old_idle_for: Duration::from_secs(3),
        capacity: Capacity {
            old_slots: 100,
            new_slots,
        },
        ..moment(&sums)
    };
    let share = |step, slots| at_capacity(step, slots).share(0.1);
    assert!((share(RolloutStep::Canary, 100) - 0.08).abs() < 1e-9);
    assert!((share(RolloutStep::Canary, 0)).abs() < 1e-9);
    assert!((share(RolloutStep::All, 60) - 0.6).abs() < 1e-9);
    assert!(!at_capacity(RolloutStep::All, 60).is_complete());
    assert!((share(RolloutStep::All, 80) - 1.0).abs() < 1e-9);
    assert!(at_capacity(RolloutStep::All, 80).is_complete());
}

#[test]
fn work_at_old_targets_is_waited_for_and_in_the_end_moved() {
    let sums = OutcomeSums::default();
    let at_age = |age_s: u64| RolloutMoment {
        age: Duration::from_secs(age_s),
        step: RolloutStep::All,
        ..moment(&sums)
    };
    assert!(!at_age(8).is_complete());
    assert!(!at_age(8).moves_runs());
    assert!(at_age(9).moves_runs());
    assert!(!at_age(10).is_complete());
    assert!(at_age(11).is_complete());
}

#[test]
fn a_version_that_answers_nothing_is_bad_in_the_end() {
    let mut sums = OutcomeSums::default();
    for _ in 0..50 {
        sums.record_send(Side::New);
        sums.record_response(
            Side::Old,
            1,
            2,
            3,
            Outcomes {
                responses: 1,
                bad: 0,
            },
        );
    }
    let at_age = |age_s: u64| RolloutMoment {
        age: Duration::from_secs(age_s),
        ..moment(&sums)
    };
    assert_eq!(at_age(7).next_step(), RolloutStep::Canary);
    assert!(at_age(7).verdict().is_none());
    let verdict = at_age(9).verdict().expect("a verdict");
    assert_eq!(verdict.cause, VerdictCause::NoAnswers);
}

/// Few requests reach a service: no evidence can be collected.
#[test]
fn a_version_without_traffic_goes_on_when_half_of_the_time_has_passed() {
    let sums = OutcomeSums::default();
    let at_age = |age_s: u64| RolloutMoment {
        age: Duration::from_secs(age_s),
        ..moment(&sums)
    };
    assert_eq!(at_age(5).next_step(), RolloutStep::Canary);
    assert_eq!(at_age(6).next_step(), RolloutStep::Quarter);
}

#[test]
fn fifty_bad_responses_suffice_where_the_old_version_has_few() {
    let with_bad = |old: u32, new: u32| {
        let mut sums = OutcomeSums::default();
        for (side, bad) in [(Side::Old, old), (Side::New, new)] {
            let responses = 20_000;
            sums.record_response(side, 1, 2, 3, Outcomes { responses, bad });
        }
        moment(&sums).verdict().map(|verdict| verdict.cause)
    };
    assert_eq!(with_bad(5, 50), Some(VerdictCause::BadResponses));
    assert_eq!(with_bad(5, 20), None);
    assert_eq!(with_bad(50, 50), None);
}

#[test]
fn one_target_that_fails_among_others_is_no_bad_version() {
    let cause = |bad_targets: &[u32]| {
        let mut sums = OutcomeSums::default();
        for target in 0..3 {
            let bad = if bad_targets.contains(&target) { 10 } else { 0 };
            let responses = 30;
            sums.record_response(Side::New, 1, 2, target, Outcomes { responses, bad });
        }
        let (responses, bad) = (1_000, 0);
        sums.record_response(Side::Old, 1, 2, 9, Outcomes { responses, bad });
        moment(&sums).verdict().map(|verdict| verdict.cause)
    };
    assert_eq!(cause(&[1]), None);
    assert_eq!(cause(&[1, 2]), Some(VerdictCause::BadResponses));
}

proptest! {
    /// Reports arrive in any order and number.
    #[test]
    fn the_sum_does_not_depend_on_the_order_of_reports(
        order in proptest::collection::vec((0usize..4, 0usize..5), 1..60),
    ) {
        let mut grown = vec![vec![OutcomeSums::default()]; 4];
        for (source, states) in grown.iter_mut().enumerate() {
            for i in 0..4 {
                let mut next = states[i].clone();
                next.record_send(Side::New);
                let bad = u32::from(i % 2 == 0);
                let route = u32::try_from(source).unwrap_or_default();
                next.record_response(Side::New, route, 2, 3, Outcomes { responses: 1, bad });
                next.record_time(Side::New, route, Duration::from_millis(20));
                states.push(next);
            }
        }
        let mut table = OutcomeTable::default();
        let mut newest = [0; 4];
        for (source, state) in order {
            newest[source] = newest[source].max(state);
            let name = target_key(&format!("daemon-{source}"));
            table.merge(ReportScope::Daemon, (name, 1), 5, &grown[source][state]);
        }
        let total = table.total();
        let expected: usize = newest.iter().sum();
        prop_assert_eq!(total.total(Side::New).responses as usize, expected);
        prop_assert_eq!(total.sends[1] as usize, expected);
        let bad: usize = newest.iter().map(|state| state.div_ceil(2)).sum();
        prop_assert_eq!(total.total(Side::New).bad as usize, bad);
    }

    /// Two versions that behave alike are not told apart by chance.
    #[test]
    fn the_same_share_of_bad_responses_is_no_verdict(
        all_old in 200u32..20_000,
        part in 0.01f64..0.3,
        share in 0.0f64..0.5,
    ) {
        let mut sums = OutcomeSums::default();
        for (side, all) in [(Side::Old, 1.0), (Side::New, part)] {
            let all = f64::from(all_old) * all;
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small")]
            let (responses, bad) = (all as u32, (all * share) as u32);
            sums.record_response(side, 1, 2, 3, Outcomes { responses, bad });
        }
        prop_assert_eq!(moment(&sums).verdict(), None);
    }
}
