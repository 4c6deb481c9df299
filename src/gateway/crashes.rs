//! Connects requests with the table of suspect subjects: holds requests, and records the
//! crashes and answers of runs.

use std::sync::Arc;

use hyper::{Method, Uri};

use super::{
    Gateway,
    crash_history::RunCrash,
    exchange::is_closed,
    in_flight::{Progress, Stage},
    job::Job,
    model::{Customer, Target},
    peer_wire::{SubjectKey, target_key},
    refusal::Refusal,
    suspects::{SuspectTracker, Verdict},
};
use crate::{
    cell,
    clock::{self, BootTime},
    log::shown,
};

/// A request's trial. Returned on drop if the request has certainly not run.
pub(super) struct Trial {
    suspects: SuspectTracker,
    job_subjects: Box<[SubjectKey]>,
    progress: Progress,
    began_at: BootTime,
}

impl Drop for Trial {
    fn drop(&mut self) {
        if self.progress.stage() != Stage::NotRun {
            return;
        }
        log::info!(
            "event=suspect_trial_returned subjects={}",
            self.job_subjects.len()
        );
        let now = clock::now();
        self.suspects.with(now, |table| {
            table.return_trial(&self.job_subjects, self.began_at, now);
        });
    }
}

/// Returns the key of a whole request. Callers that send it again give it another id, so
/// the id is not part of it.
pub(super) fn request_key(
    method: &Method,
    host: &str,
    uri: &Uri,
    customer: Option<&Arc<Customer>>,
    body: &[u8],
) -> SubjectKey {
    let customer = customer.map_or("", |c| &c.name);
    let body = blake3::hash(body).to_hex();
    target_key(&format!("{method} {host} {uri} {customer} {body}"))
}

impl Gateway {
    /// Checks the subjects of a request before it is sent. Returns a trial if the request
    /// tries a subject on which engines crashed.
    pub(super) fn check_subjects(&self, job: &Job) -> Result<Option<Trial>, Refusal> {
        let subjects = &job.subjects;
        let now = clock::now();
        let (targets, rank) = (self.target_count(job), self.rank_for(job.request));
        let (held, is_trial) = {
            let mut history = job.suspects.history.lock();
            let held = history.held(job.request, targets);
            let checked = history.check(job.request, targets, rank, now);
            (checked, held.is_some() && checked.is_none())
        };
        let (id, subject) = (&job.info.request_id, job.request);
        if let Some(crashes) = held {
            log::info!(
                "event=suspect_hold request={id} subject={subject:08x} crashes={crashes} targets={targets}",
                id = shown(&id)
            );
            return Err(Refusal::Suspect);
        }
        if is_trial {
            log::warn!(
                "event=suspect_trial request={id} subject={subject:08x}",
                id = shown(&id)
            );
        }
        let rank_of = |subject| self.rank_for(subject);
        let verdict = job
            .suspects
            .with(now, |table| table.check(subjects, rank_of, now));
        let id = &job.info.request_id;
        match verdict {
            Verdict::Send => Ok(None),
            Verdict::Trial(subject) => {
                log::warn!(
                    "event=suspect_trial request={id} subject={subject:08x}",
                    id = shown(&id)
                );
                Ok(Some(Trial {
                    suspects: job.suspects.clone(),
                    job_subjects: subjects.clone(),
                    progress: job.progress.clone(),
                    began_at: now,
                }))
            }
            Verdict::Hold(subject) => {
                log::info!(
                    "event=suspect_hold request={id} subject={subject:08x}",
                    id = shown(&id)
                );
                Err(Refusal::Suspect)
            }
        }
    }

    /// Returns whether the targets that ran a request crashed more often than chance explains.
    pub(super) fn is_held(&self, job: &Job) -> bool {
        let targets = self.target_count(job);
        let history = job.suspects.history.lock();
        history.held(job.request, targets).is_some()
    }

