//! Recent changes of one topic, so that peers get only what they lack.

use std::collections::VecDeque;

use super::model::Change;
use crate::platform::Revision;

/// Batches kept; peers ask several times a second, and one that lacks more
/// takes the whole topic.
const KEPT: usize = 64;

/// Changes of one topic up to a revision.
///
/// Invariant: entries are contiguous; each covers the revisions from the end
/// of the one before up to its own.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// Changes are known from this revision on.
    from: Revision,
    /// The topic is known up to this revision.
    at: Revision,
    entries: VecDeque<(Revision, Vec<Change>)>,
}

impl ChangeLog {
    /// Revision up to which the topic is known; 0 before the first read.
    #[must_use]
    pub fn at(&self) -> Revision {
        self.at
    }

    /// Revision of the last change that is known.
    #[must_use]
    pub fn changed_at(&self) -> Revision {
        self.entries.back().map_or(self.from, |(at, _)| *at)
    }

    /// Starts anew after a whole read at a revision.
    pub fn restart(&mut self, at: Revision) {
        *self = Self {
            from: at,
            at,
            entries: VecDeque::new(),
        };
    }

    /// Adds changes that lead up to a revision.
    pub fn push(&mut self, at: Revision, changes: &[Change]) {
        if at < self.at {
            return;
        }
        self.at = at;
        if changes.is_empty() {
            return;
        }
        self.entries.push_back((at, changes.to_vec()));
        if self.entries.len() > KEPT
            && let Some((at, _)) = self.entries.pop_front()
        {
            self.from = at;
        }
    }

    /// Changes after a revision; `None` where the whole topic is needed.
    #[must_use]
    pub fn since(&self, revision: Revision) -> Option<Vec<Change>> {
        if revision < self.from || self.at == 0 {
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
