//! Forwards the events of a generation to its caller, and resumes the generation
//! on another engine if its engine fails or is reclaimed.
//!
//! Load pattern: engines are reclaimed one after another, on short notice, while
//! many long generations run on them. A run with a backup is resumed from it once
//! its engine is gone. A run without one is copied to another engine as soon as
//! the notice arrives, while it still runs.

use std::{error::Error, io, net::SocketAddr, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use http_body_util::BodyExt;
use tokio::{net::TcpStream, sync::mpsc};

use super::{
    Gateway,
    answer_end::{BodyEnd, SecondConnection},
    body::{Chunk, StreamError},
    engines::{CopyHandle, CopyRequest, Dial},
    event_queue::{EventBuffer, EventSender},
    events::EventId,
    exchange::connect,
    framing::{Framing, holds_answer_head},
    generation::Run,
    job::{Admitted, Job, SendHeaders},
    load::{Reservation, Work},
    model::{Fleet, Target},
    new_start::Attempts,
    peer_wire::target_key,
    reach::Way,
    resumption::StreamPosition,
    send_budget::RepeatReason,
    sent::SendOutcome,
    takeover::{Step, Takeover},
    target_speed::GapMeter,
};
use crate::{
    clock::{self, BootTime},
    log::shown,
};

/// Time limit for a copy in progress once its source is gone: twice the time
/// that copying a long run takes over a link of a few Gbit/s.
const LAST_COPY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of engines to which a copy is attempted in turn. The time
/// between notice and loss of a reclaimed engine suffices for about this many.
const MAX_DESTINATIONS: usize = 3;
/// Maximum number of times that a copy is prepared for one run on one engine.
/// More than one, since the destination of a copy may be reclaimed as well.
const MAX_COPY_ATTEMPTS: usize = 3;
/// Event of a run from which its request is not what crashes its engine: an engine may
/// write some events before it crashes on a request.
const EVENTS_BEGUN: u64 = 8;
/// Time after the first event of a run that says the same of slower runs.
const TIME_BEGUN: Duration = Duration::from_secs(1);
/// Time to hand an event to the caller's connection from which the caller is slow, so that
/// gaps between events say nothing of the engine.
const MAX_SEND_TIME: Duration = Duration::from_millis(2);

/// Events of a stream that were sent to the caller, and their timing.
#[derive(Debug, Default)]
struct Delivered {
    position: StreamPosition,
    events: u64,
    first_at: Option<BootTime>,
    last_at: BootTime,
    longest_gap: Duration,
    /// Events that the current run has sent, also those that the caller already had, and
    /// the times of the first and the last one.
    events_of_run: u64,
    run_first_at: Option<BootTime>,
    run_last_at: BootTime,
    gaps: GapMeter,
    /// Whether the current run may still clear its request of crashes. It may not if it has,
    /// or if it goes on from a copy of another run, which says nothing about the request.
    may_clear: bool,
}

impl Delivered {
    fn record(&mut self, now: BootTime) {
        self.events += 1;
        if self.first_at.is_some() {
            let gap = now.saturating_sub(self.last_at);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.first_at.get_or_insert(now);
        self.last_at = now;
    }

    /// Returns whether the current run had gone on for too short a time at `at` to say that the
    /// parts of its prompt do not crash engines.
    fn is_run_young(&self, at: BootTime) -> bool {
        let age = self.run_first_at.map(|first| at.saturating_sub(first));
        self.events_of_run < EVENTS_BEGUN && age.is_none_or(|age| age < TIME_BEGUN)
    }

    /// Returns whether the current run was that young at its last event. An engine may hang
    /// before it crashes, so the time of the crash says nothing.
    fn ended_early(&self) -> bool {
        self.is_run_young(self.run_last_at)
    }
}

/// How reading the events of a run ended.
#[derive(strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum RunEnd {
    /// The stream ended and left no incomplete event.
    Whole,
    /// The stream ended before the last event that the caller states or is known to have.
    Short,
    /// The caller disconnected.
    CallerLeft,
    /// The connection to the engine failed for the given reason; the run may be resumed.
    Disconnected(Box<str>),
    /// The connection to the engine failed because the engine was silent; the run may be
    /// resumed.
    Silent(Box<str>),
    /// The stream failed for another reason and may be resumed.
    Broken(Box<str>),
}

impl RunEnd {
    /// Returns whether the engine broke the response off. A run that ends for another reason,
    /// such as the deadline or the memory of this daemon, does not.
    fn is_broken(&self) -> bool {
        matches!(self, Self::Disconnected(_) | Self::Silent(_))
    }
}

/// A copy of a run from which the run can be resumed.
pub(super) struct RunCopy {
    pub target: Arc<Target>,
    /// Name of the copy in the headers of a request that resumes from it.
    name: Box<str>,
    /// Connection to the engine of the copy, if one is already open.
    tcp: Option<TcpStream>,
    /// Memory counted at the first destination that was tried, for a copy that was
    /// made because its source is leaving; `None` for a backup.
    reservation: Option<Reservation>,
}

/// A run that broke off.
#[derive(Clone)]
pub(super) struct BrokenRun {
    /// Engine on which it ran.
    pub target: Arc<Target>,
    /// Last event that the caller has.
    pub last_id: Option<EventId>,
    /// Whether that is all that the caller has, so that a new run can go on after it.
    pub is_position_known: bool,
    /// Time of the last one, or of the request's arrival.
    pub last_at: BootTime,
    /// Whether the connection to the engine ended because the engine was silent.
    pub is_silent: bool,
    /// Whether the run broke within its first events.
    pub is_young: bool,
}

type CopyFuture = BoxFuture<'static, Result<RunCopy, Box<str>>>;

impl Gateway {
    /// Forwards the events of a run to its caller until the end of the stream.
    /// Each time that the run breaks, resumes it from a copy or starts it anew.
    pub(super) async fn forward_stream(
        self: Arc<Self>,
        job: Job,
        mut run: Run,
        mut attempts: Attempts,
        tx: mpsc::Sender<Result<Chunk, StreamError>>,
    ) {
        let tx = EventSender::new(tx);
        let mut delivered = Delivered {
            position: StreamPosition::new(job.is_resumable, job.last_event),
            may_clear: true,
            ..Delivered::default()
        };
        loop {
            let time_left = job.time_left(clock::now());
            let mut copy = None;
            let reading = self.read_run(&job, &mut run, &mut delivered, &tx, &mut copy);
            let run_end = tokio::time::timeout(time_left, reading).await;
            let run_end = run_end.unwrap_or(RunEnd::Broken("deadline".into()));
            self.record_run_end(&job, &mut run, &delivered, &run_end);
            let is_silent = matches!(run_end, RunEnd::Silent(_));
            let copy = match run_end {
                RunEnd::Whole => {
                    // Fails if the caller has disconnected in the meantime.
                    let _ = tx.chunks.send(Ok(Chunk::End)).await;
                    return;
                }
                RunEnd::CallerLeft => return,
                RunEnd::Short => {
                    give_up(&job, &tx, delivered.events, "event id beyond the end").await;
                    return;
                }
                RunEnd::Disconnected(_) | RunEnd::Silent(_) | RunEnd::Broken(_) => {
                    copy.or_else(|| self.backup_copy(&job, &run))
                }
            };
            let source = run.target.clone();
            // Closes the connection to the old engine before the run is resumed
            // on the new one.
            drop(run);
            let broken = BrokenRun {
                target: source,
                last_id: delivered.position.last_id(),
                is_position_known: delivered.position.is_known(),
                last_at: delivered
                    .first_at
                    .map_or(job.arrived, |_| delivered.last_at),
                is_silent,
                is_young: delivered.is_run_young(clock::now()),
            };
            let resuming = self.next_run(&job, broken, copy, &mut attempts);
            let resumed = tokio::select! {
                resumed = resuming => resumed,
                () = tx.chunks.closed() => return,
            };
            match resumed {
                Ok(next) => {
                    run = next.run;
                    // A new start reads the prompt again, so that its events count.
                    delivered.may_clear =
                        next.is_new_start || (delivered.may_clear && delivered.events == 0);
                }
                Err(reason) => {
                    give_up(&job, &tx, delivered.events, &reason).await;
                    return;
                }
            }
        }
    }

    fn record_run_end(&self, job: &Job, run: &mut Run, delivered: &Delivered, run_end: &RunEnd) {
        // A target that leaves breaks its runs whatever its version.
        let is_leaving = self.shared.fleet().is_leaving(&run.target);
        run.record_version_outcome(run_end.is_broken() && !is_leaving);
        metrics::counter!("bluebell_gateway_runs", "end" => <&str>::from(run_end)).increment(1);
        let (id, target, events) = (&job.info.request_id, &run.target.id, delivered.events);
        match run_end {
            RunEnd::Whole => {
                let first = delivered.first_at.map(|at| at.saturating_sub(job.arrived));
                log::info!(
                    "event=stream_end request={id} target={target} events={events} first_ms={} gap_ms={}",
                    first.map_or(0, clock::millis),
                    clock::millis(delivered.longest_gap),
                    id = shown(&id),
                    target = shown(&target)
                );
            }
            RunEnd::Short => {
                log::info!(
                    "event=stream_short request={id} target={target} events={events}",
                    id = shown(&id),
                    target = shown(&target)
                );
            }
            RunEnd::CallerLeft => {
                log::info!(
                    "event=caller_left request={id} target={target} events={events}",
                    id = shown(&id),
                    target = shown(&target)
                );
            }
            RunEnd::Disconnected(reason) | RunEnd::Silent(reason) | RunEnd::Broken(reason) => {
                log::warn!(
                    "event=stream_broken request={id} target={target} events={events} reason={reason:?}",
                    id = shown(&id),
                    target = shown(&target)
                );
                self.loads.record_failure(target, clock::now());
            }
        }
        match run_end {
            RunEnd::Whole | RunEnd::Short => {
                if delivered.events_of_run > 0 && delivered.may_clear {
                    job.record_begun();
                }
                job.record_whole();
            }
            RunEnd::Disconnected(_) | RunEnd::Silent(_) => {
                self.record_crash(job, &run.target, run.sent_at, delivered.ended_early());
            }
            RunEnd::CallerLeft | RunEnd::Broken(_) => {}
        }
    }

    fn backup_copy(&self, job: &Job, run: &Run) -> Option<RunCopy> {
        let target = run.backup.as_ref()?.target.clone();
        Some(RunCopy {
            name: (self.engines.copy_reference)(target.address, &job.info.request_id),
            target,
            tcp: None,
            reservation: None,
        })
    }

    /// Reads the events of one run to its end and forwards those that the caller
    /// does not have yet. Once the engine is known to be leaving, prepares a copy
    /// of the run and stores it in `ready`.
    async fn read_run(
        &self,
        job: &Job,
        run: &mut Run,
        delivered: &mut Delivered,
        tx: &EventSender,
        ready: &mut Option<RunCopy>,
    ) -> RunEnd {
        let mut events = EventBuffer::default();
        let mut preparing: Option<CopyFuture> = None;
        let mut attempts = 0;
        delivered.events_of_run = 0;
        delivered.run_first_at = None;
        delivered.position.begin_run();
        delivered.gaps = GapMeter::default();
        let target = run.target.clone();
        let mut second = SecondConnection::open(self, job, &target, run.exchange.source.framing);
        loop {
            let changed = self.shared.changed();
            let fleet = self.shared.fleet();
            let lacks_copy = || {
                ready
                    .as_ref()
                    .is_none_or(|copy| !self.accepts_run(&fleet, &copy.target))
            };
            if preparing.is_none()
                && attempts < MAX_COPY_ATTEMPTS
                && (fleet.is_leaving(&run.target) || self.moves_runs(&fleet, &run.target))
                && lacks_copy()
            {
                attempts += 1;
                preparing = Some(self.prepare_copy(&fleet, job, run));
            }
            let frame = tokio::select! {
                // What has arrived of the answer is read before the second connection is looked at.
                biased;
                () = tx.chunks.closed() => return RunEnd::CallerLeft,
                () = changed, if attempts < MAX_COPY_ATTEMPTS => continue,
                prepared = wait_for_copy(&mut preparing) => {
                    preparing = None;
                    match prepared {
                        Ok(copy) => *ready = Some(copy),
                        Err(reason) => log_copy_failure(job, run, &reason),
                    }
                    continue;
                }
                frame = run.exchange.response.body_mut().frame() => frame,
                never = second.keep() => match never {},
            };
            let body_end = match &frame {
                None => Some(BodyEnd::Orderly),
                Some(Err(_)) => Some(BodyEnd::Broken),
                Some(Ok(_)) => None,
            };
            if let Some(end) = body_end {
                self.record_body_end(job, &run.target, run.exchange.source, end);
            }
            let run_end = match frame {
                None if events.splitter.has_incomplete_event() => {
                    RunEnd::Disconnected("stream ended within an event".into())
                }
                // A caller that has all events gets none.
                None if delivered.events == 0
                    && delivered.position.last_id().is_none()
                    && run.exchange.source.framing == Framing::Close =>
                {
                    RunEnd::Disconnected("stream ended before its first event".into())
                }
                None => match second.confirm_end().await {
                    Ok(()) if delivered.position.ends_short() => return RunEnd::Short,
                    Ok(()) => return RunEnd::Whole,
                    Err(doubt) => self.end_of_doubt(job, run, doubt.to_string().into()).await,
                },
                Some(Err(e)) => self.end_of_error(job, run, &e).await,
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        events.splitter.push(&data);
                    }
                    let forwarding = self.forward_events(job, run, &mut events, delivered, tx);
                    // The caller may read slowly.
                    let forwarded = tokio::select! {
                        forwarded = forwarding => forwarded,
                        never = second.keep() => match never {},
                    };
                    if let Err(run_end) = forwarded {
                        return run_end;
                    }
                    let taken = tokio::select! {
                        taken = events.take_memory(&self.memory.answers) => taken,
                        () = tx.chunks.closed() => return RunEnd::CallerLeft,
                    };
                    match taken {
                        Ok(()) => continue,
                        Err(reason) => return RunEnd::Broken(reason),
                    }
                }
            };
            // A copy in progress may still complete.
            if let Some(preparing) = preparing {
                let prepared = tokio::time::timeout(LAST_COPY_TIMEOUT, preparing).await;
                match prepared.unwrap_or(Err("the copy was not complete in time".into())) {
                    Ok(copy) => *ready = Some(copy),
                    Err(reason) => log_copy_failure(job, run, &reason),
                }
            }
            return run_end;
        }
    }

    /// Returns the end of a run whose connection failed.
    async fn end_of_error(&self, job: &Job, run: &Run, error: &hyper::Error) -> RunEnd {
        let reason = error.to_string().into();
        if is_timeout(error) {
            return RunEnd::Silent(reason);
        }
        match run.exchange.source.way {
            Way::Direct => RunEnd::Disconnected(reason),
            // The other daemon may have ended, not the target.
            Way::Sibling => self.end_of_doubt(job, run, reason).await,
        }
    }

    /// Returns the end of a run whose answer cannot be shown to be whole. Only a target that has
    /// closed its port counts as crashed.
    async fn end_of_doubt(&self, job: &Job, run: &Run, reason: Box<str>) -> RunEnd {
        if self.is_down(job, &run.target).await {
            RunEnd::Disconnected(reason)
        } else {
            RunEnd::Broken(reason)
        }
    }

    /// Forwards complete events that the caller does not have yet. Fails once the
    /// caller has disconnected, or if another answer follows.
    async fn forward_events(
        &self,
        job: &Job,
        run: &mut Run,
        events: &mut EventBuffer,
        delivered: &mut Delivered,
        tx: &EventSender,
    ) -> Result<(), RunEnd> {
        let is_unframed = run.exchange.source.framing == Framing::Close;
        while let Some((event, memory)) = events.next_event() {
            if is_unframed && holds_answer_head(&event.raw, &self.names.seal) {
                let reason = "another answer follows on the connection";
                return Err(RunEnd::Broken(reason.into()));
            }
            delivered.events_of_run += 1;
            let now = clock::now();
            delivered.run_first_at.get_or_insert(now);
            delivered.run_last_at = now;
            if let Some(gap) = delivered.gaps.record(now) {
                self.record_gap(&run.target, gap, now);
            }
            if !delivered.is_run_young(now) && delivered.may_clear {
                delivered.may_clear = false;
                job.record_begun();
            }
            run.record_first_event(now);
            if let Some((tokens, sent)) = run.pending_prompt.take() {
                run.reservation.record_prefilled();
                self.record_served(job, now);
                let waited = now.saturating_sub(sent);
                // An engine may first generate the events again that the caller has.
                if delivered.position.last_id().is_none() {
                    self.record_first_event(&run.target, tokens, waited, now);
                    self.rates
                        .record_begin(&job.service, tokens, run.queued_ahead, waited);
                    metrics::histogram!("bluebell_gateway_first_event_seconds")
                        .record(waited.as_secs_f64());
                }
            }
            if !delivered.position.advance(event.id) {
                continue;
            }
            delivered.record(now);
            let sent = tx.send(event, memory).await;
            sent.map_err(|()| RunEnd::CallerLeft)?;
            let sent_at = clock::now();
            if sent_at.saturating_sub(now) > MAX_SEND_TIME {
                delivered.gaps.restart(sent_at);
            }
        }
        Ok(())
    }

    /// Prepares a copy of a run whose engine is leaving: its backup if the engine
    /// of the backup accepts new work, or else a copy made now.
    fn prepare_copy(&self, fleet: &Fleet, job: &Job, run: &Run) -> CopyFuture {
        if let Some(copy) = self.backup_copy(job, run)
            && self.accepts_run(fleet, &copy.target)
        {
            return Box::pin(preconnect(self.engines.dial.clone(), copy));
        }
        let destinations = self.copy_destinations(fleet, job, run);
        let work = Work {
            tokens: job.tokens(),
            ..Work::default()
        };
        let reservations = destinations
            .iter()
            .map(|destination| self.loads.reserve(&destination.id, work));
        let mut reservations: Vec<_> = reservations.take(1).collect();
        let calls = self.engines.clone();
        let (source, id) = (run.target.clone(), job.info.request_id.clone());
        Box::pin(async move {
            let mut last_error: Box<str> = "no engine to copy the run to".into();
            for destination in destinations {
                log::info!(
                    "event=move request={id} target={} haven={}",
                    shown(&source.id),
                    shown(&destination.id),
                    id = shown(&id)
                );
                let request = CopyRequest {
                    source: source.address,
                    request_id: id.clone(),
                    destination: destination.address,
                };
                let (moved, tcp) = futures::join!(
                    (calls.copy_run)(request),
                    connect(&calls.dial, destination.address)
                );
                match moved {
                    Ok(handle) => {
                        return Ok(RunCopy {
                            name: (calls.copy_reference)(source.address, &handle),
                            target: destination,
                            // If this failed, the connection is opened on resume.
                            tcp: tcp.ok(),
                            reservation: reservations.pop(),
                        });
                    }
                    Err(e) => last_error = e.to_string().into(),
                }
            }
            Err(last_error)
        })
    }

    /// Returns engines to which a run may be copied, best first. Engines of the
    /// same zone come first, since copies between zones take twice as long.
    fn copy_destinations(&self, fleet: &Fleet, job: &Job, run: &Run) -> Vec<Arc<Target>> {
        let Ok(admitted) = self.readmit(fleet, job) else {
            return Vec::new();
        };
        let mut tried = vec![run.target.id.clone()];
        let mut destinations = Vec::new();
        let versions = self.rollouts.version_use(&job.service, None, clock::now());
        for _ in 0..MAX_DESTINATIONS {
            let in_zone = self.choose_in_zone(
                fleet,
                &run.target,
                &tried,
                &job.demand(admitted.route.objective),
            );
            let in_any_zone = || {
                let choice = self.choose(fleet, job, &admitted, &tried, &versions);
                choice.map(|c| c.target)
            };
            let Some(destination) = in_zone.or_else(in_any_zone) else {
                break;
            };
            tried.push(destination.id.clone());
            destinations.push(destination);
        }
        destinations
    }

    /// Checks the job's request against the newest configuration again.
    pub(super) fn readmit(&self, fleet: &Fleet, job: &Job) -> Result<Admitted, Box<str>> {
        let now = clock::now();
        let admitted = self.admit(fleet, &job.host, job.uri.path(), job.key.as_deref(), now);
        admitted.map_err(|e| e.to_string().into())
    }

    /// Resumes a run from a copy once it has ended at its engine.
    pub(super) async fn take_over(
        &self,
        job: &Job,
        broken: &BrokenRun,
        mut copy: RunCopy,
    ) -> Result<Run, Box<str>> {
        let newer = self.end_run(job, broken, &copy.target).await?;
        if let Some(handle) = newer {
            copy.name = (self.engines.copy_reference)(broken.target.address, &handle);
        }
        self.resume(job, copy, broken.last_id).await
    }

    /// Makes sure that a run has ended at its engine: stops it, with a copy of what it has to
    /// `destination`, or waits for its end. Returns the handle of the copy if there is one.
    async fn end_run(
        &self,
        job: &Job,
        broken: &BrokenRun,
        destination: &Target,
    ) -> Result<Option<CopyHandle>, Box<str>> {
        let fleet = self.shared.fleet();
        let admitted = self.readmit(&fleet, job)?;
        let config = fleet.config.as_ref();
        let service = config.and_then(|c| c.services.get(&job.service));
        let has_moves = service.is_some_and(|s| s.engine.as_ref().is_some_and(|e| e.has_moves));
        let (last_at, objective) = (broken.last_at, admitted.route.objective);
        let mut takeover = Takeover::new(last_at, objective, broken.is_silent, clock::now());
        let source = &broken.target;
        let (id, target) = (&job.info.request_id, &source.id);
        loop {
            let now = clock::now();
            if job.time_left(now).is_zero() {
                return Err("deadline".into());
            }
            let timeout = takeover.call_timeout(now);
            let mut step = Step::ReadReport;
            if has_moves {
                let request = CopyRequest {
                    source: source.address,
                    request_id: id.clone(),
                    destination: destination.address,
                };
                let answer = (self.engines.stop_run)(request, timeout).await;
                log::info!(
                    "event=stop_run request={id} target={target} answer={answer:?}",
                    id = shown(&id),
                    target = shown(&target)
                );
                step = takeover.after_stop(answer, clock::now());
            }
            if step == Step::ReadReport {
                let asked_at = clock::now();
                let answer = (self.engines.find_run)(source.address, id.clone(), timeout).await;
                log::info!(
                    "event=find_run request={id} target={target} answer={answer:?}",
                    id = shown(&id),
                    target = shown(&target)
                );
                step = takeover.after_report(&answer, asked_at, clock::now());
            }
            match step {
                Step::Resume(handle) => return Ok(handle),
                Step::Retry(pause) => tokio::time::sleep(pause).await,
                Step::GiveUp | Step::ReadReport => {
                    return Err("the run may go on at its engine".into());
                }
            }
        }
    }

    /// Resumes a run from a copy, after the last event that the caller has.
    async fn resume(
        &self,
        job: &Job,
        copy: RunCopy,
        last_id: Option<EventId>,
    ) -> Result<Run, Box<str>> {
        let now = clock::now();
        if job.time_left(now).is_zero() {
            return Err("deadline".into());
        }
        let fleet = self.shared.fleet();
        let admitted = self.readmit(&fleet, job)?;
        let target = &copy.target;
        let drain_time = Duration::from_millis(self.settings().bounds.drain_ms);
        if !fleet.accepts_resumed_runs(target, drain_time, now) {
            return Err("the copy's target takes no work".into());
        }
        if !self.is_version_allowed(&fleet, target, now) {
            return Err("the copy's target has a version that takes no work".into());
        }
        if !self.may_be_sent_to(&job.service, target_key(&target.id), now) {
            return Err("the copy's target wants no requests".into());
        }
        if !self.try_record_send(job, Some(RepeatReason::BrokenRun), now) {
            return Err("budget".into());
        }
        let send_headers = SendHeaders {
            backup: None,
            copy_from: Some(copy.name),
            last_event: Some(last_id.unwrap_or(0)),
        };
        let work = Work {
            requests: 1,
            tokens: job.tokens(),
            pending_prompt_tokens: 0,
        };
        self.record_placement(&fleet, target, now);
        let is_moved = copy.reservation.is_some();
        drop(copy.reservation);
        let reservation = self.loads.reserve(&target.id, work);
        let outcome = self.open_run(job, &admitted, target, &send_headers, reservation, copy.tcp);
        let outcome = tokio::time::timeout(job.time_left(now), outcome).await;
        let took = clock::now().saturating_sub(now).as_millis();
        let id = &job.info.request_id;
        match outcome {
            Ok(SendOutcome::Answered(run)) if run.exchange.response.status().is_success() => {
                log::info!(
                    "event=stream_resumed request={id} target={} after={last_id:?} moved={is_moved} took_ms={took}",
                    shown(&target.id),
                    id = shown(&id)
                );
                Ok(run)
            }
            Ok(SendOutcome::Answered(run)) => {
                Err(format!("status={}", run.exchange.response.status()).into())
            }
            Ok(
                SendOutcome::Unsent(reason)
                | SendOutcome::NotRun(reason)
                | SendOutcome::CutOff(reason)
                | SendOutcome::Unknown(reason),
            ) => Err(reason),
            Ok(SendOutcome::Disconnected(reason)) => {
                self.record_crash(job, &copy.target, now, last_id == job.last_event);
                Err(reason)
            }
            Err(_) => Err("deadline".into()),
        }
    }

    /// Resumes a run from its backup, or starts it anew, after its first send, to `target`, got
    /// no response.
    pub(super) async fn resume_unanswered(
        &self,
        job: &Job,
        target: Arc<Target>,
        backup: Option<Arc<Target>>,
        attempts: &mut Attempts,
    ) -> Result<Run, Box<str>> {
        let copy = backup.map(|backup| RunCopy {
            name: (self.engines.copy_reference)(backup.address, &job.info.request_id),
            target: backup,
            tcp: None,
            reservation: None,
        });
        let broken = BrokenRun {
            target,
            last_id: job.last_event,
            is_position_known: true,
            last_at: job.arrived,
            is_silent: false,
            is_young: true,
        };
        let next = self.next_run(job, broken, copy, attempts).await?;
        Ok(next.run)
    }
}

