//! Open connections of one port: bounds their number and the time that each may wait.

use std::{
    collections::BTreeMap,
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};
use tokio_util::sync::CancellationToken;

use super::{
    body_pace::PaceLimits,
    connections::{ConnectionState, ConnectionTimes, EvictionRule, connection_to_evict},
    in_flight::InFlightCounter,
    receive_buffer::ReceiveBuffer,
};
use crate::clock;

/// Interval at which a full port looks for a connection that gives way.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// One connection as its port and its task see it. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Monitor {
    state: Arc<Mutex<ConnectionState>>,
    /// Requests in progress on the connection.
    pub in_flight: InFlightCounter,
    /// Cancelled when the connection gives way to another one.
    pub evicted: CancellationToken,
    pub receive_buffer: ReceiveBuffer,
    /// Whether the end of the connection is the end of the response in progress. Nothing follows
    /// such a response, so it stays set.
    ends_response: Arc<AtomicBool>,
}

impl Monitor {
    fn new() -> Self {
        Self {
            state: Arc::new(Mutex::new(ConnectionState::new(clock::now()))),
            in_flight: InFlightCounter::default(),
            evicted: CancellationToken::new(),
            receive_buffer: ReceiveBuffer::default(),
            ends_response: Arc::default(),
        }
    }

    /// Records that the end of the connection is the end of the response that follows.
    pub fn record_close_delimited(&self) {
        self.ends_response.store(true, Ordering::Relaxed);
    }

    /// Records that a head is complete.
    pub fn record_request(&self) {
        self.state().record_request();
    }

    /// Returns the time that is left until the connection is to be closed; `None` while
    /// nothing bounds it.
    pub fn time_left(&self, times: &ConnectionTimes) -> Option<Duration> {
        let expires_at = self.state().expires_at(self.is_in_request(), times);
        expires_at.map(|at| at.saturating_sub(clock::now()))
    }

    /// Returns whether the peer reads a response too slowly.
    pub fn is_read_too_slowly(&self, limits: &PaceLimits, has_shortage: bool) -> bool {
        let state = self.state();
        state.is_read_too_slowly(limits, has_shortage, clock::now())
    }

    fn is_in_request(&self) -> bool {
        self.in_flight.count() > 0
    }

    fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Open connections of one port. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionSet {
    open: Arc<Mutex<Connections>>,
    freed: Arc<Notify>,
    /// Whether a new connection waits since no other one gives way.
    is_blocked: Arc<AtomicBool>,
}

#[derive(Debug, Default)]
struct Connections {
    added: u64,
    by_number: BTreeMap<u64, Monitor>,
}

impl ConnectionSet {
    /// Adds a connection. While there are `max` of them, one gives way by
    /// `rule`; without one, calls `on_full` and waits.
    pub async fn add(&self, max: usize, rule: &EvictionRule, on_full: impl Fn()) -> OpenConnection {
        while self.lock().by_number.len() >= max {
            if !self.evict(rule) {
                on_full();
                self.is_blocked.store(true, Ordering::Relaxed);
                let freed = self.freed.notified();
                let _ = tokio::time::timeout(FULL_CHECK_INTERVAL, freed).await;
            }
        }
        self.is_blocked.store(false, Ordering::Relaxed);
        let mut open = self.lock();
        open.added += 1;
        let (number, monitor) = (open.added, Monitor::new());
        open.by_number.insert(number, monitor.clone());
        drop(open);
        OpenConnection {
            set: self.clone(),
            number,
            monitor,
        }
    }

    /// Returns whether a new connection waits since no other one gives way.
    pub fn is_blocked(&self) -> bool {
        self.is_blocked.load(Ordering::Relaxed)
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.lock().by_number.len()
    }

    /// Closes the connection that gives way. Returns whether there was one.
    fn evict(&self, rule: &EvictionRule) -> bool {
        let now = clock::now();
        let mut open = self.lock();
        let states = open.by_number.iter().map(|(number, monitor)| {
            let in_request = monitor.is_in_request();
            (*number, in_request, *monitor.state())
        });
        let Some(number) = connection_to_evict(states, rule, now) else {
            return false;
        };
        if let Some(monitor) = open.by_number.remove(&number) {
            monitor.evicted.cancel();
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection of a [`ConnectionSet`] until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    set: ConnectionSet,
    number: u64,
    pub monitor: Monitor,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.set.lock().by_number.remove(&self.number);
        self.set.freed.notify_one();
    }
}

/// TCP connection that records when bytes go in either direction.
pub(crate) struct MonitoredTcp {
    tcp: TcpStream,
    monitor: Monitor,
    /// Whether the receive buffer was enlarged.
    has_large_buffer: bool,
    /// Whether closing the connection resets it, also when the process is killed. Set from before
    /// the first byte of a response that the end of the connection ends until its last byte has
    /// been written, so that a part of it does not look whole.
    resets_on_close: bool,
}

impl MonitoredTcp {
    pub fn new(tcp: TcpStream, monitor: Monitor) -> Self {
        Self {
            tcp,
            monitor,
            has_large_buffer: false,
            resets_on_close: false,
        }
    }

    /// Lets a close reset the connection if its end is the end of the response in progress.
    fn adapt_close(&mut self) -> io::Result<()> {
        if !self.resets_on_close && self.monitor.ends_response.load(Ordering::Relaxed) {
            self.tcp.set_zero_linger()?;
            self.resets_on_close = true;
        }
        Ok(())
    }

    /// Enlarges the receive buffer once that is wanted. Without, the connection is slower.
    fn adapt_receive_buffer(&mut self) {
        if self.has_large_buffer {
            return;
        }
        if let Some(size) = self.monitor.receive_buffer.large_size() {
            self.has_large_buffer = true;
            let _ = SockRef::from(&self.tcp).set_recv_buffer_size(size);
        }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let bytes = match written {
            Poll::Ready(Ok(len)) => *len,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        let mut state = self.monitor.state();
        let now = clock::now();
        state.record_write(bytes > 0, now);
        if bytes > 0 {
            state.record_written(bytes, now);
        }
    }
}

impl AsyncRead for MonitoredTcp {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.adapt_receive_buffer();
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.tcp).poll_read(cx, buf))?;
        if buf.filled().len() > filled {
            let in_request = self.monitor.is_in_request();
            self.monitor.state().record_read(in_request, clock::now());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MonitoredTcp {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.adapt_close()?;
        let written = Pin::new(&mut self.tcp).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.adapt_close()?;
        let written = Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once it has written all that it has.
        ready!(Pin::new(&mut self.tcp).poll_flush(cx))?;
        self.monitor.state().record_flush(clock::now());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper shuts a connection down once it has flushed whole responses, and drops it when a
        // body fails.
        if self.resets_on_close {
            SockRef::from(&self.tcp).set_linger(None)?;
            self.resets_on_close = false;
        }
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
