//! Sends one request to one target over a new connection.
//!
//! Connections are not reused: the peer of an idle one may have vanished, or a
//! late response to an earlier request may be buffered on it, and neither can be
//! detected before the connection is used.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    client::conn::http1,
    ext::on_informational,
};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle};

use super::{
    engines::Dial,
    framing::Framing,
    memory::MemoryPool,
    reach::Way,
    target_connection::TargetConnection,
    whole_body::{BodyError, Shortage, read_whole},
};
use crate::http::is_valid_status;

/// Time limit for establishing a connection: four round trips between regions,
/// and some time for a target that is slow to accept.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time from the loss of a connection to a process that crashes until its port is
/// closed.
const CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Idle time before the first TCP keepalive probe, and interval between probes.
/// A target that vanished is detected within three of these.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for the acknowledgement of sent bytes: several retransmissions
/// between regions.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Size up to which a body fits into the receive buffer of a target that does not read, in
/// bytes. `TCP_USER_TIMEOUT` also ends connections whose peer responds but has no room.
const MAX_UNREAD_BODY_BYTES: u64 = 16 * 1024;
/// Maximum size of a response head, and of the bytes of a body that are read at once.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Error of a request for which no response head arrived.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// No connection was established, so nothing was sent.
    #[snafu(display("step=connect peer={peer}: {reason}"))]
    Connect {
        /// Address of the target.
        peer: SocketAddr,
        /// Error of the operating system, or `timeout`.
        reason: Box<str>,
        /// Whether no process listens at the address, as far as the network says.
        is_refused: bool,
    },
    /// The connection failed after it was established; the request may have
    /// reached the target.
    #[snafu(display("step={step} peer={peer}: {source}"))]
    Lost {
        /// Step that failed.
        step: &'static str,
        /// Address of the target.
        peer: SocketAddr,
        /// Error of the HTTP connection.
        source: hyper::Error,
    },
    /// The peer sent bytes that are not a final response; the request may have run.
    #[snafu(display("step=status peer={peer} status={status}"))]
    NoResponse {
        /// Address of the target.
        peer: SocketAddr,
        /// Status that it sent.
        status: u16,
    },
}

impl ExchangeError {
    /// Returns whether an established connection failed, as opposed to a peer that sent
    /// something other than a response.
    pub(crate) fn is_disconnect(&self) -> bool {
        matches!(self, Self::Lost { source, .. } if !source.is_parse())
    }
}

/// How a response reaches this daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerSource {
    /// What marks the end of its body.
    pub framing: Framing,
    /// Way of its connection.
    pub way: Way,
}

/// A response whose body has not been read yet. Dropping it closes the
/// connection.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Response head, and body as it arrives.
    pub response: Response<Incoming>,
    /// How the response reaches this daemon.
    pub source: AnswerSource,
    connection: ConnectionTask,
}

