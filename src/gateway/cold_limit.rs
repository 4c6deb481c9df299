//! Limits the rate of requests that this daemon sends to cold targets.
//!
//! Load pattern: the targets of a zone that returns to service are cold and empty,
//! so that every daemon would choose them at once. Each daemon keeps to its share of
//! the rate that a cold target can take. If the share is less than one request per
//! second, rendezvous hashing selects a few daemons, which send one request per
//! second each. Each daemon computes this selection from its list of daemons, so no
//! messages are exchanged for it.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use super::{model::TargetId, peers::DaemonName};
use crate::{cell, clock::BootTime};

/// Fraction of a target's limit that is divided among the daemons. The rest covers
/// daemons that are missing from this daemon's list, and requests that are delayed
/// in transit.
const ALLOTTED_FRACTION: f64 = 0.6;
/// Window over which requests are counted: one second, plus a margin for timers
/// that fire late.
const WINDOW: Duration = Duration::from_millis(1_200);

/// Returns how many requests per second this daemon may send to a cold target, where
/// `limit` is the rate allowed for all `daemons` together, this one included. Returns 0
/// as long as no daemon is known.
#[must_use]
pub fn cold_request_quota(target: &str, daemon: &str, limit: f64, daemons: &[DaemonName]) -> u32 {
    if daemons.is_empty() {
        return 0;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range of u32"
    )]
    let allotted = (limit * ALLOTTED_FRACTION).clamp(0.0, f64::from(u32::MAX)) as u32;
    let count = u32::try_from(daemons.len()).unwrap_or(u32::MAX);
    if allotted >= count {
        return allotted / count;
    }
    let own_rank = (cell::score(target, daemon), daemon);
    let higher_ranked = daemons
        .iter()
        .filter(|name| (cell::score(target, name), &***name) > own_rank);
    u32::from(higher_ranked.count() < allotted as usize)
}

/// Quotas of this daemon by cold target, kept until the list of daemons changes: to
/// compute one takes a hash for each daemon.
#[derive(Debug, Default)]
pub struct ColdQuotas(Mutex<KnownQuotas>);

#[derive(Debug, Default)]
struct KnownQuotas {
    /// Daemons for which the quotas were computed.
    daemons: Arc<Vec<DaemonName>>,
    /// Limit and quota of each target.
    by_target: HashMap<TargetId, (f64, u32)>,
}

impl ColdQuotas {
    /// Returns the same as [`cold_request_quota`].
    #[must_use]
    pub fn get(
        &self,
        target: &str,
        daemon: &str,
        limit: f64,
        daemons: &Arc<Vec<DaemonName>>,
    ) -> u32 {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&known.daemons, daemons) {
            known.daemons = daemons.clone();
            known.by_target.clear();
        }
        if let Some((known_limit, quota)) = known.by_target.get(target)
            && known_limit.total_cmp(&limit).is_eq()
        {
            return *quota;
        }
        let quota = cold_request_quota(target, daemon, limit, daemons);
        known.by_target.insert(target.into(), (limit, quota));
        quota
    }
}

/// Times of recent requests to cold targets, by target.
#[derive(Debug, Default)]
pub struct ColdSends(Mutex<HashMap<TargetId, VecDeque<BootTime>>>);

impl ColdSends {
    /// Returns whether one more request to a target now stays within `quota`.
    #[must_use]
    pub fn has_room(&self, target: &str, quota: u32, now: BootTime) -> bool {
        let mut sends = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(times) = sends.get_mut(target) else {
            return quota > 0;
        };
        while times.front().is_some_and(|at| *at + WINDOW < now) {
            times.pop_front();
        }
        times.len() < quota as usize
    }

    /// Records a request to a cold target.
    pub fn record(&self, target: &str, now: BootTime) {
        let mut sends = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        sends.retain(|_, times| times.back().is_some_and(|at| *at + WINDOW >= now));
        sends.entry(target.into()).or_default().push_back(now);
    }
}
