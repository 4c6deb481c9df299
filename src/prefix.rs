//! Hashes the blocks of prompts, models an engine's prefix cache, and keeps
//! hints about which engine has cached which prefixes.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::{PoisonError, RwLock},
};

use serde::{Deserialize, Serialize};

use crate::wire::TargetName;

/// Number of prompt tokens in a block.
pub const BLOCK_TOKENS: usize = 16;
/// Maximum number of cache events that an engine keeps for readers.
const MAX_EVENTS: usize = 4096;

/// Hash of a block and of all blocks before it.
pub type BlockHash = u64;

/// Returns the hashes of a prompt's complete blocks. Equal hashes mean equal
/// prefixes.
#[must_use]
pub fn blocks_of(prompt: &str) -> Vec<BlockHash> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hasher = blake3::Hasher::new();
    let mut blocks = Vec::with_capacity(words.len() / BLOCK_TOKENS);
    for block in words.chunks_exact(BLOCK_TOKENS) {
        for word in block {
            hasher.update(word.as_bytes());
            hasher.update(b" ");
        }
        let mut hash = [0; 8];
        hasher.finalize_xof().fill(&mut hash);
        blocks.push(u64::from_le_bytes(hash));
    }
    blocks
}

/// Change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which increases by one with each event so that a reader
    /// detects gaps.
    pub sequence: u64,
    /// Hash of the block.
    pub block: BlockHash,
    /// Whether the block was stored; otherwise it was evicted.
    pub is_stored: bool,
}

/// Prefix cache of an engine, with least-recently-used eviction.
///
/// Invariant: `by_use` and `used_at` hold the same blocks.
pub struct PrefixCache {
    capacity: usize,
    /// Logical time, which increases by one with each use of a block.
    clock: u64,
    used_at: BTreeMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    /// Creates an empty cache of at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used_at: BTreeMap::new(),
            by_use: BTreeMap::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Stores the blocks of a prompt. Returns the number of tokens of the
    /// longest prefix that was cached before.
    pub fn insert_prompt(&mut self, blocks: &[BlockHash]) -> u64 {
        let is_cached = |block: &&BlockHash| self.used_at.contains_key(*block);
        let cached = blocks.iter().take_while(is_cached).count();
        for block in blocks {
            self.touch(*block);
        }
        (cached * BLOCK_TOKENS) as u64
    }

    /// Returns the sequence number of the last event.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the events after `sequence` that are still kept.
    #[must_use]
    pub fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        let later = self.events.iter().filter(|e| e.sequence > sequence);
        later.cloned().collect()
    }

    /// Marks a block as just used, storing it if needed, and evicts the least
    /// recently used blocks above the capacity.
    fn touch(&mut self, block: BlockHash) {
        self.clock += 1;
        match self.used_at.insert(block, self.clock) {
            Some(before) => drop(self.by_use.remove(&before)),
            None => self.push_event(block, true),
        }
        self.by_use.insert(self.clock, block);
        while self.used_at.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            self.used_at.remove(&oldest);
            self.push_event(oldest, false);
        }
    }

    fn push_event(&mut self, block: BlockHash, is_stored: bool) {
        self.sequence += 1;
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            block,
            is_stored,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Blocks that one engine has probably cached. This is only a hint, since
/// events arrive late and some are lost.
#[derive(Clone, Debug, Default)]
pub struct PrefixHint {
    cached: BTreeSet<BlockHash>,
    last_sequence: u64,
}

impl PrefixHint {
    /// Returns the sequence number of the last event applied.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Applies cache events. A gap in the sequence numbers discards all earlier
    /// blocks, since evictions may be among the lost events.
    pub fn apply(&mut self, events: &[CacheEvent]) {
        for event in events {
            if event.sequence <= self.last_sequence {
                continue;
            }
            if event.sequence > self.last_sequence + 1 {
                self.cached.clear();
            }
            self.last_sequence = event.sequence;
            if event.is_stored {
                self.cached.insert(event.block);
            } else {
                self.cached.remove(&event.block);
            }
        }
    }

    /// Returns the number of tokens of a prompt that are probably cached.
    #[must_use]
    pub fn cached_tokens(&self, blocks: &[BlockHash]) -> u64 {
        let cached = blocks
            .iter()
            .take_while(|b| self.cached.contains(b))
            .count();
        (cached * BLOCK_TOKENS) as u64
    }
}

/// Hints of all engines, keyed by target.
#[derive(Default)]
pub(crate) struct PrefixHints(RwLock<HashMap<TargetName, PrefixHint>>);

impl PrefixHints {
    /// Returns the sequence number of the last event applied from a target.
    pub fn last_sequence(&self, target: &str) -> u64 {
        let hints = self.0.read().unwrap_or_else(PoisonError::into_inner);
        hints.get(target).map_or(0, PrefixHint::last_sequence)
    }

    /// Applies cache events of a target.
    pub fn apply(&self, target: &str, events: &[CacheEvent]) {
        if events.is_empty() {
            return;
        }
        let mut hints = self.0.write().unwrap_or_else(PoisonError::into_inner);
        hints.entry(target.into()).or_default().apply(events);
    }

    /// Returns the number of tokens of a prompt that a target has probably
    /// cached.
    pub fn cached_tokens(&self, target: &str, blocks: &[BlockHash]) -> u64 {
        let hints = self.0.read().unwrap_or_else(PoisonError::into_inner);
        hints.get(target).map_or(0, |h| h.cached_tokens(blocks))
    }
}
