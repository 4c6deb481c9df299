//! Stand-in for an engine: serves the engine protocol for generations on top of
//! [`Batch`].
//!
//! A prompt may hold directives that set the output and the faults of its
//! generation:
//!
//! - `[n=12]` sets the output length, in tokens.
//! - `[mark=x]` sets the text that each token starts with.
//! - `[crash]` makes the engine fail when it admits the request.
//! - `[mute=5]` makes the connection that started the generation send nothing
//!   after 5 tokens. Connections that resume it are not affected.
//! - `[late=name:900]` makes the engine of that name delay the first token by
//!   900 ms.
//! - `[deaf]` makes the engine ignore requests to cancel the generation.

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
    cli::{EXIT_FAILED, EngineArgs},
    clock::{self, BootTime},
    engine::{GenerationRequest, LoadReport},
    http,
    prefix::{CacheEvent, blocks_of},
    wire::GenerationId,
};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Maximum wait for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a token after which a stream sends a heartbeat.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// Pause of the decoding loop while the batch is empty.
const IDLE_PAUSE: Duration = Duration::from_millis(2);
/// Prefix cache events whose sequence number is a multiple of this are never sent, as
/// if lost on the way.
const LOST_CACHE_EVENT_INTERVAL: u64 = 50;
/// Output length if the prompt sets none, in tokens.
const DEFAULT_LENGTH: u64 = 16;

/// Progress of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Progress {
    /// Number of tokens generated so far.
    produced: u64,
    /// Number of tokens of the whole output.
    length: u64,
    is_cancelled: bool,
}

struct Generation {
    /// Text that each token starts with.
    mark: Box<str>,
    /// Number of tokens after which the connection that started the generation
    /// sends nothing more. `None` if it sends all.
    silent_after: Option<u64>,
    /// Time before which no token is sent.
    no_token_before: BootTime,
    /// Whether requests to cancel it are ignored.
    ignores_cancels: bool,
    progress: watch::Sender<Progress>,
    /// Number of connections that read the generation.
    readers: usize,
    /// Time since which the generation has no reader. `None` if it has one.
    unread_since: Option<BootTime>,
}

struct State {
    batch: Batch,
    generations: BTreeMap<GenerationId, Generation>,
    /// Recently cancelled ids, with the time of the cancellation. A request to start
    /// one that arrives later is refused.
    cancelled: BTreeMap<GenerationId, BootTime>,
    /// Load reports, oldest first. Readers get the first one.
    reports: Vec<(BootTime, LoadReport)>,
    /// Sequence number of the last cache event at the time of each load report,
    /// oldest first.
    cache_sequences: Vec<(BootTime, u64)>,
}

