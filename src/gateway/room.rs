//! Collects what this daemon knows of the targets of a service, and applies the decision on
//! whether a request is sent.

use super::{
    Gateway,
    admission::{Demand, Room, TargetRoom, Verdict, decide},
    job::{Admitted, Job, Placement},
    model::{EngineLimits, Fleet, TargetId},
    refusal::Refusal,
};
use crate::{
    clock::{self, BootTime},
    log::shown,
};

impl Gateway {
    /// Refuses a streamed request that no target but those of `tried` can begin before its
    /// deadline. Otherwise returns the targets that begin it too late, while others do not.
    pub(super) fn check_room(
        &self,
        fleet: &Fleet,
        job: &Job,
        admitted: &Admitted,
        tried: &[TargetId],
    ) -> Result<Vec<TargetId>, Refusal> {
        let now = clock::now();
        let Some((ids, room)) = self.room(fleet, job, admitted, tried, now) else {
            return Ok(Vec::new());
        };
        if room.is_free() {
            return Ok(Vec::new());
        }
        let demand = job.admission_demand(admitted);
        let wait = room.shortest_wait(&demand).unwrap_or_default();
        metrics::histogram!("bluebell_gateway_expected_wait_seconds").record(wait.as_secs_f64());
        match decide(&demand, &room, now, rand::random()) {
            // It has been held as long as it may be.
            Verdict::Send | Verdict::Wait => {
                let targets = ids.iter().zip(&room.targets);
                let late = targets.filter(|(_, t)| {
                    t.is_allowed && !room.may_begin(t, &demand, demand.deadline, now)
                });
                Ok(late.map(|(id, _)| (*id).clone()).collect())
            }
            Verdict::Refuse { retry_after } => {
                log::info!(
                    "event=no_room request={} service={} priority={} wait_ms={} left_ms={} \
                     targets={} tokens_per_s={:.0} queued_per_s={:.2} retry_ms={}",
                    shown(&job.info.request_id),
                    shown(&job.service),
                    job.priority.map_or(-1, i16::from),
                    clock::millis(wait),
                    clock::millis(job.time_left(now)),
                    room.targets.len(),
                    room.token_rate.unwrap_or(0.0),
                    room.queue_rate.unwrap_or(0.0),
                    clock::millis(retry_after)
                );
                Err(Refusal::NoRoom(retry_after))
            }
        }
    }

    /// Returns what is known of the targets of the request's service, and their ids; `None`
    /// if the service has no engines.
    pub(super) fn room<'a>(
        &self,
        fleet: &'a Fleet,
        job: &Job,
        admitted: &Admitted,
        tried: &[TargetId],
        now: BootTime,
    ) -> Option<(Vec<&'a TargetId>, Room)> {
        let config = fleet.config.as_ref()?;
        let limits = config.services.get(&job.service)?.engine.as_ref()?;
        let settings = self.settings();
        let peer_load = self.shared.peer_load();
        // Room at a version that gets only a share says little of this request.
        let versions = self.rollouts.version_use(&job.service, None, now);
        let (ids, targets) = fleet
            .available_targets(&job.service)
            .filter(|entry| versions.allows(entry.version.as_deref()))
            .map(|entry| {
                let target = &entry.target;
                let (mut work, _) = self.loads.get(&target.id, now);
                work.add(peer_load.work.get(&entry.key));
                let region = settings.region_of(&target.zone);
                let customer = admitted.customer.as_deref();
                let room = TargetRoom {
                    slots: concurrent_runs(limits, target.slots),
                    requests: work.requests,
                    unread: work.pending_prompt_tokens,
                    own_unread: self.loads.unread_by_priority(&target.id),
                    is_allowed: !tried.contains(&target.id)
                        && admitted.route.allows_region(customer, region),
                };
                (&target.id, room)
            })
            .unzip();
        let room = Room {
            targets,
            least_urgent: config.engine_priorities().map(|range| range.least_urgent),
            token_rate: self.rates.token_rate(&job.service),
            queue_rate: self.rates.queue_rate(&job.service),
        };
        Some((ids, room))
    }
}

impl Job {
    pub(super) fn admission_demand(&self, admitted: &Admitted) -> Demand {
        Demand {
            priority: self.priority,
            prompt: self.info.prompt_tokens,
            objective: admitted.route.objective,
            arrived: self.arrived,
            deadline: self.deadline,
        }
    }
}

/// Returns how many requests a target runs at the same time. Where its entry and the
/// configuration differ, the higher number makes no expected wait too long.
fn concurrent_runs(limits: &EngineLimits, slots: u32) -> u32 {
    limits.slots.max(slots)
}

/// Returns how many requests wait for a slot at the engine that was chosen.
pub(super) fn queued_at(placement: &Placement) -> u32 {
    let limits = placement.service.engine.as_ref();
    let slots = limits.map_or(u32::MAX, |l| concurrent_runs(l, placement.target.slots));
    placement.work.requests.saturating_sub(slots)
}
