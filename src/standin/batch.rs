//! The batch of the engine stand-in: continuous batching with memory that
//! fills up, preemption with recompute, priorities, a prefix cache and a cold
//! start.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    prefix::{BlockHash, PrefixCache},
    wire::GenerationId,
};

/// What the batch can do.
#[derive(Clone, Debug)]
pub struct BatchLimits {
    /// Tokens that fit in memory.
    pub kv_tokens: u64,
    /// Most sequences decoded together.
    pub max_batch: usize,
    /// Time of one decoding step of a single sequence.
    pub step: Duration,
    /// What each further sequence adds to a step.
    pub step_growth: Duration,
    /// Prompt tokens taken in per millisecond.
    pub prefill_per_ms: u64,
    /// Work time after which the engine is warm.
    pub cold: Duration,
    /// Sequences it bears while cold.
    pub cold_bears: usize,
    /// Prompt blocks that the prefix cache keeps.
    pub cache_blocks: usize,
}

/// One sequence: a generation in the engine.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Tokens it will generate in all.
    pub length: u64,
    /// Tokens generated so far.
    pub produced: u64,
    /// Higher goes first.
    pub priority: i32,
    /// Order of arrival.
    arrived: u64,
    /// Hashes of the prompt's blocks, each covering all before it.
    blocks: Vec<BlockHash>,
    /// It holds memory and is decoded; else it waits.
    is_running: bool,
}

impl Sequence {
    /// A sequence without a prompt that could be cached.
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

    /// The same sequence with the blocks of its prompt.
    #[must_use]
    pub fn with_blocks(mut self, blocks: Vec<BlockHash>) -> Self {
        self.blocks = blocks;
        self
    }

    fn held_tokens(&self) -> u64 {
        self.prompt_tokens + self.produced
    }

    fn is_done(&self) -> bool {
        self.produced >= self.length
    }
}

/// All sequences of an engine.
///
/// Invariant: `kv_used` and `running` are the sums over running sequences.
pub struct Batch {
    limits: BatchLimits,
    sequences: BTreeMap<GenerationId, Sequence>,
    arrivals: u64,
    worked: Duration,
    kv_used: u64,
    running: usize,
    /// Prompt blocks that need no prefill.
    pub cache: PrefixCache,
    /// Sequences evicted and recomputed since the start.
    pub preemptions: u64,
    /// Tokens generated since the start.
    pub tokens: u64,
}

/// What one step did.
pub struct Step {
    /// How long it takes.
    pub time: Duration,
    /// Sequences that gained a token.
    pub advanced: Vec<GenerationId>,
    /// Sequences that were evicted.
    pub preempted: Vec<GenerationId>,
}

impl Batch {
    /// Starts empty, cold if the limits say so.
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

    /// Adds a sequence. Returns false when a cold engine falls over under it.
    #[must_use]
    pub fn add(&mut self, id: GenerationId, mut sequence: Sequence) -> bool {
        self.arrivals += 1;
        sequence.arrived = self.arrivals;
        self.sequences.insert(id, sequence);
        !self.is_cold() || self.sequences.len() <= self.limits.cold_bears
    }

    /// Takes a sequence out, whatever it does.
    pub fn remove(&mut self, id: &str) {
        let removed = self.sequences.remove(id);
        if let Some(sequence) = removed.filter(|s| s.is_running) {
            self.kv_used -= sequence.held_tokens();
            self.running -= 1;
        }
    }

    /// A sequence that has not ended.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Sequence> {
        self.sequences.get(id)
    }

    /// Whether it has not worked long enough since its start.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.worked < self.limits.cold
    }

    /// Whether there is nothing to do.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sequences.is_empty()
    }

    /// Sequences that hold memory.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Sequences that wait for memory.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.sequences.len() - self.running
    }

    /// Tokens in memory.
    #[must_use]
    pub fn kv_used(&self) -> u64 {
        self.kv_used
    }

    /// Decodes one token of each running sequence.
    pub fn step(&mut self) -> Step {
        let prefill = self.admit();
        let preempted = self.make_room();
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
        self.drop_done();
        let growth = self.limits.step_growth * decoded.saturating_sub(1);
        let time = self.limits.step + growth + prefill;
        self.worked += time;
        Step {
            time,
            advanced,
            preempted,
        }
    }

    fn drop_done(&mut self) {
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

    /// Lets waiting sequences in while memory and batch have room; returns the
    /// time of their prefill, recomputed tokens included.
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
        let mut taken = 0;
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
            taken += held - cached.min(sequence.prompt_tokens);
        }
        Duration::from_millis(taken / self.limits.prefill_per_ms.max(1))
    }

    /// Evicts the last and least important sequences until a step fits.
    fn make_room(&mut self) -> Vec<GenerationId> {
        let mut evicted = Vec::new();
        while self.kv_used + self.running as u64 > self.limits.kv_tokens && self.running > 1 {
            let running = self.sequences.iter_mut().filter(|(_, s)| s.is_running);
            let Some((id, last)) = running.max_by_key(|(_, s)| (-s.priority, s.arrived)) else {
                break;
            };
            last.is_running = false;
            self.kv_used -= last.held_tokens();
            self.running -= 1;
            self.preemptions += 1;
            evicted.push(id.clone());
        }
        evicted
    }
}