/// Ends a stream without its end.
async fn give_up(job: &Job, tx: &EventSender, events: u64, reason: &str) {
    let id = &job.info.request_id;
    log::warn!(
        "event=stream_given_up request={id} events={events} reason={reason:?}",
        id = shown(&id)
    );
    let reason = reason.into();
    // Fails if the caller has disconnected in the meantime.
    let _ = tx.chunks.send(Err(StreamError { reason })).await;
}

/// Connects to the engine of a copy before the run has to be resumed there.
async fn preconnect(dial: Dial, copy: RunCopy) -> Result<RunCopy, Box<str>> {
    let peer: SocketAddr = copy.target.address;
    let tcp = connect(&dial, peer)
        .await
        .map_err(|e| -> Box<str> { e.to_string().into() })?;
    Ok(RunCopy {
        tcp: Some(tcp),
        ..copy
    })
}

/// Waits for a copy in preparation; never returns if there is none.
async fn wait_for_copy(preparing: &mut Option<CopyFuture>) -> Result<RunCopy, Box<str>> {
    match preparing {
        Some(preparing) => preparing.await,
        None => std::future::pending().await,
    }
}

/// Returns whether the operating system gave a connection up because its peer was silent.
fn is_timeout(error: &hyper::Error) -> bool {
    let io_error = error.source().and_then(|e| e.downcast_ref::<io::Error>());
    io_error.is_some_and(|e| e.kind() == io::ErrorKind::TimedOut)
}

fn log_copy_failure(job: &Job, run: &Run, reason: &str) {
    let (id, target) = (&job.info.request_id, &run.target.id);
    log::warn!(
        "event=copy_failed request={id} target={target} reason={reason:?}",
        id = shown(&id),
        target = shown(&target)
    );
}
