//! Generations towards callers: each token once, in order, from one run.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};
use tokio::{sync::mpsc, time::timeout};

use crate::{
    clock,
    credits::Permit,
    engine::{
        EndOfGeneration, EngineClient, EngineError, EngineEvent, EngineStream, GenerationRequest,
    },
    footprint::Footprint,
    refusal::{Ran, Refusal, RefusalKind},
    view::Target,
    wire::GenerationId,
};

/// Events buffered between the engine's stream and the caller's connection.
const BUFFERED_EVENTS: usize = 256;
/// Gaps above this count as stalls.
const STALL_GAP: Duration = Duration::from_millis(200);

/// Position in a generation: which token the caller gets next.
///
/// Invariant: only token `next` of `generation` is passed on, so each token is
/// delivered once, in order, and from one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    generation: GenerationId,
    next: u64,
}

/// What to do with a token that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it on.
    Deliver,
    /// It was delivered before, or belongs to another run; drop it.
    Drop,
    /// Tokens before it are missing; resume at the cursor.
    Gap,
}

impl Cursor {
    /// Starts at the first token of a run.
    #[must_use]
    pub fn new(generation: impl Into<GenerationId>) -> Self {
        Self::at(generation, 0)
    }

    /// Starts at token `next` of a run.
    #[must_use]
    pub fn at(generation: impl Into<GenerationId>, next: u64) -> Self {
        let generation = generation.into();
        Self { generation, next }
    }

    /// The run whose tokens are delivered.
    #[must_use]
    pub fn generation(&self) -> &str {
        &self.generation
    }

    /// Index of the token that is delivered next; also how many were.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Decides on a token and moves on when it is delivered.
    pub fn take(&mut self, generation: &str, index: u64) -> Verdict {
        if generation != &*self.generation || index < self.next {
            return Verdict::Drop;
        }
        if index > self.next {
            return Verdict::Gap;
        }
        self.next += 1;
        Verdict::Deliver
    }

    /// Switches to another run; only while nothing was delivered.
    ///
    /// Returns false, and changes nothing, once a token was delivered.
    #[must_use]
    pub fn restart(&mut self, generation: impl Into<GenerationId>) -> bool {
        if self.next > 0 {
            return false;
        }
        self.generation = generation.into();
        true
    }
}

/// A run on a target, with the credit it uses.
pub(crate) struct Run {
    /// Target that runs it.
    pub target: Arc<Target>,
    /// What it was asked.
    pub generation: GenerationRequest,
    /// Held until the run ends.
    pub permit: Permit,
    /// Memory it is expected to take at the target.
    pub footprint: Footprint,
    /// Events of the run.
    pub events: EngineStream,
}

/// What a caller gets from a run.
pub(crate) struct Delivered {
    /// Request id, for the log.
    pub request: Box<str>,
    /// Front part of event ids; the index follows.
    pub id_prefix: Box<str>,
    /// Longest silence of the engine.
    pub silence_after: Duration,
}

