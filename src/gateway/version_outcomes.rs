//! Counts the responses of the old and the new version of a service during a rollout, and
//! merges the counts of all daemons.
//!
//! Load pattern: hundreds of daemons each get a few responses of the new version, and a fault
//! shows only in the sum. Reports are lost, arrive twice or late, and daemons restart. All
//! counters only grow since the order, and each reporting daemon, incarnation and zone has its
//! own, of which the highest value is kept. A report can therefore be repeated at will.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::peer_wire::{Incarnation, TargetKey};

/// Number of buckets of the histogram of times.
pub const TIME_BUCKETS: usize = 24;
/// Upper bound of the first bucket, in milliseconds. Each further bound is the square root of
/// two times the one before, more than targets of the same version differ; the last bucket has
/// none.
const FIRST_BOUND_MS: f64 = 4.0;
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// Maximum number of routes that one daemon counts separately.
const MAX_OWN_ROUTES: usize = 8;
/// Maximum number of routes and zones in a sum over several daemons.
const MAX_KEYS: usize = 32;
/// Key under which all further routes and zones are counted.
const OTHER_KEY: TargetKey = 0;
/// Maximum number of incarnations of daemons whose counts are kept for one order.
const MAX_SOURCES: usize = 2_048;

/// Which version a target runs, from the point of view of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Any version other than that of the order.
    Old,
    /// The version of the order.
    New,
}

/// Numbers of responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// All responses, bad ones included.
    pub responses: u32,
    /// Bad responses.
    pub bad: u32,
}

/// Responses of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteOutcomes {
    /// Numbers of responses.
    pub counts: Outcomes,
    /// Histogram of the times to the first event, or to the whole response.
    pub times: [u32; TIME_BUCKETS],
}

/// Counts since an order. In each pair the old version comes first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeSums {
    /// Requests sent.
    pub sends: [u32; 2],
    /// Targets of the new version that have responded, and those that had bad responses, as
    /// one bit of 64 for each, which two targets may share.
    pub targets: [u64; 2],
    /// Responses by the hash of the route's name.
    pub routes: Vec<(TargetKey, [RouteOutcomes; 2])>,
    /// Responses by the hash of the target's availability zone.
    pub zones: Vec<(TargetKey, [Outcomes; 2])>,
}

impl OutcomeSums {
    /// Counts a request that was sent.
    pub fn record_send(&mut self, side: Side) {
        self.sends[side as usize] = self.sends[side as usize].saturating_add(1);
    }

    /// Counts a response, or adds to a response that was counted as good that it was bad.
    pub fn record_response(
        &mut self,
        side: Side,
        route: TargetKey,
        zone: TargetKey,
        target: TargetKey,
        response: Outcomes,
    ) {
        if side == Side::New {
            let bit = 1 << (target % u64::BITS);
            self.targets[0] |= bit;
            self.targets[1] |= if response.bad > 0 { bit } else { 0 };
        }
        let on_route = &mut entry(&mut self.routes, route, MAX_OWN_ROUTES)[side as usize];
        combine(&mut on_route.counts, response, u32::saturating_add);
        let in_zone = &mut entry(&mut self.zones, zone, MAX_KEYS)[side as usize];
        combine(in_zone, response, u32::saturating_add);
    }

    /// Counts the time of a response.
    pub fn record_time(&mut self, side: Side, route: TargetKey, time: Duration) {
        let on_route = &mut entry(&mut self.routes, route, MAX_OWN_ROUTES)[side as usize];
        on_route.times[bucket(time)] += 1;
    }

    /// Returns the responses of one version on all routes.
    #[must_use]
    pub fn total(&self, side: Side) -> Outcomes {
        let mut total = Outcomes::default();
        for (_, sides) in &self.routes {
            combine(&mut total, sides[side as usize].counts, u32::saturating_add);
        }
        total
    }

    /// Returns whether all bad responses of the new version are of one of its targets, while
    /// others have responded.
    #[must_use]
    pub fn is_one_target_bad(&self) -> bool {
        self.targets[0].count_ones() > 1 && self.targets[1].is_power_of_two()
    }

    /// Publishes the metrics of a rollout.
    pub(super) fn record_metrics(&self, service: &str, share: f64) {
        let service = service.to_owned();
        metrics::gauge!("bluebell_gateway_rollout_share", "service" => service.clone()).set(share);
        for (side, version) in [(Side::Old, "old"), (Side::New, "new")] {
            let total = self.total(side);
            let labels = [
                ("service", service.clone()),
                ("version", version.to_owned()),
            ];
            metrics::gauge!("bluebell_gateway_rollout_responses", &labels)
                .set(f64::from(total.responses));
            metrics::gauge!("bluebell_gateway_rollout_bad_responses", &labels)
                .set(f64::from(total.bad));
        }
    }

