//! Tests in virtual time when a daemon reads the configuration for itself, and what may depend on
//! the one that it has.

use std::time::Duration;

use bluebelldrift::gateway::{ConfigBound, ConfigUse, FallbackReads, Rank, config_use};
use proptest::prelude::*;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Bounds, and positions in zones of any size.
fn cases() -> impl Strategy<Value = (ConfigBound, Rank)> {
    let rank = (1_usize..400)
        .prop_flat_map(|daemons| (0..daemons).prop_map(move |position| Rank { position, daemons }));
    (2_500_u64..20_000, rank).prop_map(|(ms, rank)| (ConfigBound::new(at(ms)), rank))
}

proptest! {
    /// A read that begins in time and is not answered has failed before the bound, so that no
    /// request meets a daemon that does not know whether it reaches the store.
    #[test]
    fn a_read_ends_before_the_bound((bound, rank) in cases(), reader_fails: bool) {
        let reads = FallbackReads::new(bound);
        let begins = reads.next_read(at(60_000), rank, reader_fails);
        prop_assert!(begins + bound.read_timeout() < at(60_000) + bound.max_age());
    }

    /// A failure counts for the length of the bound; the next one comes before that.
    #[test]
    fn a_failure_is_followed_by_another_read_in_time(
        (bound, rank) in cases(),
        failures in 1_u32..10,
        failed_ms in 100_000_u64..200_000,
    ) {
        let mut reads = FallbackReads::new(bound);
        for _ in 0..failures {
            reads.record(false, at(failed_ms));
        }
        let next = reads.next_read(at(60_000), rank, false);
        prop_assert!(next > at(failed_ms));
        prop_assert!(next + bound.read_timeout() < at(failed_ms) + bound.max_age());
    }

    /// Daemons that fail at the same moment do not try again at the same moment.
    #[test]
    fn daemons_take_turns_after_failures(ms in 2_500_u64..20_000, daemons in 4_usize..100) {
        let bound = ConfigBound::new(at(ms));
        let mut next: Vec<_> = (0..daemons).map(|position| {
            let mut reads = FallbackReads::new(bound);
            reads.record(false, at(100_000));
            reads.record(false, at(100_000));
            reads.next_read(at(60_000), Rank { position, daemons }, false)
        }).collect();
        next.sort_unstable();
        let together = next.windows(2).filter(|pair| pair[1] < pair[0] + at(1)).count();
        prop_assert!(together <= 1, "{next:?}");
    }
}

/// Guards against reads for others that go on although the store refuses them.
#[test]
fn a_term_ends_unless_reads_succeed() {
    let mut reads = FallbackReads::new(ConfigBound::default());
    reads.begin_term(at(10_000));
    assert!(reads.is_source(at(12_500)));
    reads.extend_term(at(12_500));
    assert!(reads.is_in_term(at(14_000)));
    reads.record(false, at(14_000));
    assert!(!reads.is_source(at(14_000)));
    reads.extend_term(at(15_000));
    assert!(!reads.is_in_term(at(15_600)));
}

#[test]
fn an_answer_depends_on_a_configuration_only_up_to_the_bound() {
    let bound = ConfigBound::new(at(4_000));
    let uses = |age, failure| config_use(age, failure, bound);
    assert_eq!(uses(Some(at(4_000)), None), ConfigUse::Current);
    assert_eq!(uses(Some(at(4_001)), None), ConfigUse::Stale);
    assert_eq!(uses(None, None), ConfigUse::Stale);
    // A failure shows that the store is out of reach for as long as the bound.
    assert_eq!(
        uses(Some(at(9_000)), Some(at(4_000))),
        ConfigUse::StoreUnreachable
    );
    assert_eq!(uses(Some(at(9_000)), Some(at(4_001))), ConfigUse::Stale);
}
