//! Tests of output length estimates against known distributions.

use bluebelldrift::lengths::{Curve, LengthKey, Lengths};
use proptest::prelude::*;

/// Maximum ratio of an estimate to the true length: the width of one bucket.
const BUCKET_RATIO: f64 = 1.25;

/// Returns a curve after outputs of these lengths have ended.
fn curve_of(lengths: impl IntoIterator<Item = u64>) -> Curve {
    let mut curve = Curve::default();
    lengths.into_iter().for_each(|l| curve.record_end(0, l));
    curve
}

#[test]
fn long_running_outputs_are_expected_to_continue() {
    let curve = curve_of((0..300).map(|i| if i % 10 == 0 { 5000 } else { 100 }));
    assert!(curve.remaining(0, 0.5) <= 127, "most outputs are short");
    assert!(
        curve.remaining(200, 0.5) >= 4800,
        "an output past 100 tokens is long"
    );
    assert!(
        curve.remaining(9000, 0.5) >= 9000,
        "beyond all observed lengths, as much again is expected"
    );
}

#[test]
fn outputs_still_running_raise_the_estimate() {
    let mut curve = curve_of([100; 20]);
    let ended_only = curve.remaining(0, 0.75);
    (0..20).for_each(|_| curve.record_progress(0, 3000));
    let with_running = curve.remaining(0, 0.75);
    // Only completely passed buckets count, so the estimate may fall short of
    // 3000 by one bucket.
    assert!(
        ended_only < 128 && with_running >= 2400,
        "{ended_only} {with_running}"
    );
}

#[test]
fn old_observations_decay() {
    let curve = curve_of([2000; 500].into_iter().chain([50; 500]));
    assert!(curve.remaining(0, 0.9) < 64);
}

#[test]
fn a_cap_bounds_the_estimate_and_a_new_customer_uses_the_shared_curve() {
    let lengths = Lengths::default();
    let capped = LengthKey::new("desk", "clinic", Some(50));
    assert!(
        lengths.remaining(&capped, 0, 0.9) <= 64,
        "without observations, only the cap bounds the estimate"
    );
    let uncapped = LengthKey::new("desk", "clinic", None);
    (0..20).for_each(|_| lengths.record_end(&uncapped, 0, 1000));
    let new_customer = LengthKey::new("desk", "post", None);
    let expected = lengths.remaining(&uncapped, 0, 0.9);
    assert!((1000..1250).contains(&expected), "{expected}");
    assert_eq!(lengths.remaining(&new_customer, 0, 0.9), expected);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn estimates_are_within_one_bucket(
        length in 1..100_000_u64, produced in 0..1000_u64, quantile in 0.01..1.0_f64,
    ) {
        let curve = curve_of([length; 20]);
        let remaining = curve.remaining(produced, quantile);
        prop_assert!(remaining >= 1);
        if produced < length {
            let total = u32::try_from(produced + remaining).expect("fits in u32");
            let max = f64::from(u32::try_from(length).expect("fits in u32")) * BUCKET_RATIO;
            prop_assert!(u64::from(total) >= length && f64::from(total) <= max + 1.0);
        }
    }
}
