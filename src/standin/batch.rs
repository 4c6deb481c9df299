//! Models the batch of an engine: continuous batching with limited memory,
//! preemption with recomputation, priorities, a prefix cache and a cold start.
//!
//! The model only computes how long each step takes. The engine stand-in sleeps
//! for that time; unit tests run the model without waiting.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    prefix::{BlockHash, PrefixCache},
    wire::GenerationId,
};

/// Capacity and speed of the modelled engine.
#[derive(Clone, Debug)]
pub struct BatchLimits {
    /// Capacity of the KV cache, in tokens.
    pub kv_tokens: u64,
    /// Maximum number of sequences that are decoded together.
    pub max_batch: usize,
    /// Duration of a decoding step with one sequence.
    pub step: Duration,
    /// Added duration of a step per additional sequence.
    pub step_growth: Duration,
    /// Prefill rate, in prompt tokens per millisecond.
    pub prefill_per_ms: u64,
    /// Total duration of steps after which the engine is warm.
    pub cold: Duration,
    /// Maximum number of sequences, waiting ones included, at which a cold engine
    /// does not fail.
    pub max_cold_sequences: usize,
    /// Capacity of the prefix cache, in prompt blocks.
    pub cache_blocks: usize,
}

/// Generation in the batch, running or waiting.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Number of tokens of its prompt.
    pub prompt_tokens: u64,
    /// Number of tokens of its whole output.
    pub length: u64,
    /// Number of tokens generated so far.
    pub produced: u64,
    /// Priority; sequences with a higher one are admitted first and preempted
    /// last.
    pub priority: i32,
    /// Position in the order of arrival.
    arrived: u64,
    /// Hashes of the prompt's blocks, each of which covers all blocks before it.
    blocks: Vec<BlockHash>,
    /// Whether it holds memory and is decoded; otherwise it waits.
    is_running: bool,
}

impl Sequence {
    /// Creates a waiting sequence whose prompt is not cached.
    #[must_use]
    pub fn new(prompt_tokens: u64, length: u64, priority: i32) -> Self {
        Self {
            prompt_tokens,
            length,
            produced: 0,
            priority,
            arrived: 0,
            blocks: Vec::new(),
            is_running: false,
        }
    }

    /// Sets the blocks of the prompt, for the prefix cache.
    #[must_use]
    pub fn with_blocks(mut self, blocks: Vec<BlockHash>) -> Self {
        self.blocks = blocks;
        self
    }

    /// Returns the number of tokens that it holds in memory while it runs.
    fn held_tokens(&self) -> u64 {
        self.prompt_tokens + self.produced
    }

    fn is_done(&self) -> bool {
        self.produced >= self.length
    }
}

/// Sequences of an engine, with its memory and its prefix cache.
///
/// Invariant: `kv_used` and `running` are the sums over running sequences.
pub struct Batch {
    limits: BatchLimits,
    sequences: BTreeMap<GenerationId, Sequence>,
    /// Number of sequences added since the start.
    arrivals: u64,
    /// Total duration of all steps since the start.
    worked: Duration,
    kv_used: u64,
    running: usize,
    /// Cache of prompt blocks that need no prefill.
    pub cache: PrefixCache,
    /// Number of preemptions since the start.
    pub preemptions: u64,
    /// Number of tokens generated since the start.
    pub tokens: u64,
}

/// Result of a decoding step.
pub struct Step {
    /// Duration of the step, prefill included.
    pub time: Duration,
    /// Sequences that generated a token.
    pub advanced: Vec<GenerationId>,
    /// Sequences that were preempted.
    pub preempted: Vec<GenerationId>,
}

impl Batch {
    /// Creates an empty batch, cold if `limits` has a cold time.
    #[must_use]
    pub fn new(limits: BatchLimits) -> Self {
        Self {
            cache: PrefixCache::new(limits.cache_blocks),
            limits,
            sequences: BTreeMap::new(),
            arrivals: 0,
            worked: Duration::ZERO,
            kv_used: 0,
            running: 0,
            preemptions: 0,
            tokens: 0,
        }
    }

