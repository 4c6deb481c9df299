//! How much this daemon may send to a target that is still cold.
//!
//! Load pattern: a zone comes back cold and empty, so that every daemon would
//! choose its targets at once. Each keeps to a share of what a target bears;
//! where that is less than one request, a few daemons that all find by hashing
//! send one a second each. Daemons need not hear from one another for that.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use super::{model::TargetId, peers::DaemonName};
use crate::{cell, clock::BootTime};

/// Part of what a target bears that is shared out. The rest covers daemons
/// that this one has not heard of, and sends that are held up on their way.
const SHARED_OUT: f64 = 0.6;
/// Window of the limit, with some room for timers that fire late.
const WINDOW: Duration = Duration::from_millis(1_200);

/// Requests that this daemon may send to a cold target within a second, of
/// `limit` that all `daemons`, this one among them, together may.
#[must_use]
pub fn cold_share(target: &str, daemon: &str, limit: f64, daemons: &[DaemonName]) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small and positive"
    )]
    let shared_out = (limit * SHARED_OUT).clamp(0.0, f64::from(u32::MAX)) as u32;
    let count = u32::try_from(daemons.len().max(1)).unwrap_or(u32::MAX);
    if shared_out >= count {
        return shared_out / count;
    }
    let own = (cell::score(target, daemon), daemon);
    let better = daemons
        .iter()
        .filter(|name| (cell::score(target, name), &***name) > own);
    u32::from(better.count() < shared_out as usize)
}

/// Requests sent to cold targets lately.
#[derive(Debug, Default)]
pub struct ColdSends(Mutex<HashMap<TargetId, VecDeque<BootTime>>>);

impl ColdSends {
    /// Whether `share` leaves one more request to a target now.
    #[must_use]
    pub fn has_room(&self, target: &str, share: u32, now: BootTime) -> bool {
        let mut sends = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(times) = sends.get_mut(target) else {
            return share > 0;
        };
        while times.front().is_some_and(|at| *at + WINDOW < now) {
            times.pop_front();
        }
        times.len() < share as usize
    }

    /// Counts a request to a cold target.
    pub fn note(&self, target: &str, now: BootTime) {
        let mut sends = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        sends.retain(|_, times| times.back().is_some_and(|at| *at + WINDOW >= now));
        sends.entry(target.into()).or_default().push_back(now);
    }
}
