//! Finds the next run of a stream whose run broke off: from its copy, or, on resumable routes,
//! started anew at another engine.

use super::{
    Gateway,
    generation::Run,
    job::{Admitted, Job},
    model::TargetId,
    pump::{BrokenRun, RunCopy},
    resumption::{AfterBreak, BrokenStream, after_break},
    send_budget::RepeatReason,
    sent::SendOutcome,
};
use crate::{clock, log::shown};

/// The starts of a request so far.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Targets that were tried.
    pub tried: Vec<TargetId>,
    /// Number of starts after which the request has run or may have run.
    pub starts: u32,
}

/// The run with which a stream goes on.
pub(super) struct NextRun {
    pub run: Run,
    /// Whether the run was started anew, not from a copy.
    pub is_new_start: bool,
}

impl Gateway {
    /// Resumes a run that broke off from its copy, or starts it anew after the last event that
    /// the caller has, until a run goes on or none may.
    pub(super) async fn next_run(
        &self,
        job: &Job,
        mut broken: BrokenRun,
        mut copy: Option<RunCopy>,
        attempts: &mut Attempts,
    ) -> Result<NextRun, Box<str>> {
        // Why the run did not go on from its copy, or not at the last engine.
        let mut failure = None;
        loop {
            let now = clock::now();
            let admitted = self.readmit(&self.shared.fleet(), job);
            let route = admitted.as_ref().ok().map(|a| &a.route);
            let is_resumable =
                job.is_resumable && route.is_some_and(|r| r.repeat_policy.is_resumable());
            let decision = after_break(&BrokenStream {
                is_resumable,
                has_copy: copy.is_some(),
                is_held: self.is_held(job),
                is_young: broken.is_young,
                may_repeat: job.may_repeat(),
                is_position_known: broken.is_position_known,
                starts: attempts.starts,
                max_attempts: route.map_or(0, |r| r.max_attempts),
                is_late: job.time_left(now).is_zero(),
            });
            let id = &job.info.request_id;
            log::info!(
                "event=after_break request={id} decision={decision:?} after={:?} starts={}",
                broken.last_id,
                attempts.starts,
                id = shown(&id)
            );
            match (decision, copy.take(), admitted) {
                (AfterBreak::ResumeFromCopy, Some(copy), _) => {
                    attempts.tried.push(copy.target.id.clone());
                    match self.resume_in_time(job, &broken, copy, is_resumable).await {
                        Ok(run) => {
                            return Ok(NextRun {
                                run,
                                is_new_start: false,
                            });
                        }
                        Err(reason) if is_resumable => failure = Some(reason),
                        Err(reason) => return Err(reason),
                    }
                }
                (AfterBreak::StartAnew, _, Ok(admitted)) => {
                    let started = self.start_anew(job, &admitted, &broken, attempts).await;
                    match started {
                        Ok(run) => {
                            return Ok(NextRun {
                                run,
                                is_new_start: true,
                            });
                        }
                        Err(Failed::Final(reason)) => return Err(failure.unwrap_or(reason)),
                        Err(Failed::AtTarget(reason)) => failure = Some(reason),
                    }
                    // The new run broke before its first event.
                    broken.is_young = true;
                }
                (AfterBreak::GiveUp(_), _, Err(refusal)) if job.is_resumable => {
                    return Err(failure.unwrap_or(refusal));
                }
                (AfterBreak::GiveUp(reason), ..) => {
                    return Err(failure.unwrap_or_else(|| <&str>::from(reason).into()));
                }
                // The decision is for a copy only if there is one, and for a new start only if
                // the request is admitted.
                _ => return Err(failure.unwrap_or_else(|| "no copy".into())),
            }
        }
    }

    /// Resumes a run from a copy. On resumable routes, waits no longer than the route's
    /// objective for the end of the run at its engine: the caller waits for the next event,
    /// and the request may run twice.
    async fn resume_in_time(
        &self,
        job: &Job,
        broken: &BrokenRun,
        copy: RunCopy,
        is_resumable: bool,
    ) -> Result<Run, Box<str>> {
        let resuming = self.take_over(job, broken, copy);
        if !is_resumable {
            return resuming.await;
        }
        let admitted = self.readmit(&self.shared.fleet(), job)?;
        let resumed = tokio::time::timeout(admitted.route.objective, resuming).await;
        resumed.unwrap_or_else(|_| Err("the copy was not resumed in time".into()))
    }

    /// Starts a run at another engine, after the last event that the caller has.
    async fn start_anew(
        &self,
        job: &Job,
        admitted: &Admitted,
        broken: &BrokenRun,
        attempts: &mut Attempts,
    ) -> Result<Run, Failed> {
        let fleet = self.shared.fleet();
        let now = clock::now();
        let placement = self
            .place(&fleet, job, admitted, &attempts.tried, &[])
            .ok_or_else(|| Failed::Final("no target".into()))?;
        // Without a new event the caller loses little if the budget keeps it from another start.
        let reason = if broken.last_id == job.last_event {
            RepeatReason::OtherTarget
        } else {
            RepeatReason::BrokenRun
        };
        if !self.try_record_send(job, Some(reason), now) {
            return Err(Failed::Final("budget".into()));
        }
        attempts.tried.push(placement.target.id.clone());
        let demand = job.demand(admitted.route.objective);
        let backup = self.choose_backup(&fleet, &placement, &demand);
        let sending = self.send_stream(job, admitted, &placement, backup, broken.last_id);
        let outcome = tokio::time::timeout(job.time_left(now), sending).await;
        let outcome = outcome.map_err(|_| Failed::Final("deadline".into()))?;
        let target = &placement.target;
        let took = clock::now().saturating_sub(now);
        self.record_outcome(job, &target.id, &outcome, took);
        let may_have_run = !matches!(outcome, SendOutcome::Unsent(_) | SendOutcome::NotRun(_));
        attempts.starts += u32::from(may_have_run);
        metrics::counter!("bluebell_gateway_new_starts", "outcome" => <&str>::from(&outcome))
            .increment(1);
        match outcome {
            SendOutcome::Answered(run) if run.exchange.response.status().is_success() => {
                log::info!(
                    "event=stream_restarted request={} target={} after={:?} starts={} took_ms={}",
                    shown(&job.info.request_id),
                    shown(&target.id),
                    broken.last_id,
                    attempts.starts,
                    took.as_millis()
                );
                Ok(run)
            }
            SendOutcome::Answered(run) => {
                let status = run.exchange.response.status();
                if status.is_server_error() {
                    self.loads.record_failure(&target.id, clock::now());
                }
                Err(Failed::AtTarget(
                    format!("status={}", status.as_u16()).into(),
                ))
            }
            SendOutcome::Disconnected(reason) => {
                self.record_crash(job, target, now, true);
                Err(Failed::AtTarget(reason))
            }
            SendOutcome::Unsent(reason)
            | SendOutcome::NotRun(reason)
            | SendOutcome::CutOff(reason)
            | SendOutcome::Unknown(reason) => Err(Failed::AtTarget(reason)),
        }
    }
}

/// Why a new start failed.
enum Failed {
    /// No other target can be tried.
    Final(Box<str>),
    /// The target declined or failed; another one may be tried.
    AtTarget(Box<str>),
}
