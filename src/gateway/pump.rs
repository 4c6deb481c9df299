//! Passes a stream on to its caller across the engines that it runs on.
//!
//! Load pattern: engines are reclaimed in turn, with little notice, while many
//! long runs are on them. A run that has a copy goes on from it once its engine
//! is gone; one that has none is copied to another engine as soon as the notice
//! is here, while it still runs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use http_body_util::BodyExt;
use tokio::{net::TcpStream, sync::mpsc};

use super::{
    Gateway,
    body::{BrokenStream, Piece},
    engines::MoveRun,
    events::{EventId, EventSplitter},
    exchange::connect,
    generation::Run,
    job::{Admitted, Job, SendHeaders},
    load::{Place, Work},
    model::{Fleet, Target},
    sent::SendOutcome,
};
use crate::clock::{self, BootTime};

/// Longest wait for a copy once its source is gone: twice what a long run takes on
/// a link of some Gbit/s.
const LAST_COPY_TIMEOUT: Duration = Duration::from_millis(500);
/// Engines that are asked in turn to take a copy; the time until a reclaimed
/// engine is gone suffices for about as many.
const HAVENS: usize = 3;
/// Times that a copy is sought for one run at one engine: its first haven may
/// leave as well.
const COPY_TRIES: usize = 3;

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
#[derive(strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Ended {
    Whole,
    CallerLeft,
    Broken(Box<str>),
}

/// A copy of a run that it can go on from.
struct Copy {
    target: Arc<Target>,
    /// As requests name it.
    name: Box<str>,
    /// A connection to its engine, if one is open already.
    tcp: Option<TcpStream>,
    /// Memory that a copy made on notice takes.
    place: Option<Place>,
}

type Preparing = BoxFuture<'static, Result<Copy, Box<str>>>;

