//! Decides whether a request to an engine is sent, held or rejected, by when a target can begin
//! it.
//!
//! Load pattern: more requests arrive than the engines of a service can run. Queues at the
//! engines grow until those that are served have waited almost until their deadline, and the
//! others end there, after they have kept their callers from trying again elsewhere. A request
//! that no target can begin before its deadline is therefore rejected when it arrives, with a
//! time to come back at which room is expected.
//!
//! What a daemon knows of the targets is late and incomplete, so the expected wait is a low
//! estimate. Daemons do not report their work by priority: that of others counts as ahead only
//! of the least urgent requests, and more urgent ones pass it in the queues of engines. The
//! speed is that of the faster ones of the runs that this daemon has seen begin; it includes
//! requests that leave a queue at their deadline, waits for memory, and prompts that an engine
//! knows already.

use std::time::Duration;

use super::model::Tokens;
use crate::clock::BootTime;

/// By how much the expected wait has to exceed the time left. Engines of one service differ
/// 1.3-fold in speed, and so may the samples of a rate and the prompts in a queue.
const MARGIN: f64 = 2.0;
/// Age up to which reports of other daemons are used: what waited then has been served since.
const REPORT_AGE: Duration = Duration::from_secs(1);
/// Fraction of its objective for which a request may be held. An eighth has a cost, also for a
/// request that is served in time after that; the rest is for the way to the target.
const HOLD_FRACTION: f64 = 0.1;
/// Fraction of the places of a service below which nothing is rejected.
const FREE_FRACTION: f64 = 0.5;
/// Minimum `Retry-After`: about the time in which reports show a change of the load.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Maximum `Retry-After`: the state of queues further ahead is not known.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Number of priorities that engines know.
pub const PRIORITIES: usize = 10;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Priority sent to engines; `None` if all requests are equally urgent.
    pub priority: Option<u8>,
    /// Number of prompt tokens to be read.
    pub prompt: Tokens,
    /// Latency objective for the first event, from the arrival on.
    pub objective: Duration,
    /// Time at which it arrived.
    pub arrived: BootTime,
    /// Time after which the request is of no use.
    pub deadline: BootTime,
}

/// What is known of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetRoom {
    /// Number of requests that the target runs at the same time.
    pub slots: u32,
    /// Requests that all daemons have there.
    pub requests: u32,
    /// Prompt tokens that the target has not read yet, of all daemons.
    pub unread: Tokens,
    /// Those of them that are this daemon's, by priority, 0 first.
    pub own_unread: [Tokens; PRIORITIES],
    /// Whether the request may be sent there.
    pub is_allowed: bool,
}

/// What is known of the targets of a service.
#[derive(Clone, Debug, Default)]
pub struct Room {
    /// All targets that take new work.
    pub targets: Vec<TargetRoom>,
    /// Least urgent priority of requests to engines; `None` if all are equally urgent.
    pub least_urgent: Option<u8>,
    /// Prompt tokens per second by which the queue of a target shortens; `None` if unknown.
    pub token_rate: Option<f64>,
    /// Requests per second by which the queue of a target shortens; `None` if unknown.
    pub queue_rate: Option<f64>,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is sent to a target.
    Send,
    /// No target can begin it within its objective, and it may still be held.
    Wait,
    /// No target can begin it in time.
    Refuse {
        /// Time after which the caller may find room.
        retry_after: Duration,
    },
}

impl TargetRoom {
    /// Returns how many requests wait at the target for a slot.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.requests.saturating_sub(self.slots)
    }
}

impl Room {
    /// Returns whether under half of the places of the service are taken and no request waits
    /// for one.
    #[must_use]
    pub fn is_free(&self) -> bool {
        let slots: u64 = self.targets.iter().map(|t| u64::from(t.slots)).sum();
        let requests: u64 = self.targets.iter().map(|t| u64::from(t.requests)).sum();
        let is_low = as_f64(requests) < FREE_FRACTION * as_f64(slots);
        is_low && self.targets.iter().all(|t| t.queued() == 0)
    }

    /// Returns the part of the places that are taken at the targets that the request may be sent
    /// to, above 1 if requests wait for one; 0 without such a target.
    #[must_use]
    pub fn taken_fraction(&self) -> f64 {
        let allowed = self.targets.iter().filter(|t| t.is_allowed);
        let slots: u64 = allowed.clone().map(|t| u64::from(t.slots)).sum();
        let requests: u64 = allowed.map(|t| u64::from(t.requests)).sum();
        as_f64(requests) / as_f64(slots.max(1))
    }

