//! Tests of the decision how a stream goes on after its run broke off, and of the events that
//! its caller gets.

use std::time::Duration;

use bluebelldrift::gateway::{
    AfterBreak, BrokenStream, GiveUpReason, InvalidEventId, RepeatPolicy, RepeatReason, SendBudget,
    SendCounts, SendHistory, StreamPosition, after_break, parse_event_id,
};
use proptest::prelude::*;

/// A resumable stream whose first run broke without a copy.
const BROKEN: BrokenStream = BrokenStream {
    is_resumable: true,
    has_copy: false,
    is_held: false,
    is_young: false,
    may_repeat: true,
    is_position_known: true,
    starts: 1,
    max_attempts: 3,
    is_late: false,
};

#[test]
fn a_value_that_is_no_number_is_read_as_one() {
    let parse = |values: &[&'static [u8]]| parse_event_id(values.iter().copied());
    assert_eq!(parse(&[]), Ok(None));
    assert_eq!(parse(&[b""]), Ok(None));
    assert_eq!(parse(&[b" "]), Ok(None));
    assert_eq!(parse(&[b"0"]), Ok(Some(0)));
    assert_eq!(parse(&[b" 17 "]), Ok(Some(17)));
    assert_eq!(parse(&[b"18446744073709551615"]), Ok(Some(u64::MAX)));
    assert_eq!(parse(&[b"7", b"007"]), Ok(Some(7)));
    for value in [
        b"18446744073709551616".as_slice(),
        b"-1",
        b"+1",
        b"1.0",
        b"1 2",
        b"1,2",
        b"x",
        b"\xff",
        b"0x1",
    ] {
        assert_eq!(parse_event_id([value]), Err(InvalidEventId), "{value:?}");
    }
    assert_eq!(parse(&[b"7", b"8"]), Err(InvalidEventId));
}

/// A stream of a route without the flag was run again, or one with the flag was given up.
#[test]
fn a_broken_stream_goes_on_in_the_wrong_way() {
    let give_up = AfterBreak::GiveUp;
    let copied = BrokenStream {
        has_copy: true,
        ..BROKEN
    };
    let changed = |change: fn(&mut BrokenStream)| {
        let mut stream = BROKEN;
        change(&mut stream);
        after_break(&stream)
    };
    assert_eq!(after_break(&BROKEN), AfterBreak::StartAnew);
    assert_eq!(after_break(&copied), AfterBreak::ResumeFromCopy);
    let once = BrokenStream {
        is_resumable: false,
        ..copied
    };
    assert_eq!(after_break(&once), AfterBreak::ResumeFromCopy);
    assert_eq!(
        changed(|s| s.is_resumable = false),
        give_up(GiveUpReason::NoCopy)
    );
    assert_eq!(changed(|s| s.starts = 3), give_up(GiveUpReason::Attempts));
    assert_eq!(
        changed(|s| s.is_late = true),
        give_up(GiveUpReason::Deadline)
    );
    assert_eq!(
        changed(|s| s.is_position_known = false),
        give_up(GiveUpReason::NoEventId)
    );
}

/// A request on which engines crash reached one more engine.
#[test]
fn a_request_that_crashes_engines_is_started_anew() {
    let suspect = AfterBreak::GiveUp(GiveUpReason::Suspect);
    for has_copy in [false, true] {
        for is_young in [false, true] {
            let stream = BrokenStream {
                has_copy,
                is_young,
                may_repeat: false,
                ..BROKEN
            };
            // A run that has gone on past its first events goes on from its copy.
            let expected = if has_copy && !is_young {
                AfterBreak::ResumeFromCopy
            } else {
                suspect
            };
            assert_eq!(after_break(&stream), expected, "{stream:?}");
            let held = BrokenStream {
                is_held: true,
                may_repeat: true,
                ..stream
            };
            assert_eq!(after_break(&held), suspect, "{held:?}");
        }
    }
}

/// Events without an id were passed on twice, or a stream that had some was started anew.
#[test]
fn events_without_an_id_are_repeated() {
    let mut position = StreamPosition::new(true, None);
    position.begin_run();
    assert!(position.advance(None));
    assert!(!position.is_known());
    assert!(position.advance(Some(1)) && position.advance(None) && position.advance(Some(2)));
    assert!(position.is_known());
    position.begin_run();
    assert!(!position.advance(Some(1)) && !position.advance(None));
    assert!(!position.advance(Some(2)));
    // What follows the caller's last event may be new.
    assert!(position.advance(None) && position.advance(Some(3)));
    let mut returned = StreamPosition::new(true, Some(4));
    returned.begin_run();
    assert!(returned.advance(None) && !returned.is_known());
}

/// A run that ended before the caller's last event made the stream look complete.
#[test]
fn a_run_that_ends_short_completes_a_stream() {
    let mut position = StreamPosition::new(true, Some(9));
    position.begin_run();
    assert!(!position.ends_short(), "a caller with all events gets none");
    assert!(!position.advance(Some(8)) && position.ends_short());
    assert!(!position.advance(Some(9)) && !position.ends_short());
    let mut once = StreamPosition::new(false, None);
    once.begin_run();
    assert!(once.advance(Some(2)));
    once.begin_run();
    assert!(!once.advance(Some(1)) && once.ends_short());
    assert!(!once.advance(Some(2)) && !once.ends_short());
}

/// Daemons of an earlier version read a configuration without resumable routes wrongly.
#[test]
fn a_repeat_policy_is_encoded_as_another_one() {
    for (policy, code) in [
        (RepeatPolicy::Idempotent, 0),
        (RepeatPolicy::AtMostOnce, 1),
        (RepeatPolicy::Stream, 2),
        (RepeatPolicy::ResumableStream, 3),
    ] {
        let bytes = postcard::to_stdvec(&policy).expect("encode a repeat policy");
        assert_eq!(bytes, [code], "{policy}");
    }
    assert!(RepeatPolicy::ResumableStream.is_idempotent());
    assert!(!RepeatPolicy::Stream.is_idempotent());
}

/// One run of an engine: whether it honours `Last-Event-Id`, and after how many of its events
/// it breaks; `None` if it does not.
type RunPlan = (bool, Option<u64>);

/// Plays runs of an answer with `events` events for a caller that has those up to `caller_has`.
/// Returns the events that the caller gets, whether the stream ends as complete, and the
/// number of starts.
fn play(
    events: u64,
    caller_has: Option<u64>,
    runs: impl IntoIterator<Item = RunPlan>,
    mut may_send: impl FnMut() -> bool,
) -> (Vec<u64>, bool, u32) {
    let mut position = StreamPosition::new(true, caller_has);
    let mut received = Vec::new();
    let mut starts = 0;
    for (honours, breaks_after) in runs {
        starts += 1;
        position.begin_run();
        let after = position.last_id().filter(|_| honours).unwrap_or(0);
        let end = breaks_after.map_or(events, |n| events.min(after.saturating_add(n)));
        for id in after.saturating_add(1)..=end {
            if position.advance(Some(id)) {
                received.push(id);
            }
        }
        if breaks_after.is_none() {
            return (received, !position.ends_short(), starts);
        }
        let decision = after_break(&BrokenStream { starts, ..BROKEN });
        if decision != AfterBreak::StartAnew || !may_send() {
            break;
        }
    }
    (received, false, starts)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x72_73),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_event_is_missing_or_repeated(
        events in 0_u64..20,
        caller_has in proptest::option::of(0_u64..25),
        runs in proptest::collection::vec(
            (any::<bool>(), proptest::option::weighted(0.7, 0_u64..20)), 1..6),
    ) {
        let (received, is_complete, starts) =
            play(events, caller_has, runs.iter().copied(), || true);
        let first = caller_has.unwrap_or(0) + 1;
        let expected: Vec<_> = (first..).take(received.len()).collect();
        prop_assert_eq!(&received, &expected);
        prop_assert!(starts <= BROKEN.max_attempts);
        if is_complete {
            let all: Vec<_> = (first..=events).collect();
            prop_assert_eq!(received, all);
        }
    }
}