impl Gateway {
    /// Passes a run's events on until its end, going on elsewhere if it breaks.
    pub(super) async fn pump(
        self: Arc<Self>,
        job: Job,
        mut run: Run,
        tx: mpsc::Sender<Result<Piece, BrokenStream>>,
    ) {
        let mut delivered = Delivered::default();
        loop {
            let left = job.time_left(clock::now());
            let mut copy = None;
            let reading = self.read_run(&job, &mut run, &mut delivered, &tx, &mut copy);
            let ended = tokio::time::timeout(left, reading).await;
            let ended = ended.unwrap_or(Ended::Broken("deadline".into()));
            self.note_end(&job, &run, &delivered, &ended);
            let copy = match ended {
                Ended::Whole => {
                    // The receiver is gone if the caller left meanwhile.
                    let _ = tx.send(Ok(Piece::End)).await;
                    return;
                }
                Ended::CallerLeft => return,
                Ended::Broken(_) => copy.or_else(|| self.backup_of(&job, &run)),
            };
            // The connection to the old engine closes before the new one starts.
            drop(run);
            let resumed = match copy {
                Some(copy) => self.resume(&job, copy, delivered.last).await,
                None => Err("no copy".into()),
            };
            match resumed {
                Ok(next) => run = next,
                Err(reason) => {
                    let (id, events) = (&job.stated.request_id, delivered.events);
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

    fn note_end(&self, job: &Job, run: &Run, delivered: &Delivered, ended: &Ended) {
        metrics::counter!("bluebell_gateway_runs", "end" => <&str>::from(ended)).increment(1);
        let (id, target, events) = (&job.stated.request_id, &run.target.id, delivered.events);
        match ended {
            Ended::Whole => {
                let first = delivered.first_at.map(|at| at.saturating_sub(job.arrived));
                log::info!(
                    "event=stream_end request={id} target={target} events={events} first_ms={} gap_ms={}",
                    first.map_or(0, clock::millis),
                    clock::millis(delivered.longest_gap)
                );
            }
            Ended::CallerLeft => {
                log::info!("event=caller_left request={id} target={target} events={events}");
            }
            Ended::Broken(reason) => {
                log::warn!(
                    "event=stream_broken request={id} target={target} events={events} reason={reason:?}"
                );
                self.loads.note_failure(target, clock::now());
            }
        }
    }

    fn backup_of(&self, job: &Job, run: &Run) -> Option<Copy> {
        let target = run.backup.as_ref()?.target.clone();
        Some(Copy {
            name: (self.engines.copy_name)(target.address, &job.stated.request_id),
            target,
            tcp: None,
            place: None,
        })
    }

    /// Reads one run to its end, passing on whole events that are new. Gets a
    /// copy ready once its engine is known to leave.
    async fn read_run(
        &self,
        job: &Job,
        run: &mut Run,
        delivered: &mut Delivered,
        tx: &mpsc::Sender<Result<Piece, BrokenStream>>,
        ready: &mut Option<Copy>,
    ) -> Ended {
        let mut splitter = EventSplitter::default();
        let mut preparing: Option<Preparing> = None;
        let mut tries = 0;
        loop {
            let changed = self.standing.changed();
            let fleet = self.standing.fleet();
            let lacks_copy = || {
                ready
                    .as_ref()
                    .is_none_or(|copy| !fleet.is_open(&copy.target))
            };
            if preparing.is_none()
                && tries < COPY_TRIES
                && fleet.is_leaving(&run.target)
                && lacks_copy()
            {
                tries += 1;
                preparing = Some(self.prepare(&fleet, job, run));
            }
            let frame = tokio::select! {
                frame = run.exchange.response.body_mut().frame() => frame,
                () = tx.closed() => return Ended::CallerLeft,
                () = changed, if tries < COPY_TRIES => continue,
                prepared = poll(&mut preparing) => {
                    preparing = None;
                    match prepared {
                        Ok(copy) => *ready = Some(copy),
                        Err(reason) => note_unprepared(job, run, &reason),
                    }
                    continue;
                }
            };
            let broken: Box<str> = match frame {
                None if splitter.has_rest() => "ended within an event".into(),
                None => return Ended::Whole,
                Some(Err(e)) => e.to_string().into(),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        splitter.push(&data);
                    }
                    if self
                        .pass_on(run, &mut splitter, delivered, tx)
                        .await
                        .is_err()
                    {
                        return Ended::CallerLeft;
                    }
                    continue;
                }
            };
            // A copy that is on its way may still arrive.
            let Some(preparing) = preparing else {
                return Ended::Broken(broken);
            };
            return match tokio::time::timeout(LAST_COPY_TIMEOUT, preparing).await {
                Ok(Ok(copy)) => {
                    *ready = Some(copy);
                    Ended::Broken(broken)
                }
                Ok(Err(reason)) => {
                    note_unprepared(job, run, &reason);
                    Ended::Broken(broken)
                }
                Err(_) => Ended::Broken("no copy in time".into()),
            };
        }
    }

    /// Passes whole events on; an error once the caller has left.
    async fn pass_on(
        &self,
        run: &mut Run,
        splitter: &mut EventSplitter,
        delivered: &mut Delivered,
        tx: &mpsc::Sender<Result<Piece, BrokenStream>>,
    ) -> Result<(), ()> {
        while let Some(event) = splitter.split() {
            if event.id.is_some() && event.id <= delivered.last {
                continue;
            }
            let now = clock::now();
            if let Some((tokens, sent)) = run.pending_prompt.take() {
                run.reservation.note_read();
                let waited = now.saturating_sub(sent);
                self.read_rate.note(tokens, waited);
                metrics::histogram!("bluebell_gateway_first_event_seconds")
                    .record(waited.as_secs_f64());
            }
            delivered.note(event.id, now);
            tx.send(Ok(Piece::Data(event.raw))).await.map_err(|_| ())?;
        }
        Ok(())
    }

    /// Starts to get a copy ready for a run whose engine leaves: the backup if
    /// its engine stays, or else a copy made now.
    fn prepare(&self, fleet: &Fleet, job: &Job, run: &Run) -> Preparing {
        if let Some(copy) = self.backup_of(job, run)
            && fleet.is_open(&copy.target)
        {
            return Box::pin(open_early(copy));
        }
        let havens = self.havens(fleet, job, run);
        let work = Work {
            tokens: job.tokens(),
            ..Work::default()
        };
        let places = havens.iter().map(|haven| self.loads.take(&haven.id, work));
        let mut places: Vec<_> = places.take(1).collect();
        let calls = self.engines.clone();
        let (source, id) = (run.target.clone(), job.stated.request_id.clone());
        Box::pin(async move {
            let mut failed: Box<str> = "no engine to move it to".into();
            for haven in havens {
                log::info!(
                    "event=move request={id} target={} haven={}",
                    source.id,
                    haven.id
                );
                let asked = MoveRun {
                    source: source.address,
                    request_id: id.clone(),
                    haven: haven.address,
                };
                let (moved, tcp) = futures::join!((calls.move_run)(asked), connect(haven.address));
                match moved {
                    Ok(handle) => {
                        return Ok(Copy {
                            name: (calls.copy_name)(source.address, &handle),
                            target: haven,
                            // Without it, one is opened when it is needed.
                            tcp: tcp.ok(),
                            place: places.pop(),
                        });
                    }
                    Err(e) => failed = e.to_string().into(),
                }
            }
            Err(failed)
        })
    }

    /// Engines to move a run to, best first: of the same zone if there are any,
    /// since copies between zones take twice as long.
    fn havens(&self, fleet: &Fleet, job: &Job, run: &Run) -> Vec<Arc<Target>> {
        let Ok(admitted) = self.readmit(fleet, job) else {
            return Vec::new();
        };
        let mut tried = vec![run.target.id.clone()];
        let mut havens = Vec::new();
        for _ in 0..HAVENS {
            let near = self.choose_in_zone(
                fleet,
                &run.target,
                &tried,
                &job.need(admitted.route.objective),
            );
            let any = || self.choose(fleet, job, &admitted, &tried).map(|c| c.target);
            let Some(haven) = near.or_else(any) else {
                break;
            };
            tried.push(haven.id.clone());
            havens.push(haven);
        }
        havens
    }

    fn readmit(&self, fleet: &Fleet, job: &Job) -> Result<Admitted, Box<str>> {
        let now = clock::now();
        let admitted = self.admit(fleet, &job.host, job.uri.path(), job.key.as_deref(), now);
        admitted.map_err(|e| e.to_string().into())
    }

    /// Goes on from a copy of the run.
    async fn resume(&self, job: &Job, copy: Copy, last: Option<EventId>) -> Result<Run, Box<str>> {
        let now = clock::now();
        if job.time_left(now).is_zero() {
            return Err("deadline".into());
        }
        let fleet = self.standing.fleet();
        let admitted = self.readmit(&fleet, job)?;
        let target = &copy.target;
        let bound = Duration::from_millis(self.settings().bounds.drain_ms);
        if !fleet.takes_resumed(target, bound, now) {
            return Err("the copy's target takes no work".into());
        }
        if !self.try_send(job, true, now) {
            return Err("budget".into());
        }
        let send_headers = SendHeaders {
            backup: None,
            copy_from: Some(copy.name),
            last_event: Some(last.unwrap_or(0)),
        };
        let work = Work {
            requests: 1,
            tokens: job.tokens(),
            unread: 0,
        };
        self.record_placement(&fleet, target, now);
        let is_moved = copy.place.is_some();
        drop(copy.place);
        let place = self.loads.take(&target.id, work);
        let sent = self.open_run(job, &admitted, target, &send_headers, place, copy.tcp);
        let sent = tokio::time::timeout(job.time_left(now), sent).await;
        let took = clock::now().saturating_sub(now).as_millis();
        let id = &job.stated.request_id;
        match sent {
            Ok(SendOutcome::Answered(run)) if run.exchange.response.status().is_success() => {
                log::info!(
                    "event=stream_resumed request={id} target={} after={last:?} moved={is_moved} took_ms={took}",
                    target.id
                );
                Ok(run)
            }
            Ok(SendOutcome::Answered(run)) => {
                Err(format!("status={}", run.exchange.response.status()).into())
            }
            Ok(
                SendOutcome::Unsent(reason)
                | SendOutcome::NotRun(reason)
                | SendOutcome::Unknown(reason),
            ) => Err(reason),
            Err(_) => Err("deadline".into()),
        }
    }

    /// Goes on from the backup of a run whose first send got no answer.
    pub(super) async fn resume_unanswered(
        &self,
        job: &Job,
        backup: Arc<Target>,
    ) -> Result<Run, Box<str>> {
        let copy = Copy {
            name: (self.engines.copy_name)(backup.address, &job.stated.request_id),
            target: backup,
            tcp: None,
            place: None,
        };
        self.resume(job, copy, None).await
    }
}

/// Opens the connection to a copy's engine before it is needed.
async fn open_early(copy: Copy) -> Result<Copy, Box<str>> {
    let peer: SocketAddr = copy.target.address;
    let tcp = connect(peer).await.map_err(|e| Box::from(e.to_string()))?;
    Ok(Copy {
        tcp: Some(tcp),
        ..copy
    })
}

async fn poll(preparing: &mut Option<Preparing>) -> Result<Copy, Box<str>> {
    match preparing {
        Some(preparing) => preparing.await,
        None => std::future::pending().await,
    }
}

fn note_unprepared(job: &Job, run: &Run, reason: &str) {
    let (id, target) = (&job.stated.request_id, &run.target.id);
    log::warn!("event=copy_failed request={id} target={target} reason={reason:?}");
}
