//! Estimates the output lengths of requests from an online survival curve.
//!
//! The length of an output is not known before it ends, but memory has to be
//! reserved for it from the start.

use std::{
    collections::HashMap,
    sync::{PoisonError, RwLock},
};

/// Number of buckets for each doubling of the length.
const BUCKETS_PER_DOUBLING: usize = 4;
/// Number of doublings that have buckets of their own; longer outputs count in
/// the last bucket.
const DOUBLINGS: usize = 32;
/// Number of buckets of a curve.
const BUCKETS: usize = BUCKETS_PER_DOUBLING * DOUBLINGS;
/// Factor by which each output that ends weighs more than the one before, so
/// that old observations decay exponentially.
const WEIGHT_GROWTH: f64 = 1.01;
/// Weight above which a curve is rescaled, to keep the weights in range.
const MAX_WEIGHT: f64 = 1e12;
/// Minimum number of ended outputs before a curve is used.
const MIN_OBSERVED: u64 = 10;
/// Assumed length, in tokens, while no curve can be used.
const DEFAULT_LENGTH: u64 = 256;

/// Survival curve of the output lengths of similar requests.
///
/// Counts ended outputs, and running ones as far as their progress is recorded.
/// With ended ones alone, only short outputs would have been observed shortly
/// after a start.
#[derive(Clone, Debug)]
pub struct Curve {
    /// Weight of the outputs that ended in each bucket.
    ended: [f64; BUCKETS],
    /// Weight of the outputs that continued beyond each bucket.
    passed: [f64; BUCKETS],
    /// Weight of the next observation.
    weight: f64,
    /// Number of outputs that ended.
    observed: u64,
}

impl Default for Curve {
    fn default() -> Self {
        Self {
            ended: [0.0; BUCKETS],
            passed: [0.0; BUCKETS],
            weight: 1.0,
            observed: 0,
        }
    }
}

impl Curve {
    /// Records that an output ended at `length` tokens, of which `counted` are
    /// already recorded by [`Curve::record_progress`].
    pub fn record_end(&mut self, counted: u64, length: u64) {
        self.record_progress(counted, length);
        self.ended[bucket_of(length)] += self.weight;
        self.observed += 1;
        self.weight *= WEIGHT_GROWTH;
        if self.weight > MAX_WEIGHT {
            self.rescale();
        }
    }

    /// Records that an output, of which `counted` tokens are already recorded,
    /// continued to `produced` tokens.
    pub fn record_progress(&mut self, counted: u64, produced: u64) {
        let from = if counted == 0 { 0 } else { bucket_of(counted) };
        for passed in &mut self.passed[from..bucket_of(produced)] {
            *passed += self.weight;
        }
    }

    fn rescale(&mut self) {
        for weight in self.ended.iter_mut().chain(&mut self.passed) {
            *weight /= self.weight;
        }
        self.weight = 1.0;
    }

    /// Returns whether enough outputs have ended to use the curve.
    #[must_use]
    pub fn has_enough_data(&self) -> bool {
        self.observed >= MIN_OBSERVED
    }

    /// Returns the number of tokens that remain, at `quantile` of the outputs
    /// that reach `produced` tokens.
    ///
    /// If the observations do not determine the quantile, in particular if no
    /// observed output reaches `produced` tokens, returns the number of tokens up
    /// to the longest observed length, or up to twice `produced` if that is
    /// longer.
    #[must_use]
    pub fn remaining(&self, produced: u64, quantile: f64) -> u64 {
        let mut survival = 1.0;
        for bucket in bucket_of(produced + 1)..BUCKETS {
            let at_risk = self.ended[bucket] + self.passed[bucket];
            if at_risk > 0.0 {
                survival *= self.passed[bucket] / at_risk;
            }
            if survival <= 1.0 - quantile {
                return max_length_of(bucket).saturating_sub(produced).max(1);
            }
        }
        self.longest()
            .max(2 * produced)
            .saturating_sub(produced)
            .max(1)
    }

