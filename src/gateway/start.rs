//! Decides whether a daemon that has just started reads the store itself, or waits for
//! daemons that already have what it needs.
//!
//! Load pattern: a fleet of hundreds of daemons starts at once, or returns at once after
//! a loss of power. If each of them read every topic, a start would cost more calls than
//! the rest of the day. A daemon therefore first learns which other daemons exist, from
//! the store's list or from the seeds in its settings, and gives those that rank above it
//! time to answer.

use std::time::Duration;

use crate::clock::BootTime;

/// How long a daemon with seeds waits for the list of daemons to name others. While a
/// whole system starts for the first time, the list fills within a few seconds.
const LIST_WAIT: Duration = Duration::from_secs(5);
/// How long a daemon without a configuration waits for an answer once it knows of other
/// daemons: three of its queries, and a read of the store by the daemon that answers.
const ANSWER_WAIT: Duration = Duration::from_millis(600);

/// What a daemon knows at its start.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Time at which the daemon started.
    pub began: BootTime,
    /// Whether the settings name other daemons to ask, and not this one.
    pub has_seeds: bool,
    /// Time at which the store's list first named other daemons; `None` before that.
    pub list_known_at: Option<BootTime>,
}

impl Start {
    /// Returns whether the daemon leaves reading the store to others for now.
    ///
    /// `has_config` says whether it has a confirmed configuration, and `is_first` whether
    /// no known daemon ranks above it, so that none would read for it.
    #[must_use]
    pub fn waits(&self, has_config: bool, is_first: bool, now: BootTime) -> bool {
        match self.list_known_at {
            None => self.has_seeds && now.saturating_sub(self.began) < LIST_WAIT,
            Some(_) if has_config || is_first => false,
            Some(known_at) => now.saturating_sub(known_at) < ANSWER_WAIT,
        }
    }
}
