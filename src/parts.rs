//! Parts of an answer on their way to the caller, and the bound on how many
//! bytes of them wait.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::{engine::EndOfGeneration, refusal::Refusal, run::Run, wire::GenerationId};

/// A part of an answer, in the order in which the caller gets them.
pub(crate) enum Part {
    /// One token, with the front part of its event id.
    Token {
        id_prefix: Arc<str>,
        index: u64,
        data: Bytes,
    },
    /// Tokens made so far of an answer that is delivered whole.
    Progress(u64),
    /// The answer is whole.
    End(GenerationId, EndOfGeneration),
    /// The answer will never be whole; so many tokens were delivered.
    Failed(Refusal, u64),
}

/// A part on its way; dropping it gives its room in the buffer back.
pub(crate) struct Buffered {
    pub part: Part,
    _room: Option<OwnedSemaphorePermit>,
}

/// Parts on their way to the caller.
pub(crate) type Parts = mpsc::UnboundedReceiver<Buffered>;

/// Where the parts of one answer go.
pub(crate) struct Outlet {
    tx: mpsc::UnboundedSender<Buffered>,
    /// Bytes that may still be buffered.
    room: Arc<Semaphore>,
    most: usize,
}

impl Outlet {
    /// Opens a way to the caller that buffers at most `most` bytes of tokens.
    pub fn open(most: usize) -> (Self, Parts) {
        let (tx, parts) = mpsc::unbounded_channel();
        let room = Arc::new(Semaphore::new(most));
        (Self { tx, room, most }, parts)
    }

    /// Most bytes of tokens that are buffered.
    pub fn most(&self) -> usize {
        self.most
    }

    /// Ends once the caller has left.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Sends a part that takes no room in the buffer.
    pub fn send(&self, part: Part) {
        let _ = self.tx.send(Buffered { part, _room: None });
    }

    /// Sends a token. While the buffer is full the engine's connection is given
    /// up, so that neither side holds memory for a slow caller.
    pub async fn send_token(&self, run: &mut Run, part: Part, len: usize) {
        let len = u32::try_from(len.min(self.most)).unwrap_or(u32::MAX);
        let mut taken = Arc::clone(&self.room).try_acquire_many_owned(len).ok();
        if taken.is_none() {
            log::info!("event=caller_slow generation={}", run.id());
            metrics::counter!("bluebell_slow_callers").increment(1);
            run.let_go();
            let half = u32::try_from(self.most / 2).unwrap_or(u32::MAX);
            drop(self.room.acquire_many(half).await);
            taken = Arc::clone(&self.room).acquire_many_owned(len).await.ok();
        }
        let buffered = Buffered { part, _room: taken };
        let _ = self.tx.send(buffered);
    }
}
