//! Small stand-ins for the outside systems, for tests and first tries.

pub mod batch;
pub mod engine;
pub(crate) mod fleet;
mod history;
pub mod platform;
pub mod quickstart;
pub mod service;

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::Method;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use viz::Router;

use crate::{
    cli::TargetArgs,
    http::{self, CallError, PortLimits},
    platform::{Instance, InstanceRole, InstanceState},
};

/// Tries to register with a platform that is starting.
const REGISTER_TRIES: usize = 20;
/// Pause between tries to register.
const REGISTER_PAUSE: Duration = Duration::from_millis(250);

/// A stand-in that could not do its part, with the step and the peer.
#[derive(Debug, Snafu)]
pub enum StandinError {
    /// An address could not be bound, or a file not opened.
    #[snafu(display("step={step} peer={peer}: {source}"))]
    Io {
        /// Step that failed.
        step: &'static str,
        /// Address or file.
        peer: Box<str>,
        /// What the system said.
        source: io::Error,
    },
    /// A call failed.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// The step and the peer.
        source: CallError,
    },
    /// A peer did something else than it should.
    #[snafu(display("step={step} peer={peer}: {reason}"))]
    Unexpected {
        /// Step that failed.
        step: &'static str,
        /// Who was at fault.
        peer: Box<str>,
        /// What it did.
        reason: Box<str>,
    },
}

/// A stand-in that serves until it is dropped or stopped.
pub struct Running {
    /// Address it listens on.
    pub address: SocketAddr,
    stop: CancellationToken,
}

impl Running {
    /// Stops accepting; what runs is finished.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Binds `address` and serves `router` in the background.
pub(crate) async fn spawn_http(
    address: &str,
    router: Router,
    stop: CancellationToken,
) -> Result<Running, StandinError> {
    let failed = |source| StandinError::Io {
        step: "bind",
        peer: address.into(),
        source,
    };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let limits = PortLimits::default();
    let serving = http::serve(listener, router, limits, stop.clone());
    tokio::spawn(serving);
    Ok(Running { address, stop })
}

/// Enters a target into the platform's instance list.
pub(crate) async fn register_target(
    args: &TargetArgs,
    address: SocketAddr,
) -> Result<(), StandinError> {
    let Some(platform) = &args.platform else {
        return Ok(());
    };
    let instance = Instance {
        name: args.name.clone(),
        zone: args.zone.clone(),
        address: address.to_string().into(),
        state: InstanceState::Live,
        role: InstanceRole::Target {
            service: args.service.clone(),
        },
    };
    register(platform, &instance).await
}

/// Enters an instance into the platform's instance list.
///
/// # Errors
/// The platform did not answer after several tries.
pub async fn register(platform: &str, instance: &Instance) -> Result<(), StandinError> {
    let client = http::client(REGISTER_PAUSE, None);
    let body = Bytes::from(serde_json::to_vec(instance).unwrap_or_default());
    let mut tries = 0;
    loop {
        let req = http::request(&Method::POST, platform, "/v1/instances", body.clone());
        match http::call(&client, req, Duration::from_secs(2), 1024).await {
            Ok(res) if res.status().is_success() => return Ok(()),
            Err(e) if tries == REGISTER_TRIES => return Err(e.into()),
            _ => {}
        }
        tries += 1;
        tokio::time::sleep(REGISTER_PAUSE).await;
    }
}
