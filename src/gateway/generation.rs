//! Streamed requests: events pass on as they come, and a run whose engine
//! fails goes on from its copy at another.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use tokio::sync::mpsc;

use super::{
    Gateway,
    body::{AnswerBody, BrokenStream},
    events::{EventId, EventSplitter},
    exchange::{Exchange, ExchangeError},
    headers::end_to_end,
    job::{Admitted, Choice, Extras, Job},
    load::{Place, Work},
    model::{Target, Tokens},
    placement::ReadRate,
    plain::Sent,
    refusal::Refusal,
};
use crate::clock::{self, BootTime};

/// Pieces on their way to a caller that reads slowly.
const PIECES_WAITING: usize = 64;

/// A run at a target.
struct Run {
    exchange: Exchange,
    target: Arc<Target>,
    backup: Option<Arc<Target>>,
    place: Place,
    /// Prompt tokens that its first event waits for, and since when.
    awaits: Option<(Tokens, BootTime)>,
}

/// What the caller has of a stream.
#[derive(Debug, Default)]
struct Delivered {
    last: Option<EventId>,
    events: u64,
    first_at: Option<BootTime>,
    last_at: BootTime,
    longest_gap: Duration,
}

impl Delivered {
    fn note(&mut self, id: Option<EventId>, now: BootTime) {
        self.last = id.or(self.last);
        self.events += 1;
        if self.first_at.is_some() {
            let gap = now.saturating_sub(self.last_at);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.first_at.get_or_insert(now);
        self.last_at = now;
    }
}

/// How reading a run ended.
enum Ended {
    Whole,
    CallerLeft,
    Broken(Box<str>),
}

impl Gateway {
    /// Serves a streamed request. The answer starts with the target's head.
    pub(crate) async fn serve_stream(
        self: &Arc<Self>,
        job: Job,
        admitted: Admitted,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let left = job.left(clock::now());
        let starting = tokio::time::timeout(left, self.start(&job, admitted));
        let run = starting.await.unwrap_or(Err(Refusal::TimedOut))?;
        let mut head = Response::new(());
        *head.status_mut() = run.exchange.answer.status();
        *head.headers_mut() = end_to_end(run.exchange.answer.headers());
        let (tx, rx) = mpsc::channel(PIECES_WAITING);
        let gateway = self.clone();
        tokio::spawn(async move { gateway.pump(job, run, tx).await });
        let (head, ()) = head.into_parts();
        Ok(Response::from_parts(head, AnswerBody::live(rx)))
    }

    async fn start(&self, job: &Job, mut admitted: Admitted) -> Result<Run, Refusal> {
        let mut tried = Vec::new();
        let mut outcome = Refusal::NoTarget;
        loop {
            let now = clock::now();
            let fleet = self.standing.fleet();
            if !tried.is_empty() {
                admitted =
                    self.admit(&fleet, &job.host, job.uri.path(), job.key.as_deref(), now)?;
            }
            let choice = self.place(&fleet, job, &admitted, &tried).ok_or(outcome)?;
            if !self.may_send(job, !tried.is_empty(), now) {
                return Err(outcome);
            }
            tried.push(choice.target.id.clone());
            let backup = self.place_backup(&fleet, &choice, &job.need(admitted.route.objective));
            let sent = self.send_stream(job, &admitted, &choice, backup).await;
            let (id, target) = (&job.stated.request_id, &choice.target.id);
            let took = clock::now().saturating_sub(now).as_millis();
            match sent {
                Sent::Answered(run) => {
                    let backup = run.backup.as_ref().map_or("none", |t| &t.id);
                    log::info!(
                        "event=stream request={id} target={target} backup={backup} took_ms={took}"
                    );
                    return Ok(run);
                }
                Sent::NotRun(reason) => {
                    log::info!(
                        "event=not_run request={id} target={target} reason={reason:?} took_ms={took}"
                    );
                    self.loads.note_failure(target, clock::now());
                    outcome = Refusal::Declined;
                }
                Sent::Unknown(reason) => {
                    log::warn!(
                        "event=answer_lost request={id} target={target} reason={reason:?} took_ms={took}"
                    );
                    self.loads.note_failure(target, clock::now());
                    return Err(Refusal::Lost);
                }
            }
        }
    }

    async fn send_stream(
        &self,
        job: &Job,
        admitted: &Admitted,
        choice: &Choice,
        backup: Option<Arc<Target>>,
    ) -> Sent<Run> {
        let extras = Extras {
            backup: backup.as_ref().map(|t| t.address.to_string().into()),
            ..Extras::default()
        };
        let work = Work {
            requests: 1,
            tokens: job.tokens(),
            unread: job.stated.prompt,
        };
        let place = self.loads.take(&choice.target.id, work);
        let awaits = (choice.ahead + job.stated.prompt, clock::now());
        let sent = self.open_run(job, admitted, &choice.target, &extras, place);
        match sent.await {
            Sent::Answered(run) => Sent::Answered(Run {
                backup,
                awaits: Some(awaits),
                ..run
            }),
            other => other,
        }
    }

