//! Decides when the sender of a request body is too slow, or the reader of a response.
//!
//! Load pattern: many clients send bodies and stop before their end, or send a byte now and
//! then. Each holds the memory of its body and a connection, so that ordinary callers find
//! none. Ordinary callers may pause for some seconds where a network loses packets.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Instant, Sleep, sleep};

use crate::clock::{self, BootTime};

/// Rate below which a body is too slow while others find no room, in bytes per second. The
/// slowest mobile networks in use are faster.
const MIN_RATE: f64 = 16.0 * 1024.0;
/// Time for which a shortage lasts after a request or a connection found no room: refused
/// callers return after one to two seconds.
const SHORTAGE_TIME: Duration = Duration::from_secs(3);
/// Interval at which a body that does not arrive is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest times for a body.
#[derive(Clone, Copy, Debug)]
pub struct PaceLimits {
    /// Time at which the whole body has to be there.
    pub deadline: BootTime,
    /// Longest pause.
    pub pause: Duration,
    /// Longest pause during a shortage, and time after which the least rate holds then.
    pub shortage_pause: Duration,
}

/// Progress of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyPace {
    began_at: BootTime,
    last_at: BootTime,
    bytes: usize,
}

impl BodyPace {
    /// Creates the state of a body of which nothing has arrived.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self {
            began_at: now,
            last_at: now,
            bytes: 0,
        }
    }

    /// Records bytes that arrived.
    pub fn record(&mut self, bytes: usize, now: BootTime) {
        self.bytes += bytes;
        self.last_at = now;
    }

    /// Returns whether the sender is too slow.
    #[must_use]
    pub fn is_too_slow(&self, limits: &PaceLimits, has_shortage: bool, now: BootTime) -> bool {
        let pause = now.saturating_sub(self.last_at);
        if now >= limits.deadline || pause >= limits.pause {
            return true;
        }
        let counted = now
            .saturating_sub(self.began_at)
            .saturating_sub(limits.shortage_pause);
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let is_below_rate = (self.bytes as f64) < MIN_RATE * counted.as_secs_f64();
        has_shortage && (pause >= limits.shortage_pause || is_below_rate)
    }
}

/// Whether a request or a connection found no room a short time ago. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shortages(Arc<AtomicU64>);

impl Shortages {
    /// Records a shortage. Returns whether it is the first one for some time.
    pub fn record(&self) -> bool {
        let is_first = !self.is_recent();
        self.0.store(clock::millis(clock::now()), Ordering::Relaxed);
        is_first
    }

    /// Returns whether there was one a short time ago.
    pub fn is_recent(&self) -> bool {
        let last = self.0.load(Ordering::Relaxed);
        let age = clock::millis(clock::now()).saturating_sub(last);
        last > 0 && u128::from(age) <= SHORTAGE_TIME.as_millis()
    }
}

/// Error of a [`PacedBody`].
#[derive(Debug, snafu::Snafu)]
pub(crate) enum PacedError<E: std::error::Error + 'static> {
    /// The sender is too slow.
    #[snafu(display("the body arrives too slowly"))]
    TooSlow,
    /// Error of the body itself.
    #[snafu(display("{source}"))]
    Broken { source: E },
}

/// Body that fails if its sender is too slow.
pub(crate) struct PacedBody<'a, B> {
    body: &'a mut B,
    pace: BodyPace,
    limits: PaceLimits,
    shortages: Shortages,
    check: Pin<Box<Sleep>>,
    pub is_too_slow: bool,
}

impl<'a, B> PacedBody<'a, B> {
    pub fn new(body: &'a mut B, limits: PaceLimits, shortages: Shortages) -> Self {
        Self {
            body,
            pace: BodyPace::new(clock::now()),
            limits,
            shortages,
            check: Box::pin(sleep(CHECK_INTERVAL)),
            is_too_slow: false,
        }
    }
}

impl<B> Body for PacedBody<'_, B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::error::Error + 'static,
{
    type Data = Bytes;
    type Error = PacedError<B::Error>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = &mut *self;
        if let Poll::Ready(frame) = Pin::new(&mut *this.body).poll_frame(cx) {
            if let Some(Ok(frame)) = &frame {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                this.pace.record(bytes, clock::now());
            }
            return Poll::Ready(frame.map(|f| f.map_err(|source| PacedError::Broken { source })));
        }
        while this.check.as_mut().poll(cx).is_ready() {
            let has_shortage = this.shortages.is_recent();
            if this
                .pace
                .is_too_slow(&this.limits, has_shortage, clock::now())
            {
                this.is_too_slow = true;
                return Poll::Ready(Some(Err(PacedError::TooSlow)));
            }
            let next = Instant::now() + CHECK_INTERVAL;
            this.check.as_mut().reset(next);
        }
        Poll::Pending
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
