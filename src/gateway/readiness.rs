//! Serves the readiness check for the platform's load balancer, and the metrics
//! for operators, over HTTP.

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

/// Longest wait for a request on an open connection; load balancers poll about every
/// second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

impl Gateway {
    /// Returns whether the load balancer should send callers here: a configuration
    /// is in force and recent enough for its keys to be trusted, and the process was
    /// not asked to stop.
    fn is_ready(&self) -> bool {
        let age = self.shared.config_age(clock::now());
        let is_fresh = age.is_some_and(|age| age <= self.settings().max_config_age_for_keys());
        let has_config = self.shared.fleet().active_config().is_some();
        is_fresh && has_config && !self.shared.is_stopping()
    }
}

impl Gateway {
    fn set_memory_gauges(&self) {
        let pools = &self.memory;
        for (name, pool) in [
            ("requests", &pools.requests),
            ("bodies", &pools.bodies),
            ("answers", &pools.answers),
        ] {
            #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
            let [taken, size] = [pool.taken(), pool.size()].map(|bytes| bytes as f64);
            metrics::gauge!("bluebell_gateway_memory_taken_bytes", "pool" => name).set(taken);
            metrics::gauge!("bluebell_gateway_memory_pool_bytes", "pool" => name).set(size);
        }
    }
}

/// Answers readiness checks on any path; never returns.
pub(crate) async fn serve_readiness(listener: Arc<TcpListener>, gateway: Arc<Gateway>) {
    serve_text(listener, move || {
        if gateway.is_ready() {
            (StatusCode::OK, "ready\n".to_owned())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
        }
    })
    .await;
}

/// Serves all metrics as text on any path; never returns.
pub(crate) async fn serve_metrics(listener: Arc<TcpListener>, gateway: Arc<Gateway>) {
    serve_text(listener, move || {
        let age = gateway.shared.config_age(clock::now());
        metrics::gauge!("bluebell_gateway_config_age_seconds")
            .set(age.map_or(f64::INFINITY, |a| a.as_secs_f64()));
        gateway.set_memory_gauges();
        gateway.set_speed_gauges(clock::now());
        (StatusCode::OK, crate::metrics::render())
    })
    .await;
}

async fn serve_text<F>(listener: Arc<TcpListener>, text: F)
where
    F: Fn() -> (StatusCode, String) + Clone + Send + 'static,
{
    loop {
        let tcp = match listener.accept().await {
            Ok((tcp, _)) => tcp,
            Err(e) => {
                log::warn!("event=accept_failed error={e:?}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let text = text.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let (status, text) = text();
            let mut res = Response::new(Full::new(Bytes::from(text)));
            *res.status_mut() = status;
            async move { Ok::<_, Infallible>(res) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(tcp), service);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("event=connection_ended error={:?}", e.to_string());
            }
        });
    }
}
