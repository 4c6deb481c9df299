//! Tracks the work that this daemon has in progress at each target, and recent
//! failures of targets.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::{
    admission::PRIORITIES,
    model::{TargetId, Tokens},
};
use crate::clock::BootTime;

/// Work in progress at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Number of requests.
    pub requests: u32,
    /// Memory that the requests are expected to take, in tokens.
    pub tokens: Tokens,
    /// Prompt tokens of requests that have not produced their first event yet.
    pub pending_prompt_tokens: Tokens,
}

impl Work {
    /// Adds other work at the same target, if there is any.
    pub fn add(&mut self, other: Option<&Work>) {
        if let Some(other) = other {
            self.requests += other.requests;
            self.tokens += other.tokens;
            self.pending_prompt_tokens += other.pending_prompt_tokens;
        }
    }
}

/// Work of this daemon and recent failures, by target. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    entries: Arc<Mutex<HashMap<TargetId, Entry>>>,
    /// Notified when other daemons are to hear of a change at once.
    report_due: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Entry {
    work: Work,
    /// Pending prompt tokens of this daemon by priority, 0 first.
    unread: [Tokens; PRIORITIES],
    /// Recent failures as of `failures_at`, halved every [`FAILURE_HALF_LIFE`].
    failures: f64,
    failures_at: BootTime,
}

/// Number of failures that an unreachable address counts as: enough to avoid the
/// target until its entry is removed, which takes up to three heartbeats.
const UNREACHABLE_FAILURES: f64 = 8.0;
/// Time in which the failure count halves, so that a target that failed once is
/// tried again within a few seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

impl Entry {
    fn decayed_failures(&self, now: BootTime) -> f64 {
        let age = now.saturating_sub(self.failures_at);
        self.failures * 0.5_f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }
}

impl LoadTracker {
    /// Adds work to a target until the returned guard is dropped.
    #[must_use]
    pub fn reserve(&self, target: &str, work: Work) -> Reservation {
        self.reserve_with_priority(target, work, None)
    }

    /// Does the same as [`Self::reserve`] for a request with a priority, if it has one.
    #[must_use]
    pub fn reserve_with_priority(
        &self,
        target: &str,
        work: Work,
        priority: Option<u8>,
    ) -> Reservation {
        // Work without a priority is not known to be ahead of any other.
        let least_urgent = PRIORITIES - 1;
        let priority = priority.map_or(least_urgent, |p| usize::from(p).min(least_urgent));
        self.update_entry(target, |entry| {
            entry.work.requests += work.requests;
            entry.work.tokens += work.tokens;
            entry.work.pending_prompt_tokens += work.pending_prompt_tokens;
            entry.unread[priority] += work.pending_prompt_tokens;
        });
        if work.pending_prompt_tokens > 0 {
            self.request_report();
        }
        Reservation {
            loads: self.clone(),
            target: target.into(),
            work,
            priority,
        }
    }

    /// Returns the pending prompt tokens of this daemon at a target, by priority.
    #[must_use]
    pub fn unread_by_priority(&self, target: &str) -> [Tokens; PRIORITIES] {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.get(target).map_or([0; PRIORITIES], |e| e.unread)
    }

    /// Returns the handle that is notified when prompt tokens are added, when a prompt has
    /// been prefilled, and by [`Self::request_report`].
    #[must_use]
    pub fn report_requests(&self) -> Arc<Notify> {
        self.report_due.clone()
    }

    /// Has this daemon's work and sends reported to other daemons at once.
    pub fn request_report(&self) {
        self.report_due.notify_one();
    }

    /// Returns this daemon's work at a target and the target's number of recent
    /// failures.
    #[must_use]
    pub fn get(&self, target: &str, now: BootTime) -> (Work, f64) {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = entries.get(target);
        entry.map_or_else(Default::default, |e| (e.work, e.decayed_failures(now)))
    }

    /// Records a failure of a target.
    pub fn record_failure(&self, target: &str, now: BootTime) {
        self.add_failures(target, 1.0, now);
    }

    /// Records that no connection to a target's address could be opened.
    pub fn record_unreachable(&self, target: &str, now: BootTime) {
        self.add_failures(target, UNREACHABLE_FAILURES, now);
    }

    fn add_failures(&self, target: &str, failures: f64, now: BootTime) {
        self.update_entry(target, |entry| {
            entry.failures = entry.decayed_failures(now) + failures;
            entry.failures_at = now;
        });
    }

    /// Returns the work of all targets that have any.
    #[must_use]
    pub fn busy_targets(&self) -> Vec<(TargetId, Work)> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let busy = entries
            .iter()
            .filter(|(_, e)| e.work.requests > 0 || e.work.tokens > 0);
        busy.map(|(id, e)| (id.clone(), e.work)).collect()
    }

    fn update_entry(&self, target: &str, change: impl FnOnce(&mut Entry)) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = entries.get_mut(target) {
            change(entry);
        } else {
            change(entries.entry(target.into()).or_default());
        }
    }

    /// Removes the entries of targets that have no work and are no longer listed.
    pub fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|id, e| e.work.requests > 0 || e.work.tokens > 0 || is_listed(id));
    }
}

/// Guard that counts work at a target until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    loads: LoadTracker,
    target: TargetId,
    work: Work,
    priority: usize,
}

impl Reservation {
    /// Records that the prompt has been prefilled, as the first event shows.
    pub fn record_prefilled(&mut self) {
        let prefilled = std::mem::take(&mut self.work.pending_prompt_tokens);
        self.loads.update_entry(&self.target, |e| {
            e.work.pending_prompt_tokens -= prefilled;
            e.unread[self.priority] -= prefilled;
        });
        if prefilled > 0 {
            self.loads.request_report();
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let work = self.work;
        self.loads.update_entry(&self.target, |e| {
            e.work.requests -= work.requests;
            e.work.tokens -= work.tokens;
            e.work.pending_prompt_tokens -= work.pending_prompt_tokens;
            e.unread[self.priority] -= work.pending_prompt_tokens;
        });
    }
}
