//! Stand-in for a model engine: the generations' protocol on top of [`Batch`].
//!
//! A prompt may hold directives for tests: `[n=12]` sets the output's length,
//! `[mark=x]` the text that each token starts with, `[crash]` makes the engine
//! end when the request is admitted. `[mute=5]` silences the connection that
//! started it after 5 tokens, while later ones work; `[late=name:900]` holds the
//! first token back for 900 ms at the engine of that name; `[deaf]` makes it
//! ignore cancels.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    fmt::Write,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures::Stream;
use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use viz::{Request, RequestExt, Response, Router, StatusCode};

use super::{
    Running, StandinError,
    batch::{Batch, BatchLimits, Sequence, Step},
    history::History,
    register_target, spawn_http,
};
use crate::{
    cli::EngineArgs,
    clock::{self, BootTime},
    engine::{GenerationRequest, LoadReport},
    http,
    prefix::{CacheEvent, blocks_of},
    wire::GenerationId,
};

/// Largest request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Longest wait for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Period of heartbeats on a stream without tokens.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Pause of the batch loop while there is nothing to do.
const IDLE_PAUSE: Duration = Duration::from_millis(2);
/// Each event of the prefix cache with such a sequence number is lost.
const LOST_CACHE_EVENT: u64 = 50;
/// Output length when neither prompt nor caller sets one.
const DEFAULT_LENGTH: u64 = 16;

/// How far a generation is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Progress {
    produced: u64,
    length: u64,
    is_cancelled: bool,
}

struct Generation {
    mark: Box<str>,
    /// Tokens after which the connection that started it goes silent.
    mute_after: Option<u64>,
    /// No token is sent before.
    held_until: BootTime,
    is_deaf: bool,
    progress: watch::Sender<Progress>,
    readers: usize,
    /// When its last reader left.
    unread_since: Option<BootTime>,
}

struct State {
    batch: Batch,
    generations: BTreeMap<GenerationId, Generation>,
    /// Ids cancelled of late: a start that arrives after its cancel is refused.
    cancelled: BTreeMap<GenerationId, BootTime>,
    /// Reports of the last moments, oldest first.
    reports: Vec<(BootTime, LoadReport)>,
    /// Last cache event at each of the last moments, oldest first.
    cached: Vec<(BootTime, u64)>,
}

