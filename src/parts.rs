//! Channel that carries the parts of an answer to the caller, with a limit on the
//! bytes of tokens that it buffers, so that a slow caller does not use up memory.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::{engine::EndOfGeneration, refusal::Refusal, run::Run, wire::GenerationId};

/// A part of an answer. The caller receives the parts in the order in which they
/// are sent.
pub(crate) enum Part {
    /// One token.
    Token {
        /// Prefix of its event id; `.` and the index follow.
        id_prefix: Arc<str>,
        /// Position in the generation, from 0.
        index: u64,
        /// JSON text of its event.
        data: Bytes,
    },
    /// Number of tokens generated so far, for an answer that is delivered whole.
    Progress(u64),
    /// The end of a whole answer, with the id of its run.
    End(GenerationId, EndOfGeneration),
    /// The end of an answer that cannot be completed, with the number of tokens
    /// delivered.
    Failed(Refusal, u64),
}

/// A part in the buffer. Dropping it returns its bytes to the buffer.
pub(crate) struct BufferedPart {
    /// The part.
    pub part: Part,
    /// Permits for the bytes that it occupies in the buffer; `None` if it does not
    /// count towards the limit.
    _permit: Option<OwnedSemaphorePermit>,
}

/// Receiver of the parts of one answer.
pub(crate) type PartReceiver = mpsc::UnboundedReceiver<BufferedPart>;

/// Sender of the parts of one answer.
pub(crate) struct PartSender {
    tx: mpsc::UnboundedSender<BufferedPart>,
    /// One permit for each byte that may still be buffered.
    free_bytes: Arc<Semaphore>,
    /// Maximum number of bytes of tokens that are buffered.
    max_bytes: usize,
}

impl PartSender {
    /// Opens a channel that buffers at most `max_bytes` bytes of tokens.
    pub fn open(max_bytes: usize) -> (Self, PartReceiver) {
        let (tx, parts) = mpsc::unbounded_channel();
        let free_bytes = Arc::new(Semaphore::new(max_bytes));
        (
            Self {
                tx,
                free_bytes,
                max_bytes,
            },
            parts,
        )
    }

    /// Returns the limit on buffered bytes of tokens.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Waits until the receiver is dropped, which means that the caller disconnected.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Sends a part that does not count towards the buffer limit.
    pub fn send(&self, part: Part) {
        let _ = self.tx.send(BufferedPart {
            part,
            _permit: None,
        });
    }

    /// Sends a token of `len` bytes. If the buffer is full, closes the connection to
    /// the engine and waits until half of the buffer is free, so that neither the
    /// daemon nor the engine buffers tokens for a slow caller.
    pub async fn send_token(&self, run: &mut Run, part: Part, len: usize) {
        let len = u32::try_from(len.min(self.max_bytes)).unwrap_or(u32::MAX);
        let mut permit = Arc::clone(&self.free_bytes)
            .try_acquire_many_owned(len)
            .ok();
        if permit.is_none() {
            log::info!("event=caller_slow generation={}", run.id());
            metrics::counter!("bluebell_slow_callers").increment(1);
            run.disconnect();
            let half = u32::try_from(self.max_bytes / 2).unwrap_or(u32::MAX);
            drop(self.free_bytes.acquire_many(half).await);
            permit = Arc::clone(&self.free_bytes)
                .acquire_many_owned(len)
                .await
                .ok();
        }
        let buffered = BufferedPart {
            part,
            _permit: permit,
        };
        let _ = self.tx.send(buffered);
    }
}
