//! Calls to engines other than forwarded requests: copying a run's memory from
//! one engine to another.

use std::{net::SocketAddr, sync::Arc};

use futures::future::BoxFuture;

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

/// Identifier of a copy, assigned by the engine that made it.
pub type CopyHandle = Box<str>;

/// Calls to engines, supplied by the platform's adapter.
#[derive(Clone)]
pub struct EngineCalls {
    /// Copies a run's memory while the run continues. A second call copies only
    /// what was added since the first.
    pub copy_run: Arc<
        dyn Fn(CopyRequest) -> BoxFuture<'static, Result<CopyHandle, EngineCallError>>
            + Send
            + Sync,
    >,
    /// Formats the reference by which a request names the copy it resumes from:
    /// the address of the engine that made or keeps the copy, and the copy's
    /// handle or the run's request id.
    pub copy_reference: fn(SocketAddr, &str) -> Box<str>,
}
