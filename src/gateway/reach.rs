//! Decides on which way targets are reached: directly, or through another daemon.
//!
//! Load pattern: a daemon loses its links to targets, all of them or those of a service, while
//! callers, the store and other daemons still reach it. Connections hang or are refused. Requests
//! go on coming, each to another target, and none of them may have to find out anew; once the links
//! are back, all go directly again. A target that has failed for everybody looks the same at first.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::{model::ZoneName, peer_wire::TargetKey, peers::DaemonName};
use crate::clock::BootTime;

/// How long a failed connection counts.
const FAILURE_EXPIRY: Duration = Duration::from_secs(3);
/// Number of targets of a service that fail, none succeeding in between, from which the links may
/// be cut: one may have crashed.
const MIN_FAILED_TARGETS: usize = 2;
/// How long a target that was reached through another daemon only is not tried directly.
const RETRY_DIRECT_AFTER: Duration = Duration::from_secs(1);
/// How long all targets have to be out of reach until callers are sent to other daemons.
const CUT_OFF_AFTER: Duration = Duration::from_millis(300);
/// How long a daemon through which no target was reached is not asked again.
const SIBLING_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of daemons that are asked for one connection.
pub const MAX_SIBLINGS: usize = 3;
/// Maximum number of daemons that are remembered because targets were reached through them.
const MAX_GOOD_SIBLINGS: usize = 4;
/// Share of connections for which another daemon is asked first than those.
const NEW_SIBLING_SHARE: f64 = 0.2;

/// Way to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Way {
    /// A connection of this daemon.
    Direct,
    /// A connection through another daemon.
    Sibling,
}

/// Direct connections to the targets of one service.
#[derive(Clone, Debug, Default)]
struct ServiceReach {
    /// Targets that failed since the last success, and when.
    failed: BTreeMap<TargetKey, BootTime>,
    /// Time since which targets are reached through other daemons only; `None` if one was reached
    /// directly since.
    cut_since: Option<BootTime>,
}

/// What a daemon knows of its links to targets.
#[derive(Clone, Debug, Default)]
pub struct ReachTable {
    services: HashMap<Box<str>, ServiceReach>,
    /// Targets that were reached through another daemon only, until when they are not tried directly.
    cut_targets: HashMap<TargetKey, BootTime>,
    /// Time of the last direct connection to any target.
    last_success_at: BootTime,
}

impl ReachTable {
    /// Returns the way on which a target is tried first.
    #[must_use]
    pub fn way(&self, service: &str, target: TargetKey, now: BootTime) -> Way {
        let is_cut = self
            .services
            .get(service)
            .is_some_and(|s| s.cut_since.is_some());
        let is_target_cut = self
            .cut_targets
            .get(&target)
            .is_some_and(|until| now < *until);
        if is_cut || is_target_cut {
            Way::Sibling
        } else {
            Way::Direct
        }
    }

    /// Returns whether the links to a service may be cut, given the number of its targets.
    #[must_use]
    pub fn is_suspected(&self, service: &str, targets: usize, now: BootTime) -> bool {
        let Some(reach) = self.services.get(service) else {
            return false;
        };
        let is_recent = |at: &&BootTime| now.saturating_sub(**at) < FAILURE_EXPIRY;
        let failed = reach.failed.values().filter(is_recent).count();
        failed >= MIN_FAILED_TARGETS.min(targets.max(1))
    }

    /// Records a direct connection to a target. Returns whether the links to its service had been cut.
    pub fn record_success(&mut self, service: &str, target: TargetKey, now: BootTime) -> bool {
        self.last_success_at = now;
        self.cut_targets.remove(&target);
        let reach = self.services.get_mut(service);
        reach.is_some_and(|reach| {
            reach.failed.clear();
            reach.cut_since.take().is_some()
        })
    }

    /// Records that no direct connection to a target could be opened.
    pub fn record_failure(&mut self, service: &str, target: TargetKey, now: BootTime) {
        let reach = self.services.entry(service.into()).or_default();
        reach
            .failed
            .retain(|_, at| now.saturating_sub(*at) < FAILURE_EXPIRY);
        reach.failed.insert(target, now);
    }

