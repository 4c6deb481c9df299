//! Requests in progress, by connection and in all.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Counts requests in progress.
#[derive(Clone, Debug, Default)]
pub struct Usage(Arc<AtomicUsize>);

impl Usage {
    /// Requests in progress.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// A request that counts, on its connection and in all, until dropped.
#[derive(Debug)]
pub struct Running([Usage; 2]);

impl Running {
    /// Starts to count a request.
    #[must_use]
    pub fn start(usages: [&Usage; 2]) -> Self {
        for usage in usages {
            usage.0.fetch_add(1, Ordering::Relaxed);
        }
        Self(usages.map(Usage::clone))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        for usage in &self.0 {
            usage.0.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
