//! Delivers generations to callers as server-sent events: each token once, in
//! order, and from one run only.

use std::{convert::Infallible, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};

use crate::{
    clock,
    engine::EndOfGeneration,
    parts::{Part, PartReceiver},
    wire::GenerationId,
};

/// Time between two tokens above which the excess is recorded as a stall.
const STALL_THRESHOLD: Duration = Duration::from_millis(200);

/// Size at which no further event is added to a frame for the caller.
const FRAME_TARGET_BYTES: usize = 16 * 1024;
/// Bytes to reserve for a token's event besides its id prefix and data.
const EVENT_OVERHEAD: usize = 40;

/// Position in a generation: the next token to deliver to the caller.
///
/// Invariant: only token `next` of `generation` is delivered, so each token is
/// delivered once, in order, and from one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    generation: GenerationId,
    next: u64,
}

/// Decision about a token that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Deliver the token.
    Deliver,
    /// Drop the token: it was delivered before, or belongs to another run.
    Drop,
    /// Resume at the cursor: tokens before this one are missing.
    Gap,
}

impl Cursor {
    /// Creates a cursor at the first token of a run.
    #[must_use]
    pub fn new(generation: impl Into<GenerationId>) -> Self {
        Self::at(generation, 0)
    }

    /// Creates a cursor at token `next` of a run.
    #[must_use]
    pub fn at(generation: impl Into<GenerationId>, next: u64) -> Self {
        let generation = generation.into();
        Self { generation, next }
    }

    /// Returns the id of the run whose tokens are delivered.
    #[must_use]
    pub fn generation(&self) -> &str {
        &self.generation
    }

    /// Returns the index of the next token to deliver, which for a cursor created by
    /// [`Cursor::new`] is also the number of tokens delivered.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Decides what to do with a token, and advances the cursor if it is to be delivered.
    pub fn accept(&mut self, generation: &str, index: u64) -> Verdict {
        if generation != &*self.generation || index < self.next {
            return Verdict::Drop;
        }
        if index > self.next {
            return Verdict::Gap;
        }
        self.next += 1;
        Verdict::Deliver
    }

    /// Switches to another run, if no token has been delivered yet.
    ///
    /// Returns `false`, and changes nothing, once a token has been delivered.
    #[must_use]
    pub fn restart(&mut self, generation: impl Into<GenerationId>) -> bool {
        if self.next > 0 {
            return false;
        }
        self.generation = generation.into();
        true
    }
}

/// Returns an answer as a stream of server-sent events.
pub(crate) fn events(
    parts: PartReceiver,
    request_id: Box<str>,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Send {
    let state = (parts, request_id, GapMetrics::default());
    stream::unfold(state, |(mut parts, request_id, mut gaps)| async move {
        let mut buf = BytesMut::new();
        let mut next = Some(parts.recv().await?);
        // Parts that are already available share one frame, and so one write.
        while let Some(buffered) = next {
            write_event(&mut buf, buffered.part, &request_id, &mut gaps);
            next = if buf.len() < FRAME_TARGET_BYTES {
                parts.try_recv().ok()
            } else {
                None
            };
        }
        Some((Ok(buf.freeze()), (parts, request_id, gaps)))
    })
}

/// Appends a part as a server-sent event, or as a comment for progress.
fn write_event(buf: &mut BytesMut, part: Part, request_id: &str, gaps: &mut GapMetrics) {
    match part {
        Part::Token {
            id_prefix,
            index,
            data,
        } => {
            gaps.record();
            write_token(buf, &id_prefix, index, &data);
        }
        Part::Progress(tokens) => write_text(buf, &format!(": progress {tokens}\n\n")),
        Part::End(generation, end) => write_text(buf, &end_event(&generation, &end)),
        Part::Failed(refusal, tokens) => {
            let json = refusal.to_json(request_id, Some(tokens));
            write_text(buf, "event: error\ndata: ");
            buf.extend_from_slice(&json);
            write_text(buf, "\n\n");
        }
    }
}

/// Appends text.
fn write_text(buf: &mut BytesMut, text: &str) {
    buf.extend_from_slice(text.as_bytes());
}

/// Metrics of the times between successive tokens of one stream.
struct GapMetrics {
    last_token_at: Option<clock::BootTime>,
    gaps: metrics::Histogram,
    stalls: metrics::Histogram,
}

impl Default for GapMetrics {
    fn default() -> Self {
        Self {
            last_token_at: None,
            gaps: metrics::histogram!("bluebell_token_gap_seconds"),
            stalls: metrics::histogram!("bluebell_stall_seconds"),
        }
    }
}

impl GapMetrics {
    /// Records the time since the previous token, for a token that is sent now.
    fn record(&mut self) {
        let now = clock::now();
        if let Some(last) = self.last_token_at.replace(now) {
            let gap = now.saturating_sub(last);
            self.gaps.record(gap);
            if let Some(stall) = gap.checked_sub(STALL_THRESHOLD) {
                self.stalls.record(stall);
            }
        }
    }
}

/// Appends one token as a server-sent event.
fn write_token(buf: &mut BytesMut, id_prefix: &str, index: u64, data: &Bytes) {
    buf.reserve(id_prefix.len() + data.len() + EVENT_OVERHEAD);
    write_text(buf, "id: ");
    write_text(buf, id_prefix);
    write_text(buf, ".");
    write_text(buf, itoa::Buffer::new().format(index));
    write_text(buf, "\ndata: ");
    buf.extend_from_slice(data);
    write_text(buf, "\n\n");
}

/// Returns the last events of a whole answer: usage and `[DONE]`.
fn end_event(generation: &str, end: &EndOfGeneration) -> String {
    let last = serde_json::json!({
        "id": generation,
        "object": "text_completion",
        "choices": [{"index": 0, "text": "", "finish_reason": end.finish_reason}],
        "usage": {"completion_tokens": end.tokens},
    });
    format!("data: {last}\n\ndata: [DONE]\n\n")
}