struct Shared {
    state: Mutex<State>,
    name: Box<str>,
    boot_id: Box<str>,
    /// Delay of load reports and cache events.
    report_lag: Duration,
    /// Time for which a generation without a reader, or the id of a cancelled
    /// one, is kept.
    retention: Duration,
    /// KV cache capacity, in tokens.
    kv_tokens: u64,
    history: History,
    /// Cancelled once the engine has failed.
    failed: CancellationToken,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the stand-in and registers it in the platform's instance list.
///
/// # Errors
/// The history file cannot be opened, the address cannot be bound, or the
/// platform does not answer.
pub async fn spawn(args: EngineArgs) -> Result<Running, StandinError> {
    let (running, _) = spawn_shared(&args).await?;
    Ok(running)
}

/// Runs the stand-in until it fails, which ends the process, or the process is killed.
///
/// # Errors
/// The stand-in could not start.
pub async fn run(args: EngineArgs) -> Result<(), StandinError> {
    let (running, shared) = spawn_shared(&args).await?;
    println!(
        "event=bound standin=engine name={} address={}",
        args.target.name, running.address
    );
    // The thread that admitted the last request ends the process. The main thread may
    // run a second later on a busy machine, and the engine would serve meanwhile.
    tokio::spawn(async move {
        shared.failed.cancelled().await;
        let error = StandinError::Unexpected {
            step: "fall_over",
            peer: args.target.name,
            reason: "too many sequences while cold, or a prompt with [crash]".into(),
        };
        eprintln!("{error}");
        std::process::exit(EXIT_FAILED.into());
    });
    std::future::pending().await
}

async fn spawn_shared(args: &EngineArgs) -> Result<(Running, Arc<Shared>), StandinError> {
    let shared = Arc::new(Shared {
        state: Mutex::new(State {
            batch: Batch::new(limits_of(args)),
            generations: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            reports: Vec::new(),
            cache_sequences: Vec::new(),
        }),
        name: args.target.name.clone(),
        boot_id: format!("{:016x}", rand::random::<u64>()).into(),
        report_lag: Duration::from_millis(args.report_lag_ms),
        retention: Duration::from_millis(args.keep_ms),
        kv_tokens: args.kv_tokens,
        history: History::open(args.target.history.as_deref())?,
        failed: CancellationToken::new(),
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
        max_cold_sequences: args.max_cold_sequences,
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
            async move { Ok(empty_response(StatusCode::OK)) }
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

fn empty_response(status: StatusCode) -> Response {
    http::with_body(status, "text/plain", Bytes::new())
}

async fn start_generation(shared: &Arc<Shared>, req: &mut Request) -> Response {
    let body = http::read_body(req, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let parsed = body.ok().and_then(|b| serde_json::from_slice(&b).ok());
    let Some(request): Option<GenerationRequest> = parsed else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let is_other_start = |expected: &str| *expected != *shared.boot_id;
    if request.boot_id.as_deref().is_some_and(is_other_start) {
        return empty_response(StatusCode::CONFLICT);
    }
    let id = request.generation_id.clone();
    // Lookup and admission share one lock, because two starts with the same id
    // may arrive at the same time.
    let mut state = shared.state();
    if state.cancelled.contains_key(&id) {
        return empty_response(StatusCode::GONE);
    }
    let is_new = !state.generations.contains_key(&id);
    if is_new {
        admit(shared, &mut state, &request);
    }
    drop(state);
    stream_from(shared, &id, 0, is_new).unwrap_or_else(|| empty_response(StatusCode::NOT_FOUND))
}

/// Adds a new generation to the batch, with the directives of its prompt.
fn admit(shared: &Shared, state: &mut State, request: &GenerationRequest) {
    let id = &request.generation_id;
    let mark = directive(&request.prompt, "mark").unwrap_or("t");
    let length = directive(&request.prompt, "n").and_then(|n| n.parse().ok());
    let max_tokens = request.max_tokens.map_or(u64::MAX, u64::from);
    let length = length.unwrap_or(DEFAULT_LENGTH).min(max_tokens).max(1);
    let prompt_tokens = request.prompt.split_whitespace().count() as u64;
    let detail = json!({"generation": id, "mark": mark, "length": length});
    shared.history.append("admitted", &detail);
    if request.prompt.contains("[crash]") {
        shared.failed.cancel();
    }
    let progress = Progress {
        length,
        ..Progress::default()
    };
    let generation = Generation {
        mark: mark.into(),
        silent_after: directive(&request.prompt, "mute").and_then(|n| n.parse().ok()),
        no_token_before: clock::now() + first_token_delay(&shared.name, &request.prompt),
        ignores_cancels: request.prompt.contains("[deaf]"),
        progress: watch::Sender::new(progress),
        readers: 0,
        unread_since: Some(clock::now()),
    };
    state.generations.insert(id.clone(), generation);
    let sequence = Sequence::new(prompt_tokens, length, request.priority)
        .with_blocks(blocks_of(&request.prompt));
    if !state.batch.add(id.clone(), sequence) {
        shared
            .history
            .append("fell_over", &json!({"generation": id}));
        shared.failed.cancel();
    }
}

/// Returns the time by which `engine` delays the first token.
fn first_token_delay(engine: &str, prompt: &str) -> Duration {
    let late = directive(prompt, "late").and_then(|late| late.split_once(':'));
    let ms = late.filter(|(name, _)| *name == engine);
    let ms = ms.and_then(|(_, ms)| ms.parse().ok());
    Duration::from_millis(ms.unwrap_or(0))
}

/// Returns the value of the directive `[name=value]` in a prompt.
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
        return empty_response(StatusCode::BAD_REQUEST);
    };
    stream_from(shared, &id, from, false).unwrap_or_else(|| empty_response(StatusCode::NOT_FOUND))
}

/// Cancels a generation, unless its prompt holds `[deaf]`. With `if_unread`, a
/// generation that has a reader is not cancelled.
fn cancel_generation(shared: &Shared, id: &str, if_unread: bool) {
    let mut state = shared.state();
    let found = state.generations.get(id);
    if found.is_some_and(|g| g.ignores_cancels || (if_unread && g.readers > 0)) {
        return;
    }
    state.cancelled.insert(id.into(), clock::now());
    state.batch.remove(id);
    if let Some(generation) = state.generations.remove(id) {
        generation.progress.send_modify(|p| p.is_cancelled = true);
        shared
            .history
            .append("cancelled", &json!({"generation": id}));
    }
}

/// Connection that reads a generation. It is counted in [`Generation::readers`]
/// until it is dropped.
struct Reader {
    shared: Arc<Shared>,
    id: GenerationId,
    mark: Box<str>,
    silent_after: Option<u64>,
    no_token_before: BootTime,
    progress: watch::Receiver<Progress>,
    /// Index of the next token to send.
    next: u64,
    /// Whether the end event was sent.
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

/// Returns a stream of a generation's events from token `from`, or `None` if the
/// generation is unknown. `is_starter` says whether the same connection started it.
fn stream_from(shared: &Arc<Shared>, id: &str, from: u64, is_starter: bool) -> Option<Response> {
    let mut state = shared.state();
    let generation = state.generations.get_mut(id)?;
    generation.readers += 1;
    generation.unread_since = None;
    let reader = Reader {
        shared: shared.clone(),
        id: id.into(),
        mark: generation.mark.clone(),
        silent_after: generation.silent_after.filter(|_| is_starter),
        no_token_before: generation.no_token_before,
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

/// Waits for the next events and returns them: new tokens and the end event, or
/// a heartbeat. Returns `None` if the generation was cancelled or discarded. Never
/// returns once a directive such as `[mute=5]` has silenced the connection.
async fn next_chunk(reader: &mut Reader) -> Option<Bytes> {
    let next = reader.next;
    if reader.silent_after.is_some_and(|after| next >= after) {
        std::future::pending::<()>().await;
    }
    let delay = reader.no_token_before.saturating_sub(clock::now());
    if !delay.is_zero() {
        tokio::time::sleep(delay.min(HEARTBEAT_PERIOD)).await;
        return Some(Bytes::from_static(b": heartbeat\n\n"));
    }
    let is_due = |p: &Progress| p.is_cancelled || p.produced > next || p.produced == p.length;
    let waiting = tokio::time::timeout(HEARTBEAT_PERIOD, reader.progress.wait_for(is_due));
    let progress = match waiting.await {
        Err(_) => return Some(Bytes::from_static(b": heartbeat\n\n")),
        Ok(Err(_)) => return None,
        Ok(Ok(progress)) => *progress,
    };
    if progress.is_cancelled {
        return None;
    }
    let mut text = String::new();
    let until = reader
        .silent_after
        .unwrap_or(u64::MAX)
        .min(progress.produced);
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

/// Writes the event of the reader's next token.
fn write_token(text: &mut String, reader: &Reader) {
    let (id, mark, index) = (&reader.id, &reader.mark, reader.next);
    let _ = write!(
        text,
        "id: {index}\ndata: {{\"id\":\"{id}\",\"object\":\"text_completion\",\"choices\":\
         [{{\"index\":0,\"text\":\"{mark}{index} \",\"finish_reason\":null}}]}}\n\n"
    );
}

/// Runs decoding steps until the engine is stopped or fails.
async fn decode(shared: Arc<Shared>, stop: CancellationToken) {
    while !stop.is_cancelled() && !shared.failed.is_cancelled() {
        let pause = {
            let mut state = shared.state();
            discard_unread(&shared, &mut state);
            add_report(&shared, &mut state);
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

/// Publishes the tokens of a step to the readers, and writes its preemptions and
/// finished generations to the history.
fn advance(shared: &Shared, state: &mut State, step: &Step) {
    for id in &step.preempted {
        shared
            .history
            .append("preempted", &json!({"generation": id}));
    }
    for id in &step.advanced {
        let Some(generation) = state.generations.get(id) else {
            continue;
        };
        generation.progress.send_modify(|p| p.produced += 1);
        if state.batch.get(id).is_none() {
            shared
                .history
                .append("finished", &json!({"generation": id}));
        }
    }
}

/// Discards generations that have been without a reader, and ids that were
/// cancelled, for longer than [`Shared::retention`].
fn discard_unread(shared: &Shared, state: &mut State) {
    let now = clock::now();
    let retention = shared.retention;
    state
        .cancelled
        .retain(|_, at| now.saturating_sub(*at) <= retention);
    let is_outdated = |g: &Generation| {
        let unread_since = g.unread_since;
        unread_since.is_some_and(|at| now.saturating_sub(at) > shared.retention)
    };
    let outdated = state.generations.iter().filter(|(_, g)| is_outdated(g));
    let outdated: Vec<GenerationId> = outdated.map(|(id, _)| id.clone()).collect();
    for id in outdated {
        state.generations.remove(&id);
        if state.batch.get(&id).is_some() {
            state.batch.remove(&id);
            shared.history.append("dropped", &json!({"generation": id}));
        }
    }
}

/// Adds the current load report and the last cache event's number, and discards
/// those that are older than the ones that readers get.
fn add_report(shared: &Shared, state: &mut State) {
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
    let shown_until = now.saturating_sub(shared.report_lag);
    let outdated = state.reports.partition_point(|(at, _)| *at <= shown_until);
    state.reports.drain(..outdated.saturating_sub(1));
    let last_event = state.batch.cache.sequence();
    state.cache_sequences.push((now, last_event));
    let outdated = state
        .cache_sequences
        .partition_point(|(at, _)| *at <= shown_until);
    state.cache_sequences.drain(..outdated.saturating_sub(1));
}

/// Returns the cache events after the one that the request names, delayed by
/// [`Shared::report_lag`] and without those that are lost.
fn lagging_cache_events(shared: &Shared, req: &Request) -> Vec<CacheEvent> {
    let after = req.query_string().and_then(|q| q.strip_prefix("after="));
    let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
    let state = shared.state();
    let published = state
        .cache_sequences
        .first()
        .map_or(0, |(_, sequence)| *sequence);
    let mut events = state.batch.cache.events_after(after);
    events.retain(|e| e.sequence <= published && e.sequence % LOST_CACHE_EVENT_INTERVAL != 0);
    events
}

/// Returns the load report that readers get now: the newest one that is at least
/// [`Shared::report_lag`] old, or the oldest one if none is.
fn lagging_report(shared: &Shared) -> LoadReport {
    let state = shared.state();
    let first = state.reports.first();
    first.map(|(_, report)| report.clone()).unwrap_or_default()
}
