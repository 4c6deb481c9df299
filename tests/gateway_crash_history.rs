//! Tests which requests are held after crashes of the targets that ran them, also in a fleet
//! whose targets crash for other reasons.

use std::time::Duration;

use bluebelldrift::gateway::{CrashHistory, RunCrash, SubjectKey, TargetKey};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const DEADLY: SubjectKey = 1;
const SOUND: SubjectKey = 2;
const TARGETS: usize = 12;
/// Time after the third crash of a request from which its runs are bounded, and that bound.
const CONTACT_MS: u64 = 4_000;
const MAX_LATE_RUNS: usize = 3;

fn at(ms: u64) -> Duration {
    Duration::from_secs(10_000) + Duration::from_millis(ms)
}

/// Records that a target crashed at `ms` on a run that was sent to it at `sent_ms`.
fn record(
    history: &mut CrashHistory,
    request: SubjectKey,
    target: TargetKey,
    sent_ms: u64,
    ms: u64,
) {
    let crash = RunCrash {
        target,
        attempt: u32::try_from(sent_ms).expect("a small number") * 100 + target,
        at: at(ms),
        sent_at: at(sent_ms),
    };
    history.record_crash(request, crash);
}

/// Records crashes of targets in turn, each by a run that was sent after the crash before.
fn crashed(request: SubjectKey, times_ms: &[u64]) -> CrashHistory {
    let mut history = CrashHistory::default();
    let mut sent_ms = 0;
    for (target, ms) in (100..).zip(times_ms) {
        record(&mut history, request, target, sent_ms, *ms);
        sent_ms = *ms;
    }
    history
}

fn is_held(history: &CrashHistory, request: SubjectKey) -> bool {
    history.held(request, TARGETS).is_some()
}

#[test]
fn a_request_is_held_after_three_crashes_that_no_others_explain() {
    let history = crashed(DEADLY, &[2_000, 4_000]);
    assert!(!is_held(&history, DEADLY));
    let history = crashed(DEADLY, &[2_000, 4_000, 6_000]);
    assert!(is_held(&history, DEADLY));
    assert!(!is_held(&history, SOUND));
}

/// Runs of the same request that were in progress together may have met one cause.
#[test]
fn crashes_of_runs_that_ran_together_are_one() {
    let mut history = CrashHistory::default();
    for target in 0..6 {
        record(
            &mut history,
            SOUND,
            target,
            0,
            1_000 + 100 * u64::from(target),
        );
    }
    assert!(!is_held(&history, SOUND));
}

#[test]
fn a_whole_answer_clears_a_request_at_all_daemons() {
    let mut history = crashed(SOUND, &[2_000, 4_000, 6_000]);
    let mut other = CrashHistory::default();
    other.merge(&history.report(at(6_100)), false, at(6_100));
    assert!(is_held(&other, SOUND));
    history.record_whole(SOUND, at(7_000));
    other.merge(&history.report(at(7_100)), false, at(7_100));
    assert!(!is_held(&history, SOUND));
    assert!(!is_held(&other, SOUND));
}

/// One crash that several runs and daemons see, and its echo, are one.
#[test]
fn reports_of_known_crashes_count_again() {
    let mut history = crashed(DEADLY, &[2_000, 4_000]);
    let mut other = CrashHistory::default();
    for ms in (4_100..9_000).step_by(200) {
        other.merge(&history.report(at(ms)), true, at(ms + 90));
        history.merge(&other.report(at(ms + 90)), true, at(ms + 180));
    }
    assert!(!is_held(&history, DEADLY));
    record(&mut history, DEADLY, 900, 8_000, 9_000);
    assert!(is_held(&history, DEADLY));
}

/// Daemons that see one crash each know of all.
#[test]
fn crashes_at_different_daemons_are_not_added_up() {
    let mut daemons = [(); 3].map(|()| CrashHistory::default());
    for (number, target) in [0, 1, 2].into_iter().zip(100..) {
        let ms = 2_000 * u64::from(target - 99);
        record(&mut daemons[number], DEADLY, target, ms - 1_000, ms);
        let report = daemons[number].report(at(ms + 200));
        for (other, history) in daemons.iter_mut().enumerate() {
            if other != number {
                history.merge(&report, false, at(ms + 201));
            }
        }
    }
    for history in &daemons {
        assert!(is_held(history, DEADLY));
    }
}

/// Runs of a request that is held came again and again.
#[test]
fn at_most_three_runs_are_tried_in_ten_minutes() {
    let mut history = crashed(DEADLY, &[1_000, 2_000, 3_000]);
    let mut tried = 0;
    for (target, ms) in (500..).zip((3_100..603_000).step_by(500)) {
        if history.check(DEADLY, TARGETS, 0, at(ms)).is_none() {
            record(&mut history, DEADLY, target, ms, ms + 400);
            tried += 1;
        }
    }
    assert!(tried <= 3, "{tried} runs tried");
}

