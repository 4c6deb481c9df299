//! Keeps account of the requests in progress, per connection and in total.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering},
    },
};

use crate::{
    clock::{self, BootTime},
    log::shown,
};

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub(crate) enum Stage {
    /// It has certainly not run.
    NotRun,
    /// It was sent to a target and may have run; no response has begun.
    Sent,
    /// The response has been handed to the caller's connection.
    Responding,
}

/// Stage of one request. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress(Arc<AtomicU8>);

impl Progress {
    pub fn stage(&self) -> Stage {
        Stage::from_repr(self.0.load(Ordering::Relaxed)).unwrap_or(Stage::Sent)
    }

    pub fn is_responding(&self) -> bool {
        self.stage() == Stage::Responding
    }

    pub fn set(&self, stage: Stage) {
        self.0.store(stage as u8, Ordering::Relaxed);
    }
}

/// Counter of connections, or of the requests on one. Clones share their count.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightCounter(Arc<AtomicUsize>);

impl InFlightCounter {
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Adds one until the guard is dropped.
    pub fn start(&self) -> CountGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        CountGuard(self.clone())
    }
}

/// Guard that counts one connection or request until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard(InFlightCounter);

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct InFlight {
    /// Id that the caller gave the request; `-` if it gave none.
    pub id: Box<str>,
    pub progress: Progress,
    pub began: BootTime,
}

/// All requests in progress. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightRequests {
    requests: Arc<Mutex<BTreeMap<u64, InFlight>>>,
    started: Arc<AtomicU64>,
}

impl InFlightRequests {
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Returns the number of requests that have no response yet.
    pub fn unanswered_count(&self) -> usize {
        let requests = self.lock();
        let unanswered = requests.values().filter(|r| !r.progress.is_responding());
        unanswered.count()
    }

    /// Removes and returns all requests, oldest first.
    pub fn take(&self) -> Vec<InFlight> {
        std::mem::take(&mut *self.lock()).into_values().collect()
    }

    /// Counts a request, here and on its connection, until the guard is dropped.
    pub fn start(&self, id: Box<str>, on_connection: &InFlightCounter) -> InFlightGuard {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let progress = Progress::default();
        let request = InFlight {
            id,
            progress: progress.clone(),
            began: clock::now(),
        };
        self.lock().insert(number, request);
        InFlightGuard {
            requests: self.clone(),
            number,
            progress,
            _on_connection: on_connection.start(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, InFlight>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that counts a request until it is dropped. Logs that the caller has left if
/// no response has begun by then.
#[derive(Debug)]
pub struct InFlightGuard {
    requests: InFlightRequests,
    number: u64,
    progress: Progress,
    _on_connection: CountGuard,
}

impl InFlightGuard {
    pub(crate) fn progress(&self) -> &Progress {
        &self.progress
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let removed = self.requests.lock().remove(&self.number);
        let unanswered = removed.filter(|r| !r.progress.is_responding());
        if let Some(request) = unanswered {
            log::info!("event=caller_left {}", describe(&request));
        }
    }
}

/// Returns the log fields of a request.
pub(crate) fn describe(request: &InFlight) -> String {
    let age = clock::now().saturating_sub(request.began);
    format!(
        "request={} stage={} age_ms={}",
        shown(&request.id),
        request.progress.stage(),
        clock::millis(age)
    )
}
