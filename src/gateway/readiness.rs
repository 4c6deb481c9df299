//! Tells the platform's balancer whether this daemon takes callers.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::Gateway;
use crate::clock;

/// Longest wait for a question on an open connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after an accept error.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

impl Gateway {
    /// Whether callers should come here: the configuration is known and keys
    /// can be trusted, and the process was not told to stop.
    fn is_ready(&self) -> bool {
        let age = self.standing.config_age(clock::now());
        let is_fresh = age.is_some_and(|age| age <= self.settings().key_proof_age());
        is_fresh && self.standing.fleet().is_complete && !self.standing.is_stopping()
    }
}

/// Answers any path, for good.
pub(crate) async fn serve(listener: TcpListener, gateway: Arc<Gateway>) {
    loop {
        let tcp = match listener.accept().await {
            Ok((tcp, _)) => tcp,
            Err(e) => {
                log::warn!("event=accept_failed port=readiness error={e:?}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let gateway = gateway.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let is_ready = gateway.is_ready();
            async move { Ok::<_, Infallible>(answer(is_ready)) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(tcp), service);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("event=readiness_connection_ended error={:?}", e.to_string());
            }
        });
    }
}

fn answer(is_ready: bool) -> Response<Full<Bytes>> {
    let (status, text) = if is_ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    let mut res = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *res.status_mut() = status;
    res
}
