//! Limits repeated sends (retries and resumed runs) to a budget that all daemons
//! share.
//!
//! Load pattern: an engine that is reclaimed breaks all of its runs at once, and
//! only a few daemons serve these runs, while the fleet as a whole repeats few
//! sends. One part of the budget is reserved and divided among the daemons; a
//! daemon may always use its share of it, so that the total stays within the budget
//! even while daemons receive no messages from each other. The rest is available to
//! any daemon that needs it, based on the counts that all daemons have reported.
//!
//! Second load pattern: all engines of a service restart at once, and each declines the
//! requests that are meant for its previous run. Every daemon then has sends to repeat
//! at the same moment, more than the rest of the budget allows before the first of them
//! is reported. A repeat of a send that a target declined, or that failed otherwise and
//! costs the caller little, therefore takes at most one from the rest within the delay
//! of the reports; a broken run may take more.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::peer_wire::{TargetKey, target_key};
use crate::clock::BootTime;

/// Fraction of the budget that is reserved and divided among the daemons.
const RESERVED_FRACTION: f64 = 0.4;
/// Fraction of the budget up to which the reported total of all daemons may grow.
/// The rest covers sends that other daemons have not reported yet.
const TOTAL_USE_LIMIT: f64 = 0.55;

/// Time within which the reports of other daemons show a repeated send: the longest
/// interval between two reports, and the delays between zones.
const REPORT_DELAY: Duration = Duration::from_millis(800);

/// Why a send is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatReason {
    /// A run broke, and is resumed.
    BrokenRun,
    /// A target declined the request, or its response cannot be used.
    OtherTarget,
}

/// Numbers of sends within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendCounts {
    /// Number of first sends of requests.
    pub firsts: u32,
    /// Number of repeated sends.
    pub repeats: u32,
}

impl SendCounts {
    /// Adds the counts of another daemon or group of daemons.
    pub fn add(&mut self, other: SendCounts) {
        self.firsts += other.firsts;
        self.repeats += other.repeats;
    }
}

/// Budget for repeated sends, which all daemons together do not exceed.
#[derive(Clone, Copy, Debug)]
pub struct SendBudget {
    /// Repeated sends allowed per first send.
    pub share: f64,
    /// Repeated sends allowed per window in addition to `share`.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Times of recent sends to one service.
#[derive(Debug, Default)]
pub struct SendHistory {
    /// Times of first sends, oldest first.
    firsts: VecDeque<BootTime>,
    /// Times of repeated sends, oldest first.
    repeats: VecDeque<BootTime>,
}

impl SendHistory {
    /// Records a request's first send.
    pub fn record_first(&mut self, now: BootTime) {
        self.firsts.push_back(now);
    }

    /// Records one repeated send if the budget allows it, and returns whether it
    /// does. `daemons` is the number of daemons, `others` what the other daemons
    /// have sent.
    pub fn try_repeat(
        &mut self,
        reason: RepeatReason,
        now: BootTime,
        budget: &SendBudget,
        daemons: usize,
        others: SendCounts,
    ) -> bool {
        let own = self.counts(now, budget.window);
        let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
        let own_budget = f64::from(own.firsts) * budget.share + budget.extra / f64::from(daemons);
        let mut total = own;
        total.add(others);
        let total_budget = f64::from(total.firsts) * budget.share + budget.extra;
        let is_unreported = |at: &BootTime| now.saturating_sub(*at) < REPORT_DELAY;
        let may_share =
            reason == RepeatReason::BrokenRun || !self.repeats.back().is_some_and(is_unreported);
        let is_allowed = f64::from(own.repeats + 1) <= own_budget * RESERVED_FRACTION
            || (may_share && f64::from(total.repeats + 1) <= total_budget * TOTAL_USE_LIMIT);
        if is_allowed {
            self.repeats.push_back(now);
        }
        is_allowed
    }

    /// Returns the numbers of sends within the window that ends now, and discards
    /// older ones.
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

/// Recent sends of this daemon, by the hash of the service's name. Clones share
/// their state.
#[derive(Clone, Debug, Default)]
pub struct SendTracker(Arc<Mutex<HashMap<TargetKey, SendHistory>>>);

impl SendTracker {
    /// Calls `act` with the sends of a service and returns its result.
    pub fn with<T>(&self, service: &str, act: impl FnOnce(&mut SendHistory) -> T) -> T {
        let mut services = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        act(services.entry(target_key(service)).or_default())
    }

    /// Returns the counts of all services that have any sends within the window, and forgets
    /// the others.
    #[must_use]
    pub fn counts(&self, now: BootTime, window: Duration) -> Vec<(TargetKey, SendCounts)> {
        let mut services = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut all = Vec::new();
        services.retain(|key, sends| {
            let counts = sends.counts(now, window);
            let is_any = counts != SendCounts::default();
            all.extend(is_any.then_some((*key, counts)));
            is_any
        });
        all
    }
}
