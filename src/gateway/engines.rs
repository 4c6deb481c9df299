//! Calls to engines beside the requests themselves.

use std::{net::SocketAddr, sync::Arc};

use futures::future::BoxFuture;

/// A call to an engine that failed.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("{reason}"))]
pub struct EngineCallError {
    /// Step, peer and reason.
    pub reason: Box<str>,
}

/// One copy of a run's memory to another engine.
#[derive(Clone, Debug)]
pub struct MoveRun {
    /// Engine that has the run.
    pub source: SocketAddr,
    /// Id of the run's request.
    pub request_id: Box<str>,
    /// Engine that gets the copy.
    pub haven: SocketAddr,
}

/// Name of a copy at its source.
pub type CopyHandle = Box<str>;

/// Calls to engines; supplied by the adapter.
#[derive(Clone)]
pub struct EngineCalls {
    /// Copies a run's memory while it goes on; a second call copies what is new.
    pub move_run: Arc<
        dyn Fn(MoveRun) -> BoxFuture<'static, Result<CopyHandle, EngineCallError>> + Send + Sync,
    >,
    /// How a request names the copy that it goes on from: the address of the
    /// engine that made or keeps it, and its handle or the run's id.
    pub copy_name: fn(SocketAddr, &str) -> Box<str>,
}
