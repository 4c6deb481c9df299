//! Applies orders and their status from the store to this daemon's view of the fleet.
//!
//! A final status stays in force when a restored store no longer holds it: the targets of the
//! other version have been stopped, or drain. The same holds for an entry that can no longer be
//! decoded. Such services are listed in `Fleet.lost_rollouts` until the store holds a final
//! status again or the operator writes another order.

use std::collections::BTreeSet;

use super::{
    model::{Change, Fleet},
    rollout::{Rollout, RolloutState},
    store_era::{era_of, revision_in_store},
};
use crate::log::shown;

impl RolloutState {
    /// Returns whether a rollout is over.
    #[must_use]
    pub fn is_final(self) -> bool {
        self != Self::Running
    }
}

impl Rollout {
    /// Returns the state of this order; `None` if the status is missing or that of an earlier
    /// order.
    #[must_use]
    pub fn state(&self) -> Option<RolloutState> {
        let (state, version) = self.status.as_ref()?;
        (*version == self.order.version).then_some(*state)
    }

    /// Returns whether the rollout is over.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.state().is_some_and(RolloutState::is_final)
    }
}

impl Fleet {
    pub(super) fn put_rollout(&mut self, rollout: &Rollout) {
        let service = &rollout.order.service;
        let known = self.rollouts.get(service);
        if known.is_some_and(|known| is_outdated(rollout, known)) {
            return;
        }
        if let Some(known) = known
            && self.keeps_final_status(known, rollout)
        {
            let mut kept = known.clone();
            if kept.order == rollout.order {
                kept.revision = rollout.revision;
            }
            let lost = self
                .lost_rollouts
                .insert(service.clone(), Some(rollout.clone()));
            if lost.is_none() {
                log_kept(&kept);
            }
            self.rollouts.insert(service.clone(), kept);
            return;
        }
        self.lost_rollouts.remove(service);
        if known != Some(rollout) {
            log_order(rollout);
        }
        self.rollouts.insert(service.clone(), rollout.clone());
    }

    /// Returns whether the final status of a known rollout stays in force although the store
    /// holds `stored`: the store was restored from a copy that lacks the status, or also the
    /// order. An order is taken for an older one if its revision in the store is lower.
    fn keeps_final_status(&self, known: &Rollout, stored: &Rollout) -> bool {
        if !known.is_over() || stored.is_over() && stored.order == known.order {
            return false;
        }
        let lost = self.lost_rollouts.get(&known.order.service);
        let is_first_of_era = lost.is_none() && era_of(stored.revision) > era_of(known.revision);
        let is_known_loss = lost.is_some_and(|held| {
            let is_held = |held: &Rollout| held.revision == stored.revision;
            held.as_ref().is_some_and(is_held)
        });
        if stored.order == known.order {
            is_first_of_era || lost.is_some()
        } else {
            let is_older = revision_in_store(stored.revision) < revision_in_store(known.revision);
            is_known_loss || is_first_of_era && is_older
        }
    }

    pub(super) fn remove_rollout(&mut self, service: &str) {
        self.lost_rollouts.remove(service);
        if self.rollouts.remove(service).is_some() {
            log::info!(
                "event=rollout_gone service={service}",
                service = shown(&service)
            );
        }
    }

    /// Ends a rollout whose entry is no longer usable, unless it is over.
    pub(super) fn end_rollout(&mut self, service: &str, reason: &str) {
        if self
            .rollouts
            .get(service)
            .is_some_and(|known| !known.is_over())
        {
            log::info!(
                "event=rollout_gone service={service} reason={reason}",
                service = shown(&service)
            );
            self.rollouts.remove(service);
        }
    }

    /// Removes the rollouts that a complete list does not contain. Those that are over are
    /// kept if the list is the first one of a restored store.
    pub(super) fn retain_rollouts(&mut self, listed: &[Change], is_new_era: bool) {
        let name = |change: &Change| match change {
            Change::Rollout(rollout) => Some(rollout.order.service.clone()),
            Change::Unreadable { name, .. } => Some(name.clone()),
            _ => None,
        };
        let listed: BTreeSet<Box<str>> = listed.iter().filter_map(name).collect();
        let missing: Vec<_> = self.rollouts.values().cloned().collect();
        let missing = missing
            .iter()
            .filter(|r| !listed.contains(&r.order.service));
        for rollout in missing {
            let service = &rollout.order.service;
            let is_known_loss = self.lost_rollouts.get(service) == Some(&None);
            if rollout.is_over() && (is_new_era || is_known_loss) {
                if self.lost_rollouts.insert(service.clone(), None).is_none() {
                    log_kept(rollout);
                }
            } else {
                self.remove_rollout(service);
            }
        }
    }

    /// Returns the rollouts as the store holds them.
    pub(super) fn stored_rollouts(&self) -> impl Iterator<Item = Rollout> {
        self.rollouts.iter().filter_map(|(service, rollout)| {
            let lost = self.lost_rollouts.get(service);
            lost.map_or_else(|| Some(rollout.clone()), Clone::clone)
        })
    }
}

/// Returns whether a change is older than what is known. A watch that follows a list repeats
/// changes that the list contains.
fn is_outdated(rollout: &Rollout, known: &Rollout) -> bool {
    rollout.revision < known.revision
}

fn log_order(rollout: &Rollout) {
    let state = rollout.state().map_or("none".into(), |s| s.to_string());
    log::info!(
        "event=rollout_order service={} version={} limit_ms={} state={state} revision={}",
        shown(&rollout.order.service),
        shown(&rollout.order.version),
        rollout.order.time_limit.as_millis(),
        rollout.revision
    );
}

fn log_kept(rollout: &Rollout) {
    log::info!(
        "event=rollout_status_kept service={} version={} state={}",
        shown(&rollout.order.service),
        shown(&rollout.order.version),
        rollout.state().map_or("none".into(), |s| s.to_string())
    );
}
