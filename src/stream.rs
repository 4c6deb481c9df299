//! Generations towards callers: each token once, in order, from one run.

use std::{convert::Infallible, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};

use crate::{
    answer::{Part, Parts},
    clock,
    engine::EndOfGeneration,
    refusal::Refusal,
    wire::GenerationId,
};

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

/// Passes an answer on as server-sent events.
pub(crate) fn events(
    parts: Parts,
    request: Box<str>,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Send {
    let state = (parts, request, Gaps::default());
    stream::unfold(state, |(mut parts, request, mut gaps)| async move {
        let buffered = parts.recv().await?;
        let event = match buffered.part {
            Part::Token {
                id_prefix,
                index,
                data,
            } => {
                gaps.note();
                token_event(&id_prefix, index, &data)
            }
            Part::Progress(tokens) => Bytes::from(format!(": progress {tokens}\n\n")),
            Part::End(generation, end) => end_event(&generation, &end),
            Part::Failed(refusal, tokens) => error_event(&refusal, &request, tokens),
        };
        Some((Ok(event), (parts, request, gaps)))
    })
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
fn error_event(refusal: &Refusal, request: &str, tokens: u64) -> Bytes {
    let json = refusal.to_json(request, Some(tokens));
    let mut buf = BytesMut::with_capacity(json.len() + 32);
    buf.extend_from_slice(b"event: error\ndata: ");
    buf.extend_from_slice(&json);
    buf.extend_from_slice(b"\n\n");
    buf.freeze()
}
