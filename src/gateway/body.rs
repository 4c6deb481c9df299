//! Bodies of the responses to callers: complete ones and streams.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use super::{in_flight::InFlightGuard, memory::MemoryGrant};

/// Error of a stream that cannot be resumed. The caller's connection is closed
/// without the end of the body, so that the response does not look complete.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("step=stream: {reason}"))]
pub struct StreamError {
    /// Why the stream could not be resumed.
    pub reason: Box<str>,
}

/// An element of a streamed response.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes to forward.
    Data(Bytes),
    /// The end of a complete response. A channel that closes without it is a
    /// broken stream, since the sending task may have panicked.
    End,
}

/// Receiving end of a streamed response.
pub type ChunkReceiver = mpsc::Receiver<Result<Chunk, StreamError>>;

/// Body of a response to a caller.
#[derive(Debug)]
pub struct ResponseBody {
    content: Content,
    /// Counts the request as running until the body is dropped; `None` until
    /// [`Self::attach_running`] is called.
    running: Option<InFlightGuard>,
    /// Memory taken for the request until the body is dropped.
    memory: MemoryGrant,
}

#[derive(Debug)]
enum Content {
    /// The complete body; `None` once it has been sent, or if it is empty.
    Full(Option<Bytes>),
    /// A body that is sent as it arrives.
    Streamed(ChunkReceiver),
}

impl ResponseBody {
    /// Creates a body from its complete content.
    #[must_use]
    pub fn full(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|b| !b.is_empty());
        Self {
            content: Content::Full(bytes),
            running: None,
            memory: MemoryGrant::default(),
        }
    }

    /// Creates a body that is sent as its chunks arrive.
    #[must_use]
    pub fn streamed(chunks: ChunkReceiver) -> Self {
        Self {
            content: Content::Streamed(chunks),
            running: None,
            memory: MemoryGrant::default(),
        }
    }

    /// Counts the request as running until the body has been sent or the caller
    /// has disconnected.
    pub fn attach_running(&mut self, running: InFlightGuard) {
        self.running = Some(running);
    }

    /// Keeps the memory taken for the request until the body has been sent or the caller
    /// has disconnected.
    pub fn attach_memory(&mut self, memory: MemoryGrant) {
        self.memory = memory;
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match &mut self.get_mut().content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Content::Streamed(chunks) => {
                let chunk = std::task::ready!(chunks.poll_recv(cx));
                Poll::Ready(match chunk {
                    Some(Ok(Chunk::Data(bytes))) => Some(Ok(Frame::data(bytes))),
                    Some(Ok(Chunk::End)) => None,
                    Some(Err(e)) => Some(Err(e)),
                    None => Some(Err(StreamError {
                        reason: "the sending task ended early".into(),
                    })),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Content::Streamed(_) => SizeHint::default(),
        }
    }
}
