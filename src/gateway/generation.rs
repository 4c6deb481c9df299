//! Starts generations, whose responses are streams of events, on an engine and,
//! where possible, with a backup on a second one.

use std::sync::Arc;

use hyper::{Response, header};
use tokio::{net::TcpStream, sync::mpsc};

use super::{
    Gateway,
    body::ResponseBody,
    events::EventId,
    exchange::Exchange,
    headers::end_to_end,
    in_flight::Stage,
    job::{Admitted, Job, Placement, SendHeaders},
    load::{Reservation, Work},
    model::{Target, Tokens},
    new_start::Attempts,
    plain::caller_response,
    refusal::Refusal,
    rollout_use::record_broken,
    room::queued_at,
    send_budget::RepeatReason,
    send_meter::SendMeter,
    sent::SendOutcome,
    target_connection::TargetConnection,
};
use crate::{
    clock::{self, BootTime},
    log::shown,
};

/// Events buffered for a caller that reads slowly: some seconds of a long
/// response at the rate of an engine under load.
const EVENT_BUFFER: usize = 64;

/// A generation that runs on one engine.
pub(super) struct Run {
    pub exchange: Exchange,
    pub target: Arc<Target>,
    pub backup: Option<Backup>,
    /// Time at which the request was sent.
    pub sent_at: BootTime,
    /// Work counted at the target until the run ends.
    pub reservation: Reservation,
    /// Prompt tokens that the engine has to process before the first event,
    /// including those of its other requests, and the time of the send. `None`
    /// once an event has been forwarded, and for a resumed run.
    pub pending_prompt: Option<(Tokens, BootTime)>,
    /// Requests that waited for a slot at the engine when the request was sent.
    pub queued_ahead: u32,
    /// Counts the response during a rollout; `None` without one, or if it is counted.
    pub meter: Option<SendMeter>,
}

/// A copy of a run on another engine, updated as the run grows.
#[derive(Debug)]
pub(super) struct Backup {
    pub target: Arc<Target>,
    /// Memory of the copy, counted at its engine.
    _reservation: Reservation,
}

impl Gateway {
    /// Serves a streamed request. Returns once the target's response head has
    /// arrived; a task forwards the events. An error response of the target is
    /// read whole and forwarded.
    pub(crate) async fn serve_stream(
        self: &Arc<Self>,
        job: Job,
        admitted: Admitted,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let time_left = job.time_left(clock::now());
        let starting = tokio::time::timeout(time_left, self.start(&job, admitted));
        let (run, attempts) = starting.await.unwrap_or(Err(Refusal::TimedOut))?;
        if !run.exchange.response.status().is_success() {
            let reading = self.collect_whole(&job, &run.target, run.exchange);
            let read = tokio::time::timeout(job.time_left(clock::now()), reading).await;
            return match read {
                Ok(Ok(res)) => Ok(caller_response(res)),
                Ok(Err(_)) => Err(Refusal::Lost),
                Err(_) => Err(Refusal::TimedOut),
            };
        }
        let mut head = Response::new(());
        *head.status_mut() = run.exchange.response.status();
        *head.headers_mut() = end_to_end(run.exchange.response.headers().clone());
        // Another run may go on with events of other lengths.
        head.headers_mut().remove(header::CONTENT_LENGTH);
        let (tx, rx) = mpsc::channel(EVENT_BUFFER);
        let gateway = self.clone();
        tokio::spawn(async move { gateway.forward_stream(job, run, attempts, tx).await });
        let (head, ()) = head.into_parts();
        Ok(Response::from_parts(head, ResponseBody::streamed(rx)))
    }

