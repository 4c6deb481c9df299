//! Tests rollouts of good and bad versions in fleets of 58 and of 340 simulated daemons: a bad
//! version gets few requests, summed over all daemons, and is rolled back; a good one is
//! completed in spite of other failures.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and times of a simulation are small"
)]

#[path = "rollouts/fleet.rs"]
mod fleet;

use bluebelldrift::gateway::RolloutState;
use fleet::{Outcome, Scenario, Simulation, Visit, good};

const SIZES: [usize; 2] = [58, 340];

/// Runs a scenario with both numbers of daemons.
fn run_both(make: impl Fn(usize) -> Scenario) -> Vec<Outcome> {
    let run = |daemons| {
        let outcome = Simulation::run(make(daemons));
        println!("daemons={daemons} {outcome:?}");
        outcome
    };
    SIZES.into_iter().map(run).collect()
}

fn assert_rolled_back(make: impl Fn(usize) -> Scenario) {
    for outcome in run_both(make) {
        assert_eq!(outcome.state, Some(RolloutState::RolledBack), "{outcome:?}");
        outcome.check_bounds();
    }
}

fn assert_completed(make: impl Fn(usize) -> Scenario) {
    for outcome in run_both(make) {
        assert_eq!(outcome.state, Some(RolloutState::Completed), "{outcome:?}");
        assert!(outcome.final_at < 12.0, "{outcome:?}");
    }
}

fn fails(visit: Visit, share: f64) -> (f64, bool) {
    (1.0, visit.is_new && visit.random < share)
}

#[test]
fn a_good_version_is_completed_well_before_the_limit_without_a_cut() {
    for outcome in run_both(|daemons| Scenario::new(daemons, good)) {
        assert_eq!(outcome.state, Some(RolloutState::Completed));
        assert!(outcome.final_at < 0.75 * 12.0, "{outcome:?}");
        assert_eq!(outcome.cut_by_completion, 0);
        assert_eq!(outcome.unplaced, 0);
        // All control traffic of a daemon may take 6 KB/s.
        let per_second = outcome.most_bytes as f64 / outcome.final_at;
        assert!(per_second < 4_000.0, "{per_second} bytes per second");
    }
}

#[test]
fn a_version_that_is_bad_at_once_is_rolled_back() {
    assert_rolled_back(|daemons| Scenario::new(daemons, |visit| fails(visit, 0.3)));
}

#[test]
fn a_version_of_which_every_response_fails_is_rolled_back() {
    assert_rolled_back(|daemons| Scenario::new(daemons, |visit| fails(visit, 1.0)));
}

#[test]
fn a_version_that_becomes_bad_late_in_the_canary_phase_is_rolled_back() {
    let behaviour = |visit: Visit| fails(visit, if visit.t > 3.0 { 0.5 } else { 0.0 });
    assert_rolled_back(|daemons| Scenario::new(daemons, behaviour));
}

#[test]
fn a_version_that_becomes_bad_as_its_share_grows_is_rolled_back() {
    let behaviour = |visit: Visit| fails(visit, if visit.t > 4.3 { 0.5 } else { 0.0 });
    assert_rolled_back(|daemons| Scenario::new(daemons, behaviour));
}

#[test]
fn a_version_that_is_bad_only_under_load_is_rolled_back() {
    let behaviour = |visit: Visit| {
        let is_loaded = visit.running >= 2;
        fails(visit, if is_loaded { 0.6 } else { 0.0 })
    };
    assert_rolled_back(|daemons| Scenario::new(daemons, behaviour));
}

#[test]
fn a_version_that_is_bad_on_one_route_is_rolled_back() {
    let behaviour = |visit: Visit| fails(visit, if visit.route == 1 { 0.4 } else { 0.0 });
    assert_rolled_back(|daemons| Scenario::new(daemons, behaviour));
}

#[test]
fn a_version_that_takes_four_times_as_long_is_rolled_back() {
    let behaviour = |visit: Visit| (if visit.is_new { 4.0 } else { 1.0 }, false);
    assert_rolled_back(|daemons| Scenario::new(daemons, behaviour));
}

#[test]
fn a_version_that_is_slow_on_one_route_is_rolled_back() {
    let behaviour = |visit: Visit| {
        let is_slow = visit.is_new && visit.route == 2;
        (if is_slow { 5.0 } else { 1.0 }, false)
    };
    assert_rolled_back(|daemons| Scenario::new(daemons, behaviour));
}

/// Requests that never end have no response that could be counted.
#[test]
fn a_version_that_never_responds_is_rolled_back() {
    let behaviour = |visit: Visit| (if visit.is_new { 1e4 } else { 1.0 }, false);
    assert_rolled_back(|daemons| Scenario::new(daemons, behaviour));
}

