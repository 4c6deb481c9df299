//! Bounds the bytes that have arrived on connections of clients and have not been read.
//!
//! Load pattern: many clients send requests without reading the responses, or bodies that are
//! waiting for memory. The daemon reads no more from them, and what arrives waits in the sockets,
//! also in those of connections that are not accepted yet. It counts as memory of the process.

use std::{io, net::SocketAddr, sync::Arc, sync::OnceLock};

use tokio::net::{TcpListener, TcpSocket};

use super::in_flight::{CountGuard, InFlightCounter};

/// Size of the receive buffer of a connection as the operating system is told, in bytes; some
/// 12 KiB can wait in it. Set on the listening socket: set after a connection has been accepted,
/// it comes too late for what arrives before, and shrinks the window while it is in use, after
/// which 0.1 MB/s was measured instead of 350.
const SMALL_BUFFER_BYTES: u32 = 8 * 1024;
/// Size for a connection with a large body; some 96 KiB can wait in it.
const LARGE_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes that can wait in a large buffer.
const LARGE_UNREAD_BYTES: usize = 96 * 1024;
/// Share of the process's memory for large buffers.
const LARGE_SHARE: f64 = 0.08;
const BYTES_PER_MB: f64 = 1e6;
/// Bytes that can wait in a small buffer.
const SMALL_UNREAD_BYTES: usize = 12 * 1024;
/// Share of the process's memory for connections that are not accepted yet.
const BACKLOG_SHARE: f64 = 0.04;
/// Bounds on the number of connections that wait until they are accepted: the least is enough for
/// callers that come back at once after a short stall, the greatest is a common default.
const MIN_BACKLOG: usize = 128;
const MAX_BACKLOG: usize = 1024;

/// Binds a port of a process with `memory_mb` MB, whose connections have small receive buffers.
///
/// # Errors
/// Returns the error of the operating system.
pub(crate) fn listen(address: SocketAddr, memory_mb: u64) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES)?;
    socket.bind(address)?;
    let backlog = share_of(memory_mb, BACKLOG_SHARE) / SMALL_UNREAD_BYTES;
    let backlog = backlog.clamp(MIN_BACKLOG, MAX_BACKLOG);
    socket.listen(u32::try_from(backlog).unwrap_or(u32::MAX))
}

/// Returns how many connections may have a large receive buffer, given the memory of the process
/// in MB.
#[must_use]
pub fn max_large_buffers(memory_mb: u64) -> usize {
    share_of(memory_mb, LARGE_SHARE) / LARGE_UNREAD_BYTES
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "not negative, far below 2^52, and saturates"
)]
fn share_of(memory_mb: u64, share: f64) -> usize {
    (memory_mb as f64 * BYTES_PER_MB * share) as usize
}

/// Whether one connection is to have a large receive buffer. It keeps it until it ends: a buffer
/// that shrinks stalls the sender. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceiveBuffer(Arc<OnceLock<CountGuard>>);

impl ReceiveBuffer {
    /// Lets the connection have a large buffer, unless `max` others in `large` have one.
    pub fn enlarge(&self, large: &InFlightCounter, max: usize) {
        if self.0.get().is_none() && large.count() < max {
            // One request at a time is handled on a connection.
            let _ = self.0.set(large.start());
        }
    }

    /// Returns the size of the buffer, in bytes; `None` if it is a small one.
    pub fn large_size(&self) -> Option<usize> {
        self.0.get().map(|_| LARGE_BUFFER_BYTES)
    }
}