    /// Starts the run on an engine. Tries another engine as long as the request has
    /// certainly not run; if it may have run, resumes from the backup or starts anew.
    async fn start(&self, job: &Job, mut admitted: Admitted) -> Result<(Run, Attempts), Refusal> {
        let mut attempts = Attempts::default();
        let mut last_refusal = Refusal::NoTarget;
        let mut was_sent = false;
        // Returned on each way out before the request has run.
        let mut trial = self.check_subjects(job)?;
        self.check_share(&self.shared.fleet(), job, &admitted)?;
        let avoided = self.wait_for_room(job, &mut admitted).await?;
        loop {
            let now = clock::now();
            let fleet = self.shared.fleet();
            if !attempts.tried.is_empty() {
                admitted =
                    self.admit(&fleet, &job.host, job.uri.path(), job.key.as_deref(), now)?;
            }
            if trial.is_none() && !attempts.tried.is_empty() {
                trial = self.check_subjects(job)?;
            }
            if !attempts.tried.is_empty() {
                self.check_share(&fleet, job, &admitted)?;
            }
            let mut late = self.check_room(&fleet, job, &admitted, &attempts.tried)?;
            if attempts.tried.is_empty() {
                late = self.add_avoided(&fleet, job, &admitted, late, &avoided);
            }
            let placement = self
                .place(&fleet, job, &admitted, &attempts.tried, &late)
                .ok_or_else(|| self.refusal_without_target(&fleet, job, last_refusal))?;
            let repeat = was_sent.then_some(RepeatReason::OtherTarget);
            if !self.try_record_send(job, repeat, now) {
                return Err(last_refusal);
            }
            attempts.tried.push(placement.target.id.clone());
            // From here on the deadline may interrupt the send at any point.
            job.progress.set(Stage::Sent);
            let backup =
                self.choose_backup(&fleet, &placement, &job.demand(admitted.route.objective));
            let outcome = self
                .send_stream(job, &admitted, &placement, backup.clone(), job.last_event)
                .await;
            let (id, target) = (&job.info.request_id, &placement.target.id);
            let took = clock::now().saturating_sub(now);
            self.record_outcome(job, target, &outcome, took);
            was_sent |= !matches!(outcome, SendOutcome::Unsent(_));
            match outcome {
                SendOutcome::Unsent(_) | SendOutcome::NotRun(_) => {
                    job.progress.set(Stage::NotRun);
                    last_refusal = Refusal::Declined;
                }
                SendOutcome::Answered(run) => {
                    attempts.starts += 1;
                    let backup = run.backup.as_ref().map_or("none", |b| &b.target.id);
                    log::info!(
                        "event=stream request={id} target={target} backup={backup} took_ms={}",
                        took.as_millis(),
                        id = shown(&id),
                        target = shown(&target)
                    );
                    let status = run.exchange.response.status();
                    if status.is_server_error() && admitted.route.repeat_policy.is_resumable() {
                        self.loads.record_failure(target, clock::now());
                        let target = placement.target.clone();
                        let started = self.resume_unanswered(job, target, None, &mut attempts);
                        // The error is forwarded if no other engine takes the request.
                        if let Ok(next) = started.await {
                            return Ok((next, attempts));
                        }
                    }
                    return Ok((run, attempts));
                }
                SendOutcome::Disconnected(_) | SendOutcome::CutOff(_) | SendOutcome::Unknown(_) => {
                    if matches!(outcome, SendOutcome::Disconnected(_)) {
                        self.record_crash(job, &placement.target, now, true);
                    }
                    attempts.starts += 1;
                    if backup.is_none() && !admitted.route.repeat_policy.is_resumable() {
                        return Err(Refusal::Lost);
                    }
                    let target = placement.target.clone();
                    let resumed = self.resume_unanswered(job, target, backup, &mut attempts);
                    let run = resumed.await.map_err(|reason| {
                        log::warn!(
                            "event=stream_given_up request={id} events=0 reason={reason:?}",
                            id = shown(&id)
                        );
                        Refusal::Lost
                    })?;
                    return Ok((run, attempts));
                }
            }
        }
    }

