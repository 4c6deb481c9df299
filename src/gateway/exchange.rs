//! One request to one target over a connection of its own.
//!
//! Each request opens a connection: an idle one may have gone silent or hold
//! a late answer to an earlier request, and neither shows before it is used.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle};

/// Longest wait for a connection: four round trips between regions, and time
/// for a target that accepts slowly.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Silence after which the system probes a connection, so that a target that
/// vanished is found within three of these.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Longest time that sent bytes may stay unacknowledged: several retransmissions
/// between regions.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// A request that did not get a head of an answer.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// No connection came about, so that nothing was sent.
    #[snafu(display("step=connect peer={peer}: {reason}"))]
    Connect {
        /// The target.
        peer: SocketAddr,
        /// What the system said.
        reason: Box<str>,
    },
    /// The request may have arrived.
    #[snafu(display("step={step} peer={peer}: {source}"))]
    Lost {
        /// Step that failed.
        step: &'static str,
        /// The target.
        peer: SocketAddr,
        /// What the connection said.
        source: hyper::Error,
    },
}

/// An answer whose body is still to be read. Dropping it closes the connection.
#[derive(Debug)]
pub struct Exchange {
    /// Head and body.
    pub answer: Response<Incoming>,
    connection: ConnectionTask,
}

/// Drives a connection; ends it when dropped.
#[derive(Debug)]
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Exchange {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// See [`ExchangeError`].
    pub async fn open(peer: SocketAddr, req: Request<Full<Bytes>>) -> Result<Self, ExchangeError> {
        Self::open_on(connect(peer).await?, peer, req).await
    }

    /// As [`Exchange::open`], on a connection that is there.
    ///
    /// # Errors
    /// See [`ExchangeError`].
    pub async fn open_on(
        tcp: TcpStream,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Self, ExchangeError> {
        let handshake = http1::handshake(TokioIo::new(tcp)).await;
        let (mut sender, connection) = handshake.context(LostSnafu {
            step: "handshake",
            peer,
        })?;
        let driven = async move {
            if let Err(e) = connection.await {
                log::debug!(
                    "event=connection_ended peer={peer} error={:?}",
                    e.to_string()
                );
            }
        };
        let connection = ConnectionTask(tokio::spawn(driven));
        let sent = sender.send_request(req).await;
        let answer = sent.context(LostSnafu { step: "send", peer })?;
        Ok(Self { answer, connection })
    }

    /// Reads the whole body, at most `cap` bytes.
    ///
    /// # Errors
    /// The body ended early, or is larger.
    pub async fn collect(self, cap: usize) -> Result<Response<Bytes>, Box<str>> {
        let (head, body) = self.answer.into_parts();
        let body = Limited::new(body, cap).collect().await;
        drop(self.connection);
        let body = body.map_err(|e| Box::from(e.to_string()))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

/// Opens a connection to a target.
pub(crate) async fn connect(peer: SocketAddr) -> Result<TcpStream, ExchangeError> {
    let failed = |reason: String| ExchangeError::Connect {
        peer,
        reason: reason.into(),
    };
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer));
    let tcp = match connecting.await {
        Ok(connected) => connected.map_err(|e| failed(e.to_string()))?,
        Err(_) => return Err(failed("timeout".to_owned())),
    };
    if let Err(e) = detect_silence(&tcp) {
        log::debug!("event=socket_option_failed peer={peer} error={e:?}");
    }
    Ok(tcp)
}

/// Makes the system find a peer that has vanished.
pub(crate) fn detect_silence(tcp: &TcpStream) -> std::io::Result<()> {
    tcp.set_nodelay(true)?;
    let socket = SockRef::from(tcp);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
