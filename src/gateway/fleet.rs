//! Applies what the store tells to what is known.
//!
//! Load pattern: entries of healthy targets lapse while the store is away, and
//! all of them at once would look like the loss of the whole fleet. They stay
//! in use until shortly after the store's return, and count as gone only then.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    model::{Change, Config, Fleet, Known, Target, TargetId, Topic},
    peer_wire::target_key,
};
use crate::{clock::BootTime, platform::Revision};

/// How long a lapsed entry may take to come back once the store has: targets
/// write at least every two seconds, and one answer's delay is added.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// Part of the time in which a leaving target may still be sent work that is
/// used to rescue runs; others may have learnt of its leaving earlier.
const LEAVING_PART: f64 = 0.5;

/// State of the feed of one topic.
#[derive(Clone, Debug, Default)]
pub struct FeedState {
    /// When the read in force was sent; no later change can be missed before.
    pub proof: Option<BootTime>,
    /// When a read last failed after the one before had not.
    pub away_since: Option<BootTime>,
    /// When reads began to succeed again.
    pub back_since: Option<BootTime>,
}

impl FeedState {
    /// Notes a read that succeeded.
    pub fn succeeded(&mut self, sent: BootTime, now: BootTime) {
        self.proof = self.proof.max(Some(sent));
        if self.away_since.take().is_some() {
            self.back_since = Some(now);
        }
    }

    /// Notes a read that failed.
    pub fn failed(&mut self, now: BootTime) {
        self.away_since.get_or_insert(now);
    }

    /// Whether entries that vanish now may have lapsed for want of a store.
    fn may_lapse(&self, now: BootTime) -> Option<BootTime> {
        let until = self.back_since? + LAPSE_GRACE;
        (now < until).then_some(until)
    }
}

impl Fleet {
    /// Applies a batch of changes; a log line for each that alters belief.
    pub fn apply(&mut self, changes: &[Change], feed: &FeedState, now: BootTime) {
        for change in changes {
            self.apply_one(change, feed, now);
        }
    }

    /// Takes a whole list: whatever it does not name is gone.
    pub fn replace(&mut self, topic: Topic, changes: &[Change], feed: &FeedState, now: BootTime) {
        self.apply(changes, feed, now);
        match topic {
            Topic::Config => {}
            Topic::Targets => {
                let is_named = |c: &Change| match c {
                    Change::Target(t) => Some(t.id.clone()),
                    _ => None,
                };
                let named: BTreeSet<TargetId> = changes.iter().filter_map(is_named).collect();
                let missing: Vec<TargetId> = self.targets.keys().cloned().collect();
                for id in missing.iter().filter(|id| !named.contains(*id)) {
                    self.remove(id, feed, now);
                }
            }
            Topic::Evacuations => {
                let out = changes.iter().filter_map(|c| match c {
                    Change::ZoneOut(zone) => Some(zone.clone()),
                    _ => None,
                });
                let out: BTreeSet<_> = out.collect();
                for zone in self.zones_out.difference(&out) {
                    log::info!("event=zone_back zone={zone} source=list");
                }
                self.zones_out = out;
            }
        }
    }

    fn apply_one(&mut self, change: &Change, feed: &FeedState, now: BootTime) {
        match change {
            Change::Config(revision, config) => {
                if *revision > self.config_revision {
                    self.put_config(*revision, config.clone());
                }
            }
            Change::ConfigPatch(patch) => {
                if let Some(old) = &self.config
                    && patch.base == self.config_revision
                {
                    let config = Arc::new(patch.apply(old));
                    self.put_config(patch.revision, config);
                }
            }
            Change::Target(target) => self.put(target, now),
            Change::TargetGone(id) => self.remove(id, feed, now),
            Change::ZoneOut(zone) => {
                if self.zones_out.insert(zone.clone()) {
                    log::info!("event=zone_out zone={zone}");
                }
            }
            Change::ZoneBack(zone) => {
                if self.zones_out.remove(zone) {
                    log::info!("event=zone_back zone={zone} source=watch");
                }
            }
            Change::Unreadable { name, reason } => {
                log::warn!("event=entry_unreadable name={name:?} reason={reason:?}");
                if self.targets.contains_key(name) {
                    self.remove(name, feed, now);
                }
            }
        }
    }

