//! How many repeated sends the budget of all daemons leaves this one.
//!
//! Load pattern: an engine that is reclaimed breaks all of its runs at once, at
//! the few daemons that have them, while the fleet as a whole repeats little.
//! Each daemon may use its own share of a part of the budget in any case, so
//! that the sum holds while daemons do not hear from each other; the rest goes
//! to whoever needs it, by what all have told.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::peer_wire::{TargetKey, target_key};
use crate::clock::BootTime;

/// Part of the budget that is shared out among daemons beforehand.
const SHARED_OUT: f64 = 0.4;
/// Part of the budget up to which what all have used is let grow. The rest
/// covers sends that others have not told of yet.
const USED_MOST: f64 = 0.55;

/// Sends within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendCounts {
    /// First sends of requests.
    pub firsts: u32,
    /// Repeated sends.
    pub repeats: u32,
}

impl SendCounts {
    /// Adds the sends of others.
    pub fn add(&mut self, other: SendCounts) {
        self.firsts += other.firsts;
        self.repeats += other.repeats;
    }
}

/// What the promised bounds allow all daemons together.
#[derive(Clone, Copy, Debug)]
pub struct SendBudget {
    /// Repeated sends per first send…
    pub share: f64,
    /// …and so many more in a window…
    pub extra: f64,
    /// …of this length.
    pub window: Duration,
}

/// Sends to one service.
#[derive(Debug, Default)]
pub struct ExtraSends {
    /// Times of first sends, oldest first.
    firsts: VecDeque<BootTime>,
    /// Times of repeated sends, oldest first.
    repeats: VecDeque<BootTime>,
}

impl ExtraSends {
    /// Counts a request's first send.
    pub fn note_first(&mut self, now: BootTime) {
        self.firsts.push_back(now);
    }

    /// Takes one repeated send if the budget leaves one, given how many
    /// `daemons` there are and what the `others` have sent.
    pub fn try_repeat(
        &mut self,
        now: BootTime,
        budget: &SendBudget,
        daemons: usize,
        others: SendCounts,
    ) -> bool {
        let own = self.counts(now, budget.window);
        let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
        let reserved = f64::from(own.firsts) * budget.share + budget.extra / f64::from(daemons);
        let mut all = own;
        all.add(others);
        let allowed = f64::from(all.firsts) * budget.share + budget.extra;
        let is_left = f64::from(own.repeats + 1) <= reserved * SHARED_OUT
            || f64::from(all.repeats + 1) <= allowed * USED_MOST;
        if is_left {
            self.repeats.push_back(now);
        }
        is_left
    }

    /// Sends within the window that ends now.
    pub fn counts(&mut self, now: BootTime, window: Duration) -> SendCounts {
        let from = now.saturating_sub(window);
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|at| *at < from) {
                times.pop_front();
            }
        }
        let count = |times: &VecDeque<_>| u32::try_from(times.len()).unwrap_or(u32::MAX);
        SendCounts {
            firsts: count(&self.firsts),
            repeats: count(&self.repeats),
        }
    }
}

/// Sends of this daemon, by service.
#[derive(Clone, Debug, Default)]
pub struct SendBook(Arc<Mutex<HashMap<TargetKey, ExtraSends>>>);

impl SendBook {
    /// Works on the sends of a service.
    pub fn with<T>(&self, service: &str, act: impl FnOnce(&mut ExtraSends) -> T) -> T {
        let mut book = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        act(book.entry(target_key(service)).or_default())
    }

    /// Counts of all services.
    #[must_use]
    pub fn all(&self, now: BootTime, window: Duration) -> Vec<(TargetKey, SendCounts)> {
        let mut book = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = book
            .iter_mut()
            .map(|(key, sends)| (*key, sends.counts(now, window)));
        counts
            .filter(|(_, counts)| *counts != SendCounts::default())
            .collect()
    }
}