    /// Returns the upper end of the last bucket with an observation.
    fn longest(&self) -> u64 {
        let is_observed = |bucket: &usize| self.passed[*bucket] > 0.0 || self.ended[*bucket] > 0.0;
        (0..BUCKETS)
            .rev()
            .find(is_observed)
            .map_or(0, max_length_of)
    }
}

/// Returns the bucket of a length, which is given by its highest set bit and
/// the two bits after it. Each length below 4 has its own bucket.
fn bucket_of(length: u64) -> usize {
    let length = length.max(1);
    let doubling = length.ilog2();
    if doubling < 2 {
        return usize::try_from(length).unwrap_or(BUCKETS) - 1;
    }
    let part = usize::try_from((length >> (doubling - 2)) & 3).unwrap_or(0);
    (doubling as usize * BUCKETS_PER_DOUBLING + part).min(BUCKETS - 1)
}

/// Returns the greatest length that belongs to a bucket.
fn max_length_of(bucket: usize) -> u64 {
    let (doubling, part) = (bucket / BUCKETS_PER_DOUBLING, bucket % BUCKETS_PER_DOUBLING);
    if doubling < 2 {
        return bucket as u64 + 1;
    }
    ((BUCKETS_PER_DOUBLING as u64 + part as u64 + 1) << (doubling - 2)) - 1
}

/// Properties of a request that select its curve and are known before it runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LengthKey {
    /// Requested service.
    pub service: Box<str>,
    /// Customer of the request; `None` for all customers together.
    pub customer: Option<Box<str>>,
    /// The caller's limit on output tokens, rounded up to a power of two; 0
    /// without a limit.
    pub cap: u64,
}

impl LengthKey {
    /// Creates the key of a customer's request with an optional limit on output
    /// tokens.
    #[must_use]
    pub fn new(service: &str, customer: &str, max_tokens: Option<u32>) -> Self {
        Self {
            service: service.into(),
            customer: Some(customer.into()),
            cap: max_tokens.map_or(0, |cap| u64::from(cap).next_power_of_two()),
        }
    }

    fn for_all_customers(&self) -> Self {
        Self {
            customer: None,
            ..self.clone()
        }
    }
}

/// Curves keyed by service, customer and cap, shared by all requests of a
/// daemon.
#[derive(Default)]
pub struct Lengths(RwLock<HashMap<LengthKey, Curve>>);

impl Lengths {
    /// Records that a complete output ended at `length` tokens, of which
    /// `counted` are already recorded by [`Lengths::record_progress`].
    pub fn record_end(&self, key: &LengthKey, counted: u64, length: u64) {
        self.update(key, |curve| curve.record_end(counted, length));
    }

    /// Records that an output, of which `counted` tokens are already recorded,
    /// continued to `produced` tokens.
    pub fn record_progress(&self, key: &LengthKey, counted: u64, produced: u64) {
        self.update(key, |curve| curve.record_progress(counted, produced));
    }

    fn update(&self, key: &LengthKey, change: impl Fn(&mut Curve)) {
        let mut curves = self.0.write().unwrap_or_else(PoisonError::into_inner);
        change(curves.entry(key.for_all_customers()).or_default());
        change(curves.entry(key.clone()).or_default());
    }

    /// Returns the number of tokens that remain at `quantile`, bounded by the
    /// key's cap.
    ///
    /// A customer without enough data uses the curve of all customers.
    #[must_use]
    pub fn remaining(&self, key: &LengthKey, produced: u64, quantile: f64) -> u64 {
        let curves = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let usable = |key: &LengthKey| curves.get(key).filter(|c| c.has_enough_data());
        let curve = usable(key).or_else(|| usable(&key.for_all_customers()));
        let default = DEFAULT_LENGTH.saturating_sub(produced).max(produced);
        let remaining = curve.map_or(default.max(1), |c| c.remaining(produced, quantile));
        match key.cap {
            0 => remaining,
            cap => remaining.min(cap.saturating_sub(produced)),
        }
    }
}
