//! Starts and stops the daemon of an entry instance, which accepts requests of
//! callers, with its caller, operator and peer ports and its control thread.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use crate::{
    control::{self, ControlHandle, Event},
    entry::{self, ServerState},
    feeds, http, metrics, operator,
    settings::Settings,
    settle,
    supervisor::supervise,
};

/// Interval of the checks whether requests are still active while stopping.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Error of starting a daemon.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// A port could not be bound.
    #[snafu(display("step=bind port={port} address={address}: {source}"))]
    Bind {
        /// Name of the port: `caller`, `operator` or `peer`.
        port: &'static str,
        /// Address from the settings.
        address: Box<str>,
        /// Cause: an invalid address, or an error of the operating system.
        source: std::io::Error,
    },
}

/// A running daemon.
pub struct Daemon {
    /// Bound address of the caller port.
    pub caller_address: SocketAddr,
    /// Bound address of the operator port.
    pub operator_address: SocketAddr,
    /// Bound address of the peer port, for both UDP and TCP.
    pub peer_address: SocketAddr,
    state: Arc<ServerState>,
    control: ControlHandle,
    stop_ports: CancellationToken,
    stop_control: CancellationToken,
    ports: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Binds all ports and starts the daemon, which becomes ready later; see
    /// [`Daemon::is_ready`].
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound.
    pub async fn spawn(settings: Settings) -> Result<Self, DaemonError> {
        metrics::install();
        let settings = Arc::new(settings);
        let listen = &settings.listen;
        let (caller_listener, caller_address) = bind("caller", &listen.caller).await?;
        let (operator_listener, operator_address) = bind("operator", &listen.operator).await?;
        let stop_control = CancellationToken::new();
        let peer_address = parse_address("peer", &listen.peer)?;
        let starting = control::spawn(
            settings.clone(),
            peer_address,
            caller_address,
            stop_control.clone(),
        );
        let control = starting.await.context(BindSnafu {
            port: "peer",
            address: listen.peer.clone(),
        })?;
        let state = Arc::new(ServerState::open(
            settings.clone(),
            control.view.clone(),
            control.quarantine.clone(),
        ));
        feeds::supervise_cache_events(&state, &stop_control);
        supervise("metrics_upkeep", stop_control.clone(), metrics::keep_up);
        let stop_ports = CancellationToken::new();
        let limits = settings.limits.port_limits();
        let caller_port = http::serve(
            caller_listener,
            entry::router(&state),
            limits.clone(),
            stop_ports.clone(),
        );
        let operator_port = http::serve(
            operator_listener,
            operator::router(&state, &control),
            limits,
            stop_ports.clone(),
        );
        Ok(Self {
            caller_address,
            operator_address,
            peer_address: control.peer_address,
            state,
            control,
            stop_ports,
            stop_control,
            ports: vec![tokio::spawn(caller_port), tokio::spawn(operator_port)],
        })
    }

    /// Returns whether the daemon accepts new work: it has a configuration that
    /// it may use, the credits granted before it started have expired, and it is
    /// not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.view.load().is_ready
    }

    /// Returns the number of other daemons that this one considers live.
    #[must_use]
    pub fn live_peer_count(&self) -> usize {
        self.state.view.load().peers.len()
    }

    /// Stops the daemon gracefully. It reports that it is not ready, still accepts
    /// connections for `drain_lag`, since the load balancer notices that with a
    /// delay, and then finishes the requests in progress and the writes that end
    /// their claims in the ledger.
    pub async fn stop(self) {
        log::info!("event=drain_started");
        self.state.is_draining.store(true, Ordering::Release);
        let _ = self.control.events.send(Event::Drain).await;
        tokio::time::sleep(self.state.settings.timing.drain_lag).await;
        self.stop_ports.cancel();
        while self.state.active_requests.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        for port in self.ports {
            let _ = port.await;
        }
        settle::wait_until_ended().await;
        self.stop_control.cancel();
        log::info!("event=drain_ended");
    }
}

fn parse_address(port: &'static str, address: &str) -> Result<SocketAddr, DaemonError> {
    let parsed = address.parse();
    parsed.map_err(|e| DaemonError::Bind {
        port,
        address: address.into(),
        source: std::io::Error::other(format!("{e}")),
    })
}

/// Binds a TCP listener and returns it with its bound address.
async fn bind(port: &'static str, address: &str) -> Result<(TcpListener, SocketAddr), DaemonError> {
    let parsed = parse_address(port, address)?;
    let listener = TcpListener::bind(parsed)
        .await
        .context(BindSnafu { port, address })?;
    let bound = listener.local_addr().context(BindSnafu { port, address })?;
    Ok((listener, bound))
}