    /// Records that a target was reached through another daemon after a direct connection had
    /// failed, given the number of targets of its service. Returns whether this shows that the links to
    /// its service are cut.
    pub fn record_detour(
        &mut self,
        service: &str,
        target: TargetKey,
        targets: usize,
        now: BootTime,
    ) -> bool {
        self.cut_targets.retain(|_, until| now < *until);
        self.cut_targets.insert(target, now + RETRY_DIRECT_AFTER);
        if !self.is_suspected(service, targets, now) {
            return false;
        }
        let reach = self.services.entry(service.into()).or_default();
        reach
            .cut_since
            .replace(reach.cut_since.unwrap_or(now))
            .is_none()
    }

    /// Returns the services whose links are cut.
    pub fn cut_services(&self) -> impl Iterator<Item = &str> {
        let cut = self.services.iter().filter(|(_, s)| s.cut_since.is_some());
        cut.map(|(service, _)| &**service)
    }

    /// Returns whether this daemon reaches no target directly, and has not for a while.
    #[must_use]
    pub fn is_cut_off(&self, now: BootTime) -> bool {
        let since = self.services.values().filter_map(|s| s.cut_since).min();
        since.is_some_and(|since| {
            self.last_success_at < since && now.saturating_sub(since) >= CUT_OFF_AFTER
        })
    }
}

/// Another daemon, through which targets may be reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sibling {
    /// Its name.
    pub name: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address at which it takes connections for targets.
    pub address: std::net::SocketAddr,
}

/// What a daemon knows of others through which it has tried to reach targets.
#[derive(Clone, Debug, Default)]
pub struct SiblingTable {
    good: Vec<DaemonName>,
    /// Daemons through which none was reached, until when they are not asked again.
    bad: HashMap<DaemonName, BootTime>,
}

impl SiblingTable {
    /// Records whether a daemon opened a connection to a target.
    pub fn record(&mut self, sibling: &str, opened: bool, now: BootTime) {
        self.good.retain(|name| **name != *sibling);
        self.bad.retain(|_, until| now < *until);
        if opened {
            self.bad.remove(sibling);
            self.good.insert(0, sibling.into());
            self.good.truncate(MAX_GOOD_SIBLINGS);
        } else {
            self.bad.insert(sibling.into(), now + SIBLING_RETRY_AFTER);
        }
    }

    /// Returns the daemons to ask for a connection to a target of a zone, in order, of those that
    /// `is_allowed` lets see the request: first one that has opened others, then one of the
    /// target's zone and one of another zone. `draw` returns random numbers from 0 to 1.
    #[must_use]
    pub fn candidates<'a>(
        &self,
        siblings: &'a [Sibling],
        target_zone: &str,
        is_allowed: impl Fn(&str) -> bool,
        now: BootTime,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<&'a Sibling> {
        let is_bad = |s: &Sibling| self.bad.get(&s.name).is_some_and(|until| now < *until);
        let allowed = siblings.iter().filter(|s| is_allowed(&s.zone));
        let (bad, mut left): (Vec<_>, Vec<_>) = allowed.partition(|s| is_bad(s));
        if left.is_empty() {
            left = bad;
        }
        let mut chosen = Vec::new();
        let is_good = |s: &Sibling| self.good.contains(&s.name);
        if draw() >= NEW_SIBLING_SHARE {
            take_random(&mut left, &mut chosen, draw(), is_good);
        }
        take_random(&mut left, &mut chosen, draw(), |s| *s.zone == *target_zone);
        while chosen.len() < MAX_SIBLINGS && !left.is_empty() {
            let zones: Vec<&str> = chosen.iter().map(|s| &*s.zone).collect();
            let before = chosen.len();
            take_random(&mut left, &mut chosen, draw(), |s| {
                !zones.contains(&&*s.zone)
            });
            if chosen.len() == before {
                take_random(&mut left, &mut chosen, draw(), |_| true);
            }
        }
        chosen.truncate(MAX_SIBLINGS);
        chosen
    }
}

/// Moves a random one of those that fulfil a condition, if there are any.
fn take_random<'a>(
    left: &mut Vec<&'a Sibling>,
    chosen: &mut Vec<&'a Sibling>,
    number: f64,
    is_wanted: impl Fn(&Sibling) -> bool,
) {
    let wanted: Vec<usize> = (0..left.len()).filter(|i| is_wanted(left[*i])).collect();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a position in a list"
    )]
    let position = (number * wanted.len() as f64) as usize;
    if let Some(at) = wanted.get(position).or(wanted.last()) {
        chosen.push(left.swap_remove(*at));
    }
}
