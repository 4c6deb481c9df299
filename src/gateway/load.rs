//! What this daemon has running at each target.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::model::{TargetId, Tokens};
use crate::clock::BootTime;

/// Work at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Requests.
    pub requests: u32,
    /// Tokens of memory that they are expected to take.
    pub tokens: Tokens,
    /// Prompt tokens of requests whose first event is still to come.
    pub unread: Tokens,
}

impl Work {
    /// Adds the work of others.
    pub fn add(&mut self, other: Option<&Work>) {
        if let Some(other) = other {
            self.requests += other.requests;
            self.tokens += other.tokens;
            self.unread += other.unread;
        }
    }
}

/// Work of this daemon by target, and how targets fared lately.
#[derive(Clone, Debug, Default)]
pub struct LoadBook {
    entries: Arc<Mutex<HashMap<TargetId, Entry>>>,
    /// Told when the prompts still to be read change.
    changed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Entry {
    work: Work,
    /// Recent failures, halved every [`FAILURE_HALF_LIFE`].
    failures: f64,
    noted_at: BootTime,
}

/// Failures that an address without an answer counts as: enough to pass it over
/// until its entry is removed, which takes up to three heartbeats.
const DOWN_FAILURES: f64 = 8.0;
/// Time in which the memory of failures halves, so that a target that failed once
/// is tried again within some seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

impl Entry {
    fn failures_at(&self, now: BootTime) -> f64 {
        let age = now.saturating_sub(self.noted_at);
        self.failures * 0.5_f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }
}

impl LoadBook {
    /// Adds work to a target until the returned place is dropped.
    #[must_use]
    pub fn take(&self, target: &str, work: Work) -> Place {
        self.with(target, |entry| {
            entry.work.requests += work.requests;
            entry.work.tokens += work.tokens;
            entry.work.unread += work.unread;
        });
        if work.unread > 0 {
            self.changed.notify_one();
        }
        Place {
            book: self.clone(),
            target: target.into(),
            work,
        }
    }

    /// Told when the prompts still to be read change.
    #[must_use]
    pub fn changes(&self) -> Arc<Notify> {
        self.changed.clone()
    }

    /// Work and failures of a target.
    #[must_use]
    pub fn at(&self, target: &str, now: BootTime) -> (Work, f64) {
        let book = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = book.get(target);
        entry.map_or_else(Default::default, |e| (e.work, e.failures_at(now)))
    }

    /// Notes a failure of a target.
    pub fn note_failure(&self, target: &str, now: BootTime) {
        self.note(target, 1.0, now);
    }

    /// Notes that nothing answers at a target's address.
    pub fn note_down(&self, target: &str, now: BootTime) {
        self.note(target, DOWN_FAILURES, now);
    }

    fn note(&self, target: &str, failures: f64, now: BootTime) {
        self.with(target, |entry| {
            entry.failures = entry.failures_at(now) + failures;
            entry.noted_at = now;
        });
    }

    /// Work of all targets with any.
    #[must_use]
    pub fn all(&self) -> Vec<(TargetId, Work)> {
        let book = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let busy = book
            .iter()
            .filter(|(_, e)| e.work.requests > 0 || e.work.tokens > 0);
        busy.map(|(id, e)| (id.clone(), e.work)).collect()
    }

    fn with(&self, target: &str, change: impl FnOnce(&mut Entry)) {
        let mut book = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = book.get_mut(target) {
            change(entry);
        } else {
            change(book.entry(target.into()).or_default());
        }
    }

    /// Forgets targets without work that are no longer listed.
    pub fn retain(&self, is_listed: impl Fn(&str) -> bool) {
        let mut book = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        book.retain(|id, e| e.work.requests > 0 || e.work.tokens > 0 || is_listed(id));
    }
}

/// Work that counts at a target until dropped.
#[derive(Debug)]
pub struct Place {
    book: LoadBook,
    target: TargetId,
    work: Work,
}

impl Place {
    /// The prompt has been read: the first event is here.
    pub fn note_read(&mut self) {
        let unread = std::mem::take(&mut self.work.unread);
        self.book.with(&self.target, |e| e.work.unread -= unread);
        if unread > 0 {
            self.book.changed.notify_one();
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let work = self.work;
        self.book.with(&self.target, |e| {
            e.work.requests -= work.requests;
            e.work.tokens -= work.tokens;
            e.work.unread -= work.unread;
        });
    }
}
