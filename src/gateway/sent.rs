//! How one send of a request to a target ended.

use std::time::Duration;

use super::{Gateway, job::Job};
use crate::clock;

/// How one send ended.
#[derive(Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Sent<A> {
    /// The target answered, and the answer is its own and whole.
    Answered(A),
    /// Nothing was sent: no connection came about.
    Unsent(Box<str>),
    /// The target certainly did not run it.
    NotRun(Box<str>),
    /// It may have run; there is no answer to pass on.
    Unknown(Box<str>),
}

impl Gateway {
    /// Notes how a send ended: in the log, in the counters, and against the
    /// target where it failed.
    pub(crate) fn note_sent<A>(&self, job: &Job, target: &str, sent: &Sent<A>, took: Duration) {
        metrics::counter!("bluebell_gateway_sends", "outcome" => <&str>::from(sent)).increment(1);
        let (id, took) = (&job.stated.request_id, took.as_millis());
        match sent {
            Sent::Answered(_) => {}
            Sent::Unsent(reason) => {
                log::info!(
                    "event=unsent request={id} target={target} reason={reason:?} took_ms={took}"
                );
                self.loads.note_down(target, clock::now());
            }
            Sent::NotRun(reason) => {
                log::info!(
                    "event=not_run request={id} target={target} reason={reason:?} took_ms={took}"
                );
                self.loads.note_failure(target, clock::now());
            }
            Sent::Unknown(reason) => {
                log::warn!(
                    "event=answer_lost request={id} target={target} reason={reason:?} took_ms={took}"
                );
                self.loads.note_failure(target, clock::now());
            }
        }
    }
}
