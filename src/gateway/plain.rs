//! Serves plain requests, whose responses are not streamed. The response is read
//! whole before it is forwarded, so that an idempotent request whose response
//! breaks off can be sent to another target.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};

use super::{
    Gateway,
    answer_end::{BodyEnd, SecondConnection},
    body::ResponseBody,
    exchange::Exchange,
    framing::{Framing, holds_answer_head, is_transfer_encoded},
    headers::end_to_end,
    in_flight::Stage,
    job::{Admitted, Job, SendHeaders},
    load::Work,
    model::{RepeatPolicy, Target},
    refusal::Refusal,
    rollout_use::record_plain,
    send_budget::RepeatReason,
    sent::SendOutcome,
    whole_body::BodyError,
};
use crate::{
    clock::{self, BootTime},
    log::shown,
};

/// Maximum size of a plain response, in bytes: the default limit on the bodies of
/// callers' requests.
pub(crate) const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

impl Gateway {
    /// Serves a plain request within its deadline.
    pub(crate) async fn serve_plain(
        self: &Arc<Self>,
        job: &Arc<Job>,
        admitted: Admitted,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let time_left = job.time_left(clock::now());
        let served = self.try_targets(job, admitted);
        let served = tokio::time::timeout(time_left, served).await;
        served.unwrap_or(Err(match job.progress.stage() {
            Stage::NotRun => Refusal::Expired,
            Stage::Sent | Stage::Responding => Refusal::TimedOut,
        }))
    }

    /// Sends the request to targets in turn until one responds without a server
    /// error or no further send is allowed.
    async fn try_targets(
        self: &Arc<Self>,
        job: &Arc<Job>,
        mut admitted: Admitted,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut tried = Vec::new();
        let mut was_sent = false;
        // Sends after which the request has run or may have run.
        let mut possible_runs = 0;
        let mut error_response = None;
        let mut last_refusal = Refusal::NoTarget;
        // Returned on each way out before the request has run.
        let mut trial = None;
        loop {
            let now = clock::now();
            let fleet = self.shared.fleet();
            if !tried.is_empty() {
                let path = job.uri.path();
                let readmitted = self.admit(&fleet, &job.host, path, job.key.as_deref(), now);
                match readmitted {
                    Ok(readmitted) => admitted = readmitted,
                    Err(refusal) if possible_runs == 0 => return Err(refusal),
                    // The request may have run, and a refusal would mean to the
                    // caller that it has not.
                    Err(_) => break,
                }
            }
            if possible_runs == 0 && trial.is_none() {
                trial = self.check_subjects(job)?;
            }
            if possible_runs == 0 {
                self.check_share(&fleet, job, &admitted)?;
            }
            let Some(placement) = self.place(&fleet, job, &admitted, &tried, &[]) else {
                last_refusal = self.refusal_without_target(&fleet, job, last_refusal);
                break;
            };
            let repeat = was_sent.then_some(RepeatReason::OtherTarget);
            if !self.try_record_send(job, repeat, now) {
                break;
            }
            tried.push(placement.target.id.clone());
            // From here on the deadline may interrupt the send at any point.
            job.progress.set(Stage::Sent);
            let outcome = self.send_plain(job, &admitted, &placement.target).await;
            let (id, target) = (&job.info.request_id, &placement.target.id);
            let took = clock::now().saturating_sub(now);
            metrics::histogram!("bluebell_gateway_send_seconds").record(took.as_secs_f64());
            self.record_outcome(job, target, &outcome, took);
            was_sent |= !matches!(outcome, SendOutcome::Unsent(_));
            match outcome {
                SendOutcome::Unsent(_) | SendOutcome::NotRun(_) => {
                    if possible_runs == 0 {
                        job.progress.set(Stage::NotRun);
                        last_refusal = Refusal::Declined;
                    }
                    continue;
                }
                SendOutcome::Answered(res) => {
                    self.record_served(job, clock::now());
                    log_answer(id, target, res.status(), took);
                    possible_runs += 1;
                    // An error may come from a target that has not begun to run the request.
                    if !res.status().is_server_error() {
                        job.record_begun();
                        job.record_whole();
                        return Ok(caller_response(res));
                    }
                    self.loads.record_failure(target, clock::now());
                    error_response = Some(res);
                }
                SendOutcome::Disconnected(_) => {
                    possible_runs += 1;
                    last_refusal = Refusal::Lost;
                    self.record_disconnect(job, &placement.target, now);
                    if !job.may_repeat() || self.is_held(job) {
                        break;
                    }
                }
                SendOutcome::CutOff(_) => {
                    possible_runs += 1;
                    last_refusal = Refusal::Lost;
                    if self.is_down(job, &placement.target).await {
                        self.record_crash(job, &placement.target, now, true);
                    }
                    if !job.may_repeat() || self.is_held(job) {
                        break;
                    }
                }
                SendOutcome::Unknown(_) => {
                    possible_runs += 1;
                    last_refusal = Refusal::Lost;
                }
            }
            if admitted.route.repeat_policy != RepeatPolicy::Idempotent
                || possible_runs >= admitted.route.max_attempts
            {
                break;
            }
        }
        error_response.map(caller_response).ok_or(last_refusal)
    }

