//! Connects sends and responses with rollouts: counts where they end, and tells which targets
//! runs may go to.

use hyper::Response;

use super::{
    Gateway,
    generation::Run,
    job::Admitted,
    model::{Fleet, Target},
    peer_wire::target_key,
    send_meter::{SendMeter, VersionSend},
    sent::SendOutcome,
};
use crate::clock::{self, BootTime};

impl Gateway {
    /// Counts a send to a target and returns the meter of its response; `None` without a
    /// rollout of the service. The time of a run that goes on from a copy, or after some events,
    /// is not counted.
    pub(super) fn meter(
        &self,
        admitted: &Admitted,
        target: &Target,
        is_from_start: bool,
        now: BootTime,
    ) -> Option<SendMeter> {
        if !self.rollouts.is_enabled() {
            return None;
        }
        let fleet = self.shared.fleet();
        let known = fleet.targets.get(&target.id);
        let settings = self.settings();
        let is_near = settings.region_of(&target.zone) == settings.region();
        let send = VersionSend {
            service: &target.service,
            version: known.and_then(|k| k.version.as_deref()),
            route: target_key(&admitted.route.name),
            zone: target_key(&target.zone),
            target: target_key(&target.id),
            objective: admitted.route.objective,
            is_comparable: is_from_start && is_near && known.is_some_and(|k| k.cold_until <= now),
        };
        self.rollouts.start(&send, now)
    }

    /// Returns whether a request that was sent before may go to a target of this version.
    pub(super) fn is_version_allowed(&self, fleet: &Fleet, target: &Target, now: BootTime) -> bool {
        if !self.rollouts.is_enabled() {
            return true;
        }
        let known = fleet.targets.get(&target.id);
        let version = known.and_then(|k| k.version.as_deref());
        let versions = self.rollouts.version_use(&target.service, None, now);
        versions.allows(version)
    }

    /// Returns whether a run may go on at a target.
    pub(super) fn accepts_run(&self, fleet: &Fleet, target: &Target) -> bool {
        fleet.accepts_new_work(target) && self.is_version_allowed(fleet, target, clock::now())
    }

    /// Returns whether the runs of a target are to be moved because its version ends.
    pub(super) fn moves_runs(&self, fleet: &Fleet, target: &Target) -> bool {
        let known = fleet.targets.get(&target.id);
        let version = known.and_then(|k| k.version.as_deref());
        self.rollouts.moves_runs(&target.service, version)
    }
}

impl Run {
    /// Counts the first event of the run.
    pub(super) fn record_first_event(&mut self, now: BootTime) {
        if let Some(meter) = &mut self.meter {
            meter.record_first_event(now);
        }
    }

    /// Counts the end of the run.
    pub(super) fn record_version_outcome(&mut self, is_broken: bool) {
        if is_broken {
            record_broken(self.meter.as_mut());
        } else {
            self.meter = None;
        }
    }
}

/// Counts that a response broke off or never came.
pub(super) fn record_broken(meter: Option<&mut SendMeter>) {
    if let Some(meter) = meter {
        meter.record_broken();
    }
}

/// Counts the response to a plain request.
pub(super) fn record_plain<B>(meter: Option<&mut SendMeter>, outcome: &SendOutcome<Response<B>>) {
    let Some(meter) = meter else {
        return;
    };
    match outcome {
        SendOutcome::Answered(res) => {
            meter.record_response(res.status().is_server_error(), clock::now());
        }
        SendOutcome::Disconnected(_) | SendOutcome::CutOff(_) | SendOutcome::Unknown(_) => {
            meter.record_broken();
        }
        SendOutcome::Unsent(_) | SendOutcome::NotRun(_) => {}
    }
}