/// A run that met the second crash, but began before the first one, hid the one that shows that
/// the crashes are separate, at daemons that received it first.
#[test]
fn an_earlier_run_hides_a_crash_at_other_daemons() {
    let mut seen = CrashHistory::default();
    record(&mut seen, DEADLY, 1, 0, 50);
    record(&mut seen, DEADLY, 2, 55, 90);
    let mut other = CrashHistory::default();
    record(&mut other, DEADLY, 2, 10, 92);
    record(&mut other, DEADLY, 3, 400, 480);
    for ms in (600..3_000).step_by(200) {
        other.merge(&seen.report(at(ms)), true, at(ms + 30));
        seen.merge(&other.report(at(ms)), true, at(ms + 30));
    }
    assert!(seen.held(DEADLY, 3).is_some());
    assert!(other.held(DEADLY, 3).is_some());
}

/// Reports with different delays turned the order of a crash and the repeat that followed it at
/// once, so that other daemons counted one crash in place of two.
#[test]
fn delays_of_reports_hide_crashes() {
    let mut seen = CrashHistory::default();
    let mut other = CrashHistory::default();
    for (target, sent_ms, ms, delay_ms) in [(1, 0, 100, 60), (2, 101, 200, 30), (3, 201, 300, 90)] {
        let crash = RunCrash {
            target,
            attempt: 7,
            at: at(ms),
            sent_at: at(sent_ms),
        };
        seen.record_crash(DEADLY, crash);
        other.merge(&seen.report(at(ms + 1)), false, at(ms + 1 + delay_ms));
    }
    assert_eq!(other.held(DEADLY, 3), Some(3));
}

/// The three targets of a small service crash one after the other within half a second, and again
/// when they are back: merged by time, these counted as one crash for each time.
#[test]
fn quick_crashes_of_a_small_service_count_as_one() {
    let mut history = CrashHistory::default();
    for (target, ms) in [(1, 90), (2, 300), (3, 490)] {
        record(&mut history, DEADLY, target, ms - 30, ms);
    }
    assert!(history.held(DEADLY, 3).is_some());
    assert!(history.check(DEADLY, 3, 0, at(3_700)).is_some());
    assert!(history.check(DEADLY, 3, 1, at(9_000)).is_some());
    assert!(history.check(DEADLY, 3, 0, at(9_000)).is_none());
    // One trial at a time.
    assert!(history.check(DEADLY, 3, 0, at(9_100)).is_some());
}

/// A third of the targets crash again and again, and a deadly request comes in between: long
/// runs were held, or the deadly request was not.
#[test]
fn long_runs_that_meet_crashes_are_told_from_a_deadly_request() {
    let (mut held_runs, mut runs) = (0, 0);
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut history = CrashHistory::default();
        let place = |rng: &mut StdRng| rng.random_range(0..TARGETS);
        let mut long: Vec<_> = (0..40).map(|_| (place(&mut rng), 0)).collect();
        let mut starts = [0; TARGETS];
        let mut deadly_ms = Vec::new();
        for ms in (500..20_000).step_by(500) {
            let mut down: Vec<usize> = Vec::new();
            if ms % 2_500 == 0 {
                down.extend((0..TARGETS).filter(|_| rng.random_bool(0.33)));
            }
            if ms % 1_000 == 0 && history.check(DEADLY, TARGETS, 0, at(ms)).is_none() {
                let target = place(&mut rng);
                down.push(target);
                let key = key(target, starts[target]);
                record(&mut history, DEADLY, key, ms - 500, ms);
                deadly_ms.push(ms);
            }
            for (run, (target, sent_ms)) in (1_000..).zip(&mut long) {
                if down.contains(target) {
                    let key = key(*target, starts[*target]);
                    record(&mut history, run, key, *sent_ms, ms);
                    runs += 1;
                    held_runs += usize::from(is_held(&history, run));
                    (*target, *sent_ms) = (place(&mut rng), ms);
                }
            }
            for target in down {
                starts[target] += 1;
            }
        }
        let late = deadly_ms
            .iter()
            .filter(|ms| **ms > deadly_ms[2] + CONTACT_MS);
        assert!(late.count() <= MAX_LATE_RUNS, "seed {seed}: {deadly_ms:?}");
    }
    assert!(runs > 1_000, "{runs} broken runs");
    assert!(held_runs * 200 <= runs, "{held_runs} of {runs} held");
}

/// Returns the key of one start of a target.
fn key(target: usize, start: u32) -> TargetKey {
    TargetKey::try_from(target).expect("a small number") * 1_000 + start
}
