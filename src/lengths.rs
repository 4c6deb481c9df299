//! Estimates of output lengths: nobody knows them, so an online survival curve
//! stands in.

use std::{
    collections::HashMap,
    sync::{PoisonError, RwLock},
};

/// Buckets in one doubling of the length.
const PER_DOUBLING: usize = 4;
/// Doublings that are told apart.
const DOUBLINGS: usize = 32;
/// Buckets of a curve.
const BUCKETS: usize = PER_DOUBLING * DOUBLINGS;
/// Growth of the weight of each newer observation: old ones decay by it.
const WEIGHT_GROWTH: f64 = 1.01;
/// Weight above which a curve is scaled back to stay in range.
const MAX_WEIGHT: f64 = 1e12;
/// Observations a curve needs before it is believed.
const MIN_OBSERVED: u64 = 10;
/// Expected length while nothing is known.
const UNKNOWN_LENGTH: u64 = 256;

/// Survival curve of the lengths of one sort of output.
///
/// It counts outputs that still run as well as those that ended: otherwise,
/// after a start, only the short ones would have been seen.
#[derive(Clone, Debug)]
pub struct Curve {
    /// Weight of the outputs that ended in each bucket.
    ended: [f64; BUCKETS],
    /// Weight of the outputs that went on beyond each bucket.
    passed: [f64; BUCKETS],
    weight: f64,
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
    /// Takes in the length of an output that ended, all buckets included that
    /// it passed after its first `counted` tokens.
    pub fn end(&mut self, counted: u64, length: u64) {
        self.pass(counted, length);
        self.ended[bucket_of(length)] += self.weight;
        self.observed += 1;
        self.weight *= WEIGHT_GROWTH;
        if self.weight > MAX_WEIGHT {
            self.scale_back();
        }
    }

    /// Takes in that an output went on from `counted` to `produced` tokens.
    pub fn pass(&mut self, counted: u64, produced: u64) {
        let from = if counted == 0 { 0 } else { bucket_of(counted) };
        for passed in &mut self.passed[from..bucket_of(produced)] {
            *passed += self.weight;
        }
    }

    fn scale_back(&mut self) {
        for weight in self.ended.iter_mut().chain(&mut self.passed) {
            *weight /= self.weight;
        }
        self.weight = 1.0;
    }

    /// Whether it has seen enough to be believed.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.observed >= MIN_OBSERVED
    }

    /// Tokens that remain, at `quantile` of the outputs that reach `produced`.
    ///
    /// Beyond everything observed, as much again as was produced.
    #[must_use]
    pub fn remaining(&self, produced: u64, quantile: f64) -> u64 {
        let mut surviving = 1.0;
        for bucket in bucket_of(produced + 1)..BUCKETS {
            let at_risk = self.ended[bucket] + self.passed[bucket];
            if at_risk > 0.0 {
                surviving *= self.passed[bucket] / at_risk;
            }
            if surviving <= 1.0 - quantile {
                return upper_of(bucket).saturating_sub(produced).max(1);
            }
        }
        self.longest()
            .max(2 * produced)
            .saturating_sub(produced)
            .max(1)
    }

    /// The greatest length that any output is known to have reached.
    fn longest(&self) -> u64 {
        let is_seen = |bucket: &usize| self.passed[*bucket] > 0.0 || self.ended[*bucket] > 0.0;
        (0..BUCKETS).rev().find(is_seen).map_or(0, upper_of)
    }
}

/// The bucket of a length: its highest bit and the two bits after it.
fn bucket_of(length: u64) -> usize {
    let length = length.max(1);
    let doubling = length.ilog2();
    if doubling < 2 {
        return usize::try_from(length).unwrap_or(BUCKETS) - 1;
    }
    let part = usize::try_from((length >> (doubling - 2)) & 3).unwrap_or(0);
    (doubling as usize * PER_DOUBLING + part).min(BUCKETS - 1)
}

/// The greatest length of a bucket.
fn upper_of(bucket: usize) -> u64 {
    let (doubling, part) = (bucket / PER_DOUBLING, bucket % PER_DOUBLING);
    if doubling < 2 {
        return bucket as u64 + 1;
    }
    ((PER_DOUBLING as u64 + part as u64 + 1) << (doubling - 2)) - 1
}

/// What is known of a request before it runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LengthKey {
    /// Service asked for.
    pub service: Box<str>,
    /// Who asks; none for all customers together.
    pub customer: Option<Box<str>>,
    /// The caller's cap, rounded up to a power of two; 0 without one.
    pub cap: u64,
}

impl LengthKey {
    /// Key of a customer's request with an optional cap on the output.
    #[must_use]
    pub fn new(service: &str, customer: &str, max_tokens: Option<u32>) -> Self {
        Self {
            service: service.into(),
            customer: Some(customer.into()),
            cap: max_tokens.map_or(0, |cap| u64::from(cap).next_power_of_two()),
        }
    }

    fn of_all(&self) -> Self {
        Self {
            customer: None,
            ..self.clone()
        }
    }
}

/// Curves by service, customer and cap, shared by all requests of a daemon.
#[derive(Default)]
pub struct Lengths(RwLock<HashMap<LengthKey, Curve>>);

impl Lengths {
    /// Takes in the length of an output that ended whole, beyond the `counted`
    /// tokens that were taken in while it ran.
    pub fn end(&self, key: &LengthKey, counted: u64, length: u64) {
        self.update(key, |curve| curve.end(counted, length));
    }

    /// Takes in that an output went on from `counted` to `produced` tokens.
    pub fn pass(&self, key: &LengthKey, counted: u64, produced: u64) {
        self.update(key, |curve| curve.pass(counted, produced));
    }

    fn update(&self, key: &LengthKey, change: impl Fn(&mut Curve)) {
        let mut curves = self.0.write().unwrap_or_else(PoisonError::into_inner);
        change(curves.entry(key.of_all()).or_default());
        change(curves.entry(key.clone()).or_default());
    }

    /// Tokens that remain at `quantile`, never above the caller's cap.
    #[must_use]
    pub fn remaining(&self, key: &LengthKey, produced: u64, quantile: f64) -> u64 {
        let curves = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let known = |key: &LengthKey| curves.get(key).filter(|c| c.is_known());
        let curve = known(key).or_else(|| known(&key.of_all()));
        let unknown = UNKNOWN_LENGTH.saturating_sub(produced).max(produced);
        let remaining = curve.map_or(unknown.max(1), |c| c.remaining(produced, quantile));
        match key.cap {
            0 => remaining,
            cap => remaining.min(cap.saturating_sub(produced)),
        }
    }
}
