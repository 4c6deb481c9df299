//! Provides the HTTP server and client that all ports and calls share.
//!
//! The server limits connections and request heads. The client never resends a
//! request by itself, because a target may already have run it.

use std::{
    collections::HashMap,
    convert::Infallible,
    fmt::Display,
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
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use serde::Serialize;
use snafu::Snafu;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use viz::{Body, Request, Responder, Response, Router, StatusCode, Tree};

/// Shortest and longest pause after an accept error, so that the accept loop
/// does not spin while there are no free file descriptors.
const ACCEPT_BACKOFF: (Duration, Duration) = (Duration::from_millis(5), Duration::from_secs(1));

/// Response to a connection above the limit, from which nothing is read.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    x-bluebell-ran: not-run\r\nconnection: close\r\ncontent-length: 21\r\n\r\n\
    too many connections\n";
/// Most characters of a path that are logged if no request can be built with it.
const MAX_LOGGED_PATH_CHARS: usize = 120;
/// Longest time for sending that response.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Characters that are escaped in a segment of a path and in a value of a query: all but the
/// unreserved ones of RFC 3986.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Returns a text from outside as one segment of a path or one value of a query.
#[must_use]
pub fn escaped(text: &str) -> impl Display {
    utf8_percent_encode(text, ESCAPED)
}

/// Returns the text of an escaped segment of a path; `None` if it is not valid Unicode.
pub(crate) fn unescaped(segment: &str) -> Option<Box<str>> {
    let text = percent_decode_str(segment).decode_utf8().ok()?;
    Some(text.into())
}

/// HTTP client for calls to targets, the platform and other HTTP servers.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Limits of one HTTP port.
#[derive(Clone, Debug)]
pub struct PortLimits {
    /// Largest request head, in bytes. Values below 8192 count as 8192.
    pub max_header_bytes: usize,
    /// Maximum number of open connections from one IP address.
    pub max_connections_per_peer: u32,
    /// Longest wait for a complete request head, also on an idle connection.
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

/// Error of an HTTP call, with the failed step and the peer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection was established, so no byte of the request was sent.
    #[snafu(display("step=connect peer={peer}: {reason}"))]
    Connect {
        /// Authority of the request's URI.
        peer: Box<str>,
        /// Error of the connector, with its causes.
        reason: Box<str>,
        /// Whether the connection was refused because nothing listens there.
        is_refused: bool,
    },
    /// The request could not be built, so nothing was sent.
    #[snafu(display("step=build peer={peer}: {reason}"))]
    Build {
        /// Authority that was to receive the request.
        peer: Box<str>,
        /// Part that is not valid.
        reason: Box<str>,
    },
    /// An answer arrived whose body is larger than the caller takes.
    #[snafu(display("step=read peer={peer}: the answer is larger than {max_bytes} bytes"))]
    AnswerTooLarge {
        /// Authority of the request's URI.
        peer: Box<str>,
        /// Largest body taken.
        max_bytes: usize,
    },
    /// The request may have arrived, but no complete answer did.
    #[snafu(display("step={step} peer={peer}: {reason}"))]
    NoAnswer {
        /// Name of the failed step.
        step: &'static str,
        /// Authority of the request's URI.
        peer: Box<str>,
        /// Description of the error.
        reason: Box<str>,
    },
}

impl CallError {
    /// Returns whether no byte of the request was sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Build { .. })
    }
}

/// Creates a client that never resends a request by itself.
///
/// `idle` is the time for which an idle connection is kept for reuse. With
/// `None`, each call opens a new connection, so that no request is lost on a
/// connection that the server has already closed.
#[must_use]
pub fn new_client(connect_timeout: Duration, idle: Option<Duration>) -> HttpClient {
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

/// Sends `req` and returns its answer with the whole body.
///
/// # Errors
/// Returns an error if no complete answer arrives within `timeout` or its body
/// is larger than `max_body_bytes` bytes. See [`CallError`].
pub async fn send_request(
    client: &HttpClient,
    req: hyper::Request<Full<Bytes>>,
    timeout: Duration,
    max_body_bytes: usize,
) -> Result<hyper::Response<Bytes>, CallError> {
    let peer = authority_of(&req);
    let no_answer = |step, reason: String| CallError::NoAnswer {
        step,
        peer: peer.clone(),
        reason: reason.into(),
    };
    let exchange = async {
        let res = send(client, req).await?;
        let (head, body) = res.into_parts();
        let body = Limited::new(body, max_body_bytes)
            .collect()
            .await
            .map_err(|e| {
                if e.is::<LengthLimitError>() {
                    return CallError::AnswerTooLarge {
                        peer: peer.clone(),
                        max_bytes: max_body_bytes,
                    };
                }
                no_answer("read", e.to_string())
            })?;
        Ok(hyper::Response::from_parts(head, body.to_bytes()))
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or_else(|_| Err(no_answer("timeout", format!("no answer in {timeout:?}"))))
}

/// Returns whether a final response may have this status. Others are bytes that are not a
/// response, of a peer that fails or speaks another protocol.
pub(crate) fn is_valid_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Sends `req` and returns the answer once its head has arrived. A response without a valid
/// status is no answer.
pub(crate) async fn send(
    client: &HttpClient,
    req: hyper::Request<Full<Bytes>>,
) -> Result<hyper::Response<hyper::body::Incoming>, CallError> {
    let peer = authority_of(&req);
    match client.request(req).await {
        Ok(res) if is_valid_status(res.status()) => Ok(res),
        Ok(res) => Err(CallError::NoAnswer {
            step: "status",
            peer,
            reason: format!("status={}", res.status().as_u16()).into(),
        }),
        Err(e) if e.is_connect() => Err(CallError::Connect {
            peer,
            reason: error_chain(&e).into(),
            is_refused: is_refused(&e),
        }),
        Err(e) => Err(CallError::NoAnswer {
            step: "send",
            peer,
            reason: error_chain(&e).into(),
        }),
    }
}

fn authority_of(req: &hyper::Request<Full<Bytes>>) -> Box<str> {
    req.uri().authority().map_or("?", |a| a.as_str()).into()
}

/// Returns whether `error` or one of its causes is a refused connection.
fn is_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let io = error.downcast_ref::<std::io::Error>();
    io.is_some_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused)
        || error.source().is_some_and(is_refused)
}

