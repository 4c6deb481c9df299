//! Serves the readiness check for the platform's load balancer, and the metrics
//! for operators, over HTTP.

use std::{
    convert::Infallible,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::TcpListener;

use super::{
    Gateway,
    connection_set::{ConnectionSet, MonitoredTcp},
    connections::{ConnectionTimes, EvictionRule},
    exchange::log_socket_error,
};
use crate::clock;

/// Longest wait for a request on an open connection; load balancers poll about every
/// second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time without progress of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// A load balancer's request follows its connection within a round trip, and there is about one
/// a second.
const EVICTION: EvictionRule = EvictionRule {
    min_wait: Duration::from_millis(100),
    max_request_rate: Some(10.0),
};
/// Size of the send buffer of a connection, in bytes. Responses that are not read soon fill it,
/// and no more requests are read.
const SEND_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum size of a request head, in bytes; the least that hyper allows.
const MAX_HEAD_BYTES: usize = 8192;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

impl Gateway {
    /// Returns whether the load balancer should send callers here: a configuration
    /// is in force and recent enough for its keys to be trusted, targets are reached, and the
    /// process was not asked to stop.
    fn is_ready(&self) -> bool {
        let age = self.shared.config_age(clock::now());
        let is_fresh = age.is_some_and(|age| age <= self.settings().max_config_age_for_keys());
        let has_config = self.shared.fleet().active_config().is_some();
        is_fresh && has_config && !self.is_cut_off() && !self.shared.is_stopping()
    }
}

impl Gateway {
    /// Logs what the load balancer is told, at each change.
    fn log_readiness(&self, is_ready: bool) {
        let was_ready = self.was_ready.swap(is_ready, Ordering::Relaxed);
        if was_ready != is_ready {
            log::info!(
                "event=readiness is_ready={is_ready} cut_off={} config_age_ms={}",
                self.is_cut_off(),
                self.config_age_ms()
            );
        }
    }

    fn set_connection_gauges(&self) {
        let ports = &self.ports;
        let sets = [
            ("callers", &ports.callers),
            ("readiness", &ports.readiness),
            ("metrics", &ports.metrics),
        ];
        for (port, set) in sets {
            #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
            let count = set.count() as f64;
            metrics::gauge!("bluebell_gateway_connections", "port" => port).set(count);
        }
    }

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
    let ready = {
        let gateway = gateway.clone();
        move || {
            let is_ready = gateway.is_ready();
            gateway.log_readiness(is_ready);
            if is_ready {
                (StatusCode::OK, "ready\n".to_owned())
            } else {
                (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
            }
        }
    };
    let set = gateway.ports.readiness.clone();
    serve_text(listener, gateway, set, ready).await;
}

/// Serves all metrics as text on any path; never returns.
pub(crate) async fn serve_metrics(listener: Arc<TcpListener>, gateway: Arc<Gateway>) {
    let set = gateway.ports.metrics.clone();
    let text = {
        let gateway = gateway.clone();
        move || {
            let age = gateway.shared.config_age(clock::now());
            metrics::gauge!("bluebell_gateway_config_age_seconds")
                .set(age.map_or(f64::INFINITY, |a| a.as_secs_f64()));
            let cut_off = if gateway.is_cut_off() { 1.0 } else { 0.0 };
            metrics::gauge!("bluebell_gateway_cut_off").set(cut_off);
            gateway.set_memory_gauges();
            gateway.set_connection_gauges();
            gateway.set_speed_gauges(clock::now());
            gateway.set_share_gauges();
            (StatusCode::OK, crate::metrics::render())
        }
    };
    serve_text(listener, gateway, set, text).await;
}

/// Serves text on any path. A connection of a full port gives way to a new one, whatever it
/// does: the load balancer's probes always have to be answered.
async fn serve_text<F>(
    listener: Arc<TcpListener>,
    gateway: Arc<Gateway>,
    set: ConnectionSet,
    text: F,
) where
    F: Fn() -> (StatusCode, String) + Clone + Send + 'static,
{
    loop {
        let tcp = match listener.accept().await {
            Ok((tcp, peer)) => {
                let sized = SockRef::from(&tcp).set_send_buffer_size(SEND_BUFFER_BYTES);
                log_socket_error(peer, sized);
                tcp
            }
            Err(e) => {
                log::warn!("event=accept_failed error={e:?}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let max = gateway.connection_bounds().probes;
        let open = set.add(max, &EVICTION, || ()).await;
        let times = ConnectionTimes {
            head: gateway.limits().header_timeout,
            idle: IDLE_TIMEOUT,
            write: WRITE_TIMEOUT,
        };
        let (text, monitor) = (text.clone(), open.monitor.clone());
        let service_monitor = monitor.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            service_monitor.record_request();
            let (status, text) = text();
            let mut res = Response::new(Full::new(Bytes::from(text)));
            *res.status_mut() = status;
            async move { Ok::<_, Infallible>(res) }
        });
        let io = TokioIo::new(MonitoredTcp::new(tcp, monitor.clone()));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(io, service);
        tokio::spawn(async move {
            let _open = open;
            let mut connection = std::pin::pin!(connection);
            while let Some(left) = monitor.time_left(&times).filter(|left| !left.is_zero()) {
                let ended = tokio::select! {
                    biased;
                    ended = connection.as_mut() => ended,
                    () = monitor.evicted.cancelled() => return,
                    () = tokio::time::sleep(left) => continue,
                };
                if let Err(e) = ended {
                    log::debug!("event=connection_ended error={:?}", e.to_string());
                }
                return;
            }
        });
    }
}
