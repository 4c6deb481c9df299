//! Generations towards callers: each token once, in order, from one run.

use std::{convert::Infallible, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};

use crate::{
    clock,
    engine::EndOfGeneration,
    parts::{Part, Parts},
    wire::GenerationId,
};

/// Gaps above this count as stalls.
const STALL_GAP: Duration = Duration::from_millis(200);

/// Bytes after which a frame towards the caller takes no further events.
const FRAME_BYTES: usize = 16 * 1024;
/// Bytes of a token's event besides its id and data.
const EVENT_OVERHEAD: usize = 40;

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
        let mut buf = BytesMut::new();
        let mut next = Some(parts.recv().await?);
        // What is ready goes out together: one frame and one write for all.
        while let Some(buffered) = next {
            write_event(&mut buf, buffered.part, &request, &mut gaps);
            next = if buf.len() < FRAME_BYTES {
                parts.try_recv().ok()
            } else {
                None
            };
        }
        Some((Ok(buf.freeze()), (parts, request, gaps)))
    })
}

fn write_event(buf: &mut BytesMut, part: Part, request: &str, gaps: &mut Gaps) {
    match part {
        Part::Token {
            id_prefix,
            index,
            data,
        } => {
            gaps.note();
            write_token(buf, &id_prefix, index, &data);
        }
        Part::Progress(tokens) => write_text(buf, &format!(": progress {tokens}\n\n")),
        Part::End(generation, end) => write_text(buf, &end_event(&generation, &end)),
        Part::Failed(refusal, tokens) => {
            let json = refusal.to_json(request, Some(tokens));
            write_text(buf, "event: error\ndata: ");
            buf.extend_from_slice(&json);
            write_text(buf, "\n\n");
        }
    }
}

fn write_text(buf: &mut BytesMut, text: &str) {
    buf.extend_from_slice(text.as_bytes());
}

/// Gaps between the tokens of one stream, for the metrics.
struct Gaps {
    last: Option<clock::BootTime>,
    all: metrics::Histogram,
    stalls: metrics::Histogram,
}

impl Default for Gaps {
    fn default() -> Self {
        Self {
            last: None,
            all: metrics::histogram!("bluebell_token_gap_seconds"),
            stalls: metrics::histogram!("bluebell_stall_seconds"),
        }
    }
}

impl Gaps {
    fn note(&mut self) {
        let now = clock::now();
        if let Some(last) = self.last.replace(now) {
            let gap = now.saturating_sub(last);
            self.all.record(gap);
            if let Some(stall) = gap.checked_sub(STALL_GAP) {
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

/// The mark that the answer is whole.
fn end_event(generation: &str, end: &EndOfGeneration) -> String {
    let last = serde_json::json!({
        "id": generation,
        "object": "text_completion",
        "choices": [{"index": 0, "text": "", "finish_reason": end.finish_reason}],
        "usage": {"completion_tokens": end.tokens},
    });
    format!("data: {last}\n\ndata: [DONE]\n\n")
}
