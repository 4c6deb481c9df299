//! Connections to targets, and calls to engines other than forwarded requests: copying a run's
//! memory from one engine to another, and stopping runs.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::Request;
use tokio::net::TcpStream;

/// Error of a failed call to an engine.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("{reason}"))]
pub struct EngineCallError {
    /// Text that gives the failed step, the peer and the cause.
    pub reason: Box<str>,
}

/// Request to copy a run's memory to another engine.
#[derive(Clone, Debug)]
pub struct CopyRequest {
    /// Address of the engine on which the run is in progress.
    pub source: SocketAddr,
    /// Id of the request that started the run.
    pub request_id: Box<str>,
    /// Address of the engine that receives the copy.
    pub destination: SocketAddr,
}

/// What an engine answered to a request to stop a run and to copy its memory, or what its
/// report says of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopAnswer {
    /// The run has stopped, and its copy is complete.
    Copied(CopyHandle),
    /// The run has stopped, and there is no new copy; the engine keeps its memory.
    Stopped,
    /// The engine has no such run.
    NoSuchRun,
    /// No process listens at the engine's address.
    Gone,
    /// No connection was established in time.
    Unreachable,
    /// The run may go on, for the reason given.
    Unknown(Box<str>),
}

/// Identifier of a copy, assigned by the engine that made it.
pub type CopyHandle = Box<str>;

/// Opens a TCP connection to a target.
pub type Dial = Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> + Send + Sync>;

/// Calls to engines, supplied by the platform's adapter.
#[derive(Clone)]
pub struct EngineCalls {
    /// Opens the connections on which requests are forwarded.
    pub dial: Dial,
    /// Copies a run's memory while the run continues. A second call copies only
    /// what was added since the first.
    pub copy_run: Arc<
        dyn Fn(CopyRequest) -> BoxFuture<'static, Result<CopyHandle, EngineCallError>>
            + Send
            + Sync,
    >,
    /// Stops a run and copies what its engine has of it. The timeout bounds the whole call.
    pub stop_run:
        Arc<dyn Fn(CopyRequest, Duration) -> BoxFuture<'static, StopAnswer> + Send + Sync>,
    /// Looks a request id up in the runs that an engine reports: [`StopAnswer::NoSuchRun`] if
    /// it is not there. Reports are some hundred milliseconds old.
    pub find_run:
        Arc<dyn Fn(SocketAddr, Box<str>, Duration) -> BoxFuture<'static, StopAnswer> + Send + Sync>,
    /// Builds a request that the target with this id, at this address, answers without running
    /// anything, and that any other target answers with 421. `None` if no header can hold the id.
    pub identity_request: fn(&str, SocketAddr) -> Option<Request<Full<Bytes>>>,
    /// Formats the reference by which a request names the copy it resumes from:
    /// the address of the engine that made or keeps the copy, and the copy's
    /// handle or the run's request id.
    pub copy_reference: fn(SocketAddr, &str) -> Box<str>,
}