struct Shared {
    state: Mutex<State>,
    name: Box<str>,
    boot_id: Box<str>,
    report_lag: Duration,
    keep: Duration,
    kv_tokens: u64,
    history: History,
    fallen: CancellationToken,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the stand-in and enters it into the instance list.
///
/// # Errors
/// The address cannot be bound, or the platform does not answer.
pub async fn spawn(args: EngineArgs) -> Result<Running, StandinError> {
    let (running, _) = spawn_shared(&args).await?;
    Ok(running)
}

/// Runs the stand-in until it falls over or the process is killed.
///
/// # Errors
/// It could not start, or fell over.
pub async fn run(args: EngineArgs) -> Result<(), StandinError> {
    let (running, shared) = spawn_shared(&args).await?;
    println!(
        "event=bound standin=engine name={} address={}",
        args.target.name, running.address
    );
    shared.fallen.cancelled().await;
    Err(StandinError::Unexpected {
        step: "fall_over",
        peer: args.target.name,
        reason: "more work than it bears".into(),
    })
}

async fn spawn_shared(args: &EngineArgs) -> Result<(Running, Arc<Shared>), StandinError> {
    let shared = Arc::new(Shared {
        state: Mutex::new(State {
            batch: Batch::new(limits_of(args)),
            generations: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            reports: Vec::new(),
            cached: Vec::new(),
        }),
        name: args.target.name.clone(),
        boot_id: format!("{:016x}", rand::random::<u64>()).into(),
        report_lag: Duration::from_millis(args.report_lag_ms),
        keep: Duration::from_millis(args.keep_ms),
        kv_tokens: args.kv_tokens,
        history: History::open(args.target.history.as_deref())?,
        fallen: CancellationToken::new(),
    });
    let stop = CancellationToken::new();
    let running = spawn_http(&args.target.listen, router(&shared), stop.clone()).await?;
    tokio::spawn(decode(shared.clone(), stop));
    register_target(&args.target, running.address).await?;
    Ok((running, shared))
}

fn limits_of(args: &EngineArgs) -> BatchLimits {
    BatchLimits {
        kv_tokens: args.kv_tokens,
        max_batch: args.max_batch,
        step: Duration::from_micros(args.step_us),
        step_growth: Duration::from_micros(args.step_growth_us),
        prefill_per_ms: args.prefill_per_ms,
        cold: Duration::from_millis(args.cold_ms),
        cold_bears: args.cold_bears,
        cache_blocks: args.cache_blocks,
    }
}

fn router(shared: &Arc<Shared>) -> Router {
    let (start, resume, cancel, load, cache) = (
        shared.clone(),
        shared.clone(),
        shared.clone(),
        shared.clone(),
        shared.clone(),
    );
    Router::new()
        .post("/v1/completions", move |mut req: Request| {
            let shared = start.clone();
            async move { Ok(start_generation(&shared, &mut req).await) }
        })
        .get("/v1/generations/:id", move |req: Request| {
            let shared = resume.clone();
            async move { Ok(resume_generation(&shared, &req)) }
        })
        .delete("/v1/generations/:id", move |req: Request| {
            let shared = cancel.clone();
            let id: String = req.param("id").unwrap_or_default();
            let is_unread = req.query_string() == Some("unread");
            cancel_generation(&shared, &id, is_unread);
            async move { Ok(status(StatusCode::OK)) }
        })
        .get("/v1/load", move |_: Request| {
            let report = lagging_report(&load);
            async move { Ok(http::json(StatusCode::OK, &report)) }
        })
        .get("/v1/cache_events", move |req: Request| {
            let events = lagging_cache_events(&cache, &req);
            async move { Ok(http::json(StatusCode::OK, &events)) }
        })
}

fn status(status: StatusCode) -> Response {
    http::with_body(status, "text/plain", Bytes::new())
}

async fn start_generation(shared: &Arc<Shared>, req: &mut Request) -> Response {
    let body = http::read_body(req, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let parsed = body.ok().and_then(|b| serde_json::from_slice(&b).ok());
    let Some(request): Option<GenerationRequest> = parsed else {
        return status(StatusCode::BAD_REQUEST);
    };
    let id = request.generation_id.clone();
    // One lock for look and admission: a repeated start may come at once.
    let mut state = shared.state();
    if state.cancelled.contains_key(&id) {
        return status(StatusCode::GONE);
    }
    let is_new = !state.generations.contains_key(&id);
    if is_new {
        admit(shared, &mut state, &request);
    }
    drop(state);
    stream_from(shared, &id, 0, is_new).unwrap_or_else(|| status(StatusCode::NOT_FOUND))
}

fn admit(shared: &Shared, state: &mut State, request: &GenerationRequest) {
    let id = &request.generation_id;
    let mark = directive(&request.prompt, "mark").unwrap_or("t");
    let length = directive(&request.prompt, "n").and_then(|n| n.parse().ok());
    let most = request.max_tokens.map_or(u64::MAX, u64::from);
    let length = length.unwrap_or(DEFAULT_LENGTH).min(most).max(1);
    let prompt_tokens = request.prompt.split_whitespace().count() as u64;
    let detail = json!({"generation": id, "mark": mark, "length": length});
    shared.history.note("admitted", &detail);
    if request.prompt.contains("[crash]") {
        shared.fallen.cancel();
    }
    let progress = Progress {
        length,
        ..Progress::default()
    };
    let generation = Generation {
        mark: mark.into(),
        mute_after: directive(&request.prompt, "mute").and_then(|n| n.parse().ok()),
        held_until: clock::now() + lateness(&shared.name, &request.prompt),
        is_deaf: request.prompt.contains("[deaf]"),
        progress: watch::Sender::new(progress),
        readers: 0,
        unread_since: Some(clock::now()),
    };
    state.generations.insert(id.clone(), generation);
    let sequence = Sequence::new(prompt_tokens, length, request.priority)
        .with_blocks(blocks_of(&request.prompt));
    if !state.batch.add(id.clone(), sequence) {
        shared.history.note("fell_over", &json!({"generation": id}));
        shared.fallen.cancel();
    }
}

/// How long this engine holds the first token back.
fn lateness(engine: &str, prompt: &str) -> Duration {
    let late = directive(prompt, "late").and_then(|late| late.split_once(':'));
    let ms = late.filter(|(name, _)| *name == engine);
    let ms = ms.and_then(|(_, ms)| ms.parse().ok());
    Duration::from_millis(ms.unwrap_or(0))
}

/// The value of `[name=value]` in a prompt.
fn directive<'a>(prompt: &'a str, name: &str) -> Option<&'a str> {
    let opening = format!("[{name}=");
    let from = prompt.find(&opening)? + opening.len();
    let len = prompt[from..].find(']')?;
    Some(&prompt[from..from + len])
}

