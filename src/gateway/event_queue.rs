//! Bounds the memory of a stream's events on their way from its engine to its caller.
//!
//! Load pattern: engines send bytes that end no event, or large events, while callers read
//! slowly or not at all.

use std::{sync::Arc, time::Duration};

use tokio::sync::{Semaphore, mpsc};

use super::{
    body::{Chunk, StreamError},
    events::{Event, EventSplitter, MAX_EVENT_BYTES},
    memory::{EVENT_QUEUE_BYTES, MemoryGrant, MemoryPool, SMALL_BYTES, attach},
};

/// Longest wait for memory for an incomplete event. Events that wait for each other end it
/// one by one.
const EVENT_MEMORY_TIMEOUT: Duration = Duration::from_secs(1);

/// Events of one run that have not been forwarded, and the memory that they take.
#[derive(Default)]
pub(super) struct EventBuffer {
    pub splitter: EventSplitter,
    memory: MemoryGrant,
}

impl EventBuffer {
    /// Removes and returns the next complete event, with the memory taken for a large one.
    pub fn next_event(&mut self) -> Option<(Event, MemoryGrant)> {
        let event = self.splitter.next_event()?;
        let is_large = event.raw.len() > SMALL_BYTES;
        let memory = is_large.then(|| std::mem::take(&mut self.memory));
        Some((event, memory.unwrap_or_default()))
    }

    /// Takes memory for what is left of an incomplete event. Fails if the event is larger
    /// than [`MAX_EVENT_BYTES`], or if other answers take the memory for long.
    pub async fn take_memory(&mut self, pool: &MemoryPool) -> Result<(), Box<str>> {
        let len = self.splitter.len();
        if len > MAX_EVENT_BYTES {
            return Err(format!("an event is larger than {MAX_EVENT_BYTES} bytes").into());
        }
        let capacity = self.splitter.capacity();
        let needed = if capacity > SMALL_BYTES { capacity } else { 0 };
        let taking = self.memory.resize(pool, needed);
        let taken = tokio::time::timeout(EVENT_MEMORY_TIMEOUT, taking).await;
        match taken {
            Ok(true) => Ok(()),
            Ok(false) | Err(_) => Err(format!("no memory for an event of {len} bytes").into()),
        }
    }
}

/// Sends the events of a stream to the task that writes them to the caller. Bounds the bytes
/// that wait there.
pub(super) struct EventSender {
    pub chunks: mpsc::Sender<Result<Chunk, StreamError>>,
    room: Arc<Semaphore>,
}

impl EventSender {
    pub fn new(chunks: mpsc::Sender<Result<Chunk, StreamError>>) -> Self {
        Self {
            chunks,
            room: Arc::new(Semaphore::new(EVENT_QUEUE_BYTES)),
        }
    }

    /// Waits until there is room for an event and queues it. Fails once the caller has
    /// disconnected.
    pub async fn send(&self, event: Event, memory: MemoryGrant) -> Result<(), ()> {
        let len = event.raw.len().min(EVENT_QUEUE_BYTES);
        let permits = u32::try_from(len).map_err(|_| ())?;
        let room = self.room.clone().acquire_many_owned(permits);
        let room = room.await.map_err(|_| ())?;
        let chunk = Chunk::Data(attach(event.raw, (room, memory)));
        self.chunks.send(Ok(chunk)).await.map_err(|_| ())
    }
}