    /// Whether changes lead on from the configuration that is known.
    #[must_use]
    pub fn can_apply(&self, changes: &[Change]) -> bool {
        let mut revision = self.config_revision;
        changes.iter().all(|change| {
            let (base, newer) = match change {
                Change::Config(newer, _) => (revision, *newer),
                Change::ConfigPatch(patch) => (patch.base, patch.revision),
                _ => return true,
            };
            let is_known = newer <= revision;
            let leads_on = base == revision;
            revision = revision.max(newer);
            is_known || leads_on
        })
    }

    fn put_config(&mut self, revision: Revision, config: Arc<Config>) {
        log::info!(
            "event=config version={} revision={revision} routes={} keys={}",
            config.version,
            config.routes.len(),
            config.keys.len()
        );
        self.config_revision = revision;
        self.config = Some(config);
    }

    fn put(&mut self, target: &Target, now: BootTime) {
        let known = self.targets.get(&target.id);
        let was_leaving = known.and_then(|k| k.leaving_since);
        if known.is_none_or(|k| *k.target != *target) {
            log::info!(
                "event=target id={} service={} address={} zone={} draining={} cold_ms={}",
                target.id,
                target.service,
                target.address,
                target.zone,
                target.is_draining,
                target.cold_for.as_millis()
            );
        }
        let known = Known {
            key: target_key(&target.id),
            target: Arc::new(target.clone()),
            cold_until: now + target.cold_for,
            lapses_at: None,
            leaving_since: target.is_draining.then(|| was_leaving.unwrap_or(now)),
        };
        self.targets.insert(target.id.clone(), known);
    }

    fn remove(&mut self, id: &TargetId, feed: &FeedState, now: BootTime) {
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        let grace = feed
            .may_lapse(now)
            .filter(|_| known.leaving_since.is_none());
        match grace {
            Some(until) if known.lapses_at.is_none() => {
                log::info!("event=target_lapsed id={id}");
                known.lapses_at = Some(until);
            }
            Some(_) => {}
            None => {
                log::info!("event=target_gone id={id}");
                self.targets.remove(id);
            }
        }
    }

    /// Removes lapsed targets whose time is over; true if any was.
    pub fn expire(&mut self, now: BootTime) -> bool {
        let before = self.targets.len();
        self.targets.retain(|id, known| {
            let is_kept = known.lapses_at.is_none_or(|at| now < at);
            if !is_kept {
                log::info!("event=target_gone id={id} reason=lapsed");
            }
            is_kept
        });
        self.targets.len() != before
    }

    /// The configuration to serve by; `None` before all topics have been read.
    #[must_use]
    pub fn config_in_force(&self) -> Option<&Arc<Config>> {
        self.config.as_ref().filter(|_| self.is_complete)
    }

    /// Targets of a service that may be sent new work.
    pub fn open_targets(&self, service: &str) -> impl Iterator<Item = &Known> {
        self.targets.values().filter(move |k| {
            *k.target.service == *service
                && k.leaving_since.is_none()
                && !self.zones_out.contains(&k.target.zone)
        })
    }

    /// Whether a target may still be sent new work.
    #[must_use]
    pub fn is_open(&self, target: &Target) -> bool {
        let known = self.targets.get(&target.id);
        known.is_some_and(|k| k.leaving_since.is_none()) && !self.zones_out.contains(&target.zone)
    }

    /// Whether a run may go on at a target from its copy there: also for some
    /// time after its leaving is known, as long as nobody bars it.
    #[must_use]
    pub fn takes_resumed(&self, target: &Target, bound: Duration, now: BootTime) -> bool {
        let known = self.targets.get(&target.id);
        let leaving = known.map(|k| k.leaving_since);
        let is_late = |since: BootTime| now.saturating_sub(since) > bound.mul_f64(LEAVING_PART);
        leaving.is_some_and(|since| !since.is_some_and(is_late))
            && !self.zones_out.contains(&target.zone)
    }

    /// Whether a target takes no new work and will be gone.
    #[must_use]
    pub fn is_leaving(&self, target: &Target) -> bool {
        let known = self.targets.get(&target.id);
        known.is_none_or(|k| k.leaving_since.is_some())
    }
}
