//! Stand-ins: small programs that play the outside systems in tests, in load runs
//! and in the quickstart.

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

/// Number of retries to register, since the platform may still be starting.
const REGISTER_RETRIES: usize = 20;
/// Pause between tries to register, and maximum wait for a connection.
const REGISTER_PAUSE: Duration = Duration::from_millis(250);

/// Failure of a stand-in or of the quickstart, with the step and the peer.
#[derive(Debug, Snafu)]
pub enum StandinError {
    /// An address could not be bound, or a file could not be opened.
    #[snafu(display("step={step} peer={peer}: {source}"))]
    Io {
        /// Step that failed.
        step: &'static str,
        /// Address or file at which it failed.
        peer: Box<str>,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A call failed.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// Error with the step and the peer.
        source: CallError,
    },
    /// A peer answered or behaved in an unexpected way.
    #[snafu(display("step={step} peer={peer}: {reason}"))]
    Unexpected {
        /// Step that failed.
        step: &'static str,
        /// Name or address of the peer.
        peer: Box<str>,
        /// Answer or behaviour of the peer.
        reason: Box<str>,
    },
}

/// Handle of a running stand-in, which serves until the handle is stopped or
/// dropped.
pub struct Running {
    /// Address on which it listens.
    pub address: SocketAddr,
    stop: CancellationToken,
}

impl Running {
    /// Stops accepting requests; running ones are finished.
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

/// Registers a target in the platform's instance list, if `args` name a platform.
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

/// Registers an instance in the platform's instance list. Repeats the request until
/// the platform answers with success; an answer without success is always repeated.
///
/// # Errors
/// Returns an error if the try after `REGISTER_RETRIES` retries gets no complete
/// answer. If that try is answered without success, all later failures lead to
/// another try.
pub async fn register(platform: &str, instance: &Instance) -> Result<(), StandinError> {
    let client = http::new_client(REGISTER_PAUSE, None);
    let body = Bytes::from(serde_json::to_vec(instance).unwrap_or_default());
    let mut retries = 0;
    loop {
        let req = http::json_request(&Method::POST, platform, "/v1/instances", body.clone())?;
        match http::send_request(&client, req, Duration::from_secs(2), 1024).await {
            Ok(res) if res.status().is_success() => return Ok(()),
            Err(e) if retries == REGISTER_RETRIES => return Err(e.into()),
            _ => {}
        }
        retries += 1;
        tokio::time::sleep(REGISTER_PAUSE).await;
    }
}