    /// Sends the request to the chosen engine, with the address of the backup's
    /// engine if there is one, for a caller that has the events up to `last_event`.
    pub(super) async fn send_stream(
        &self,
        job: &Job,
        admitted: &Admitted,
        placement: &Placement,
        backup: Option<Arc<Target>>,
        last_event: Option<EventId>,
    ) -> SendOutcome<Run> {
        let send_headers = SendHeaders {
            backup: backup.as_ref().map(|t| t.address.to_string().into()),
            last_event,
            ..SendHeaders::default()
        };
        // More than an engine has cannot be true, and would make others' waits look long.
        let memory = placement.service.engine.as_ref().map(|e| e.memory_tokens);
        let memory = memory.unwrap_or(Tokens::MAX);
        let work = Work {
            requests: 1,
            tokens: job.tokens().min(memory),
            pending_prompt_tokens: job.info.prompt_tokens.min(memory),
        };
        let reservation =
            self.loads
                .reserve_with_priority(&placement.target.id, work, job.priority);
        let pending_prompt = (
            placement.work.pending_prompt_tokens + job.info.prompt_tokens,
            clock::now(),
        );
        let outcome = self.open_run(
            job,
            admitted,
            &placement.target,
            &send_headers,
            reservation,
            None,
        );
        match outcome.await {
            SendOutcome::Answered(run) => SendOutcome::Answered(Run {
                backup: backup.map(|target| self.reserve_backup(job, target)),
                pending_prompt: Some(pending_prompt),
                queued_ahead: queued_at(placement),
                ..run
            }),
            other => other,
        }
    }

    /// Counts the memory of a backup at its engine.
    fn reserve_backup(&self, job: &Job, target: Arc<Target>) -> Backup {
        let work = Work {
            tokens: job.tokens(),
            ..Work::default()
        };
        Backup {
            _reservation: self.loads.reserve(&target.id, work),
            target,
        }
    }

    /// Sends the request to an engine and waits for the response head. Uses the
    /// connection `tcp` if there is one, and opens one otherwise.
    pub(super) async fn open_run(
        &self,
        job: &Job,
        admitted: &Admitted,
        target: &Arc<Target>,
        send_headers: &SendHeaders,
        reservation: Reservation,
        tcp: Option<TcpStream>,
    ) -> SendOutcome<Run> {
        let now = clock::now();
        let req = match self.request_for(job, admitted, target, send_headers, now) {
            Ok(req) => req,
            Err(reason) => return SendOutcome::Unsent(reason),
        };
        let is_from_start = send_headers.copy_from.is_none() && send_headers.last_event.is_none();
        let mut meter = self.meter(admitted, target, is_from_start, now);
        let id = &job.info.request_id;
        let connected = if let Some(tcp) = tcp {
            Ok(TargetConnection::Direct(tcp))
        } else {
            self.connect_target(id, admitted, target).await
        };
        let connection = match connected {
            Ok(connection) => connection,
            Err(e) => return SendOutcome::Unsent(e.to_string().into()),
        };
        let exchange = match Exchange::open_over(connection, target.address, req).await {
            Ok(exchange) => exchange,
            Err(e) if e.is_disconnect() => {
                record_broken(meter.as_mut());
                return SendOutcome::Disconnected(e.to_string().into());
            }
            Err(e) => {
                record_broken(meter.as_mut());
                return SendOutcome::Unknown(e.to_string().into());
            }
        };
        self.record_statements(job, target, &exchange.response, now);
        if let Some(outcome) = self.classify_head(&exchange.response, &job.info.request_id) {
            if matches!(outcome, SendOutcome::Unknown(_)) {
                record_broken(meter.as_mut());
            }
            return outcome;
        }
        let status = exchange.response.status();
        if let Some(meter) = meter.as_mut().filter(|_| !status.is_success()) {
            meter.record_response(status.is_server_error(), clock::now());
        }
        SendOutcome::Answered(Run {
            meter,
            exchange,
            target: target.clone(),
            backup: None,
            sent_at: now,
            reservation,
            pending_prompt: None,
            queued_ahead: 0,
        })
    }
}