    /// Adds a sequence. Returns `false` if the engine fails, because it is cold and
    /// has more sequences than it can take.
    #[must_use]
    pub fn add(&mut self, id: GenerationId, mut sequence: Sequence) -> bool {
        self.arrivals += 1;
        sequence.arrived = self.arrivals;
        self.sequences.insert(id, sequence);
        !self.is_cold() || self.sequences.len() <= self.limits.max_cold_sequences
    }

    /// Removes a sequence, running or waiting.
    pub fn remove(&mut self, id: &str) {
        let removed = self.sequences.remove(id);
        if let Some(sequence) = removed.filter(|s| s.is_running) {
            self.kv_used -= sequence.held_tokens();
            self.running -= 1;
        }
    }

    /// Returns a sequence, or `None` if it has ended or is unknown.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Sequence> {
        self.sequences.get(id)
    }

    /// Returns whether the engine is still cold after its start.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.worked < self.limits.cold
    }

    /// Returns whether no sequence is running or waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sequences.is_empty()
    }

    /// Returns the number of running sequences.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of waiting sequences.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.sequences.len() - self.running
    }

    /// Returns the number of tokens in memory.
    #[must_use]
    pub fn kv_used(&self) -> u64 {
        self.kv_used
    }

    /// Admits waiting sequences, preempts some if memory is full, and decodes one
    /// token of each running sequence.
    pub fn step(&mut self) -> Step {
        let prefill = self.admit();
        let preempted = self.preempt();
        let decoded = u32::try_from(self.running).unwrap_or(u32::MAX);
        let mut advanced = Vec::with_capacity(self.running);
        for (id, sequence) in &mut self.sequences {
            if sequence.is_running {
                sequence.produced += 1;
                advanced.push(id.clone());
            }
        }
        self.tokens += advanced.len() as u64;
        self.kv_used += advanced.len() as u64;
        self.remove_finished();
        let growth = self.limits.step_growth * decoded.saturating_sub(1);
        let time = self.limits.step + growth + prefill;
        self.worked += time;
        Step {
            time,
            advanced,
            preempted,
        }
    }

    /// Removes sequences that have generated all their tokens.
    fn remove_finished(&mut self) {
        let (mut freed, mut ended) = (0, 0);
        self.sequences.retain(|_, s| {
            if s.is_done() {
                freed += s.held_tokens();
                ended += 1;
            }
            !s.is_done()
        });
        self.kv_used -= freed;
        self.running -= ended;
    }

    /// Admits waiting sequences in order of priority and arrival, until one does
    /// not fit. Returns the time of their prefill, which includes the recomputation
    /// of tokens lost in a preemption.
    fn admit(&mut self) -> Duration {
        if self.waiting() == 0 {
            return Duration::ZERO;
        }
        let mut waiting: Vec<&mut Sequence> = self
            .sequences
            .values_mut()
            .filter(|s| !s.is_running)
            .collect();
        waiting.sort_by_key(|s| (-s.priority, s.arrived));
        let mut prefill_tokens = 0;
        for sequence in waiting {
            let held = sequence.held_tokens();
            let is_full = self.kv_used + held + 1 > self.limits.kv_tokens;
            if self.running >= self.limits.max_batch || is_full {
                break;
            }
            sequence.is_running = true;
            self.running += 1;
            self.kv_used += held;
            let cached = self.cache.insert_prompt(&sequence.blocks);
            prefill_tokens += held - cached.min(sequence.prompt_tokens);
        }
        Duration::from_millis(prefill_tokens / self.limits.prefill_per_ms.max(1))
    }

    /// Preempts running sequences until one more token of each fits in memory: the
    /// newest of the lowest priority first. At least one keeps running.
    fn preempt(&mut self) -> Vec<GenerationId> {
        let mut preempted = Vec::new();
        while self.kv_used + self.running as u64 > self.limits.kv_tokens && self.running > 1 {
            let running = self.sequences.iter_mut().filter(|(_, s)| s.is_running);
            let Some((id, last)) = running.max_by_key(|(_, s)| (-s.priority, s.arrived)) else {
                break;
            };
            last.is_running = false;
            self.kv_used -= last.held_tokens();
            self.running -= 1;
            self.preemptions += 1;
            preempted.push(id.clone());
        }
        preempted
    }
}