    /// Adds the counts of others.
    pub fn add(&mut self, other: &Self) {
        self.merge(other, u32::saturating_add);
    }

    /// Keeps the higher one of each two counters.
    pub fn keep_highest(&mut self, other: &Self) {
        self.merge(other, u32::max);
    }

    fn merge(&mut self, other: &Self, f: fn(u32, u32) -> u32) {
        for i in 0..2 {
            self.sends[i] = f(self.sends[i], other.sends[i]);
            self.targets[i] |= other.targets[i];
        }
        for (key, sides) in &other.routes {
            let own = entry(&mut self.routes, *key, MAX_KEYS);
            for (own, other) in own.iter_mut().zip(sides) {
                combine(&mut own.counts, other.counts, f);
                for (own, other) in own.times.iter_mut().zip(other.times) {
                    *own = f(*own, other);
                }
            }
        }
        for (key, sides) in &other.zones {
            let own = entry(&mut self.zones, *key, MAX_KEYS);
            for (own, other) in own.iter_mut().zip(sides) {
                combine(own, *other, f);
            }
        }
    }
}

fn combine(counts: &mut Outcomes, other: Outcomes, f: fn(u32, u32) -> u32) {
    counts.responses = f(counts.responses, other.responses);
    counts.bad = f(counts.bad, other.bad);
}

/// Returns the entry of a key, or that of all others if there are `max` entries already.
fn entry<T: Default>(entries: &mut Vec<(TargetKey, T)>, key: TargetKey, max: usize) -> &mut T {
    let position = |entries: &[(TargetKey, T)], key| entries.iter().position(|(k, _)| *k == key);
    let key = if position(entries, key).is_some() || entries.len() < max {
        key
    } else {
        OTHER_KEY
    };
    let at = position(entries, key).unwrap_or_else(|| {
        entries.push((key, T::default()));
        entries.len() - 1
    });
    &mut entries[at].1
}

fn bucket(time: Duration) -> usize {
    let doublings = (time.as_secs_f64() * 1e3 / FIRST_BOUND_MS).log2();
    if doublings < 0.0 {
        return 0;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the logarithm of a duration is small, and not negative here"
    )]
    let above_first = (doublings * BUCKETS_PER_DOUBLING) as usize;
    (1 + above_first).min(TIME_BUCKETS - 1)
}

/// Who has counted what a report says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportScope {
    /// The sender alone.
    Daemon,
    /// All daemons of the sender's zone.
    Zone,
    /// Nobody: the report tells only how far the rollout is.
    News,
}

/// Counts of all daemons for one order, as far as this daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct OutcomeTable {
    /// Counts of this daemon.
    pub own: OutcomeSums,
    /// Counts of the other daemons of this zone. A daemon that restarts begins at zero under
    /// another incarnation, and what it had counted before remains.
    daemons: HashMap<(TargetKey, Incarnation), OutcomeSums>,
    /// Counts of the other zones. The leader of a zone may know less than the one before it.
    zones: HashMap<TargetKey, OutcomeSums>,
}

impl OutcomeTable {
    /// Adds a report of another daemon; `daemon` and `zone` are hashes of names.
    pub fn merge(
        &mut self,
        scope: ReportScope,
        (daemon, incarnation): (TargetKey, Incarnation),
        zone: TargetKey,
        sums: &OutcomeSums,
    ) {
        let is_full = self.daemons.len() + self.zones.len() >= MAX_SOURCES;
        let known = match scope {
            ReportScope::Daemon if is_full => self.daemons.get_mut(&(daemon, incarnation)),
            ReportScope::Daemon => Some(self.daemons.entry((daemon, incarnation)).or_default()),
            ReportScope::Zone if is_full => self.zones.get_mut(&zone),
            ReportScope::Zone => Some(self.zones.entry(zone).or_default()),
            ReportScope::News => None,
        };
        if let Some(known) = known {
            known.keep_highest(sums);
        }
    }

    /// Returns the counts of this daemon's zone.
    #[must_use]
    pub fn zone_sum(&self) -> OutcomeSums {
        let mut sum = self.own.clone();
        for sums in self.daemons.values() {
            sum.add(sums);
        }
        sum
    }

    /// Returns the counts of all zones.
    #[must_use]
    pub fn total(&self) -> OutcomeSums {
        let mut sum = self.zone_sum();
        for sums in self.zones.values() {
            sum.add(sums);
        }
        sum
    }
}
