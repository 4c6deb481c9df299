//! Length estimates against known distributions.

use bluebelldrift::lengths::{Curve, LengthKey, Lengths};
use proptest::prelude::*;

/// Widest that an estimate may be off, as a ratio: one bucket.
const BUCKET_RATIO: f64 = 1.25;

fn seen(lengths: impl IntoIterator<Item = u64>) -> Curve {
    let mut curve = Curve::default();
    lengths.into_iter().for_each(|l| curve.record_end(0, l));
    curve
}

#[test]
fn what_has_survived_long_is_expected_to_go_on() {
    let curve = seen((0..300).map(|i| if i % 10 == 0 { 5000 } else { 100 }));
    assert!(curve.remaining(0, 0.5) <= 127, "most are short");
    assert!(curve.remaining(200, 0.5) >= 4800, "this one is not");
    assert!(
        curve.remaining(9000, 0.5) >= 9000,
        "beyond all that was seen"
    );
}

#[test]
fn outputs_that_still_run_count_too() {
    let mut curve = seen([100; 20]);
    let ended_only = curve.remaining(0, 0.75);
    (0..20).for_each(|_| curve.record_progress(0, 3000));
    let both = curve.remaining(0, 0.75);
    // Only buckets that were passed whole count: 3000 less one of them.
    assert!(ended_only < 128 && both >= 2400, "{ended_only} {both}");
}

#[test]
fn old_lengths_are_forgotten() {
    let curve = seen([2000; 500].into_iter().chain([50; 500]));
    assert!(curve.remaining(0, 0.9) < 64);
}

#[test]
fn a_cap_bounds_the_estimate_and_a_new_customer_borrows() {
    let lengths = Lengths::default();
    let capped = LengthKey::new("desk", "clinic", Some(50));
    assert!(
        lengths.remaining(&capped, 0, 0.9) <= 64,
        "nothing else is known"
    );
    let uncapped = LengthKey::new("desk", "clinic", None);
    (0..20).for_each(|_| lengths.record_end(&uncapped, 0, 1000));
    let new = LengthKey::new("desk", "post", None);
    let expected = lengths.remaining(&uncapped, 0, 0.9);
    assert!((1000..1250).contains(&expected), "{expected}");
    assert_eq!(lengths.remaining(&new, 0, 0.9), expected);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn a_quantile_is_within_one_bucket(
        length in 1..100_000_u64, produced in 0..1000_u64, quantile in 0.01..1.0_f64,
    ) {
        let curve = seen([length; 20]);
        let remaining = curve.remaining(produced, quantile);
        prop_assert!(remaining >= 1);
        if produced < length {
            let whole = u32::try_from(produced + remaining).expect("a length");
            let most = f64::from(u32::try_from(length).expect("a length")) * BUCKET_RATIO;
            prop_assert!(u64::from(whole) >= length && f64::from(whole) <= most + 1.0);
        }
    }
}