    /// Sends the request to one target and reads the whole response.
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
        let _reservation = self.loads.reserve(&target.id, work);
        let now = clock::now();
        let req = match self.request_for(job, admitted, target, &SendHeaders::default(), now) {
            Ok(req) => req,
            Err(reason) => return SendOutcome::Unsent(reason),
        };
        let mut meter = self.meter(admitted, target, true, now);
        let outcome = self.exchange_plain(job, admitted, target, req, now).await;
        record_plain(meter.as_mut(), &outcome);
        outcome
    }

    async fn exchange_plain(
        &self,
        job: &Job,
        admitted: &Admitted,
        target: &Target,
        req: Request<Full<Bytes>>,
        now: BootTime,
    ) -> SendOutcome<Response<Bytes>> {
        let id = &job.info.request_id;
        let connection = match self.connect_target(id, admitted, target).await {
            Ok(connection) => connection,
            Err(e) => return SendOutcome::Unsent(e.to_string().into()),
        };
        let exchange = match Exchange::open_over(connection, target.address, req).await {
            Ok(exchange) => exchange,
            Err(e) if e.is_disconnect() => {
                return SendOutcome::Disconnected(e.to_string().into());
            }
            Err(e) => return SendOutcome::Unknown(e.to_string().into()),
        };
        self.record_statements(job, target, &exchange.response, now);
        let outcome = self.classify_head(&exchange.response, &job.info.request_id);
        if let Some(outcome) = outcome {
            return outcome;
        }
        match self.collect_whole(job, target, exchange).await {
            Ok(res) => SendOutcome::Answered(res),
            Err(BodyError::Broken { reason }) => SendOutcome::CutOff(reason),
            Err(e) => SendOutcome::Unknown(e.to_string().into()),
        }
    }

    /// Reads the body of a plain answer, and makes sure that it is whole.
    pub(super) async fn collect_whole(
        &self,
        job: &Job,
        target: &Target,
        exchange: Exchange,
    ) -> Result<Response<Bytes>, BodyError> {
        let source = exchange.source;
        let mut second = SecondConnection::open(self, job, target, source.framing);
        let reading = exchange.collect(MAX_RESPONSE_BYTES, &self.memory.answers, || {
            self.shortages.record();
        });
        let read = tokio::select! {
            biased;
            read = reading => read,
            never = second.keep() => match never {},
        };
        self.record_body_end(job, target, source, BodyEnd::of(&read));
        let res = read?;
        if source.framing == Framing::Close && holds_answer_head(res.body(), &self.names.seal) {
            return Err(BodyError::Broken {
                reason: "another answer follows on the connection".into(),
            });
        }
        match second.confirm_end().await {
            Ok(()) => Ok(res),
            Err(doubt) => Err(BodyError::Broken {
                reason: format!("the end of the connection does not show a whole answer: {doubt}")
                    .into(),
            }),
        }
    }

    /// Returns the outcome of a send if the response head decides it; `None` if
    /// the body is to be read. A response counts as the target's own only with
    /// its seal, and only if it does not carry the id of another request.
    pub(crate) fn classify_head<A, B>(
        &self,
        res: &Response<B>,
        id: &str,
    ) -> Option<SendOutcome<A>> {
        let headers = res.headers();
        let status = res.status();
        // A target may write a refusal of an earlier request once more.
        if self.names.is_of_other_request(headers, id) {
            return Some(SendOutcome::Unknown(
                "response carries the id of another request".into(),
            ));
        }
        if status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(&self.names.not_run) {
            return Some(SendOutcome::NotRun(
                format!("status={}", status.as_u16()).into(),
            ));
        }
        if !headers.contains_key(&self.names.seal) {
            return Some(SendOutcome::Unknown(
                format!("response has no seal, status={}", status.as_u16()).into(),
            ));
        }
        if headers.contains_key(hyper::header::CONTENT_ENCODING) || is_transfer_encoded(headers) {
            return Some(SendOutcome::Unknown("response body is encoded".into()));
        }
        None
    }
}

fn log_answer(id: &str, target: &str, status: StatusCode, took: Duration) {
    log::info!(
        "event=answer request={id} target={target} status={} took_ms={}",
        status.as_u16(),
        took.as_millis(),
        id = shown(id),
        target = shown(target)
    );
}

/// Builds the response to the caller from a target's response.
pub(crate) fn caller_response(res: Response<Bytes>) -> Response<ResponseBody> {
    let (mut head, body) = res.into_parts();
    head.headers = end_to_end(head.headers);
    Response::from_parts(head, ResponseBody::full(body))
}