fn resume_generation(shared: &Arc<Shared>, req: &Request) -> Response {
    let id: String = req.param("id").unwrap_or_default();
    let from = req.query_string().and_then(|q| q.strip_prefix("from="));
    let Some(from) = from.and_then(|from| from.parse().ok()) else {
        return status(StatusCode::BAD_REQUEST);
    };
    stream_from(shared, &id, from, false).unwrap_or_else(|| status(StatusCode::NOT_FOUND))
}

/// Cancels a generation; `if_unread` spares one that somebody reads.
fn cancel_generation(shared: &Shared, id: &str, if_unread: bool) {
    let mut state = shared.state();
    let found = state.generations.get(id);
    if found.is_some_and(|g| g.is_deaf || (if_unread && g.readers > 0)) {
        return;
    }
    state.cancelled.insert(id.into(), clock::now());
    state.batch.remove(id);
    if let Some(generation) = state.generations.remove(id) {
        generation.progress.send_modify(|p| p.is_cancelled = true);
        shared.history.note("cancelled", &json!({"generation": id}));
    }
}

/// A reader of a generation; it is counted while it lives.
struct Reader {
    shared: Arc<Shared>,
    id: GenerationId,
    mark: Box<str>,
    mute_after: Option<u64>,
    held_until: BootTime,
    progress: watch::Receiver<Progress>,
    next: u64,
    is_ended: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        if let Some(generation) = state.generations.get_mut(&self.id) {
            generation.readers -= 1;
            if generation.readers == 0 {
                generation.unread_since = Some(clock::now());
            }
        }
    }
}

fn stream_from(shared: &Arc<Shared>, id: &str, from: u64, is_first: bool) -> Option<Response> {
    let mut state = shared.state();
    let generation = state.generations.get_mut(id)?;
    generation.readers += 1;
    generation.unread_since = None;
    let reader = Reader {
        shared: shared.clone(),
        id: id.into(),
        mark: generation.mark.clone(),
        mute_after: generation.mute_after.filter(|_| is_first),
        held_until: generation.held_until,
        progress: generation.progress.subscribe(),
        next: from,
        is_ended: false,
    };
    Some(http::event_stream(events(reader)))
}

fn events(reader: Reader) -> impl Stream<Item = Result<Bytes, Infallible>> + Send {
    futures::stream::unfold(reader, |mut reader| async move {
        if reader.is_ended {
            return None;
        }
        let chunk = next_chunk(&mut reader).await?;
        Some((Ok(chunk), reader))
    })
}

/// All events that are due: new tokens, the mark of the end, or a heartbeat.
async fn next_chunk(reader: &mut Reader) -> Option<Bytes> {
    let next = reader.next;
    if reader.mute_after.is_some_and(|after| next >= after) {
        std::future::pending::<()>().await;
    }
    let held = reader.held_until.saturating_sub(clock::now());
    if !held.is_zero() {
        tokio::time::sleep(held.min(HEARTBEAT)).await;
        return Some(Bytes::from_static(b": heartbeat\n\n"));
    }
    let is_due = |p: &Progress| p.is_cancelled || p.produced > next || p.produced == p.length;
    let waiting = tokio::time::timeout(HEARTBEAT, reader.progress.wait_for(is_due));
    let progress = match waiting.await {
        Err(_) => return Some(Bytes::from_static(b": heartbeat\n\n")),
        Ok(Err(_)) => return None,
        Ok(Ok(progress)) => *progress,
    };
    if progress.is_cancelled {
        return None;
    }
    let mut text = String::new();
    let until = reader.mute_after.unwrap_or(u64::MAX).min(progress.produced);
    while reader.next < until {
        write_token(&mut text, reader);
        reader.next += 1;
    }
    if reader.next >= progress.length {
        reader.is_ended = true;
        let end = json!({"tokens": progress.length, "finish_reason": "stop"});
        let _ = write!(text, "event: end\ndata: {end}\n\n");
    }
    Some(text.into())
}

