//! Accepts callers' connections and serves HTTP on them.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{
    Request, Response, Version,
    body::{Body, Incoming},
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::{
    Gateway,
    body::ResponseBody,
    body_pace::PaceLimits,
    connection_set::{Monitor, MonitoredTcp, OpenConnection},
    connections::{ConnectionTimes, EvictionRule},
    exchange::{enable_dead_peer_detection, log_socket_error},
    head_fields::max_fields,
    in_flight::Stage,
};

/// Delay after a failed accept, so that the loop does not spin while the process
/// has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which each connection is checked, so that it is closed if it is
/// idle while the process stops; short compared with `idle_timeout`.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for the acknowledgement of bytes sent to a caller. It also ends the
/// connection of a caller that reads nothing for so long, which may be a pause.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time without progress of a response: twice the longest pause of a caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest pause of a caller that reads a response while others find no room. The request has run,
/// so it is longer than that of a body: time for several retransmissions.
const SHORTAGE_READ_PAUSE: Duration = Duration::from_secs(5);
/// Connections in use stay. Others have some round trips for their first request, also if the
/// process stands still for a moment.
const EVICTION: EvictionRule = EvictionRule {
    min_wait: Duration::from_secs(1),
    max_request_rate: None,
};

/// Accepts callers' connections and serves each in a task; never returns.
pub(crate) async fn accept(listener: Arc<TcpListener>, gateway: Arc<Gateway>) {
    loop {
        match listener.accept().await {
            Ok((tcp, peer)) => {
                let open = gateway.admit_connection().await;
                tokio::spawn(serve(tcp, peer, open, gateway.clone()));
            }
            Err(e) => {
                log::warn!("event=accept_failed error={e:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

impl Gateway {
    /// Waits until the port has room for one more connection.
    async fn admit_connection(&self) -> OpenConnection {
        let max = self.connection_bounds().callers;
        let on_full = || {
            if self.shortages.record() {
                log::warn!("event=connections_full port=callers max={max}");
            }
        };
        self.ports.callers.add(max, &EVICTION, on_full).await
    }
}

/// Serves one connection until it ends, gives way to another one or waits for too long. While
/// the process stops, closes the connection once idle connections are to be closed and it is
/// idle.
async fn serve(tcp: TcpStream, peer: SocketAddr, open: OpenConnection, gateway: Arc<Gateway>) {
    log_socket_error(
        peer,
        enable_dead_peer_detection(&tcp, UNACKNOWLEDGED_TIMEOUT),
    );
    let _open = gateway.connections.start();
    let monitor = open.monitor.clone();
    let limits = gateway.limits();
    let times = ConnectionTimes {
        head: limits.header_timeout,
        idle: limits.idle_timeout,
        write: WRITE_TIMEOUT,
    };
    let read_limits = PaceLimits {
        deadline: Duration::MAX,
        pause: WRITE_TIMEOUT,
        shortage_pause: SHORTAGE_READ_PAUSE,
    };
    let (service_gateway, service_monitor) = (gateway.clone(), monitor.clone());
    let service = service_fn(move |req: Request<Incoming>| {
        respond(service_gateway.clone(), service_monitor.clone(), req)
    });
    let io = TokioIo::new(MonitoredTcp::new(tcp, monitor.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper counts it from the end of the last request.
        .header_read_timeout(None)
        .auto_date_header(false)
        // hyper panics if the size is below 8192 bytes.
        .max_buf_size(limits.max_header_bytes.max(8192))
        .max_headers(max_fields(limits.max_header_bytes))
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    loop {
        let left = monitor.time_left(&times).unwrap_or(IDLE_CHECK_INTERVAL);
        let ended = tokio::select! {
            // Bytes that arrived while the process stood still are read first.
            biased;
            ended = connection.as_mut() => ended,
            () = monitor.evicted.cancelled() => return log_closed(peer, "full"),
            () = tokio::time::sleep(left.min(IDLE_CHECK_INTERVAL)) => {
                if monitor.time_left(&times).is_some_and(|left| left.is_zero()) {
                    return log_closed(peer, "timeout");
                }
                let has_shortage = gateway.shortages.is_recent();
                if monitor.is_read_too_slowly(&read_limits, has_shortage) {
                    return log_closed(peer, "read_slow");
                }
                if gateway.closes_idle_connections() && monitor.in_flight.count() == 0 {
                    connection.as_mut().graceful_shutdown();
                }
                continue;
            }
        };
        if let Err(e) = ended {
            log::debug!(
                "event=caller_connection_ended peer={peer} error={:?}",
                e.to_string()
            );
        }
        return;
    }
}

/// Notes that a connection is closed although its peer keeps it open.
fn log_closed(peer: SocketAddr, reason: &'static str) {
    log::debug!("event=caller_connection_closed peer={peer} reason={reason}");
    metrics::counter!("bluebell_gateway_connections_closed", "reason" => reason).increment(1);
}

/// Responds to one request and counts it as in progress until the response has
/// been sent or the caller has disconnected.
async fn respond(
    gateway: Arc<Gateway>,
    monitor: Monitor,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let id = gateway.names.request_id_of(req.headers()).unwrap_or("-");
    let running = gateway.in_progress.start(id.into(), &monitor.in_flight);
    monitor.record_request();
    let version = req.version();
    let handling = gateway.handle_request(req, running.progress(), &monitor);
    let mut res = handling.await;
    running.progress().set(Stage::Responding);
    // HTTP/1.0 has no chunks.
    if version == Version::HTTP_10 && res.body().size_hint().exact().is_none() {
        monitor.record_close_delimited();
    }
    // Requests that follow on the connection without end would keep new connections out, and the
    // load balancer leads new ones to daemons that reach targets.
    let is_blocked = gateway.ports.callers.is_blocked();
    if gateway.shared.is_stopping() || is_blocked || gateway.is_cut_off() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res.body_mut().attach_running(running);
    Ok(res)
}
