//! The batch of the engine stand-in: continuous batching with memory that
//! fills up, preemption with recompute, priorities, and a cold start.

use std::{collections::BTreeMap, time::Duration};

use crate::wire::GenerationId;

/// What the batch can do.
#[derive(Clone, Debug)]
pub(crate) struct BatchLimits {
    /// Tokens that fit in memory.
    pub kv_tokens: u64,
    /// Most sequences decoded together.
    pub max_batch: usize,
    /// Time of one decoding step.
    pub step: Duration,
    /// Prompt tokens taken in per millisecond.
    pub prefill_per_ms: u64,
    /// Work time after which the engine is warm.
    pub cold: Duration,
    /// Sequences it bears while cold.
    pub cold_bears: usize,
}

/// One sequence: a generation in the engine.
#[derive(Clone, Debug)]
pub(crate) struct Sequence {
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Tokens it will generate in all.
    pub length: u64,
    /// Tokens generated so far.
    pub produced: u64,
    /// Higher goes first.
    pub priority: i32,
    /// Order of arrival.
    pub arrived: u64,
    /// It holds memory and is decoded; else it waits.
    is_running: bool,
}

impl Sequence {
    pub fn new(prompt_tokens: u64, length: u64, priority: i32) -> Self {
        Self {
            prompt_tokens,
            length,
            produced: 0,
            priority,
            arrived: 0,
            is_running: false,
        }
    }

    fn held_tokens(&self) -> u64 {
        self.prompt_tokens + self.produced
    }

    fn is_done(&self) -> bool {
        self.produced >= self.length
    }
}

/// All sequences of an engine.
pub(crate) struct Batch {
    limits: BatchLimits,
    sequences: BTreeMap<GenerationId, Sequence>,
    arrivals: u64,
    worked: Duration,
    /// Sequences evicted and recomputed since the start.
    pub preemptions: u64,
    /// Tokens generated since the start.
    pub tokens: u64,
}

/// What one step did.
pub(crate) struct Step {
    /// How long it takes.
    pub time: Duration,
    /// Sequences that gained a token.
    pub advanced: Vec<GenerationId>,
    /// Sequences that were evicted.
    pub preempted: Vec<GenerationId>,
}

impl Batch {
    pub fn new(limits: BatchLimits) -> Self {
        Self {
            limits,
            sequences: BTreeMap::new(),
            arrivals: 0,
            worked: Duration::ZERO,
            preemptions: 0,
            tokens: 0,
        }
    }

    /// Adds a sequence. Returns false when a cold engine falls over under it.
    pub fn add(&mut self, id: GenerationId, mut sequence: Sequence) -> bool {
        self.arrivals += 1;
        sequence.arrived = self.arrivals;
        self.sequences.insert(id, sequence);
        !self.is_cold() || self.sequences.len() <= self.limits.cold_bears
    }

    pub fn remove(&mut self, id: &str) {
        self.sequences.remove(id);
    }

    pub fn get(&self, id: &str) -> Option<&Sequence> {
        self.sequences.get(id)
    }

    pub fn is_cold(&self) -> bool {
        self.worked < self.limits.cold
    }

    pub fn is_empty(&self) -> bool {
        self.sequences.is_empty()
    }

    pub fn running(&self) -> usize {
        self.sequences.values().filter(|s| s.is_running).count()
    }

    pub fn waiting(&self) -> usize {
        self.sequences.len() - self.running()
    }

    pub fn kv_used(&self) -> u64 {
        let running = self.sequences.values().filter(|s| s.is_running);
        running.map(Sequence::held_tokens).sum()
    }

    /// Decodes one token of each running sequence.
    pub fn step(&mut self) -> Step {
        let prefill = self.admit();
        let preempted = self.make_room();
        let mut advanced = Vec::new();
        for (id, sequence) in &mut self.sequences {
            if sequence.is_running {
                sequence.produced += 1;
                self.tokens += 1;
                advanced.push(id.clone());
            }
        }
        self.sequences.retain(|_, s| !s.is_done());
        let time = self.limits.step + prefill;
        self.worked += time;
        Step {
            time,
            advanced,
            preempted,
        }
    }

    /// Lets waiting sequences in while memory and batch have room; returns the
    /// time of their prefill, recomputed tokens included.
    fn admit(&mut self) -> Duration {
        let mut free = self.limits.kv_tokens.saturating_sub(self.kv_used());
        let mut places = self.limits.max_batch.saturating_sub(self.running());
        let mut waiting: Vec<&mut Sequence> = self
            .sequences
            .values_mut()
            .filter(|s| !s.is_running)
            .collect();
        waiting.sort_by_key(|s| (-s.priority, s.arrived));
        let mut taken = 0;
        for sequence in waiting {
            let needed = sequence.held_tokens() + 1;
            if places == 0 || needed > free {
                break;
            }
            sequence.is_running = true;
            places -= 1;
            free -= needed;
            taken += sequence.held_tokens();
        }
        Duration::from_millis(taken / self.limits.prefill_per_ms.max(1))
    }

    /// Evicts the last and least important sequences until a step fits.
    fn make_room(&mut self) -> Vec<GenerationId> {
        let mut evicted = Vec::new();
        while self.kv_used() + self.running() as u64 > self.limits.kv_tokens && self.running() > 1 {
            let running = self.sequences.iter_mut().filter(|(_, s)| s.is_running);
            let Some((id, last)) = running.max_by_key(|(_, s)| (-s.priority, s.arrived)) else {
                break;
            };
            last.is_running = false;
            self.preemptions += 1;
            evicted.push(id.clone());
        }
        evicted
    }
}
