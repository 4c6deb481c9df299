//! Prompt prefixes: their block hashes, an engine's cache of them, and what a
//! daemon believes to be cached where.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::{PoisonError, RwLock},
};

use serde::{Deserialize, Serialize};

use crate::wire::TargetName;

/// Prompt tokens in one block.
pub const BLOCK_TOKENS: usize = 16;
/// Cache events that an engine keeps for readers.
const KEPT_EVENTS: usize = 4096;

/// Hash of a block and of all blocks before it.
pub type BlockHash = u64;

/// Hashes of a prompt's whole blocks; equal hashes mean equal prefixes.
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

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rises by one with each event; a reader sees a gap by it.
    pub sequence: u64,
    /// The block.
    pub block: BlockHash,
    /// It was stored; else it was evicted.
    pub is_stored: bool,
}

/// Blocks that an engine holds, the least recently used evicted first.
///
/// Invariant: `by_use` and `used_at` hold the same blocks.
pub struct PrefixCache {
    most: usize,
    clock: u64,
    used_at: BTreeMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    /// Starts empty; keeps `most` blocks.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most,
            clock: 0,
            used_at: BTreeMap::new(),
            by_use: BTreeMap::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Takes a prompt in; returns the tokens of it that were cached.
    pub fn take_in(&mut self, blocks: &[BlockHash]) -> u64 {
        let is_held = |block: &&BlockHash| self.used_at.contains_key(*block);
        let cached = blocks.iter().take_while(is_held).count();
        for block in blocks {
            self.touch(*block);
        }
        (cached * BLOCK_TOKENS) as u64
    }

    /// Sequence number of the last event.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The events after `sequence` that are still kept.
    #[must_use]
    pub fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        let later = self.events.iter().filter(|e| e.sequence > sequence);
        later.cloned().collect()
    }

    fn touch(&mut self, block: BlockHash) {
        self.clock += 1;
        match self.used_at.insert(block, self.clock) {
            Some(before) => drop(self.by_use.remove(&before)),
            None => self.note(block, true),
        }
        self.by_use.insert(self.clock, block);
        while self.used_at.len() > self.most {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            self.used_at.remove(&oldest);
            self.note(oldest, false);
        }
    }

    fn note(&mut self, block: BlockHash, is_stored: bool) {
        self.sequence += 1;
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            block,
            is_stored,
        });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}

/// What one engine is believed to hold. A hint: events are late and lossy.
#[derive(Clone, Debug, Default)]
pub struct PrefixHint {
    held: BTreeSet<BlockHash>,
    seen: u64,
}

impl PrefixHint {
    /// Sequence number of the last event seen.
    #[must_use]
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Takes in events. After a gap nothing earlier is believed, since an
    /// eviction may be among what was lost.
    pub fn learn(&mut self, events: &[CacheEvent]) {
        for event in events {
            if event.sequence <= self.seen {
                continue;
            }
            if event.sequence > self.seen + 1 {
                self.held.clear();
            }
            self.seen = event.sequence;
            if event.is_stored {
                self.held.insert(event.block);
            } else {
                self.held.remove(&event.block);
            }
        }
    }

    /// Tokens of a prompt that are believed to be cached.
    #[must_use]
    pub fn cached_tokens(&self, blocks: &[BlockHash]) -> u64 {
        let held = blocks.iter().take_while(|b| self.held.contains(b)).count();
        (held * BLOCK_TOKENS) as u64
    }
}

/// Hints of all engines, by target.
#[derive(Default)]
pub(crate) struct PrefixHints(RwLock<HashMap<TargetName, PrefixHint>>);

impl PrefixHints {
    /// Sequence number of the last event seen from a target.
    pub fn seen(&self, target: &str) -> u64 {
        let hints = self.0.read().unwrap_or_else(PoisonError::into_inner);
        hints.get(target).map_or(0, PrefixHint::seen)
    }

    /// Takes in a target's events.
    pub fn learn(&self, target: &str, events: &[CacheEvent]) {
        if events.is_empty() {
            return;
        }
        let mut hints = self.0.write().unwrap_or_else(PoisonError::into_inner);
        hints.entry(target.into()).or_default().learn(events);
    }

    /// Tokens of a prompt that a target is believed to have cached.
    pub fn cached_tokens(&self, target: &str, blocks: &[BlockHash]) -> u64 {
        let hints = self.0.read().unwrap_or_else(PoisonError::into_inner);
        hints.get(target).map_or(0, |h| h.cached_tokens(blocks))
    }
}
