//! Bodies of answers to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use super::usage::Running;

/// A stream that cannot go on. Its connection is closed without the end of the
/// body, so that the answer does not look complete.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("step=stream: {reason}"))]
pub struct BrokenStream {
    /// What went wrong.
    pub reason: Box<str>,
}

/// A part of a live answer.
#[derive(Debug)]
pub enum Piece {
    /// Bytes to pass on.
    Data(Bytes),
    /// The answer is whole. A channel that closes without it is a broken stream:
    /// the task that filled it may have panicked.
    End,
}

/// Pieces of an answer on their way to the caller.
pub type Pieces = mpsc::Receiver<Result<Piece, BrokenStream>>;

/// Body of an answer.
#[derive(Debug)]
pub struct AnswerBody {
    content: Content,
    /// Counts the request until its answer has left.
    running: Option<Running>,
}

#[derive(Debug)]
enum Content {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// Pieces go out as they come.
    Live(Pieces),
}

impl AnswerBody {
    /// A body that is here whole.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|b| !b.is_empty());
        Self {
            content: Content::Whole(bytes),
            running: None,
        }
    }

    /// A body whose pieces go out as they come.
    #[must_use]
    pub fn live(pieces: Pieces) -> Self {
        Self {
            content: Content::Live(pieces),
            running: None,
        }
    }

    /// Counts the request until the body has left or its caller has.
    pub fn hold(&mut self, running: Running) {
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
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Content::Live(pieces) => {
                let piece = std::task::ready!(pieces.poll_recv(cx));
                Poll::Ready(match piece {
                    Some(Ok(Piece::Data(bytes))) => Some(Ok(Frame::data(bytes))),
                    Some(Ok(Piece::End)) => None,
                    Some(Err(e)) => Some(Err(e)),
                    None => Some(Err(BrokenStream {
                        reason: "its task ended".into(),
                    })),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Content::Live(_) => SizeHint::default(),
        }
    }
}
