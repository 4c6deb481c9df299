//! Bodies of the responses to callers: complete ones and streams.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use super::usage::Running;

/// Error of a stream that cannot be resumed. The caller's connection is closed
/// without the end of the body, so that the response does not look complete.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("step=stream: {reason}"))]
pub struct BrokenStream {
    /// Why the stream could not be resumed.
    pub reason: Box<str>,
}

/// An element of a streamed response.
#[derive(Debug)]
pub enum Piece {
    /// Bytes to forward.
    Data(Bytes),
    /// The end of a complete response. A channel that closes without it is a
    /// broken stream, since the sending task may have panicked.
    End,
}

/// Receiving end of a streamed response.
pub type PieceReceiver = mpsc::Receiver<Result<Piece, BrokenStream>>;

/// Body of a response to a caller.
#[derive(Debug)]
pub struct AnswerBody {
    content: Content,
    /// Counts the request as running until the body is dropped.
    running: Option<Running>,
}

#[derive(Debug)]
enum Content {
    /// The complete body; `None` once it has been sent, or if it is empty.
    Full(Option<Bytes>),
    /// A body that is sent as it arrives.
    Streamed(PieceReceiver),
}

impl AnswerBody {
    /// Creates a body from its complete content.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|b| !b.is_empty());
        Self {
            content: Content::Full(bytes),
            running: None,
        }
    }

    /// Creates a body that is sent as its pieces arrive.
    #[must_use]
    pub fn streamed(pieces: PieceReceiver) -> Self {
        Self {
            content: Content::Streamed(pieces),
            running: None,
        }
    }

    /// Counts the request as running until the body has been sent or the caller
    /// has disconnected.
    pub fn attach_running(&mut self, running: Running) {
        self.running = Some(running);
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        match &mut self.get_mut().content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Content::Streamed(pieces) => {
                let piece = std::task::ready!(pieces.poll_recv(cx));
                Poll::Ready(match piece {
                    Some(Ok(Piece::Data(bytes))) => Some(Ok(Frame::data(bytes))),
                    Some(Ok(Piece::End)) => None,
                    Some(Err(e)) => Some(Err(e)),
                    None => Some(Err(BrokenStream {
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
