//! Callers' connections.

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
    body::AnswerBody,
    exchange::enable_dead_peer_detection,
    usage::{Running, Usage},
};

/// Pause after an accept error, so that exhausted descriptors do not make the
/// loop spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Period at which a connection's idle time is looked at; short against the limit
/// on it.
const IDLE_PERIOD: Duration = Duration::from_secs(1);

/// Accepts callers' connections for good.
pub(crate) async fn accept(listener: Arc<TcpListener>, gateway: Arc<Gateway>) {
    loop {
        match listener.accept().await {
            Ok((tcp, peer)) => {
                tokio::spawn(serve(tcp, peer, gateway.clone()));
            }
            Err(e) => {
                log::warn!("event=accept_failed error={e:?}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(tcp: TcpStream, peer: SocketAddr, gateway: Arc<Gateway>) {
    if let Err(e) = enable_dead_peer_detection(&tcp) {
        log::debug!("event=socket_option_failed peer={peer} error={e:?}");
    }
    let usage = Usage::default();
    let limits = gateway.limits();
    let (of_service, used_by) = (gateway.clone(), usage.clone());
    let service =
        service_fn(move |req: Request<Incoming>| answer(of_service.clone(), used_by.clone(), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .auto_date_header(false)
        .max_buf_size(limits.max_header_bytes.max(8192))
        .serve_connection(TokioIo::new(tcp), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        let ended = tokio::time::timeout(IDLE_PERIOD, connection.as_mut()).await;
        match ended {
            Ok(Ok(())) => return,
            Ok(Err(e)) => {
                log::debug!(
                    "event=caller_connection_ended peer={peer} error={:?}",
                    e.to_string()
                );
                return;
            }
            Err(_) if gateway.closes_idle() && usage.count() == 0 => {
                connection.as_mut().graceful_shutdown();
            }
            Err(_) => {}
        }
    }
}

async fn answer(
    gateway: Arc<Gateway>,
    usage: Usage,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let running = Running::start([&usage, &gateway.running]);
    let mut res = gateway.answer(req).await;
    if gateway.standing.is_stopping() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res.body_mut().attach_running(running);
    Ok(res)
}
