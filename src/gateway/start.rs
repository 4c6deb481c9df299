//! Decides whether a daemon that has just started reads the store itself, or waits for
//! daemons that already have what it needs.
//!
//! Load pattern: a fleet of hundreds of daemons starts at once, or returns at once after
//! a loss of power. If each of them read every topic, a start would cost more calls than
//! the rest of the day. A daemon therefore first obtains the list of daemons from the
//! store, or queries the seeds in its settings, and then waits for answers of those that
//! rank above it.

use std::time::Duration;

use crate::clock::BootTime;

/// How long a daemon waits for a list of daemons that it can rely on. While a whole
/// system starts for the first time, the list fills within a few seconds.
const LIST_WAIT: Duration = Duration::from_secs(5);
/// How long a daemon waits for answers once it knows the other daemons: three of its
/// queries, and a read of the store by the daemon that answers.
const ANSWER_WAIT: Duration = Duration::from_millis(600);
/// Number of reads of the list after which a daemon that it did not name at first relies
/// on it: daemons that started at the same time are in there by then.
const RELIABLE_READS: u32 = 2;

/// What a daemon knows of the others at its start.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Time at which the daemon started.
    pub began: BootTime,
    /// Whether the settings name other daemons to ask, and not this one.
    pub has_seeds: bool,
    /// Number of successful reads of the list.
    list_reads: u32,
    /// Time since which the list is known and relied on; `None` before that.
    list_known_at: Option<BootTime>,
}

impl Start {
    /// Creates the state of a daemon that started at `began`.
    #[must_use]
    pub fn new(began: BootTime, has_seeds: bool) -> Self {
        Self {
            began,
            has_seeds,
            list_reads: 0,
            list_known_at: None,
        }
    }

    /// Records a read of the list, and whether it names this daemon and others. If it
    /// names this daemon at first, it is that of a system that ran before.
    pub fn record_list(&mut self, names_this: bool, names_others: bool, now: BootTime) {
        let was_listed = names_this && self.list_reads == 0;
        self.list_reads += 1;
        if names_others && (was_listed || self.list_reads >= RELIABLE_READS) {
            self.list_known_at.get_or_insert(now);
        }
    }

    /// Returns whether the list is known and relied on.
    #[must_use]
    pub fn has_list(&self) -> bool {
        self.list_known_at.is_some()
    }

    /// Returns whether the daemon leaves reading the store to others for now. `is_first`
    /// says whether no known daemon ranks above it, so that none would read for it.
    #[must_use]
    pub fn waits(&self, is_first: bool, now: BootTime) -> bool {
        let is_waiting = match self.list_known_at {
            None => now.saturating_sub(self.began) < LIST_WAIT,
            Some(known_at) => !is_first && now.saturating_sub(known_at) < ANSWER_WAIT,
        };
        self.has_seeds && is_waiting
    }
}
