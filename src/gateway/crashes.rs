//! Connects requests with the table of suspect parts: holds requests, and records the
//! crashes and answers of runs.

use super::{
    Gateway,
    in_flight::{Progress, Stage},
    job::Job,
    model::Target,
    peer_wire::PartKey,
    refusal::Refusal,
    suspects::{SuspectTracker, Verdict},
};
use crate::{
    cell,
    clock::{self, BootTime},
};

/// A request's trial. Returned on drop if the request has certainly not run.
pub(super) struct Trial {
    suspects: SuspectTracker,
    job_parts: Box<[PartKey]>,
    progress: Progress,
    began_at: BootTime,
}

impl Drop for Trial {
    fn drop(&mut self) {
        if self.progress.stage() != Stage::NotRun {
            return;
        }
        log::info!("event=part_trial_returned parts={}", self.job_parts.len());
        let now = clock::now();
        self.suspects.with(now, |table| {
            table.return_trial(&self.job_parts, self.began_at, now);
        });
    }
}

impl Gateway {
    /// Checks the parts of a request before it is sent. Returns a trial if the request
    /// tries a part on which engines crashed.
    pub(super) fn check_parts(&self, job: &Job) -> Result<Option<Trial>, Refusal> {
        let parts = &job.info.parts;
        if parts.is_empty() {
            return Ok(None);
        }
        let now = clock::now();
        let rank_of = |part| self.rank_for(part);
        let verdict = self
            .suspects
            .with(now, |table| table.check(parts, rank_of, now));
        let id = &job.info.request_id;
        match verdict {
            Verdict::Send => Ok(None),
            Verdict::Trial(part) => {
                log::warn!("event=part_trial request={id} part={part:08x}");
                Ok(Some(Trial {
                    suspects: self.suspects.clone(),
                    job_parts: parts.clone(),
                    progress: job.progress.clone(),
                    began_at: now,
                }))
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
