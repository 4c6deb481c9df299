//! Applies changes from the store to this daemon's view of the fleet.
//!
//! Load pattern: the store entries of healthy targets expire while the store is
//! unavailable. Removing all of them at once would look like the loss of the whole
//! fleet, so their targets stay in use until shortly after the store is back, and
//! are removed only then.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{
    model::{Change, Config, Fleet, KnownTarget, Target, TargetId, Topic, ZoneName},
    peer_wire::{TargetKey, target_key},
    store_era::{ConfigStamp, era_of},
};
use crate::{clock::BootTime, log::shown, platform::Revision};

/// Time after the store is back within which an expired entry may return: targets
/// write their entries at least every two seconds, plus the delay of one answer.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);

/// Fraction of the drain bound for which runs are resumed at a leaving target. The
/// drain bound is the time for which such a target may still be sent work. Only a
/// fraction is used, because this daemon counts from the time at which it learned
/// that the target is leaving, and other daemons may have learned it earlier.
const RESUME_FRACTION: f64 = 0.5;

/// State of the feed of one topic from the store.
#[derive(Clone, Debug, Default)]
pub struct FeedState {
    /// Time at which the newest successful read was sent: all changes before it are
    /// known.
    pub confirmed_at: Option<BootTime>,
    /// Time of the first failed read of the current outage, if there is one.
    pub outage_since: Option<BootTime>,
    /// Time at which the store answered again after its last outage.
    pub restored_at: Option<BootTime>,
    /// Time at which this daemon learnt that the store was restored from an older copy.
    pub era_began_at: Option<BootTime>,
}

impl FeedState {
    /// Records that the store was restored from an older copy. Entries that it lacks may have
    /// been lost, as in an outage.
    pub fn record_new_era(&mut self, now: BootTime) {
        self.era_began_at = Some(now);
        self.restored_at = Some(now);
    }

    /// Records a successful read that was sent at `sent`.
    pub fn record_success(&mut self, sent: BootTime, now: BootTime) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
        if self.outage_since.take().is_some() {
            self.restored_at = Some(now);
        }
    }

    /// Records a failed read.
    pub fn record_failure(&mut self, now: BootTime) {
        self.outage_since.get_or_insert(now);
    }

    /// Returns the end of the grace period if entries that are missing now may have
    /// expired because the store was unavailable.
    fn expiry_grace_end(&self, now: BootTime) -> Option<BootTime> {
        grace_end(self.restored_at, now)
    }

    /// Returns the end of the grace period if evacuations that are missing now may have been
    /// lost.
    fn evacuation_grace_end(&self, now: BootTime) -> Option<BootTime> {
        grace_end(self.era_began_at, now)
    }
}

/// Returns the end of the grace period that began at `began_at`, unless it is over.
fn grace_end(began_at: Option<BootTime>, now: BootTime) -> Option<BootTime> {
    let until = began_at? + EXPIRY_GRACE;
    (now < until).then_some(until)
}

impl Fleet {
    /// Applies a batch of changes of a topic in order, and logs those that alter the view.
    pub fn apply(&mut self, topic: Topic, changes: &[Change], feed: &FeedState, now: BootTime) {
        for change in changes {
            self.apply_change(topic, change, feed, now);
        }
    }

    /// Applies the complete list of a topic: targets and evacuated zones that it does
    /// not contain are removed from the view.
    pub fn replace(&mut self, topic: Topic, changes: &[Change], feed: &FeedState, now: BootTime) {
        self.apply(topic, changes, feed, now);
        match topic {
            Topic::Config => {}
            Topic::Targets => {
                let listed_id = |c: &Change| match c {
                    Change::Target(t) => Some(t.id.clone()),
                    _ => None,
                };
                let listed: BTreeSet<TargetId> = changes.iter().filter_map(listed_id).collect();
                let known_ids: Vec<TargetId> = self.targets.keys().cloned().collect();
                for id in known_ids.iter().filter(|id| !listed.contains(*id)) {
                    self.remove(id, feed, now);
                }
            }
            Topic::Evacuations => {
                let listed = changes.iter().filter_map(|c| match c {
                    Change::ZoneOut(zone) => Some(zone.clone()),
                    _ => None,
                });
                let listed: BTreeSet<_> = listed.collect();
                let missing: Vec<ZoneName> =
                    self.evacuated_zones.difference(&listed).cloned().collect();
                for zone in missing {
                    match feed.evacuation_grace_end(now) {
                        Some(until) => self.lapse_evacuation(zone, until),
                        None => self.return_zone(&zone, "list"),
                    }
                }
            }
            Topic::Rollouts => self.retain_rollouts(changes, feed.era_began_at == Some(now)),
        }
    }

