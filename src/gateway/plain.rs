//! Plain requests: one answer, read whole before it is passed on.

use bytes::Bytes;
use hyper::{Response, StatusCode};

use super::{
    Gateway,
    body::AnswerBody,
    exchange::{Exchange, ExchangeError},
    headers::end_to_end,
    job::{Admitted, Job, SendHeaders},
    load::Work,
    model::{Repeat, Target},
    refusal::Refusal,
    sent::SendOutcome,
};
use crate::clock;

/// Largest plain answer taken, in bytes: as much as callers may send by default.
pub(crate) const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

impl Gateway {
    /// Serves a plain request within its deadline.
    pub(crate) async fn serve_plain(
        &self,
        job: &Job,
        admitted: Admitted,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let mut progress = Progress::default();
        let left = job.time_left(clock::now());
        let served = self.attempts(job, admitted, &mut progress);
        let served = tokio::time::timeout(left, served).await;
        served.unwrap_or(Err(if progress.was_sent {
            Refusal::TimedOut
        } else {
            Refusal::Expired
        }))
    }

    async fn attempts(
        &self,
        job: &Job,
        mut admitted: Admitted,
        progress: &mut Progress,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let mut tried = Vec::new();
        let mut runs = 0;
        let mut fallback = None;
        let mut outcome = Refusal::NoTarget;
        loop {
            let now = clock::now();
            let fleet = self.standing.fleet();
            if !tried.is_empty() {
                let path = job.uri.path();
                let again = self.admit(&fleet, &job.host, path, job.key.as_deref(), now);
                match again {
                    Ok(again) => admitted = again,
                    Err(refusal) if runs == 0 => return Err(refusal),
                    // A refusal would say that it did not run.
                    Err(_) => break,
                }
            }
            let Some(placement) = self.place(&fleet, job, &admitted, &tried) else {
                break;
            };
            if !self.try_send(job, progress.was_sent, now) {
                break;
            }
            tried.push(placement.target.id.clone());
            // The deadline may end the send at any point from here on.
            let was_sent = std::mem::replace(&mut progress.was_sent, true);
            let sent = self.send_plain(job, &admitted, &placement.target).await;
            let (id, target) = (&job.stated.request_id, &placement.target.id);
            let took = clock::now().saturating_sub(now);
            metrics::histogram!("bluebell_gateway_send_seconds").record(took.as_secs_f64());
            self.record_outcome(job, target, &sent, took);
            progress.was_sent = was_sent || !matches!(sent, SendOutcome::Unsent(_));
            match sent {
                SendOutcome::Unsent(_) | SendOutcome::NotRun(_) => {
                    if runs == 0 {
                        outcome = Refusal::Declined;
                    }
                    continue;
                }
                SendOutcome::Answered(res) => {
                    log::info!(
                        "event=answer request={id} target={target} status={} took_ms={}",
                        res.status().as_u16(),
                        took.as_millis()
                    );
                    runs += 1;
                    if !res.status().is_server_error() {
                        return Ok(caller_response(res));
                    }
                    self.loads.note_failure(target, clock::now());
                    fallback = Some(res);
                }
                SendOutcome::Unknown(_) => {
                    runs += 1;
                    outcome = Refusal::Lost;
                }
            }
            if admitted.route.repeat != Repeat::Idempotent || runs >= admitted.route.max_attempts {
                break;
            }
        }
        fallback.map(caller_response).ok_or(outcome)
    }

    async fn send_plain(
        &self,
        job: &Job,
        admitted: &Admitted,
        target: &Target,
    ) -> SendOutcome<Response<Bytes>> {
        let work = Work {
            requests: 1,
            ..Work::default()
        };
        let _place = self.loads.take(&target.id, work);
        let req = self.request_for(job, admitted, target, &SendHeaders::default(), clock::now());
        let exchange = match Exchange::open(target.address, req).await {
            Ok(exchange) => exchange,
            Err(e @ ExchangeError::Connect { .. }) => {
                return SendOutcome::Unsent(e.to_string().into());
            }
            Err(e) => return SendOutcome::Unknown(e.to_string().into()),
        };
        let outcome = self.classify_head(&exchange.response, &job.stated.request_id);
        if let Some(outcome) = outcome {
            return outcome;
        }
        match exchange.collect(MAX_RESPONSE_BYTES).await {
            Ok(res) => SendOutcome::Answered(res),
            Err(reason) => SendOutcome::Unknown(reason),
        }
    }

    /// What the head alone tells; `None` for an answer to read on.
    pub(crate) fn classify_head<A, B>(
        &self,
        res: &Response<B>,
        id: &str,
    ) -> Option<SendOutcome<A>> {
        let headers = res.headers();
        let status = res.status();
        if status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(&self.names.not_run) {
            return Some(SendOutcome::NotRun(
                format!("status={}", status.as_u16()).into(),
            ));
        }
        let echoed = headers.get(&self.names.request_id);
        if echoed.is_some_and(|e| e.as_bytes() != id.as_bytes()) {
            return Some(SendOutcome::Unknown("answer to another request".into()));
        }
        if !headers.contains_key(&self.names.seal) {
            return Some(SendOutcome::Unknown(
                format!("no seal, status={}", status.as_u16()).into(),
            ));
        }
        if headers.contains_key(hyper::header::CONTENT_ENCODING) {
            return Some(SendOutcome::Unknown("encoded body".into()));
        }
        None
    }
}

/// What a job has been through when its deadline passes.
#[derive(Debug, Default)]
struct Progress {
    /// A target may have got it.
    was_sent: bool,
}

/// An answer as the caller gets it.
pub(crate) fn caller_response(res: Response<Bytes>) -> Response<AnswerBody> {
    let (mut head, body) = res.into_parts();
    head.headers = end_to_end(&head.headers);
    Response::from_parts(head, AnswerBody::whole(body))
}
