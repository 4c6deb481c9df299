//! What a process that stood still knows of the time of SIGTERM.

use std::time::Duration;

use bluebelldrift::gateway::PauseDetector;
use proptest::prelude::*;

const MAX_GAP: Duration = Duration::from_millis(500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

proptest! {
    // A pause hid the time of the signal, so that the grace period seemed to end later.
    #[test]
    fn a_signal_is_never_dated_later_than_the_longest_gap_after_it(
        gaps in prop::collection::vec(0_u64..=500, 1..20),
        pause in 0_u64..20_000,
        sent_after in 0_u64..20_000,
        turns_until_seen in prop::collection::vec(0_u64..50, 0..4),
    ) {
        let mut now = ms(1_000);
        let mut detector = PauseDetector::new(MAX_GAP, now);
        for gap in gaps {
            now += ms(gap);
            detector.check(now);
        }
        let sent = now + ms(sent_after.min(pause));
        now += ms(pause);
        for turn in turns_until_seen {
            detector.check(now);
            now += ms(turn);
        }
        detector.check(now);
        let dated = detector.earliest_signal(now);
        prop_assert!(dated <= sent + MAX_GAP + ms(200), "{dated:?} {sent:?}");
    }
}

#[test]
fn a_signal_long_after_a_pause_is_dated_when_it_is_seen() {
    let mut detector = PauseDetector::new(MAX_GAP, ms(1_000));
    detector.check(ms(3_000));
    assert_eq!(detector.earliest_signal(ms(3_010)), ms(1_000));
    detector.check(ms(3_400));
    assert_eq!(detector.earliest_signal(ms(3_400)), ms(3_400));
}

// A busy first turn after a pause counted as another pause and hid the first one.
#[test]
fn a_signal_after_two_pauses_is_dated_to_the_second() {
    let mut detector = PauseDetector::new(ms(150), ms(1_000));
    detector.check(ms(3_000));
    detector.check(ms(3_200));
    assert_eq!(detector.earliest_signal(ms(3_210)), ms(1_000));
    detector.check(ms(3_300));
    assert_eq!(detector.earliest_signal(ms(3_300)), ms(3_000));
}
