//! The versions of one service: the order for one of them, and those that get no requests.
//!
//! Load pattern: targets of a new version may be seen before the order to roll it out, and after
//! an order has ended its targets may still be listed. Neither may get requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    active_rollout::ActiveRollout,
    rollout::{Rollout, RolloutState},
};
use crate::{clock::BootTime, log::shown};

/// Time for which a version that appears beside another one, without an order, gets nothing: the
/// order is read by another watch and may come later.
const HOLD_WITHOUT_ORDER: Duration = Duration::from_secs(3);
/// Time after its last target is gone for which a version is remembered.
const VERSION_KEPT_FOR: Duration = Duration::from_secs(60);
/// Time during which a version has been seen.
#[derive(Clone, Copy, Debug)]
struct Seen {
    first: BootTime,
    last: BootTime,
}

#[derive(Debug, Default)]
pub(super) struct ServiceRollout {
    pub active: Option<ActiveRollout>,
    /// Versions whose order ended without completion.
    banned: BTreeSet<Box<str>>,
    seen: BTreeMap<Box<str>, Seen>,
}

impl ServiceRollout {
    /// Ends the order. Its version gets nothing more unless it was completed.
    pub fn end_order(&mut self) {
        if let Some(ended) = self.active.take().filter(|a| !a.is_completed) {
            log::info!(
                "event=rollout_order_gone service={} version={}",
                shown(&ended.order.service),
                shown(&ended.order.version)
            );
            self.banned.insert(ended.order.version);
        }
    }

    pub fn put_order(&mut self, rollout: &Rollout, number: u64, daemon: &str, now: BootTime) {
        if let Some(active) = &mut self.active
            && !active.is_replaced_by(rollout)
        {
            return;
        }
        self.end_order();
        self.banned.remove(&rollout.order.version);
        if let Some((RolloutState::RolledBack, version)) = &rollout.status
            && *version != rollout.order.version
        {
            self.banned.insert(version.clone());
        }
        self.active = Some(ActiveRollout::new(rollout, number, daemon, now));
    }

    /// Records that a target of a version is listed. A version that is new counts as seen since
    /// `first`.
    pub fn record_version(&mut self, version: &str, first: BootTime, now: BootTime) {
        if let Some(seen) = self.seen.get_mut(version) {
            seen.last = now;
        } else {
            let seen = Seen { first, last: now };
            self.seen.insert(version.into(), seen);
        }
    }

    /// Forgets versions whose targets are gone.
    pub fn forget_versions(&mut self, now: BootTime) {
        self.seen
            .retain(|_, seen| now.saturating_sub(seen.last) < VERSION_KEPT_FOR);
    }

    /// Returns the versions that get nothing, whatever the order says.
    pub fn excluded(&self, now: BootTime) -> Vec<Box<str>> {
        let newest = self.seen.values().map(|s| s.last).max().unwrap_or_default();
        let mut excluded: Vec<_> = self.banned.iter().cloned().collect();
        for (version, seen) in &self.seen {
            let ordered = self.active.as_ref().map(|a| &a.order.version);
            let is_beside_older = self
                .seen
                .values()
                .any(|other| other.last == newest && other.first < seen.first);
            let is_held = now.saturating_sub(seen.first) < HOLD_WITHOUT_ORDER
                && is_beside_older
                && ordered != Some(version);
            if is_held {
                excluded.push(version.clone());
            }
        }
        excluded
    }
}
