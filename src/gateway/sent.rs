//! Outcome of one send of a request to a target, and its record in the log, the
//! metrics and the target's failure count.

use std::time::Duration;

use super::{Gateway, job::Job};
use crate::{clock, log::shown};

/// Outcome of one send of a request to a target.
#[derive(Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum SendOutcome<A> {
    /// The target's own response arrived: whole for plain requests, its head for
    /// streams.
    Answered(A),
    /// Nothing was sent, because no connection was established.
    Unsent(Box<str>),
    /// The target certainly did not run the request.
    NotRun(Box<str>),
    /// The connection failed before the response head arrived; the request may have run.
    Disconnected(Box<str>),
    /// The response broke off within its body; the request may have run. The target may have
    /// crashed, or it may have cut the response and work on.
    CutOff(Box<str>),
    /// The request may have run, and there is no response to forward for another reason.
    Unknown(Box<str>),
}

impl Gateway {
    /// Records the outcome of a send in the log and the metrics, and counts a
    /// failure against the target if there was one.
    pub(crate) fn record_outcome<A>(
        &self,
        job: &Job,
        target: &str,
        outcome: &SendOutcome<A>,
        took: Duration,
    ) {
        metrics::counter!("bluebell_gateway_sends", "outcome" => <&str>::from(outcome))
            .increment(1);
        let (id, took) = (&job.info.request_id, took.as_millis());
        match outcome {
            SendOutcome::Answered(_) => {}
            SendOutcome::Unsent(reason) => {
                log::info!(
                    "event=unsent request={id} target={target} reason={reason:?} took_ms={took}",
                    id = shown(&id),
                    target = shown(&target)
                );
                self.loads.record_unreachable(target, clock::now());
            }
            SendOutcome::NotRun(reason) => {
                log::info!(
                    "event=not_run request={id} target={target} reason={reason:?} took_ms={took}",
                    id = shown(&id),
                    target = shown(&target)
                );
                self.loads.record_failure(target, clock::now());
                self.record_declined(job, clock::now());
            }
            SendOutcome::Disconnected(reason)
            | SendOutcome::CutOff(reason)
            | SendOutcome::Unknown(reason) => {
                log::warn!(
                    "event=answer_lost request={id} target={target} reason={reason:?} took_ms={took}",
                    id = shown(&id),
                    target = shown(&target)
                );
                self.loads.record_failure(target, clock::now());
            }
        }
    }
}