    fn apply_change(&mut self, topic: Topic, change: &Change, feed: &FeedState, now: BootTime) {
        match change {
            Change::Config(revision, config) => {
                let newer = ConfigStamp {
                    revision: *revision,
                    version: config.version,
                };
                let known = self.config_stamp();
                if newer.replaces(known) {
                    self.put_config(*revision, config.clone());
                } else if era_of(newer.revision) > era_of(known.revision) {
                    log::info!(
                        "event=config_kept version={} store_version={}",
                        known.version,
                        newer.version
                    );
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
            Change::Target(target) => self.put_target(target, now),
            Change::TargetGone(id) => self.remove(id, feed, now),
            Change::ZoneOut(zone) => {
                self.lapsed_evacuations.remove(zone);
                if self.evacuated_zones.insert(zone.clone()) {
                    log::info!("event=zone_out zone={zone}", zone = shown(&zone));
                }
            }
            Change::ZoneBack(zone) => {
                self.return_zone(zone, "watch");
            }
            Change::Unreadable { name, reason } => {
                log::warn!("event=entry_unreadable name={name:?} reason={reason:?} topic={topic}");
                // Names are unique within a topic only.
                match topic {
                    Topic::Targets => self.remove(name, feed, now),
                    Topic::Rollouts => self.end_rollout(name, "unreadable"),
                    Topic::Config | Topic::Evacuations => {}
                }
            }
            Change::Rollout(rollout) => self.put_rollout(rollout),
            Change::RolloutGone(service) => self.remove_rollout(service),
            Change::TargetVersion(id, version) => self.put_version(id, version),
        }
    }

    /// Returns whether the configuration changes can be applied in order: each patch
    /// is either known already or based on the revision that precedes it here.
    #[must_use]
    pub fn can_apply(&self, changes: &[Change]) -> bool {
        let mut known = self.config_stamp();
        changes.iter().all(|change| {
            let (base, revision, version) = match change {
                Change::Config(revision, config) => (known.revision, *revision, config.version),
                Change::ConfigPatch(patch) => (patch.base, patch.revision, patch.version),
                _ => return true,
            };
            let newer = ConfigStamp { revision, version };
            let is_known = !newer.replaces(known);
            let is_next = base == known.revision;
            if !is_known {
                known = newer;
            }
            is_known || is_next
        })
    }

    /// Returns the revision and version of the configuration; zero without one.
    #[must_use]
    pub fn config_stamp(&self) -> ConfigStamp {
        ConfigStamp {
            revision: self.config_revision,
            version: self.config.as_ref().map_or(0, |config| config.version),
        }
    }

    /// Marks targets of a restored store's list as leaving if they are known to be leaving.
    /// The entry may be older than what is known, and a target that returned to service
    /// writes its entry again.
    pub fn keep_leaving(&self, changes: &mut [Change]) {
        for change in changes {
            if let Change::Target(target) = change
                && let Some(known) = self.targets.get(&target.id)
                && known.target.address == target.address
            {
                target.is_draining |= known.target.is_draining;
            }
        }
    }

    /// Returns a zone to service.
    fn return_zone(&mut self, zone: &ZoneName, source: &str) {
        self.lapsed_evacuations.remove(zone);
        if self.evacuated_zones.remove(zone) {
            log::info!(
                "event=zone_back zone={zone} source={source}",
                zone = shown(&zone)
            );
        }
    }

    /// Marks an evacuation as ending unless its entry returns.
    fn lapse_evacuation(&mut self, zone: ZoneName, until: BootTime) {
        log::info!("event=zone_lapsed zone={zone}", zone = shown(&zone));
        self.lapsed_evacuations.entry(zone).or_insert(until);
    }

    fn put_config(&mut self, revision: Revision, config: Arc<Config>) {
        log::info!(
            "event=config version={} revision={revision} routes={} keys={}",
            config.version,
            config.routes.len(),
            config.customers_by_key.len()
        );
        self.config_revision = revision;
        self.config = Some(config);
    }

    fn put_target(&mut self, target: &Target, now: BootTime) {
        let known = self.targets.get(&target.id);
        let was_leaving = known.and_then(|k| k.leaving_since);
        let said_leaving_at = known.and_then(|k| k.said_leaving_at);
        // An incarnation runs one version, and daemons without rollouts send none.
        let version = known.and_then(|k| k.version.clone());
        if known.is_none_or(|k| *k.target != *target) {
            log::info!(
                "event=target id={} service={} address={} zone={} draining={} cold_ms={}",
                shown(&target.id),
                shown(&target.service),
                target.address,
                shown(&target.zone),
                target.is_draining,
                target.cold_for.as_millis()
            );
        }
        let known = KnownTarget {
            key: target_key(&target.id),
            target: Arc::new(target.clone()),
            version,
            cold_until: now + target.cold_for,
            removal_due_at: None,
            leaving_since: if target.is_draining {
                Some(was_leaving.unwrap_or(now))
            } else {
                said_leaving_at
            },
            said_leaving_at,
        };
        self.targets.insert(target.id.clone(), known);
    }

    /// Records which targets have said in their answers that they leave, and when. Returns
    /// whether this changes anything.
    pub fn set_said_leaving(&mut self, leaving: &HashMap<TargetKey, BootTime>) -> bool {
        let mut is_changed = false;
        for (id, known) in &mut self.targets {
            let said_at = leaving.get(&known.key).copied();
            if known.said_leaving_at.is_some() == said_at.is_some() {
                continue;
            }
            is_changed = true;
            known.said_leaving_at = said_at;
            match said_at {
                Some(at) => {
                    log::info!("event=target_says_leaving id={id}", id = shown(&id));
                    known.leaving_since = Some(known.leaving_since.unwrap_or(at));
                }
                None if !known.target.is_draining => {
                    log::info!("event=target_back id={id}", id = shown(&id));
                    known.leaving_since = None;
                }
                None => {}
            }
        }
        is_changed
    }

    /// Removes a target. During the grace period after a store outage, only marks it for
    /// removal at the end of that period, unless the target was leaving.
    fn remove(&mut self, id: &TargetId, feed: &FeedState, now: BootTime) {
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        let grace = feed
            .expiry_grace_end(now)
            .filter(|_| known.leaving_since.is_none());
        match grace {
            Some(until) if known.removal_due_at.is_none() => {
                log::info!("event=target_lapsed id={id}", id = shown(&id));
                known.removal_due_at = Some(until);
            }
            Some(_) => {}
            None => {
                log::info!("event=target_gone id={id}", id = shown(&id));
                self.targets.remove(id);
            }
        }
    }

    /// Removes targets and evacuations whose missing entries did not return within the
    /// grace period; returns whether there were any.
    pub fn expire(&mut self, now: BootTime) -> bool {
        let lapsed = self.lapsed_evacuations.iter();
        let lapsed: Vec<ZoneName> = lapsed
            .filter(|(_, until)| now >= **until)
            .map(|(zone, _)| zone.clone())
            .collect();
        for zone in &lapsed {
            self.return_zone(zone, "lapsed");
        }
        let before = self.targets.len();
        self.targets.retain(|id, known| {
            let is_retained = known.removal_due_at.is_none_or(|at| now < at);
            if !is_retained {
                log::info!("event=target_gone id={id} reason=lapsed", id = shown(&id));
            }
            is_retained
        });
        self.targets.len() != before || !lapsed.is_empty()
    }

    /// Returns the configuration to serve with, or `None` until all topics have been
    /// read.
    #[must_use]
    pub fn active_config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref().filter(|_| self.is_complete)
    }

    /// Returns the targets of a service that may be sent new work.
    pub fn available_targets(&self, service: &str) -> impl Iterator<Item = &KnownTarget> {
        self.targets.values().filter(move |k| {
            *k.target.service == *service
                && k.leaving_since.is_none()
                && !self.evacuated_zones.contains(&k.target.zone)
        })
    }

    /// Returns whether a target may be sent new work.
    #[must_use]
    pub fn accepts_new_work(&self, target: &Target) -> bool {
        let known = self.targets.get(&target.id);
        known.is_some_and(|k| k.leaving_since.is_none())
            && !self.evacuated_zones.contains(&target.zone)
    }

    /// Returns whether a run may be resumed at a target from its copy there. A leaving
    /// target still accepts such runs for a fraction of `bound`, unless its zone is
    /// taken out of service.
    #[must_use]
    pub fn accepts_resumed_runs(&self, target: &Target, bound: Duration, now: BootTime) -> bool {
        let known = self.targets.get(&target.id);
        let leaving = known.map(|k| k.leaving_since);
        let is_late = |since: BootTime| now.saturating_sub(since) > bound.mul_f64(RESUME_FRACTION);
        leaving.is_some_and(|since| !since.is_some_and(is_late))
            && !self.evacuated_zones.contains(&target.zone)
    }

    /// Returns whether a target is leaving or already gone.
    #[must_use]
    pub fn is_leaving(&self, target: &Target) -> bool {
        let known = self.targets.get(&target.id);
        known.is_none_or(|k| k.leaving_since.is_some())
    }
}
