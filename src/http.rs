//! HTTP plumbing that every port shares: a bounded server, clients that never
//! resend by themselves, and JSON helpers.

use std::{
    collections::HashMap,
    convert::Infallible,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{header, server::conn::http1};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo, TokioTimer},
};
use serde::Serialize;
use snafu::Snafu;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use viz::{Body, Request, Responder, Response, Router, StatusCode, Tree};

/// First and longest pause after an accept error, so that exhausted file
/// descriptors do not make the loop spin.
const ACCEPT_BACKOFF: (Duration, Duration) = (Duration::from_millis(5), Duration::from_secs(1));

/// Answer to a connection beyond the cap; nothing of it was read.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    x-bluebell-ran: not-run\r\nconnection: close\r\ncontent-length: 21\r\n\r\n\
    too many connections\n";
/// Longest wait for that answer to leave.
const REFUSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Client used towards targets, the platform and other HTTP peers.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// What one port accepts from one peer and in all.
#[derive(Clone, Debug)]
pub struct PortLimits {
    /// Bytes of one request head.
    pub max_header_bytes: usize,
    /// Open connections from one IP address.
    pub max_connections_per_peer: u32,
    /// Longest wait for a whole request head, and for the next one on an idle
    /// connection.
    pub header_timeout: Duration,
}

impl Default for PortLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_connections_per_peer: 4096,
            header_timeout: Duration::from_secs(30),
        }
    }
}

/// A call that failed, with the step at which it did and the peer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection came about, so no byte of the request left.
    #[snafu(display("step=connect peer={peer}: {reason}"))]
    Connect {
        /// Address called.
        peer: Box<str>,
        /// What the connector said.
        reason: Box<str>,
        /// Nothing listens there.
        is_refused: bool,
    },
    /// The request may have arrived; its answer did not.
    #[snafu(display("step={step} peer={peer}: {reason}"))]
    Lost {
        /// Step that failed.
        step: &'static str,
        /// Address called.
        peer: Box<str>,
        /// What went wrong.
        reason: Box<str>,
    },
}

impl CallError {
    /// True when the peer cannot have seen any byte of the request.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Builds a client that never repeats a request by itself.
///
/// `idle` is how long a pooled connection may wait for reuse; `None` opens a
/// connection for each call, so that a stale one can never swallow a request.
#[must_use]
pub fn client(connect_timeout: Duration, idle: Option<Duration>) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    let mut builder = Client::builder(TokioExecutor::new());
    builder.retry_canceled_requests(false);
    builder.pool_timer(TokioTimer::new());
    match idle {
        Some(idle) => builder.pool_idle_timeout(idle),
        None => builder.pool_max_idle_per_host(0),
    };
    builder.build(connector)
}

/// Sends `req` and collects at most `cap` bytes of the answer within `timeout`.
///
/// # Errors
/// See [`CallError`].
pub async fn call(
    client: &HttpClient,
    req: hyper::Request<Full<Bytes>>,
    timeout: Duration,
    cap: usize,
) -> Result<hyper::Response<Bytes>, CallError> {
    let peer = peer_of(&req);
    let lost = |step, reason: String| CallError::Lost {
        step,
        peer: peer.clone(),
        reason: reason.into(),
    };
    let exchange = async {
        let res = send(client, req).await?;
        let (head, body) = res.into_parts();
        let body = Limited::new(body, cap)
            .collect()
            .await
            .map_err(|e| lost("read", e.to_string()))?;
        Ok(hyper::Response::from_parts(head, body.to_bytes()))
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or_else(|_| Err(lost("timeout", format!("no answer in {timeout:?}"))))
}

/// Sends `req` and returns as soon as the head of the answer is here.
pub(crate) async fn send(
    client: &HttpClient,
    req: hyper::Request<Full<Bytes>>,
) -> Result<hyper::Response<hyper::body::Incoming>, CallError> {
    let peer = peer_of(&req);
    client.request(req).await.map_err(|e| {
        let reason = error_chain(&e).into();
        if e.is_connect() {
            let is_refused = is_refused(&e);
            CallError::Connect {
                peer,
                reason,
                is_refused,
            }
        } else {
            CallError::Lost {
                step: "send",
                peer,
                reason,
            }
        }
    })
}

fn peer_of(req: &hyper::Request<Full<Bytes>>) -> Box<str> {
    req.uri().authority().map_or("?", |a| a.as_str()).into()
}

/// Whether the other side said that nothing listens at its address.
fn is_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let io = error.downcast_ref::<std::io::Error>();
    io.is_some_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused)
        || error.source().is_some_and(is_refused)
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Counts open connections of each peer.
#[derive(Clone, Default)]
struct PeerCounts(Arc<Mutex<HashMap<IpAddr, u32>>>);

/// One counted connection; dropping it gives the place back.
struct PeerPlace {
    counts: PeerCounts,
    peer: IpAddr,
}

