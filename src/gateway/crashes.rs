//! Connects requests with the table of suspect parts: holds requests, and records the
//! crashes and answers of runs.

use super::{
    Gateway, job::Job, model::Target, peer_wire::PartKey, refusal::Refusal, suspects::Verdict,
};
use crate::{cell, clock};

impl Gateway {
    /// Checks the parts of a request before it is sent. Returns whether the request is the
    /// trial of a part on which engines crashed.
    pub(super) fn check_parts(&self, job: &Job) -> Result<bool, Refusal> {
        let parts = &job.info.parts;
        if parts.is_empty() {
            return Ok(false);
        }
        let now = clock::now();
        let rank_of = |part| self.rank_for(part);
        let verdict = self
            .suspects
            .with(now, |table| table.check(parts, rank_of, now));
        let id = &job.info.request_id;
        match verdict {
            Verdict::Send => Ok(false),
            Verdict::Trial(part) => {
                log::warn!("event=part_trial request={id} part={part:08x}");
                Ok(true)
            }
            Verdict::Hold(part) => {
                log::info!("event=part_hold request={id} part={part:08x}");
                Err(Refusal::SuspectPart)
            }
        }
    }

    /// Returns the number of listed daemons that rank above this one for a part; a daemon
    /// that does not know the list ranks last.
    fn rank_for(&self, part: PartKey) -> usize {
        let key = format!("{part:08x}");
        let own = cell::score(&key, &self.settings().name);
        let daemons = self.shared.daemon_names();
        if daemons.is_empty() {
            return usize::MAX;
        }
        let higher = daemons
            .iter()
            .filter(|name| cell::score(&key, name.as_ref()) > own);
        higher.count()
    }

    /// Records that the connection to a run's engine failed before the second event of the
    /// run, unless the engine was known to be leaving.
    pub(super) fn record_crash(&self, job: &Job, target: &Target) {
        if self.shared.fleet().is_leaving(target) {
            return;
        }
        let (id, target, parts) = (&job.info.request_id, &target.id, &job.info.parts);
        log::info!(
            "event=crash request={id} target={target} parts={}",
            parts.len()
        );
        let now = clock::now();
        self.suspects
            .with(now, |table| table.record_crash(parts, now));
    }

    /// Records that an answer has gone on past its first event, or has ended whole.
    pub(super) fn record_begun(&self, job: &Job) {
        let now = clock::now();
        self.suspects
            .with(now, |table| table.record_begun(&job.info.parts, now));
    }

    /// Returns whether a run that broke before its second event may be repeated.
    pub(super) fn may_repeat(&self, job: &Job) -> bool {
        let parts = &job.info.parts;
        self.suspects
            .with(clock::now(), |table| table.may_repeat(parts))
    }
}
