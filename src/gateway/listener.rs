//! Accepts callers' connections and serves HTTP on them.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::{
    Gateway,
    body::ResponseBody,
    exchange::{enable_dead_peer_detection, log_socket_error},
    in_flight::{InFlightCounter, Stage},
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

/// Accepts callers' connections and serves each in a task; never returns.
pub(crate) async fn accept(listener: Arc<TcpListener>, gateway: Arc<Gateway>) {
    loop {
        match listener.accept().await {
            Ok((tcp, peer)) => {
                tokio::spawn(serve(tcp, peer, gateway.clone()));
            }
            Err(e) => {
                log::warn!("event=accept_failed error={e:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection until it ends. While the process stops, closes the
/// connection once idle connections are to be closed and it is idle.
async fn serve(tcp: TcpStream, peer: SocketAddr, gateway: Arc<Gateway>) {
    log_socket_error(
        peer,
        enable_dead_peer_detection(&tcp, UNACKNOWLEDGED_TIMEOUT),
    );
    let _open = gateway.connections.start();
    let in_flight = InFlightCounter::default();
    let limits = gateway.limits();
    let (service_gateway, service_in_flight) = (gateway.clone(), in_flight.clone());
    let service = service_fn(move |req: Request<Incoming>| {
        respond(service_gateway.clone(), service_in_flight.clone(), req)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .auto_date_header(false)
        // hyper panics if the size is below 8192 bytes.
        .max_buf_size(limits.max_header_bytes.max(8192))
        .serve_connection(TokioIo::new(tcp), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        let ended = tokio::time::timeout(IDLE_CHECK_INTERVAL, connection.as_mut()).await;
        match ended {
            Ok(Ok(())) => return,
            Ok(Err(e)) => {
                log::debug!(
                    "event=caller_connection_ended peer={peer} error={:?}",
                    e.to_string()
                );
                return;
            }
            Err(_) if gateway.closes_idle_connections() && in_flight.count() == 0 => {
                connection.as_mut().graceful_shutdown();
            }
            Err(_) => {}
        }
    }
}

/// Responds to one request and counts it as in progress until the response has
/// been sent or the caller has disconnected.
async fn respond(
    gateway: Arc<Gateway>,
    in_flight: InFlightCounter,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let id = gateway.names.request_id_of(req.headers()).unwrap_or("-");
    let running = gateway.in_progress.start(id.into(), &in_flight);
    let handling = gateway.handle_request(req, running.progress(), &in_flight);
    let mut res = handling.await;
    running.progress().set(Stage::Responding);
    if gateway.shared.is_stopping() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res.body_mut().attach_running(running);
    Ok(res)
}