/// The load of this decision: engines end one after the other, and each breaks all of its runs
/// at once. New starts exceeded the budget, or some streams got wrong events.
#[test]
fn engines_that_end_in_turn_exceed_the_budget_or_corrupt_streams() {
    const ENGINES: u64 = 8;
    const RUNS: u64 = 64;
    const DAEMONS: usize = 4;
    let budget = SendBudget {
        share: 0.2,
        extra: 50.0,
        window: Duration::from_secs(10),
    };
    let mut daemons: Vec<SendHistory> = (0..DAEMONS).map(|_| SendHistory::default()).collect();
    let (mut complete, mut cut) = (0, 0);
    for engine in 0..ENGINES {
        let now = Duration::from_millis(100_000 + 500 * engine);
        for run in 0..RUNS {
            let at = usize::try_from(run).expect("a small number") % DAEMONS;
            daemons[at].record_first(now);
            let runs = [
                (true, Some(run % 30)),
                (run % 3 == 0, (run % 5 == 0).then_some(4)),
                (run % 2 == 0, None),
            ];
            let may_send = || {
                let mut others = SendCounts::default();
                for (_, daemon) in daemons.iter_mut().enumerate().filter(|(i, _)| *i != at) {
                    others.add(daemon.counts(now, budget.window));
                }
                daemons[at].try_repeat(RepeatReason::BrokenRun, now, &budget, DAEMONS, others)
            };
            let (received, is_complete, starts) = play(30, None, runs, may_send);
            let expected: Vec<_> = (1..).take(received.len()).collect();
            assert_eq!(received, expected);
            assert!(!is_complete || received.len() == 30);
            assert!(starts <= BROKEN.max_attempts);
            complete += u32::from(is_complete);
            cut += u32::from(!is_complete);
        }
    }
    let now = Duration::from_millis(100_000 + 500 * ENGINES);
    let mut total = SendCounts::default();
    for daemon in &mut daemons {
        total.add(daemon.counts(now, budget.window));
    }
    let allowed = f64::from(total.firsts) * budget.share + budget.extra;
    assert!(f64::from(total.repeats) <= allowed, "{total:?}");
    assert!(complete > 0 && cut > 0, "complete={complete} cut={cut}");
}