/// Returns the text of `error` and of its causes, separated by colons.
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

/// Numbers of open connections by IP address of the peer.
#[derive(Clone, Default)]
struct ConnectionCounts(Arc<Mutex<HashMap<IpAddr, u32>>>);

/// One connection that is included in the counts until this is dropped.
struct CountedConnection {
    counts: ConnectionCounts,
    peer: IpAddr,
}

impl ConnectionCounts {
    /// Adds a connection of `peer`, or returns `None` if it has `max` already.
    fn try_add(&self, peer: IpAddr, max: u32) -> Option<CountedConnection> {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(peer).or_default();
        if *count >= max {
            return None;
        }
        *count += 1;
        let counts = self.clone();
        Some(CountedConnection { counts, peer })
    }
}

impl Drop for CountedConnection {
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

/// Serves `router` on `listener` until `stop` is cancelled, then finishes the
/// requests in progress.
pub(crate) async fn serve(
    listener: TcpListener,
    router: Router,
    limits: PortLimits,
    stop: CancellationToken,
) {
    let tree: Arc<Tree> = Arc::new(router.into());
    let counts = ConnectionCounts::default();
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
        let Some(counted) = counts.try_add(addr.ip(), limits.max_connections_per_peer) else {
            metrics::counter!("bluebell_connections_refused").increment(1);
            tasks.spawn(refuse_connection(tcp));
            continue;
        };
        let connection = serve_connection(tcp, addr, tree.clone(), limits.clone(), stop.clone());
        tasks.spawn(async move {
            connection.await;
            drop(counted);
        });
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

/// Answers a connection above the limit with the reason and closes it.
async fn refuse_connection(mut tcp: TcpStream) {
    let sending = async {
        tcp.write_all(TOO_MANY_CONNECTIONS).await?;
        tcp.shutdown().await
    };
    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, sending).await;
}

/// Serves one connection until it ends. Once `stop` is cancelled, closes it
/// after the request in progress.
async fn serve_connection(
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

/// Reason why a request body could not be read.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[snafu(display("the body is larger than {max_bytes} bytes"))]
    TooLarge {
        /// Largest body accepted, in bytes.
        max_bytes: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive within {timeout:?}"))]
    TooSlow {
        /// Longest wait for a body.
        timeout: Duration,
    },
    /// The connection ended before the end of the body.
    #[snafu(display("the body ended early: {reason}"))]
    Incomplete {
        /// Error of the connection.
        reason: Box<str>,
    },
}

impl BodyError {
    /// Returns the status of the response to the caller.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::Incomplete { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a complete request body of at most `max_body_bytes` bytes within
/// `timeout`. After an error, the rest of the body is left in the request.
pub(crate) async fn read_body(
    req: &mut Request,
    max_body_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let body = Limited::new(req.body_mut(), max_body_bytes);
    let collected = tokio::time::timeout(timeout, body.collect())
        .await
        .map_err(|_| BodyError::TooSlow { timeout })?;
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BodyError::TooLarge {
            max_bytes: max_body_bytes,
        }),
        Err(e) => Err(BodyError::Incomplete {
            reason: e.to_string().into(),
        }),
    }
}

/// Time limit for the rest of a body whose request was refused.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the rest of the body of a request that was refused. A connection that is closed
/// with unread bytes is reset, and the caller may lose the response.
pub(crate) async fn discard<B>(body: B, max_bytes: usize)
where
    B: hyper::body::Body + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = Limited::new(body, max_bytes);
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    // Ends with the connection at the latest.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}

/// Calls [`discard`] in the background for what has not been read of a request.
pub(crate) fn discard_rest(req: &mut Request, max_bytes: usize) {
    let body = std::mem::replace(req.body_mut(), Body::Empty);
    tokio::spawn(discard(body, max_bytes));
}

/// Returns a response with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_else(|e| e.to_string().into_bytes());
    with_body(status, "application/json", bytes)
}

/// Returns a response with a body of the media type `media`.
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

/// Returns a response that streams server-sent events.
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

/// Returns a request for a client. Its content type is JSON, also if `body` is
/// empty.
///
/// # Errors
/// Returns [`CallError::Build`], and logs it, if the authority or the path is not valid.
pub fn json_request(
    method: &hyper::Method,
    authority: &str,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<hyper::Request<Full<Bytes>>, CallError> {
    let uri = hyper::Uri::builder()
        .scheme("http")
        .authority(authority)
        .path_and_query(path)
        .build();
    let built = uri.and_then(|uri| {
        hyper::Request::builder()
            .method(method)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))
    });
    let reason: Box<str> = match built {
        // A URI has no fragment, so one in the path is cut off.
        Ok(req) if req.uri().path_and_query().is_some_and(|p| *p == *path) => return Ok(req),
        Ok(_) => "the path has a fragment".into(),
        Err(e) => e.to_string().into(),
    };
    let shown: String = path.chars().take(MAX_LOGGED_PATH_CHARS).collect();
    log::warn!("event=request_not_built peer={authority:?} path={shown:?} reason={reason:?}");
    Err(CallError::Build {
        peer: authority.into(),
        reason,
    })
}