    /// Returns how long the request is expected to wait at a target until it is begun.
    #[must_use]
    pub fn expected_wait(&self, target: &TargetRoom, demand: &Demand) -> Duration {
        let (unread, queued) = match (demand.priority, self.least_urgent) {
            (Some(priority), Some(least_urgent)) if priority < least_urgent => {
                let as_urgent = target.own_unread.iter().take(usize::from(priority) + 1);
                (as_urgent.sum(), 0)
            }
            _ => (target.unread, target.queued()),
        };
        // The queue for slots and the one of prompts are the same requests.
        let wait_s =
            wait_s(as_f64(unread), self.token_rate).max(wait_s(f64::from(queued), self.queue_rate));
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    /// Returns whether a target may still begin the request by `until`.
    #[must_use]
    pub fn may_begin(
        &self,
        target: &TargetRoom,
        demand: &Demand,
        until: BootTime,
        now: BootTime,
    ) -> bool {
        self.expected_wait(target, demand) <= longest_wait(until, now)
    }

    /// Returns how many requests like this one the targets can still begin within its objective.
    #[must_use]
    pub fn places(&self, demand: &Demand, now: BootTime) -> f64 {
        let longest = longest_wait(demand.arrived + demand.objective, now);
        let places = |target: &TargetRoom| {
            let left = longest.saturating_sub(self.expected_wait(target, demand));
            let requests_by = |rate: Option<f64>, each: f64| {
                rate.map_or(f64::INFINITY, |rate| left.as_secs_f64() * rate / each)
            };
            let by_tokens = requests_by(self.token_rate, as_f64(demand.prompt.max(1)));
            by_tokens.min(requests_by(self.queue_rate, 1.0))
        };
        let allowed = self.targets.iter().filter(|t| t.is_allowed);
        allowed.map(places).sum()
    }

    /// Returns the shortest expected wait at a target that the request may be sent to.
    #[must_use]
    pub fn shortest_wait(&self, demand: &Demand) -> Option<Duration> {
        let allowed = self.targets.iter().filter(|t| t.is_allowed);
        allowed.map(|t| self.expected_wait(t, demand)).min()
    }
}

/// Decides on a request. `spread`, from 0 to 1, is drawn for each request and divides the
/// returns of rejected callers over the time in which room is expected.
#[must_use]
pub fn decide(demand: &Demand, room: &Room, now: BootTime, spread: f64) -> Verdict {
    if room.is_free() {
        return Verdict::Send;
    }
    // Without a target, another decision names the reason.
    let Some(wait) = room.shortest_wait(demand) else {
        return Verdict::Send;
    };
    let mut allowed = room.targets.iter().filter(|t| t.is_allowed);
    if allowed.any(|t| room.may_begin(t, demand, demand.deadline, now)) {
        let objective = demand.arrived + demand.objective;
        let mut allowed = room.targets.iter().filter(|t| t.is_allowed);
        let is_held =
            now < hold_end(demand) && !allowed.any(|t| room.may_begin(t, demand, objective, now));
        return if is_held {
            Verdict::Wait
        } else {
            Verdict::Send
        };
    }
    // A request with as much time would be sent once the queue is this much shorter. All of
    // the queue has gone after the whole wait.
    let earliest = wait.saturating_sub(longest_wait(demand.deadline, now));
    let earliest = earliest.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER / 2);
    let latest = wait.clamp(2 * earliest, MAX_RETRY_AFTER);
    Verdict::Refuse {
        retry_after: earliest
            + latest
                .saturating_sub(earliest)
                .mul_f64(spread.clamp(0.0, 1.0)),
    }
}

/// Returns the time until which a request may be held.
#[must_use]
pub fn hold_end(demand: &Demand) -> BootTime {
    demand.arrived + demand.objective.mul_f64(HOLD_FRACTION)
}

/// Returns the longest expected wait with which a request may still be begun by `until`.
fn longest_wait(until: BootTime, now: BootTime) -> Duration {
    until.saturating_sub(now).mul_f64(MARGIN) + REPORT_AGE
}

/// Returns the time in which a queue has gone, in seconds; none if its rate is not known.
fn wait_s(queue: f64, rate: Option<f64>) -> f64 {
    rate.filter(|rate| *rate > 0.0)
        .map_or(0.0, |rate| queue / rate)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^52"
)]
fn as_f64(tokens: Tokens) -> f64 {
    tokens as f64
}
