//! Keeps the recent changes of one topic, so that a peer is sent only the changes
//! after the revision that it already has.

use std::collections::VecDeque;

use super::model::Change;
use crate::platform::Revision;

/// Maximum number of batches kept. Peers query several times a second; a peer that
/// is further behind receives the complete topic.
const MAX_BATCHES: usize = 64;

/// Maximum number of changes kept: as many as a list may have entries.
const MAX_CHANGES: usize = 20_000;

/// The changes of one topic up to a revision.
///
/// Invariant: entries are contiguous; each covers the revisions after that of
/// the previous entry up to its own. All entries belong to the era of `revision`, since
/// a new era begins with a complete read.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// Revision after which the log holds all changes.
    base: Revision,
    /// Revision up to which the topic is known.
    revision: Revision,
    entries: VecDeque<(Revision, Vec<Change>)>,
    /// Number of changes in all entries.
    change_count: usize,
}

impl ChangeLog {
    /// Returns the revision up to which the topic is known; 0 before the first read.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision of the newest change in the log, or that of the complete
    /// read if no change followed it.
    #[must_use]
    pub fn last_change(&self) -> Revision {
        self.entries.back().map_or(self.base, |(at, _)| *at)
    }

    /// Clears the log after the complete topic was read at a revision.
    pub fn restart(&mut self, at: Revision) {
        *self = Self {
            base: at,
            revision: at,
            entries: VecDeque::new(),
            change_count: 0,
        };
    }

    /// Appends the changes up to a revision.
    pub fn push(&mut self, at: Revision, changes: &[Change]) {
        if at < self.revision {
            return;
        }
        self.revision = at;
        if changes.is_empty() {
            return;
        }
        if changes.len() > MAX_CHANGES {
            self.restart(at);
            return;
        }
        self.entries.push_back((at, changes.to_vec()));
        self.change_count += changes.len();
        while (self.entries.len() > MAX_BATCHES || self.change_count > MAX_CHANGES)
            && let Some((at, dropped)) = self.entries.pop_front()
        {
            self.base = at;
            self.change_count -= dropped.len();
        }
    }

    /// Returns the changes after a revision, or `None` if the log does not reach back
    /// that far and the complete topic is needed.
    #[must_use]
    pub fn since(&self, revision: Revision) -> Option<Vec<Change>> {
        if revision < self.base || self.revision == 0 {
            return None;
        }
        let newer = self.entries.iter().filter(|(at, _)| *at > revision);
        Some(
            newer
                .flat_map(|(_, changes)| changes.iter().cloned())
                .collect(),
        )
    }
}
