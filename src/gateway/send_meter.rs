//! Counts the response to one request during a rollout, where it ends.

use std::time::Duration;

use super::{
    active_rollout::ActiveRollout,
    peer_wire::TargetKey,
    rollouts::Rollouts,
    version_outcomes::{Outcomes, Side},
};
use crate::clock::{self, BootTime};

/// A request as it is sent to a target; names are given by their hashes.
#[derive(Clone, Copy, Debug)]
pub struct VersionSend<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Version of the target.
    pub version: Option<&'a str>,
    /// Hash of the route's name.
    pub route: TargetKey,
    /// Hash of the target's zone.
    pub zone: TargetKey,
    /// Hash of the target's id.
    pub target: TargetKey,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Whether the time can be compared with that of the other version: the target is warm
    /// and in the region of this daemon.
    pub is_comparable: bool,
}

/// A send that has no response yet.
#[derive(Debug)]
pub(super) struct OpenSend {
    pub side: Side,
    pub route: TargetKey,
    pub objective: Duration,
    pub sent_at: BootTime,
    /// Whether its time is already counted, because it is longer than the objective. Without,
    /// a version that never responds would look as if it were not used.
    pub is_late: bool,
}

/// Counts the response to one request that was sent. Dropped without a response, it counts
/// none: the client or a deadline of this daemon has ended the request.
#[derive(Debug)]
pub struct SendMeter {
    rollouts: Rollouts,
    service: Box<str>,
    order: u64,
    id: u64,
    side: Side,
    route: TargetKey,
    zone: TargetKey,
    target: TargetKey,
    is_counted: bool,
    is_bad: bool,
}

impl SendMeter {
    pub(super) fn new(
        rollouts: Rollouts,
        send: &VersionSend<'_>,
        order: u64,
        id: u64,
        side: Side,
    ) -> Self {
        Self {
            rollouts,
            service: send.service.into(),
            order,
            id,
            side,
            route: send.route,
            zone: send.zone,
            target: send.target,
            is_counted: false,
            is_bad: false,
        }
    }

    /// Counts the first event of a stream; further ones do nothing.
    pub fn record_first_event(&mut self, now: BootTime) {
        if !self.is_counted {
            self.record_response(false, now);
        }
    }

    /// Counts a whole response.
    pub fn record_response(&mut self, is_bad: bool, now: BootTime) {
        let (id, side, route) = (self.id, self.side, self.route);
        self.with_order(|active| {
            // The times of failures say nothing.
            if let Some(open) = active.open.remove(&id).filter(|o| !o.is_late && !is_bad) {
                let time = now.saturating_sub(open.sent_at);
                active.table.own.record_time(side, route, time);
            }
        });
        self.count(1, is_bad);
    }

    /// Counts that the response broke off, or never came because the target crashed.
    pub fn record_broken(&mut self) {
        if !self.is_bad {
            self.count(u32::from(!self.is_counted), true);
        }
    }

    fn count(&mut self, responses: u32, is_bad: bool) {
        let (side, route, zone, target) = (self.side, self.route, self.zone, self.target);
        let bad = u32::from(is_bad);
        self.is_counted = true;
        self.is_bad |= is_bad;
        self.with_order(|active| {
            let own = &mut active.table.own;
            own.record_response(side, route, zone, target, Outcomes { responses, bad });
        });
    }

    fn with_order(&self, act: impl FnOnce(&mut ActiveRollout)) {
        self.rollouts.with_order(&self.service, self.order, act);
    }
}

impl Drop for SendMeter {
    fn drop(&mut self) {
        let (id, side, route) = (self.id, self.side, self.route);
        self.with_order(|active| {
            let Some(open) = active.open.remove(&id).filter(|open| !open.is_late) else {
                return;
            };
            // Ended by the caller or a deadline, but late by then.
            let time = clock::now().saturating_sub(open.sent_at);
            if time > open.objective {
                active.table.own.record_time(side, route, time);
            }
        });
    }
}
