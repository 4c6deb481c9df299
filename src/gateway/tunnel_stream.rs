//! Connections through another daemon, on which the end of the target's bytes is explicit.
//!
//! Load pattern: the daemon that passes an answer on is killed, or exits at its stop. Its operating
//! system closes the connection in order, as after an answer that its target has ended. So the bytes
//! of the target come in pieces, each behind its length, and a piece of length zero says that the
//! target has closed its connection in order. Daemons before this one send the bytes alone; their
//! end is never taken for that of the target.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf, BytesMut};
use futures::Stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// Largest piece, in bytes.
pub const MAX_PIECE_BYTES: usize = 8 * 1024;
/// Size of the length in front of each piece, in bytes.
pub const PIECE_HEAD_BYTES: usize = 2;

/// Returns the length in front of a piece of up to [`MAX_PIECE_BYTES`]; that of the end is zero.
#[must_use]
pub fn piece_head(len: usize) -> [u8; PIECE_HEAD_BYTES] {
    debug_assert!(len <= MAX_PIECE_BYTES);
    u16::try_from(len).unwrap_or(u16::MAX).to_be_bytes()
}

/// Connection to another daemon that passes on the bytes of a target. A read that finds the
/// connection ended, but not by the target, fails with [`io::ErrorKind::UnexpectedEof`].
#[derive(Debug)]
pub struct TunnelStream<S> {
    pieces: FramedRead<S, LengthDelimitedCodec>,
    /// Rest of the piece that is being read.
    rest: BytesMut,
    format: Format,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Format {
    Pieces,
    /// The target has closed its connection in order.
    Ended,
    /// Bytes without an explicit end.
    Bytes,
}

impl<S: AsyncRead> TunnelStream<S> {
    /// Returns a connection on which the target's bytes come in pieces.
    pub fn in_pieces(connection: S) -> Self {
        Self::new(connection, Format::Pieces)
    }

    /// Returns a connection on which the target's bytes come alone.
    pub fn without_end(connection: S) -> Self {
        Self::new(connection, Format::Bytes)
    }

    fn new(connection: S, format: Format) -> Self {
        let pieces = LengthDelimitedCodec::builder()
            .length_field_length(PIECE_HEAD_BYTES)
            .max_frame_length(MAX_PIECE_BYTES)
            .new_read(connection);
        let rest = BytesMut::new();
        Self {
            pieces,
            rest,
            format,
        }
    }

    /// Returns the connection to the other daemon.
    pub fn get_ref(&self) -> &S {
        self.pieces.get_ref()
    }
}

fn ended_early() -> io::Error {
    let reason = "the daemon that passes bytes on has ended";
    io::Error::new(io::ErrorKind::UnexpectedEof, reason)
}

impl<S: AsyncRead + Unpin> AsyncRead for TunnelStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        if self.format == Format::Bytes {
            let before = buf.filled().len();
            ready!(Pin::new(self.pieces.get_mut()).poll_read(cx, buf))?;
            let has_ended = buf.filled().len() == before;
            return Poll::Ready(if has_ended {
                Err(ended_early())
            } else {
                Ok(())
            });
        }
        if self.rest.is_empty() && self.format == Format::Pieces {
            match ready!(Pin::new(&mut self.pieces).poll_next(cx)) {
                Some(Ok(end)) if end.is_empty() => self.format = Format::Ended,
                Some(Ok(piece)) => self.rest = piece,
                Some(Err(e)) => return Poll::Ready(Err(e)),
                None => return Poll::Ready(Err(ended_early())),
            }
        }
        let len = self.rest.len().min(buf.remaining());
        buf.put_slice(&self.rest[..len]);
        self.rest.advance(len);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TunnelStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.pieces.get_mut()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.pieces.get_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.pieces.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.pieces.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.pieces.get_mut()).poll_shutdown(cx)
    }
}
