//! Tests of the decision when a run that broke off may go on at another engine.

use std::time::Duration;

use bluebelldrift::gateway::{Step, StopAnswer, Takeover};
use proptest::prelude::*;

const OBJECTIVE: Duration = Duration::from_millis(1_800);
/// Gap between events after which callers disconnect: four times the objective.
const PATIENCE: Duration = Duration::from_millis(7_200);

fn at(ms: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

fn unknown() -> StopAnswer {
    StopAnswer::Unknown("status=503".into())
}

#[test]
fn an_engine_that_has_no_such_run_delays_its_resumption() {
    for answer in [StopAnswer::Stopped, StopAnswer::NoSuchRun, StopAnswer::Gone] {
        let mut takeover = Takeover::new(at(0), OBJECTIVE, false, at(10));
        assert_eq!(takeover.after_stop(answer, at(11)), Step::Resume(None));
    }
    let mut takeover = Takeover::new(at(0), OBJECTIVE, false, at(10));
    let step = takeover.after_stop(StopAnswer::Copied("copy".into()), at(11));
    assert_eq!(step, Step::Resume(Some("copy".into())));
}

/// The report of a run that broke off just now may be older than the run.
#[test]
fn a_report_from_before_the_run_says_that_it_has_ended() {
    let mut takeover = Takeover::new(at(0), OBJECTIVE, false, at(10));
    let step = takeover.after_stop(unknown(), at(500));
    assert!(matches!(step, Step::Retry(_)), "{step:?}");
    let step = takeover.after_report(&StopAnswer::NoSuchRun, at(900), at(1_500));
    assert!(matches!(step, Step::Retry(_)), "{step:?}");
    assert_eq!(takeover.after_stop(unknown(), at(1_600)), Step::ReadReport);
    let step = takeover.after_report(&unknown(), at(1_600), at(1_601));
    assert!(matches!(step, Step::Retry(_)), "{step:?}");
    let step = takeover.after_report(&StopAnswer::NoSuchRun, at(1_900), at(1_901));
    assert_eq!(step, Step::Resume(None));
}

/// One lost packet does not show that an engine is cut off, silence on its connection does.
#[test]
fn a_lost_packet_hides_an_engine_that_works_on() {
    let mut takeover = Takeover::new(at(0), OBJECTIVE, false, at(10));
    let step = takeover.after_stop(StopAnswer::Unreachable, at(410));
    assert_eq!(step, Step::Retry(Duration::ZERO));
    assert!(matches!(
        takeover.after_stop(unknown(), at(420)),
        Step::Retry(_)
    ));
    let step = takeover.after_stop(StopAnswer::Unreachable, at(820));
    assert_eq!(step, Step::Retry(Duration::ZERO));
    let step = takeover.after_stop(StopAnswer::Unreachable, at(1_220));
    assert_eq!(step, Step::Resume(None));
    let mut takeover = Takeover::new(at(0), OBJECTIVE, true, at(3_000));
    let step = takeover.after_stop(StopAnswer::Unreachable, at(3_400));
    assert_eq!(step, Step::Resume(None));
}

proptest! {
    #[test]
    fn a_run_of_which_nothing_is_known_is_resumed_or_keeps_its_caller_waiting(
        broke_at in 0_u64..10_000,
        call_times in proptest::collection::vec(0_u64..1_000, 300),
        is_report in proptest::collection::vec(any::<bool>(), 300),
    ) {
        let mut takeover = Takeover::new(at(0), OBJECTIVE, false, at(broke_at));
        let mut now = at(broke_at);
        let mut steps = 0;
        let mut step = Step::Retry(Duration::ZERO);
        for (call_time, is_report) in call_times.into_iter().zip(is_report) {
            steps += 1;
            let asked_at = now;
            now += takeover.call_timeout(now).min(Duration::from_millis(call_time));
            step = if is_report || step == Step::ReadReport {
                takeover.after_report(&unknown(), asked_at, now)
            } else {
                takeover.after_stop(unknown(), now)
            };
            match step {
                Step::Retry(pause) => {
                    prop_assert!(pause > Duration::ZERO && now + pause < at(0) + PATIENCE);
                    now += pause;
                }
                Step::GiveUp => break,
                Step::ReadReport => {}
                Step::Resume(_) => prop_assert!(false, "resumed"),
            }
        }
        prop_assert!(steps < 300, "no end");
        // One call of each kind may begin at the end.
        prop_assert!(now <= at(broke_at.max(7_200) + 400), "{:?}", now);
    }
}
