//! Keeps to the rate of requests that a target states in its answers.
//!
//! Load pattern: a target in need takes a few requests a second from all daemons together,
//! while hundreds of daemons each have less than one a second for it, and some have many
//! more callers than others. Each daemon draws a number for each request. Every target with
//! a limit owns a range of these numbers, as wide as its limit is compared with the
//! requests that all daemons have for its service, and gets only requests that draw a number
//! in its range. The sum thus follows the limit, whatever the number of daemons and their
//! share of the callers, and no daemon asks another one before it sends.
//!
//! Second load pattern: requests grow several times within the time in which other zones
//! hear of it. The daemons of a zone report each send to a target with a limit to one another
//! at once, and together keep to the zone's part of the limit, which is its part of the
//! service's requests.

use std::time::Duration;

use super::peer_wire::TargetKey;

/// Window over which requests to a target with a limit are counted.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Fraction of a limit that the ranges of numbers give out. The rest covers requests that
/// are sent again, and numbers that fall unevenly.
const ALLOTTED_FRACTION: f64 = 0.9;
/// By how much a zone may exceed its part of a limit, since its part of the requests changes.
const ZONE_FACTOR: f64 = 1.25;

/// Requests that were sent to a target within [`LIMIT_WINDOW`], as far as this daemon knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentToTarget {
    /// Requests of all daemons.
    pub by_all: u32,
    /// Requests of the daemons of this daemon's zone.
    pub by_zone: u32,
    /// Part of the zone in the sends to the target's service, from 0 to 1. It is taken over a
    /// longer time, since other zones' sends are known later than this zone's.
    pub zone_share: f64,
}

/// Returns whether one more request to a target keeps to its limit.
#[must_use]
pub fn has_room(limit: f64, sent: &SentToTarget) -> bool {
    let in_window = limit * LIMIT_WINDOW.as_secs_f64();
    let of_zone = in_window * sent.zone_share * ZONE_FACTOR;
    f64::from(sent.by_all) < in_window.max(1.0) && f64::from(sent.by_zone) < of_zone.max(1.0)
}

/// Returns the targets in whose ranges a request falls that has drawn `draw`, from 0 to 1.
/// `limits` holds the limits of a service's targets, and `demand` the requests per second
/// that all daemons have for the service.
#[must_use]
pub fn drawn_targets(limits: &[(TargetKey, f64)], demand: f64, draw: f64) -> Vec<TargetKey> {
    let mut start = 0.0;
    let mut drawn = Vec::new();
    for (target, limit) in limits {
        let width = limit * ALLOTTED_FRACTION / demand.max(f64::MIN_POSITIVE);
        if (draw - start).rem_euclid(1.0) < width {
            drawn.push(*target);
        }
        start = (start + width).fract();
    }
    drawn
}

/// Returns the name under which the requests for a service are counted. It differs from the
/// service's own, under which its sends are counted over another window.
#[must_use]
pub fn demand_name(service: &str) -> Box<str> {
    format!("requests for {service}").into()
}
