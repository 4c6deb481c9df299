//! Decides which requests of a service go to which version during a rollout, and to which
//! targets of it.
//!
//! Load pattern: hundreds of daemons, some of which have few requests of the service, share the
//! permitted exposure without asking each other. Each one keeps to a share of its own requests
//! by counting, so that their sum keeps to it whatever the others do. Some faults appear only
//! under load, so that these few requests go to few targets, the same ones for all daemons.

use super::{
    model::{Fleet, KnownTarget},
    peer_wire::{TargetKey, target_key},
    rollout_plan::Capacity,
};
use crate::clock::BootTime;

/// Most requests that may be saved up for the new version while it cannot take any, so that
/// they do not arrive at once.
const MAX_CREDIT: f64 = 2.0;
/// Probability that a request is taken for the new version as soon as one may be. Without
/// chance, requests that alternate between two routes would always be taken from the same one.
const TAKE_PROBABILITY: f64 = 0.5;

/// Number of requests that the new version may get from this daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareCredit(f64);

impl ShareCredit {
    /// Begins with a part of a request in `0..1` that differs between daemons, so that daemons
    /// with few requests send the right share of them in total.
    #[must_use]
    pub fn new(name: &str, spec: u32) -> Self {
        let hash = target_key(&format!("{name} {spec}"));
        Self(f64::from(hash) / (f64::from(u32::MAX) + 1.0))
    }

    /// Counts a request, and returns whether it goes to the new version; `random` is in `0..1`.
    pub fn offer(&mut self, share: f64, random: f64) -> bool {
        if share <= 0.0 {
            return false;
        }
        if share >= 1.0 {
            return true;
        }
        self.0 = (self.0 + share).min(MAX_CREDIT);
        self.0 >= MAX_CREDIT || (self.0 >= 1.0 && random < TAKE_PROBABILITY)
    }

    /// Counts a send to the new version, also of a request that was not offered.
    pub fn record_send(&mut self) {
        self.0 -= 1.0;
    }
}

/// Which of the two versions of an order one request goes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Preference {
    /// Only the old one.
    Old,
    /// A few targets of the new one for this share of the requests; the old one if there are
    /// none.
    Few(f64),
    /// The new one; the old one if there is no target.
    New,
    /// Only the new one.
    NewOnly,
}

/// Which versions one request may go to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionUse {
    /// Versions that get nothing; an empty name stands for targets that state none.
    pub excluded: Vec<Box<str>>,
    /// Version of the order, and which side of it the request goes to; `None` without an
    /// order.
    pub order: Option<(Box<str>, Preference)>,
}

impl VersionUse {
    /// Returns whether the request may go to a target of this version.
    #[must_use]
    pub fn allows(&self, version: Option<&str>) -> bool {
        let name = version.unwrap_or_default();
        if self.excluded.iter().any(|e| **e == *name) {
            return false;
        }
        let Some((new, preference)) = &self.order else {
            return true;
        };
        match preference {
            Preference::Old => version != Some(&**new),
            Preference::NewOnly => version == Some(&**new),
            Preference::Few(_) | Preference::New => true,
        }
    }

    /// Returns the targets, among those that could take the request, to which it goes.
    /// `is_near` tells whether a target is in this daemon's region.
    #[must_use]
    pub fn select<'a>(
        &self,
        mut targets: Vec<&'a KnownTarget>,
        is_near: impl Fn(&KnownTarget) -> bool,
    ) -> Vec<&'a KnownTarget> {
        targets.retain(|t| self.allows(t.version.as_deref()));
        let Some((version, preference)) = &self.order else {
            return targets;
        };
        let is_new = |t: &&KnownTarget| t.version.as_deref() == Some(&**version);
        let (new, old): (Vec<_>, Vec<_>) = targets.into_iter().partition(is_new);
        match preference {
            Preference::Old => old,
            Preference::New | Preference::Few(_) if new.is_empty() => old,
            Preference::New | Preference::NewOnly => new,
            Preference::Few(share) => few(*share, &old, new, is_near),
        }
    }
}

/// What is known of the targets of both versions.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct VersionTargets {
    pub capacity: Capacity,
    /// Whether there is a target of the new version, which may be cold.
    pub has_new: bool,
    /// Whether any target of another version has work, also a leaving one.
    pub has_old_work: bool,
}

impl VersionTargets {
    pub fn of(
        fleet: &Fleet,
        service: &str,
        version: &str,
        has_work: impl Fn(TargetKey) -> bool,
        now: BootTime,
    ) -> Self {
        let mut found = Self::default();
        let targets = fleet.targets.values();
        for known in targets.filter(|k| *k.target.service == *service) {
            let is_new = known.version.as_deref() == Some(version);
            let is_available = known.leaving_since.is_none()
                && !fleet.evacuated_zones.contains(&known.target.zone);
            found.has_new |= is_new && is_available;
            found.has_old_work |= !is_new && has_work(known.key);
            if is_available && !is_new {
                let slots = &mut found.capacity.old_slots;
                *slots = slots.saturating_add(known.target.slots);
            }
            // All requests may come at once when the old targets are stopped.
            if is_available && is_new && known.cold_until <= now {
                let slots = &mut found.capacity.new_slots;
                *slots = slots.saturating_add(known.target.slots);
            }
        }
        found
    }
}

/// Returns as many of the new targets as get about as many requests each as an old one, best
/// rank first; those of this daemon's region if there are any.
fn few<'a>(
    share: f64,
    old: &[&KnownTarget],
    mut new: Vec<&'a KnownTarget>,
    is_near: impl Fn(&KnownTarget) -> bool,
) -> Vec<&'a KnownTarget> {
    if new.iter().any(|t| is_near(t)) {
        new.retain(|t| is_near(t));
    }
    let slots_of = |t: &KnownTarget| f64::from(t.target.slots.max(1));
    let old_slots: f64 = old.iter().filter(|t| is_near(t)).map(|t| slots_of(t)).sum();
    let mut left = share * old_slots;
    new.sort_by_cached_key(|t| rank(t.key));
    let is_needed = |t: &&KnownTarget| {
        let is_needed = left > 0.0;
        left -= slots_of(t);
        is_needed
    };
    let count = new.iter().copied().take_while(is_needed).count().max(1);
    new.truncate(count);
    new
}

/// Returns the rank of a target, which is the same for all daemons and unrelated to ids.
fn rank(key: TargetKey) -> TargetKey {
    target_key(&format!("canary {key}"))
}
