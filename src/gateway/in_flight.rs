//! Counts requests in progress, per connection and in total.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Counter of requests in progress. Clones share their count.
#[derive(Clone, Debug, Default)]
pub struct InFlightCounter(Arc<AtomicUsize>);

impl InFlightCounter {
    /// Returns the number of requests in progress.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Guard that counts a request, for its connection and in total, until it is
/// dropped.
#[derive(Debug)]
pub struct InFlightGuard([InFlightCounter; 2]);

impl InFlightGuard {
    /// Counts a request in both counters.
    #[must_use]
    pub fn start(counters: [&InFlightCounter; 2]) -> Self {
        for counter in counters {
            counter.0.fetch_add(1, Ordering::Relaxed);
        }
        Self(counters.map(InFlightCounter::clone))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        for counter in &self.0 {
            counter.0.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
