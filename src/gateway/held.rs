//! Holds requests until a target can begin them within their objective, at most for a tenth of
//! it.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::{
    Gateway,
    admission::{Demand, Room, Verdict, decide, hold_end},
    job::{Admitted, Job},
    model::{Fleet, TargetId},
    refusal::Refusal,
    wait_queue::{HeldNumber, WaitQueue},
};
use crate::{
    clock::{self, BootTime},
    log::shown,
};

/// Interval at which the next request of a queue looks for room: a fraction of the intervals
/// at which reports arrive, and of the time for which a request is held.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Fraction of the memory for requests above which none is held.
const MEMORY_FRACTION: f64 = 0.5;
/// Number of targets among which a request that was held is placed. Daemons that know the same
/// reports would all choose the best one.
const CHOICES: usize = 2;

/// Requests that are held, by service.
#[derive(Debug, Default)]
pub(super) struct HeldRequests {
    queues: Mutex<HashMap<Box<str>, WaitQueue>>,
    /// Notified when a request leaves its queue.
    left: Notify,
    /// Cancelled when all held requests are to be refused.
    closed: CancellationToken,
}

impl HeldRequests {
    /// Ends all waits. Requests that come later are not held.
    pub fn close(&self) {
        self.closed.cancel();
    }

    fn with<R>(&self, service: &str, f: impl FnOnce(&mut WaitQueue) -> R) -> R {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(service.into()).or_default();
        let result = f(queue);
        if queue.is_empty() && !queue.is_limited(clock::now()) {
            queues.remove(service);
        }
        result
    }
}

/// Guard that keeps a request in its queue until it is dropped.
struct Place<'a> {
    held: &'a HeldRequests,
    service: &'a str,
    number: HeldNumber,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.held
            .with(self.service, |queue| queue.leave(self.number));
        self.held.left.notify_waiters();
    }
}

impl Gateway {
    /// Waits as long as no target can begin a request within its objective, at most for a
    /// tenth of that. Returns the targets to which it should then not be sent. A request that
    /// has waited is admitted anew.
    pub(super) async fn wait_for_room(
        &self,
        job: &Job,
        admitted: &mut Admitted,
    ) -> Result<Vec<TargetId>, Refusal> {
        if self.held.closed.is_cancelled() || !self.has_memory_to_hold() {
            return Ok(Vec::new());
        }
        if !matches!(self.look(job, admitted), Looked::Wait) {
            return Ok(Vec::new());
        }
        let demand = job.admission_demand(admitted);
        let number = self.held.with(&job.service, |queue| queue.enter(demand));
        let Some(number) = number else {
            return Ok(Vec::new());
        };
        let place = Place {
            held: &self.held,
            service: &job.service,
            number,
        };
        let until = hold_end(&demand);
        let (outcome, avoided) = loop {
            // Created before the check, so that no change between them is missed.
            let left = self.held.left.notified();
            let now = clock::now();
            if now >= until {
                break ("hold_end", Vec::new());
            }
            let next = self.held.with(&job.service, |queue| queue.next(now));
            if next == Some(number) {
                match self.look(job, admitted) {
                    Looked::Wait => {}
                    Looked::Send => break ("no_cause", Vec::new()),
                    Looked::Room { places, avoided } => {
                        let daemons = self.shared.daemon_count();
                        let may_send = self.held.with(&job.service, |queue| {
                            queue.try_release(places, daemons, rand::random(), now)
                        });
                        if may_send {
                            break ("room", avoided);
                        }
                    }
                }
            }
            let pause = POLL_INTERVAL.min(until.saturating_sub(now));
            tokio::select! {
                () = self.held.closed.cancelled() => {
                    log_held(job, "stopping");
                    return Err(Refusal::Stopping);
                }
                () = left => {}
                () = tokio::time::sleep(pause) => {}
            }
        };
        drop(place);
        log_held(job, outcome);
        let (fleet, key) = (self.shared.fleet(), job.key.as_deref());
        *admitted = self.admit(&fleet, &job.host, job.uri.path(), key, clock::now())?;
        Ok(avoided)
    }

    /// Adds `avoided` to the targets to which a request is not sent, unless none would be left.
    pub(super) fn add_avoided(
        &self,
        fleet: &Fleet,
        job: &Job,
        admitted: &Admitted,
        late: Vec<TargetId>,
        avoided: &[TargetId],
    ) -> Vec<TargetId> {
        if avoided.is_empty() {
            return late;
        }
        let all = [&late, avoided].concat();
        let versions = self.rollouts.version_use(&job.service, None, clock::now());
        let has_target = self.choose(fleet, job, admitted, &all, &versions).is_some();
        if has_target { all } else { late }
    }

    /// Returns whether there is memory for requests that wait.
    pub(super) fn has_memory_to_hold(&self) -> bool {
        let pool = &self.memory.requests;
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let fraction = pool.taken() as f64 / pool.size().max(1) as f64;
        fraction < MEMORY_FRACTION
    }

    /// Decides on a request by what is known now.
    fn look(&self, job: &Job, admitted: &Admitted) -> Looked {
        let now = clock::now();
        let fleet = self.shared.fleet();
        let Some((ids, room)) = self.room(&fleet, job, admitted, &[], now) else {
            return Looked::Send;
        };
        let demand = job.admission_demand(admitted);
        match decide(&demand, &room, now, 0.0) {
            Verdict::Wait => Looked::Wait,
            // What follows refuses it.
            Verdict::Refuse { .. } => Looked::Send,
            Verdict::Send if !room.targets.iter().any(|t| t.is_allowed) => Looked::Send,
            Verdict::Send => Looked::Room {
                places: room.places(&demand, now),
                avoided: avoided(&ids, &room, &demand, now),
            },
        }
    }
}

/// What a look at the targets says of a held request.
enum Looked {
    /// No target can begin it within its objective.
    Wait,
    /// It need not wait, since it is not held up by the load of targets.
    Send,
    /// Targets have room.
    Room {
        /// Number of requests for which there is room.
        places: f64,
        /// Targets other than the few that this request may take.
        avoided: Vec<TargetId>,
    },
}

/// Returns all targets but a few random ones that can begin a request within its objective.
fn avoided(ids: &[&TargetId], room: &Room, demand: &Demand, now: BootTime) -> Vec<TargetId> {
    let until = demand.arrived + demand.objective;
    let targets = ids.iter().zip(&room.targets);
    let fit = targets.filter(|(_, t)| t.is_allowed && room.may_begin(t, demand, until, now));
    let fit: Vec<&TargetId> = fit.map(|(id, _)| *id).collect();
    let chosen: Vec<_> = fit.sample(&mut rand::rng(), CHOICES).collect();
    let others = ids.iter().filter(|id| !chosen.contains(id));
    others.map(|id| (*id).clone()).collect()
}

fn log_held(job: &Job, outcome: &'static str) {
    let held = clock::now().saturating_sub(job.arrived);
    log::info!(
        "event=held request={} service={} priority={} outcome={outcome} held_ms={}",
        shown(&job.info.request_id),
        shown(&job.service),
        job.priority.map_or(-1, i16::from),
        clock::millis(held)
    );
    metrics::counter!("bluebell_gateway_held", "outcome" => outcome).increment(1);
}
