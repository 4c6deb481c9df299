//! Orders the requests that a daemon holds because no target can begin them within their
//! objective, and decides how many it may send when room appears.
//!
//! Load pattern: the queues of all engines of a service are long, then a burst ends, and
//! hundreds of daemons see in the same reports that there is room. Each of them sends only
//! its share of the known room within one report interval, so that together they do not fill
//! the engine that looked best.

use std::{collections::BTreeMap, time::Duration};

use super::admission::{Demand, hold_end};
use crate::clock::BootTime;

/// Maximum number of requests that one daemon holds for one service: more than it gets within
/// the time for which it holds one, at several times the load for which it is built.
const MAX_HELD: usize = 64;
/// Time in which all daemons know what the others have sent: the longest report interval.
pub const RELEASE_WINDOW: Duration = Duration::from_secs(1);
/// Number of steps of urgency that a request rises while it is held, so that the least urgent
/// one also has a turn before more urgent ones that have just come.
const AGEING_STEPS: u128 = 10;
/// Urgency of requests without a priority, as engines take it.
const DEFAULT_PRIORITY: u8 = 5;

/// Number of a held request in its queue.
pub type HeldNumber = u64;

/// The requests that are held for one service.
#[derive(Debug, Default)]
pub struct WaitQueue {
    held: BTreeMap<HeldNumber, Demand>,
    last_number: HeldNumber,
    window: Option<Window>,
}

/// What may still be sent within the current interval.
#[derive(Debug)]
struct Window {
    ends: BootTime,
    releases_left: u32,
}

impl WaitQueue {
    /// Adds a request; `None` if the queue is full.
    pub fn enter(&mut self, demand: Demand) -> Option<HeldNumber> {
        if self.held.len() >= MAX_HELD {
            return None;
        }
        self.last_number += 1;
        self.held.insert(self.last_number, demand);
        Some(self.last_number)
    }

    /// Removes a request that is sent, refused or gone.
    pub fn leave(&mut self, number: HeldNumber) {
        self.held.remove(&number);
    }

    /// Returns the number of held requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no request is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns whether a share of the room is in force.
    #[must_use]
    pub fn is_limited(&self, now: BootTime) -> bool {
        self.window.as_ref().is_some_and(|window| now < window.ends)
    }

    /// Returns the request that is sent next: of the most urgent ones, counted with their age,
    /// those whose objective can still be met, and of these the oldest.
    #[must_use]
    pub fn next(&self, now: BootTime) -> Option<HeldNumber> {
        let rank = |demand: &Demand| {
            let is_missed = demand.arrived + demand.objective <= now;
            (urgency(demand, now), is_missed, demand.arrived)
        };
        let held = self.held.iter();
        let next = held.min_by_key(|(number, demand)| (rank(demand), **number));
        next.map(|(number, _)| *number)
    }

    /// Returns whether one more request may be sent now, and counts it. `room` is the number of
    /// requests for which room is known, and `draw`, from 0 to 1, rounds this daemon's share
    /// of it.
    pub fn try_release(&mut self, room: f64, daemons: usize, draw: f64, now: BootTime) -> bool {
        let window = self.window.take().filter(|window| now < window.ends);
        let mut window = window.unwrap_or_else(|| Window {
            ends: now + RELEASE_WINDOW,
            releases_left: share(room, daemons, draw),
        });
        let is_allowed = window.releases_left > 0;
        window.releases_left = window.releases_left.saturating_sub(1);
        self.window = Some(window);
        is_allowed
    }
}

/// Returns the rank of a request by its priority and the time for which it has been held;
/// lower is more urgent.
fn urgency(demand: &Demand, now: BootTime) -> i64 {
    let hold = hold_end(demand).saturating_sub(demand.arrived);
    let age = now.saturating_sub(demand.arrived);
    // Whole steps, so that requests of one class compare by what can still be met.
    let steps = AGEING_STEPS * age.as_millis() / hold.as_millis().max(1);
    let priority = demand.priority.unwrap_or(DEFAULT_PRIORITY);
    i64::from(priority).saturating_sub(i64::try_from(steps).unwrap_or(i64::MAX))
}

/// Returns this daemon's share of the known room, rounded up with the probability of its
/// fraction: the shares of all daemons add up to the room whatever their number.
fn share(room: f64, daemons: usize, draw: f64) -> u32 {
    #[expect(clippy::cast_precision_loss, reason = "a small number")]
    let share = room.max(0.0) / daemons.max(1) as f64 + draw.clamp(0.0, 1.0);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and saturates"
    )]
    let whole = share.floor() as u32;
    whole
}
