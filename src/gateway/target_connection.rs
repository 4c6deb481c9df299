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

use super::reach::Way;

/// Connection to a target.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    tcp: TcpStream,
    way: Way,
}

impl TargetConnection {
    /// Returns a connection of this daemon to the target.
    pub fn direct(tcp: TcpStream) -> Self {
        let way = Way::Direct;
        Self { tcp, way }
    }

    /// Returns a connection to another daemon that passes the bytes on.
    pub fn through_sibling(tcp: TcpStream) -> Self {
        let way = Way::Sibling;
        Self { tcp, way }
    }

    pub fn tcp(&self) -> &TcpStream {
        &self.tcp
    }

    pub fn way(&self) -> Way {
        self.way
    }

    /// Waits until the other end closes the connection, or sends something, on a connection that
    /// waits for nothing.
    pub async fn closed(&self) {
        // The connection has ended either way.
        let _ = self.tcp.peek(&mut [0]).await;
    }
}

impl AsyncRead for TargetConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for TargetConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
