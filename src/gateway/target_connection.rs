//! Connections to targets, direct ones and those through another daemon.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::{reach::Way, tunnel_stream::TunnelStream};

/// Connection to a target.
#[derive(Debug)]
pub(crate) enum TargetConnection {
    /// A connection of this daemon to the target.
    Direct(TcpStream),
    /// A connection to another daemon that passes the bytes on.
    Sibling(TunnelStream<TcpStream>),
}

impl TargetConnection {
    pub fn tcp(&self) -> &TcpStream {
        match self {
            Self::Direct(tcp) => tcp,
            Self::Sibling(tunnel) => tunnel.get_ref(),
        }
    }

    pub fn way(&self) -> Way {
        match self {
            Self::Direct(_) => Way::Direct,
            Self::Sibling(_) => Way::Sibling,
        }
    }

    /// Waits until the other end closes the connection, or sends something, on a connection that
    /// waits for nothing.
    pub async fn closed(&self) {
        // The connection has ended either way.
        let _ = self.tcp().peek(&mut [0]).await;
    }
}

impl AsyncRead for TargetConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Direct(tcp) => Pin::new(tcp).poll_read(cx, buf),
            Self::Sibling(tunnel) => Pin::new(tunnel).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for TargetConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Self::Direct(tcp) => Pin::new(tcp).poll_write(cx, buf),
            Self::Sibling(tunnel) => Pin::new(tunnel).poll_write(cx, buf),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Self::Direct(tcp) => Pin::new(tcp).poll_write_vectored(cx, bufs),
            Self::Sibling(tunnel) => Pin::new(tunnel).poll_write_vectored(cx, bufs),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Direct(tcp) => Pin::new(tcp).poll_flush(cx),
            Self::Sibling(tunnel) => Pin::new(tunnel).poll_flush(cx),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Direct(tcp) => Pin::new(tcp).poll_shutdown(cx),
            Self::Sibling(tunnel) => Pin::new(tunnel).poll_shutdown(cx),
        }
    }
}