impl PeerCounts {
    fn take(&self, peer: IpAddr, most: u32) -> Option<PeerPlace> {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(peer).or_default();
        if *count >= most {
            return None;
        }
        *count += 1;
        let counts = self.clone();
        Some(PeerPlace { counts, peer })
    }
}

impl Drop for PeerPlace {
    fn drop(&mut self) {
        let mut counts = self.counts.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.peer) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.peer);
            }
        }
    }
}

/// Serves `router` on `listener` until `stop`, then finishes what runs.
pub(crate) async fn serve(
    listener: TcpListener,
    router: Router,
    limits: PortLimits,
    stop: CancellationToken,
) {
    let tree: Arc<Tree> = Arc::new(router.into());
    let peers = PeerCounts::default();
    let tasks = TaskTracker::new();
    let mut backoff = ACCEPT_BACKOFF.0;
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let (tcp, addr) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!(
                    "event=accept_failed error={e:?} pause_ms={}",
                    backoff.as_millis()
                );
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(ACCEPT_BACKOFF.1);
                continue;
            }
        };
        backoff = ACCEPT_BACKOFF.0;
        let Some(place) = peers.take(addr.ip(), limits.max_connections_per_peer) else {
            metrics::counter!("bluebell_connections_refused").increment(1);
            tasks.spawn(refuse_connection(tcp));
            continue;
        };
        let connection = serve_one(tcp, addr, tree.clone(), limits.clone(), stop.clone());
        tasks.spawn(async move {
            connection.await;
            drop(place);
        });
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

/// Tells a peer with too many connections why it gets no more.
async fn refuse_connection(mut tcp: TcpStream) {
    let told = async {
        tcp.write_all(TOO_MANY_CONNECTIONS).await?;
        tcp.shutdown().await
    };
    let _ = tokio::time::timeout(REFUSE_TIMEOUT, told).await;
}

async fn serve_one(
    tcp: TcpStream,
    addr: SocketAddr,
    tree: Arc<Tree>,
    limits: PortLimits,
    stop: CancellationToken,
) {
    if let Err(e) = tcp.set_nodelay(true) {
        log::debug!("event=nodelay_failed peer={addr} error={e:?}");
    }
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(8192))
        .serve_connection(TokioIo::new(tcp), Responder::new(tree, Some(addr)));
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!(
            "event=connection_ended peer={addr} error={:?}",
            e.to_string()
        );
    }
}

/// Why a body could not be taken in.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// It is larger than this port takes.
    #[snafu(display("the body is larger than {cap} bytes"))]
    TooLarge {
        /// Largest body taken, in bytes.
        cap: usize,
    },
    /// It did not arrive in time.
    #[snafu(display("the body did not arrive within {timeout:?}"))]
    TooSlow {
        /// Longest wait for a body.
        timeout: Duration,
    },
    /// The connection ended in mid-body.
    #[snafu(display("the body ended early: {reason}"))]
    Cut {
        /// What the connection said.
        reason: Box<str>,
    },
}

impl BodyError {
    /// The status that tells the caller.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::Cut { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a whole request body of at most `cap` bytes within `timeout`.
pub(crate) async fn read_body(
    req: &mut Request,
    cap: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let body = std::mem::replace(req.body_mut(), Body::Empty);
    let collected = tokio::time::timeout(timeout, Limited::new(body, cap).collect())
        .await
        .map_err(|_| BodyError::TooSlow { timeout })?;
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BodyError::TooLarge { cap }),
        Err(e) => Err(BodyError::Cut {
            reason: e.to_string().into(),
        }),
    }
}

/// An answer with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_else(|e| e.to_string().into_bytes());
    with_body(status, "application/json", bytes)
}

/// An answer with a body of the given media type.
pub(crate) fn with_body(
    status: StatusCode,
    media: &'static str,
    body: impl Into<Bytes>,
) -> Response {
    let mut res = Response::new(Body::Full(Full::new(body.into())));
    *res.status_mut() = status;
    let media = header::HeaderValue::from_static(media);
    res.headers_mut().insert(header::CONTENT_TYPE, media);
    res
}

/// A streamed answer of server-sent events.
pub(crate) fn event_stream<S>(events: S) -> Response
where
    S: futures::Stream<Item = Result<Bytes, Infallible>> + Send + 'static,
{
    let mut res = Response::new(Body::from_stream(events));
    let headers = res.headers_mut();
    let media = header::HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, media);
    let uncached = header::HeaderValue::from_static("no-cache");
    headers.insert(header::CACHE_CONTROL, uncached);
    res
}

/// A client request with an optional JSON body.
pub fn request(
    method: &hyper::Method,
    authority: &str,
    path: &str,
    body: impl Into<Bytes>,
) -> hyper::Request<Full<Bytes>> {
    let mut req = hyper::Request::new(Full::new(body.into()));
    *req.method_mut() = method.clone();
    let uri = format!("http://{authority}{path}");
    *req.uri_mut() = uri.parse().unwrap_or_default();
    let media = header::HeaderValue::from_static("application/json");
    req.headers_mut().insert(header::CONTENT_TYPE, media);
    req
}