    async fn open_run(
        &self,
        job: &Job,
        admitted: &Admitted,
        target: &Arc<Target>,
        extras: &Extras,
        place: Place,
    ) -> Sent<Run> {
        let req = self.request_for(job, admitted, target, extras, clock::now());
        let exchange = match Exchange::open(target.address, req).await {
            Ok(exchange) => exchange,
            Err(e @ ExchangeError::Connect { .. }) => return Sent::NotRun(e.to_string().into()),
            Err(e) => return Sent::Unknown(e.to_string().into()),
        };
        if let Some(verdict) = self.judge_head(&exchange.answer, &job.stated.request_id) {
            return verdict;
        }
        Sent::Answered(Run {
            exchange,
            target: target.clone(),
            backup: None,
            place,
            awaits: None,
        })
    }

    /// Passes a run's events on until its end, going on elsewhere if it breaks.
    async fn pump(
        self: Arc<Self>,
        job: Job,
        mut run: Run,
        tx: mpsc::Sender<Result<Bytes, BrokenStream>>,
    ) {
        let mut delivered = Delivered::default();
        loop {
            let target = run.target.clone();
            let backup = run.backup.take();
            let left = job.left(clock::now());
            let is_success = run.exchange.answer.status().is_success();
            let reading = read_run(run, &mut delivered, &tx, &self.read_rate);
            let ended = tokio::time::timeout(left, reading).await;
            let ended = ended.unwrap_or(Ended::Broken("deadline".into()));
            let id = &job.stated.request_id;
            let (events, target) = (delivered.events, &target.id);
            let reason = match ended {
                Ended::Whole => {
                    let first = delivered.first_at.map_or(0, |at| clock::millis(at.saturating_sub(job.arrived)));
                    let gap = clock::millis(delivered.longest_gap);
                    log::info!("event=stream_end request={id} target={target} events={events} first_ms={first} gap_ms={gap}");
                    return;
                }
                Ended::CallerLeft => {
                    log::info!("event=caller_left request={id} target={target} events={events}");
                    return;
                }
                Ended::Broken(reason) => reason,
            };
            log::warn!(
                "event=stream_broken request={id} target={target} events={events} reason={reason:?}"
            );
            self.loads.note_failure(target, clock::now());
            let resumed = match backup.filter(|_| is_success) {
                Some(backup) => self.resume(&job, &backup, delivered.last).await,
                None => Err("no copy".into()),
            };
            match resumed {
                Ok(next) => run = next,
                Err(reason) => {
                    log::warn!(
                        "event=stream_given_up request={id} events={events} reason={reason:?}"
                    );
                    // The receiver is gone if the caller left meanwhile.
                    let _ = tx.send(Err(BrokenStream { reason })).await;
                    return;
                }
            }
        }
    }

    /// Goes on from a copy of the run.
    async fn resume(
        &self,
        job: &Job,
        backup: &Arc<Target>,
        last: Option<EventId>,
    ) -> Result<Run, Box<str>> {
        let now = clock::now();
        if job.left(now).is_zero() {
            return Err("deadline".into());
        }
        let fleet = self.standing.fleet();
        let admitted = self.admit(&fleet, &job.host, job.uri.path(), job.key.as_deref(), now);
        let admitted = admitted.map_err(|e| Box::from(e.to_string()))?;
        if !fleet.is_open(backup) {
            return Err("the copy's target takes no work".into());
        }
        if !self.may_send(job, true, now) {
            return Err("budget".into());
        }
        let extras = Extras {
            backup: None,
            copy_from: Some(format!("{}/{}", backup.address, job.stated.request_id).into()),
            last_event: Some(last.unwrap_or(0)),
        };
        let work = Work {
            requests: 1,
            tokens: job.tokens(),
            unread: 0,
        };
        let place = self.loads.take(&backup.id, work);
        let sent = self.open_run(job, &admitted, backup, &extras, place);
        let sent = tokio::time::timeout(job.left(now), sent).await;
        let took = clock::now().saturating_sub(now).as_millis();
        let id = &job.stated.request_id;
        match sent {
            Ok(Sent::Answered(run)) if run.exchange.answer.status().is_success() => {
                log::info!(
                    "event=stream_resumed request={id} target={} after={last:?} took_ms={took}",
                    backup.id
                );
                Ok(run)
            }
            Ok(Sent::Answered(run)) => {
                Err(format!("status={}", run.exchange.answer.status()).into())
            }
            Ok(Sent::NotRun(reason) | Sent::Unknown(reason)) => Err(reason),
            Err(_) => Err("deadline".into()),
        }
    }
}

/// Reads one run to its end, passing on whole events that are new.
async fn read_run(
    mut run: Run,
    delivered: &mut Delivered,
    tx: &mpsc::Sender<Result<Bytes, BrokenStream>>,
    rate: &ReadRate,
) -> Ended {
    let mut splitter = EventSplitter::default();
    loop {
        let frame = tokio::select! {
            frame = run.exchange.answer.body_mut().frame() => frame,
            () = tx.closed() => return Ended::CallerLeft,
        };
        match frame {
            None if splitter.has_rest() => return Ended::Broken("ended within an event".into()),
            None => return Ended::Whole,
            Some(Err(e)) => return Ended::Broken(e.to_string().into()),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    splitter.push(&data);
                }
            }
        }
        while let Some(event) = splitter.split() {
            if event.id.is_some() && event.id <= delivered.last {
                continue;
            }
            let now = clock::now();
            if let Some((tokens, sent)) = run.awaits.take() {
                run.place.note_read();
                rate.note(tokens, now.saturating_sub(sent));
            }
            delivered.note(event.id, now);
            if tx.send(Ok(event.raw)).await.is_err() {
                return Ended::CallerLeft;
            }
        }
    }
}
