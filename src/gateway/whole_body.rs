//! Reads bodies whole, within a limit on their size and on the memory of all bodies.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

use super::memory::{MemoryGrant, MemoryPool, SMALL_BYTES};

/// Longest wait for memory of a body that fails on a shortage: about the time in which others
/// are sent and answered, and a small part of a caller's deadline.
const MEMORY_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of bodies that wait for memory; what has arrived of them waits in the
/// sockets' buffers, some 64 KiB each.
const MAX_WAITING: usize = 16;
/// Interval at which a body that waits for memory reports a shortage; a shorter wait is none.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Size up to which a body does not wait for larger ones to go first, in bytes.
const PASSING_BYTES: usize = 64 * 1024;

/// Why a body was not read to its end.
#[derive(Debug, snafu::Snafu)]
pub(crate) enum BodyError {
    /// The body is larger than the limit.
    #[snafu(display("the body is larger than {max_bytes} bytes"))]
    TooLarge {
        /// Largest body accepted, in bytes.
        max_bytes: usize,
    },
    /// Other bodies take the memory.
    #[snafu(display("no memory for the body"))]
    NoMemory,
    /// The connection failed before the end of the body, or its framing is invalid.
    #[snafu(display("{reason}"))]
    Broken {
        /// Error of the connection.
        reason: Box<str>,
    },
}

/// What to do if other bodies take the memory for the length that a body declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shortage {
    /// Fail soon: a request has not run yet, and its caller may come back.
    Fail,
    /// Wait: the target has run the request already.
    Wait,
}

/// Reads a body of at most `max_bytes`, with memory from `pool`. Without a declared length,
/// memory is taken as the body grows, and a shortage fails at once. Calls `on_shortage` when
/// a body waits for memory.
pub(crate) async fn read_whole<B>(
    mut body: B,
    max_bytes: usize,
    pool: &MemoryPool,
    shortage: Shortage,
    on_shortage: impl Fn(),
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let length = declared_length(&body, max_bytes)?;
    let grant = match own_bytes(length) {
        0 => Some(MemoryGrant::default()),
        bytes if shortage == Shortage::Wait => take_at_last(pool, bytes, on_shortage).await,
        bytes if bytes > pool.size() => return Err(BodyError::TooLarge { max_bytes }),
        bytes => take_soon(pool, bytes, on_shortage).await,
    };
    let mut grant = grant.ok_or(BodyError::NoMemory)?;
    let mut buf = BytesMut::with_capacity(length);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Broken {
            reason: e.to_string().into(),
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let len = buf.len() + data.len();
        if len > max_bytes {
            return Err(BodyError::TooLarge { max_bytes });
        }
        if len > buf.capacity() {
            let capacity = (2 * buf.capacity()).clamp(len, max_bytes);
            if !grant.try_resize_first(pool, own_bytes(capacity)) {
                return Err(BodyError::NoMemory);
            }
            buf.reserve(capacity - buf.len());
        }
        buf.extend_from_slice(&data);
    }
    Ok(match grant.bytes() {
        0 => buf.freeze(),
        _ => grant.attach(buf.freeze()),
    })
}

/// Takes memory for a body whose request has not run, within [`MEMORY_WAIT`].
async fn take_soon(pool: &MemoryPool, bytes: usize, on_shortage: impl Fn()) -> Option<MemoryGrant> {
    let taken = if bytes <= PASSING_BYTES {
        pool.try_take_first(bytes)
    } else {
        pool.try_take(bytes)
    };
    if taken.is_some() {
        return taken;
    }
    on_shortage();
    if pool.waiting() >= MAX_WAITING {
        return None;
    }
    let taking = tokio::time::timeout(MEMORY_WAIT, pool.take(bytes)).await;
    taking.ok().flatten()
}

/// Takes memory for a body whose request has run. Calls `on_shortage` now and then while it waits.
async fn take_at_last(
    pool: &MemoryPool,
    bytes: usize,
    on_shortage: impl Fn(),
) -> Option<MemoryGrant> {
    let mut taking = std::pin::pin!(pool.take(bytes));
    loop {
        match tokio::time::timeout(REPORT_INTERVAL, taking.as_mut()).await {
            Ok(taken) => return taken,
            Err(_) => on_shortage(),
        }
    }
}

/// Returns the declared length, or 0 without one.
fn declared_length(body: &impl Body, max_bytes: usize) -> Result<usize, BodyError> {
    let length = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if length > max_bytes {
        return Err(BodyError::TooLarge { max_bytes });
    }
    Ok(length)
}

/// Returns how much memory of its own a body needs, given its size.
fn own_bytes(len: usize) -> usize {
    if len <= SMALL_BYTES { 0 } else { len }
}