/// Task that drives an HTTP connection; aborted on drop, which closes the
/// connection.
#[derive(Debug)]
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Exchange {
    /// Sends a request over an established connection and waits for the response head.
    ///
    /// # Errors
    /// See [`ExchangeError`].
    pub(crate) async fn open_over(
        connection: TargetConnection,
        peer: SocketAddr,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Self, ExchangeError> {
        let way = connection.way();
        // Status of the last interim response; 0 if there was none.
        let interim = Arc::new(AtomicU16::new(0));
        let interim_seen = interim.clone();
        on_informational(&mut req, move |res| {
            interim_seen.store(res.status().as_u16(), Ordering::Relaxed);
        });
        if req.body().size_hint().lower() > MAX_UNREAD_BODY_BYTES {
            // The request's deadline bounds the wait instead.
            let socket = SockRef::from(connection.tcp());
            log_socket_error(peer, socket.set_tcp_user_timeout(None));
        }
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(connection))
            .await;
        let (mut sender, connection) = handshake.context(LostSnafu {
            step: "handshake",
            peer,
        })?;
        let driver = async move {
            if let Err(e) = connection.await {
                log::debug!(
                    "event=connection_ended peer={peer} error={:?}",
                    e.to_string()
                );
            }
        };
        let connection = ConnectionTask(tokio::spawn(driver));
        let response = sender.send_request(req).await;
        let interim = interim.load(Ordering::Relaxed);
        let invalid_status = match &response {
            Ok(response) => {
                let status = response.status();
                (!is_valid_status(status)).then_some(status.as_u16())
            }
            // The interim response was its last, so this is no crash before an answer.
            Err(_) => (interim != 0).then_some(interim),
        };
        if let Some(status) = invalid_status {
            return NoResponseSnafu { peer, status }.fail();
        }
        let mut response = response.context(LostSnafu { step: "send", peer })?;
        // hyper reuses the request's map, which may have room for thousands of fields and would
        // be kept by the caller's connection.
        let headers = std::mem::take(response.headers_mut());
        response.headers_mut().extend(headers);
        let framing = Framing::of(&response);
        Ok(Self {
            source: AnswerSource { framing, way },
            response,
            connection,
        })
    }

    /// Reads the whole body, up to `max_bytes`, with memory from `pool`. Calls `on_shortage` while
    /// it waits for memory.
    ///
    /// # Errors
    /// Fails if the body ends early, is larger than `max_bytes` or finds no memory.
    pub(crate) async fn collect(
        self,
        max_bytes: usize,
        pool: &MemoryPool,
        on_shortage: impl Fn(),
    ) -> Result<Response<Bytes>, BodyError> {
        let (head, body) = self.response.into_parts();
        let body = read_whole(body, max_bytes, pool, Shortage::Wait, on_shortage).await;
        drop(self.connection);
        Ok(Response::from_parts(head, body?))
    }
}

/// Opens a TCP connection to a target.
pub(crate) async fn connect(dial: &Dial, peer: SocketAddr) -> Result<TcpStream, ExchangeError> {
    let connect_error = |reason: String, is_refused| ExchangeError::Connect {
        peer,
        reason: reason.into(),
        is_refused,
    };
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, dial(peer));
    let tcp = match connecting.await {
        Ok(connected) => connected.map_err(|e| {
            let is_refused = e.kind() == io::ErrorKind::ConnectionRefused;
            connect_error(e.to_string(), is_refused)
        })?,
        Err(_) => return Err(connect_error("timeout".to_owned(), false)),
    };
    log_socket_error(
        peer,
        enable_dead_peer_detection(&tcp, UNACKNOWLEDGED_TIMEOUT),
    );
    Ok(tcp)
}

/// Returns whether a connection was refused, as opposed to one that was not answered.
pub(crate) fn is_refused(error: &ExchangeError) -> bool {
    matches!(
        error,
        ExchangeError::Connect {
            is_refused: true,
            ..
        }
    )
}

/// Logs an error of a socket option, without which the connection still works.
pub(crate) fn log_socket_error(peer: SocketAddr, result: io::Result<()>) {
    if let Err(e) = result {
        log::debug!("event=socket_option_failed peer={peer} error={e:?}");
    }
}

/// Returns whether no process listens at a target's address any more. A target that has just
/// crashed may still accept a connection, so that it is tried twice.
pub(crate) async fn is_closed(dial: &Dial, peer: SocketAddr) -> bool {
    for pause in [Duration::ZERO, CLOSE_DELAY] {
        tokio::time::sleep(pause).await;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, dial(peer)).await;
        let error = connecting.ok().and_then(Result::err);
        if error.is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused) {
            return true;
        }
    }
    false
}

/// Sets the socket options by which the operating system detects a peer that has
/// vanished, and disables Nagle's algorithm. Bytes that the peer has not acknowledged, or
/// has no room for, for `unacknowledged_timeout` end the connection.
pub(crate) fn enable_dead_peer_detection(
    tcp: &TcpStream,
    unacknowledged_timeout: Duration,
) -> std::io::Result<()> {
    tcp.set_nodelay(true)?;
    let socket = SockRef::from(tcp);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(unacknowledged_timeout))
}
