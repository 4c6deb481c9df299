//! The daemon of an entry instance: all ports and roles, started and stopped.

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
};

/// Pause between looks at what still runs while stopping.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// A daemon that could not be started.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// A port could not be bound.
    #[snafu(display("step=bind port={port} address={address}: {source}"))]
    Bind {
        /// Which port.
        port: &'static str,
        /// Address from the settings.
        address: Box<str>,
        /// What the system said.
        source: std::io::Error,
    },
}

/// A running daemon.
pub struct Daemon {
    /// Address of the callers' port.
    pub caller_address: SocketAddr,
    /// Address of the operators' port.
    pub operator_address: SocketAddr,
    /// Address of the peer port, UDP and TCP.
    pub peer_address: SocketAddr,
    state: Arc<ServerState>,
    control: ControlHandle,
    stop_ports: CancellationToken,
    stop_control: CancellationToken,
    ports: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Binds all ports and starts the daemon; it becomes ready by itself.
    ///
    /// # Errors
    /// A port cannot be bound.
    pub async fn spawn(settings: Settings) -> Result<Self, DaemonError> {
        metrics::install();
        let settings = Arc::new(settings);
        let listen = &settings.listen;
        let (callers, caller_address) = bind("caller", &listen.caller).await?;
        let (operators, operator_address) = bind("operator", &listen.operator).await?;
        let stop_control = CancellationToken::new();
        let peer_address = parse("peer", &listen.peer)?;
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
        let stop_ports = CancellationToken::new();
        let limits = settings.limits.port();
        let caller_port = http::serve(
            callers,
            entry::router(&state),
            limits.clone(),
            stop_ports.clone(),
        );
        let operator_port = http::serve(
            operators,
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

    /// Whether it has a configuration and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.view.load().is_ready
    }

    /// Live daemons that it sees besides itself.
    #[must_use]
    pub fn peers(&self) -> usize {
        self.state.view.load().peers.len()
    }

    /// Stops gracefully: first not ready, then accepting for the balancer's
    /// lag, then finishing everything that runs.
    pub async fn stop(self) {
        log::info!("event=drain_started");
        self.state.is_draining.store(true, Ordering::Release);
        let _ = self.control.events.send(Event::Drain).await;
        tokio::time::sleep(self.state.settings.timing.drain_lag).await;
        self.stop_ports.cancel();
        while self.state.active_requests.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        for port in self.ports {
            let _ = port.await;
        }
        settle::wait_until_ended().await;
        self.stop_control.cancel();
        log::info!("event=drain_ended");
    }
}

fn parse(port: &'static str, address: &str) -> Result<SocketAddr, DaemonError> {
    let parsed = address.parse();
    parsed.map_err(|e| DaemonError::Bind {
        port,
        address: address.into(),
        source: std::io::Error::other(format!("{e}")),
    })
}

async fn bind(port: &'static str, address: &str) -> Result<(TcpListener, SocketAddr), DaemonError> {
    let parsed = parse(port, address)?;
    let listener = TcpListener::bind(parsed)
        .await
        .context(BindSnafu { port, address })?;
    let bound = listener.local_addr().context(BindSnafu { port, address })?;
    Ok((listener, bound))
}