/// Passes a run on as server-sent events.
pub(crate) fn deliver(
    engines: EngineClient,
    run: Run,
    delivered: Delivered,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Send + use<> {
    let (tx, rx) = mpsc::channel(BUFFERED_EVENTS);
    tokio::spawn(pass_on(engines, run, delivered, tx));
    stream::unfold(rx, |mut rx| async move {
        let event = rx.recv().await?;
        Some((Ok(event), rx))
    })
}

async fn pass_on(
    engines: EngineClient,
    mut run: Run,
    delivered: Delivered,
    tx: mpsc::Sender<Bytes>,
) {
    let target = Arc::clone(&run.target);
    let generation = run.generation.generation_id.clone();
    let ended = tokio::select! {
        ended = pass_tokens(&engines, &mut run, &delivered, &tx) => ended,
        () = tx.closed() => Ended::CallerLeft,
    };
    if let Ended::Whole(end) = &ended {
        run.footprint.end_whole(end.tokens);
    }
    drop(run.footprint);
    drop(run.permit);
    let outcome = match &ended {
        Ended::Whole(_) => "whole",
        Ended::CallerLeft => "caller_left",
        Ended::Failed(..) => "failed",
    };
    log::info!(
        "event=generation_ended request={} generation={generation} target={} outcome={outcome}",
        delivered.request,
        target.name
    );
    match ended {
        Ended::Whole(end) => {
            let _ = tx.send(end_event(&generation, &end)).await;
        }
        Ended::CallerLeft => {
            let _ = engines.cancel(&target.address, &generation).await;
        }
        Ended::Failed(tokens, error) => {
            let message = format!("the stream broke after {tokens} tokens: {error}");
            let refusal = Refusal::new(RefusalKind::TargetFailed, Ran::Ran, message);
            refusal.record(&delivered.request);
            let json = refusal.to_json(&delivered.request, Some(tokens));
            let _ = tx.send(error_event(&json)).await;
        }
    }
}

/// How the passing on of a run ended.
enum Ended {
    Whole(EndOfGeneration),
    CallerLeft,
    Failed(u64, EngineError),
}

async fn pass_tokens(
    engines: &EngineClient,
    run: &mut Run,
    delivered: &Delivered,
    tx: &mpsc::Sender<Bytes>,
) -> Ended {
    let mut cursor = Cursor::new(run.generation.generation_id.clone());
    let mut gaps = Gaps::default();
    loop {
        let Ok(Ok(event)) = timeout(delivered.silence_after, run.events.next()).await else {
            // Silent, or broken: go on with a new connection at the cursor.
            match resume(engines, run, &cursor).await {
                Ok(events) => run.events = events,
                Err(e) => return Ended::Failed(cursor.next(), e),
            }
            continue;
        };
        let (index, data) = match event {
            EngineEvent::Heartbeat => continue,
            EngineEvent::End(end) if end.tokens == cursor.next() => return Ended::Whole(end),
            EngineEvent::End(_) => (u64::MAX, Bytes::new()),
            EngineEvent::Token { index, data } => (index, data),
        };
        match cursor.take(&run.generation.generation_id, index) {
            Verdict::Drop => {}
            Verdict::Gap => match resume(engines, run, &cursor).await {
                Ok(events) => run.events = events,
                Err(e) => return Ended::Failed(cursor.next(), e),
            },
            Verdict::Deliver => {
                gaps.note();
                run.footprint.grow();
                if tx
                    .send(token_event(&delivered.id_prefix, index, &data))
                    .await
                    .is_err()
                {
                    return Ended::CallerLeft;
                }
            }
        }
    }
}

async fn resume(
    engines: &EngineClient,
    run: &Run,
    cursor: &Cursor,
) -> Result<EngineStream, EngineError> {
    let target = &run.target;
    metrics::counter!("bluebell_resumes").increment(1);
    log::info!(
        "event=resume generation={} target={} index={}",
        cursor.generation(),
        target.name,
        cursor.next()
    );
    engines
        .resume(&target.address, cursor.generation(), cursor.next())
        .await
}

/// Gaps between the tokens of one stream, for the metrics.
#[derive(Default)]
struct Gaps {
    last: Option<clock::BootTime>,
}

impl Gaps {
    fn note(&mut self) {
        let now = clock::now();
        if let Some(last) = self.last.replace(now) {
            let gap = now.saturating_sub(last);
            metrics::histogram!("bluebell_token_gap_seconds").record(gap);
            if let Some(stall) = gap.checked_sub(STALL_GAP) {
                metrics::histogram!("bluebell_stall_seconds").record(stall);
            }
        }
    }
}

/// One token as a server-sent event.
fn token_event(id_prefix: &str, index: u64, data: &Bytes) -> Bytes {
    let mut buf = BytesMut::with_capacity(id_prefix.len() + data.len() + 40);
    buf.extend_from_slice(b"id: ");
    buf.extend_from_slice(id_prefix.as_bytes());
    buf.extend_from_slice(b".");
    buf.extend_from_slice(index.to_string().as_bytes());
    buf.extend_from_slice(b"\ndata: ");
    buf.extend_from_slice(data);
    buf.extend_from_slice(b"\n\n");
    buf.freeze()
}

/// The mark that the answer is whole.
fn end_event(generation: &str, end: &EndOfGeneration) -> Bytes {
    let last = serde_json::json!({
        "id": generation,
        "object": "text_completion",
        "choices": [{"index": 0, "text": "", "finish_reason": end.finish_reason}],
        "usage": {"completion_tokens": end.tokens},
    });
    Bytes::from(format!("data: {last}\n\ndata: [DONE]\n\n"))
}

/// The mark that the answer is not whole.
fn error_event(json: &[u8]) -> Bytes {
    let mut buf = BytesMut::with_capacity(json.len() + 32);
    buf.extend_from_slice(b"event: error\ndata: ");
    buf.extend_from_slice(json);
    buf.extend_from_slice(b"\n\n");
    buf.freeze()
}