fn write_token(text: &mut String, reader: &Reader) {
    let (id, mark, index) = (&reader.id, &reader.mark, reader.next);
    let _ = write!(
        text,
        "id: {index}\ndata: {{\"id\":\"{id}\",\"object\":\"text_completion\",\"choices\":\
         [{{\"index\":0,\"text\":\"{mark}{index} \",\"finish_reason\":null}}]}}\n\n"
    );
}

/// Decodes until the engine stops or falls over.
async fn decode(shared: Arc<Shared>, stop: CancellationToken) {
    while !stop.is_cancelled() && !shared.fallen.is_cancelled() {
        let pause = {
            let mut state = shared.state();
            drop_unread(&shared, &mut state);
            note_report(&shared, &mut state);
            if state.batch.is_empty() {
                None
            } else {
                let done = state.batch.step();
                advance(&shared, &mut state, &done);
                Some(done.time)
            }
        };
        tokio::time::sleep(pause.unwrap_or(IDLE_PAUSE)).await;
    }
}

fn advance(shared: &Shared, state: &mut State, step: &Step) {
    for id in &step.preempted {
        shared.history.note("preempted", &json!({"generation": id}));
    }
    for id in &step.advanced {
        let Some(generation) = state.generations.get(id) else {
            continue;
        };
        generation.progress.send_modify(|p| p.produced += 1);
        if state.batch.get(id).is_none() {
            shared.history.note("finished", &json!({"generation": id}));
        }
    }
}

/// Drops generations that nobody has read for a while.
fn drop_unread(shared: &Shared, state: &mut State) {
    let now = clock::now();
    let keep = shared.keep;
    state
        .cancelled
        .retain(|_, at| now.saturating_sub(*at) <= keep);
    let is_forgotten = |g: &Generation| {
        let unread_since = g.unread_since;
        unread_since.is_some_and(|at| now.saturating_sub(at) > shared.keep)
    };
    let forgotten = state.generations.iter().filter(|(_, g)| is_forgotten(g));
    let forgotten: Vec<GenerationId> = forgotten.map(|(id, _)| id.clone()).collect();
    for id in forgotten {
        state.generations.remove(&id);
        if state.batch.get(&id).is_some() {
            state.batch.remove(&id);
            shared.history.note("dropped", &json!({"generation": id}));
        }
    }
}

fn note_report(shared: &Shared, state: &mut State) {
    let now = clock::now();
    let batch = &state.batch;
    let report = LoadReport {
        boot_id: shared.boot_id.clone(),
        running: u32::try_from(batch.running()).unwrap_or(u32::MAX),
        waiting: u32::try_from(batch.waiting()).unwrap_or(u32::MAX),
        kv_used: batch.kv_used(),
        kv_total: shared.kv_tokens,
        preemptions: batch.preemptions,
        tokens: batch.tokens,
        is_cold: batch.is_cold(),
    };
    state.reports.push((now, report));
    let seen = now.saturating_sub(shared.report_lag);
    let outdated = state.reports.partition_point(|(at, _)| *at <= seen);
    state.reports.drain(..outdated.saturating_sub(1));
    let cached = state.batch.cache.sequence();
    state.cached.push((now, cached));
    let outdated = state.cached.partition_point(|(at, _)| *at <= seen);
    state.cached.drain(..outdated.saturating_sub(1));
}

/// Cache events, as late as load reports and with some lost.
fn lagging_cache_events(shared: &Shared, req: &Request) -> Vec<CacheEvent> {
    let after = req.query_string().and_then(|q| q.strip_prefix("after="));
    let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
    let state = shared.state();
    let published = state.cached.first().map_or(0, |(_, sequence)| *sequence);
    let mut events = state.batch.cache.events_after(after);
    events.retain(|e| e.sequence <= published && e.sequence % LOST_CACHE_EVENT != 0);
    events
}

fn lagging_report(shared: &Shared) -> LoadReport {
    let state = shared.state();
    let first = state.reports.first();
    first.map(|(_, report)| report.clone()).unwrap_or_default()
}
