//! What this daemon's runs are expected to take of each engine's memory, and
//! who holds and wants places at a service.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::{
    admission::CustomerName,
    lengths::{LengthKey, Lengths},
    prefix::{BlockHash, blocks_of},
    wire::TargetName,
};

/// Quantile of the remaining length that a run is counted with.
const COUNTED_QUANTILE: f64 = 0.75;
/// Quantile of the length that must be short for a request to count as short.
const SHORT_QUANTILE: f64 = 0.9;
/// Longest output of a short request, in tokens.
const SHORT_TOKENS: u64 = 64;
/// A run is estimated anew after this many tokens, and later ones less often.
const REVIEW_TOKENS: u64 = 32;
/// A long run is estimated anew after this part of what it has produced.
const REVIEW_PART: u64 = 8;

/// What a request needs of an engine.
#[derive(Clone, Debug)]
pub(crate) struct Need {
    /// What its length is estimated by.
    pub key: LengthKey,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Blocks of its prompt.
    pub blocks: Vec<BlockHash>,
    /// Memory it is expected to take in the end, in tokens.
    pub tokens: u64,
    /// Its output is expected to be short.
    pub is_short: bool,
}

impl Need {
    pub fn new(footprints: &Footprints, key: LengthKey, prompt: &str) -> Self {
        let prompt_tokens = prompt.split_whitespace().count() as u64;
        let lengths = &footprints.lengths;
        Self {
            prompt_tokens,
            blocks: blocks_of(prompt),
            tokens: prompt_tokens + counted_remaining(lengths, &key, 0),
            is_short: lengths.remaining(&key, 0, SHORT_QUANTILE) <= SHORT_TOKENS,
            key,
        }
    }
}

/// Tokens to count for what a run will still produce.
fn counted_remaining(lengths: &Lengths, key: &LengthKey, produced: u64) -> u64 {
    lengths.remaining(key, produced, COUNTED_QUANTILE)
}

/// Names one customer's use of one service.
type Use = (Box<str>, CustomerName);

#[derive(Default)]
struct Counts {
    reserved: HashMap<TargetName, u64>,
    running: HashMap<Use, u32>,
    waiting: HashMap<Use, u32>,
}

/// Expected memory by target, and places held and wanted by customer.
#[derive(Default)]
pub(crate) struct Footprints {
    /// Curves of the lengths seen.
    pub lengths: Lengths,
    counts: Mutex<Counts>,
}

impl Footprints {
    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tokens that this daemon's runs are expected to take at a target.
    pub fn reserved(&self, target: &str) -> u64 {
        self.counts().reserved.get(target).copied().unwrap_or(0)
    }

    /// Runs of a customer at a service.
    pub fn running(&self, key: &LengthKey) -> u32 {
        let used = use_of(key);
        self.counts().running.get(&used).copied().unwrap_or(0)
    }

    /// Requests that wait for a place at a service.
    pub fn waiting(&self, service: &str) -> u32 {
        let counts = self.counts();
        let at_service = counts.waiting.iter().filter(|(u, _)| &*u.0 == service);
        at_service.map(|(_, n)| n).sum()
    }

    /// Whether another customer waits for a place at the same service.
    pub fn others_wait(&self, key: &LengthKey) -> bool {
        let used = use_of(key);
        let counts = self.counts();
        let mut waiting = counts.waiting.keys();
        waiting.any(|u| u.0 == used.0 && u.1 != used.1)
    }

    /// Counts a request as waiting until the result is dropped.
    pub fn wait(self: &Arc<Self>, key: &LengthKey) -> Waiting {
        let used = use_of(key);
        *self.counts().waiting.entry(used.clone()).or_default() += 1;
        Waiting {
            footprints: self.clone(),
            used,
        }
    }
}

fn use_of(key: &LengthKey) -> Use {
    let customer = key.customer.clone().unwrap_or_default();
    (key.service.clone(), customer)
}

fn count_down(counts: &mut HashMap<Use, u32>, used: &Use) {
    if let Some(count) = counts.get_mut(used) {
        *count -= 1;
        if *count == 0 {
            counts.remove(used);
        }
    }
}

/// A request that waits for a place.
pub(crate) struct Waiting {
    footprints: Arc<Footprints>,
    used: Use,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        count_down(&mut self.footprints.counts().waiting, &self.used);
    }
}

/// The expected memory of one run; dropping it gives the memory back.
///
/// Invariant: `counted` is what the run adds to its target's `reserved`.
pub(crate) struct Footprint {
    footprints: Arc<Footprints>,
    target: TargetName,
    key: LengthKey,
    prompt_tokens: u64,
    produced: u64,
    review_at: u64,
    /// Tokens that the curves have taken in.
    learned: u64,
    counted: u64,
}

impl Footprint {
    pub fn open(footprints: &Arc<Footprints>, target: &str, need: &Need) -> Self {
        let mut counts = footprints.counts();
        *counts.reserved.entry(target.into()).or_default() += need.tokens;
        *counts.running.entry(use_of(&need.key)).or_default() += 1;
        Self {
            footprints: footprints.clone(),
            target: target.into(),
            key: need.key.clone(),
            prompt_tokens: need.prompt_tokens,
            produced: 0,
            review_at: REVIEW_TOKENS,
            learned: 0,
            counted: need.tokens,
        }
    }

    /// Counts one more token, and estimates anew now and then.
    pub fn grow(&mut self) {
        self.produced += 1;
        if self.produced < self.review_at {
            return;
        }
        self.review_at = self.produced + REVIEW_TOKENS.max(self.produced / REVIEW_PART);
        let lengths = &self.footprints.lengths;
        let remaining = counted_remaining(lengths, &self.key, self.produced);
        self.count(self.prompt_tokens + self.produced + remaining);
    }

    /// Learns the length of the whole output.
    pub fn end_whole(&self, tokens: u64) {
        self.footprints
            .lengths
            .record_end(&self.key, self.learned, tokens);
    }

    fn count(&mut self, tokens: u64) {
        let mut counts = self.footprints.counts();
        let reserved = counts.reserved.entry(self.target.clone()).or_default();
        *reserved = *reserved - self.counted + tokens;
        self.counted = tokens;
    }
}

impl Drop for Footprint {
    fn drop(&mut self) {
        self.count(0);
        count_down(&mut self.footprints.counts().running, &use_of(&self.key));
    }
}