    /// Returns the number of known targets of a request's service.
    fn target_count(&self, job: &Job) -> usize {
        let fleet = self.shared.fleet();
        let listed = fleet.targets.values();
        listed
            .filter(|known| known.target.service == job.service)
            .count()
    }

    /// Returns the number of listed daemons that rank above this one for a subject; a daemon
    /// that does not know the list ranks last.
    fn rank_for(&self, subject: SubjectKey) -> usize {
        let key = format!("{subject:08x}");
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

    /// Returns whether a target whose answer was cut off has crashed: a faulty target may cut
    /// answers and work on.
    pub(super) async fn is_down(&self, job: &Job, target: &Target) -> bool {
        let is_down = match self
            .is_closed_for_others(&job.info.request_id, target)
            .await
        {
            Some(is_closed) => is_closed,
            None => is_closed(&self.engines.dial, target.address).await,
        };
        let (id, target) = (&job.info.request_id, &target.id);
        log::info!(
            "event=cut_off_check request={id} target={target} down={is_down}",
            id = shown(&id),
            target = shown(&target)
        );
        is_down
    }

    /// Records that the connection to a target failed before the head of a plain answer. Targets
    /// that lose an answer work on, so whether this one has crashed is found out in the
    /// background.
    pub(super) fn record_disconnect(
        self: &Arc<Self>,
        job: &Arc<Job>,
        target: &Arc<Target>,
        sent_at: BootTime,
    ) {
        let at = clock::now();
        if self.shared.fleet().is_leaving(target) {
            return;
        }
        job.record_early_crash(target, at);
        let (gateway, job, target) = (self.clone(), job.clone(), target.clone());
        tokio::spawn(async move {
            if gateway.is_down(&job, &target).await {
                job.record_run_crash(&target, sent_at, at);
            }
        });
    }

    /// Records that the connection to a target failed before the end of the answer, unless the
    /// target was known to be leaving. If it failed early, before the answer had gone on for
    /// long enough to say that the parts of the prompt did not crash the target, the crash
    /// counts against these too.
    pub(super) fn record_crash(
        &self,
        job: &Job,
        target: &Target,
        sent_at: BootTime,
        is_early: bool,
    ) {
        if self.shared.fleet().is_leaving(target) {
            return;
        }
        let now = clock::now();
        job.record_run_crash(target, sent_at, now);
        if is_early {
            job.record_early_crash(target, now);
        } else {
            let (id, target) = (&job.info.request_id, &target.id);
            log::info!(
                "event=crash request={id} target={target} early=false subjects=1",
                id = shown(&id),
                target = shown(&target)
            );
        }
    }
}

impl Job {
    /// Counts a crash against all subjects.
    fn record_early_crash(&self, target: &Target, now: BootTime) {
        let (id, subjects) = (&self.info.request_id, &self.subjects);
        log::info!(
            "event=crash request={id} target={} early=true subjects={}",
            shown(&target.id),
            subjects.len(),
            id = shown(&id)
        );
        self.suspects
            .with(now, |table| table.record_crash(subjects, now));
    }

    /// Counts a crash against the request as a whole.
    fn record_run_crash(&self, target: &Target, sent_at: BootTime, at: BootTime) {
        let crash = RunCrash {
            target: target_key(&target.id),
            attempt: target_key(&self.info.request_id),
            at,
            sent_at,
        };
        let history = &self.suspects.history;
        history.lock().record_crash(self.request, crash);
    }

    /// Records that the answer has ended whole.
    pub(super) fn record_whole(&self) {
        let now = clock::now();
        self.suspects.history.lock().record_whole(self.request, now);
    }

    /// Records that the answer has gone on for long enough, or has ended whole.
    pub(super) fn record_begun(&self) {
        let now = clock::now();
        self.suspects
            .with(now, |table| table.record_begun(&self.subjects, now));
    }

    /// Returns whether the request may be repeated after a crash that was recorded.
    pub(super) fn may_repeat(&self) -> bool {
        self.suspects
            .with(clock::now(), |table| table.may_repeat(&self.subjects))
    }
}