#[test]
fn a_bad_version_is_rolled_back_while_half_of_the_daemons_restart() {
    let behaviour = |visit: Visit| fails(visit, if visit.t > 3.5 { 0.3 } else { 0.0 });
    assert_rolled_back(|daemons| Scenario {
        restarts: 0.5,
        ..Scenario::new(daemons, behaviour)
    });
}

#[test]
fn a_good_version_is_completed_while_half_of_the_daemons_restart() {
    assert_completed(|daemons| Scenario {
        restarts: 0.5,
        ..Scenario::new(daemons, good)
    });
}

#[test]
fn a_bad_version_is_rolled_back_though_a_third_of_the_reports_is_lost() {
    assert_rolled_back(|daemons| Scenario {
        loss: 0.33,
        ..Scenario::new(daemons, |visit| fails(visit, 0.2))
    });
}

#[test]
fn daemons_that_are_cut_off_do_not_keep_a_bad_version_from_being_rolled_back() {
    assert_rolled_back(|daemons| Scenario {
        cut_off: 5,
        ..Scenario::new(daemons, |visit| fails(visit, 0.2))
    });
}

#[test]
fn a_bad_version_gets_nothing_while_the_store_is_lost() {
    for outcome in run_both(|daemons| Scenario {
        store_lost_ms: Some(2_500),
        ..Scenario::new(daemons, |visit| {
            fails(visit, if visit.t > 2.0 { 0.5 } else { 0.0 })
        })
    }) {
        assert_eq!(outcome.state, None);
        assert!(outcome.fiftieth_bad.is_some() || outcome.exposed < 400);
        assert!(outcome.last_to_new < 5.0, "{outcome:?}");
        outcome.check_bounds();
    }
}

/// The first half holds the leaders of the zones and the daemon that writes the status.
#[test]
fn a_bad_version_gets_nothing_from_daemons_that_stood_still() {
    assert_rolled_back(|daemons| Scenario {
        pause_ms: Some((3_000, 9_000)),
        ..Scenario::new(daemons, |visit| {
            fails(visit, if visit.t > 2.5 { 0.4 } else { 0.0 })
        })
    });
}

#[test]
fn a_good_version_is_completed_though_old_targets_fail() {
    let behaviour = |visit: Visit| {
        let has_failed =
            !visit.is_new && visit.target.is_multiple_of(3) && visit.t > 2.0 && visit.t < 5.0;
        (1.0, has_failed)
    };
    assert_completed(|daemons| Scenario::new(daemons, behaviour));
}

#[test]
fn a_good_version_is_completed_though_all_targets_crash_at_once() {
    assert_completed(|daemons| Scenario {
        crash_ms: Some(4_000),
        ..Scenario::new(daemons, good)
    });
}

#[test]
fn a_good_version_is_completed_though_one_of_its_first_targets_crashes() {
    // Long requests, of which many break off.
    assert_completed(|daemons| Scenario {
        crash_one_ms: Some(4_500),
        rate: 300.0,
        ..Scenario::new(daemons, |_| (20.0, false))
    });
}

#[test]
fn a_good_version_is_completed_though_a_zone_fails() {
    let behaviour = |visit: Visit| {
        let is_in_zone = visit.zone == 2 && visit.t > 1.0 && visit.t < 4.0;
        (1.0, is_in_zone && visit.random < 0.8)
    };
    assert_completed(|daemons| Scenario::new(daemons, behaviour));
}

#[test]
fn a_good_version_is_completed_though_its_targets_are_cold_at_first() {
    assert_completed(|daemons| Scenario {
        cold_ms: 2_500,
        ..Scenario::new(daemons, good)
    });
}

#[test]
fn a_good_version_is_completed_though_both_have_some_bad_responses() {
    let behaviour = |visit: Visit| (1.0, visit.random < 0.02);
    assert_completed(|daemons| Scenario::new(daemons, behaviour));
}

/// Targets of both versions take 2.5 times as long in turn.
#[test]
fn a_good_version_is_completed_though_targets_are_slow_in_turn() {
    let behaviour = |visit: Visit| {
        let turn = (visit.t * 2.0) as usize % 7;
        (if visit.target % 7 == turn { 2.5 } else { 1.0 }, false)
    };
    assert_completed(|daemons| Scenario::new(daemons, behaviour));
}

#[test]
fn a_version_gets_nothing_after_its_order_has_disappeared() {
    for outcome in run_both(|daemons| Scenario {
        change_ms: Some((4_000, None)),
        ..Scenario::new(daemons, good)
    }) {
        assert_eq!(outcome.forbidden, 0, "{outcome:?}");
        assert_eq!(outcome.state, None);
    }
}

#[test]
fn a_version_gets_nothing_after_its_order_asks_for_another_one() {
    for outcome in run_both(|daemons| Scenario {
        change_ms: Some((4_000, Some("v3"))),
        ..Scenario::new(daemons, good)
    }) {
        assert_eq!(outcome.forbidden, 0, "{outcome:?}");
    }
}
