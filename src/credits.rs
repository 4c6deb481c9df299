//! What a daemon may have in flight at one target, on the holder's side.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::sync::Notify;

use crate::clock::{self, BootTime, millis};

/// Shortest time between two asks for one target whose owner has no more.
pub(crate) const URGENT_PAUSE: Duration = Duration::from_millis(50);

/// Credits held for one target. Control grants; traffic takes and gives back.
///
/// Invariant: a permit is only given while fewer than `granted` are out and
/// the grant has not lapsed.
#[derive(Debug, Default)]
pub struct Credit {
    granted: AtomicU32,
    lapses_at_ms: AtomicU64,
    in_flight: AtomicU32,
    /// A request found no credit since the last ask.
    is_short: AtomicBool,
    /// The owner gave less than was wanted last.
    is_full: AtomicBool,
    wake: Arc<Notify>,
    woken_at_ms: AtomicU64,
    band_ms: AtomicU64,
    good: AtomicU64,
    slow: AtomicU64,
    failures: AtomicU64,
}

impl Credit {
    /// Starts without credits; `wake` is notified when a request finds none.
    #[must_use]
    pub fn with_wake(wake: Arc<Notify>) -> Self {
        Self {
            wake,
            ..Self::default()
        }
    }

    /// Whether a request found no credit since [`Credit::clear_short`].
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.is_short.load(Ordering::Acquire)
    }

    /// Forgets that a request found no credit.
    pub fn clear_short(&self) {
        self.is_short.store(false, Ordering::Release);
    }

    /// Whether the owner gave less than was wanted last.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.is_full.load(Ordering::Acquire)
    }

    /// Notes whether the owner gave less than was wanted.
    pub fn set_full(&self, is_full: bool) {
        self.is_full.store(is_full, Ordering::Release);
    }

    /// Sets the longest time to the first token of a warm target.
    pub fn set_first_token_band(&self, band: Duration) {
        self.band_ms.store(millis(band), Ordering::Release);
    }

    /// First tokens within the band, and later ones.
    #[must_use]
    pub fn first_tokens(&self) -> (u64, u64) {
        let good = self.good.load(Ordering::Acquire);
        (good, self.slow.load(Ordering::Acquire))
    }

    /// Runs that broke: the target may have started anew since.
    #[must_use]
    pub fn failures(&self) -> u64 {
        self.failures.load(Ordering::Acquire)
    }

    /// Replaces the grant: `granted` requests at once, until `lapses_at`.
    pub fn grant(&self, granted: u32, lapses_at: BootTime) {
        // A smaller grant takes effect before its life does, a larger one after.
        if granted <= self.granted.load(Ordering::Acquire) {
            self.granted.store(granted, Ordering::Release);
            self.lapses_at_ms
                .store(millis(lapses_at), Ordering::Release);
        } else {
            self.lapses_at_ms
                .store(millis(lapses_at), Ordering::Release);
            self.granted.store(granted, Ordering::Release);
        }
    }

    /// Requests in flight now.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Credits granted that have not lapsed at `now`.
    #[must_use]
    pub fn held(&self, now: BootTime) -> u32 {
        if millis(now) < self.lapses_at_ms.load(Ordering::Acquire) {
            self.granted.load(Ordering::Acquire)
        } else {
            0
        }
    }

    /// Requests that could start now.
    #[must_use]
    pub fn free(&self, now: BootTime) -> u32 {
        self.held(now).saturating_sub(self.in_flight())
    }

    /// Takes one credit, if there is a free one.
    #[must_use]
    pub fn try_take(self: &Arc<Self>, now: BootTime) -> Option<Permit> {
        let held = self.held(now);
        let taken = self
            .in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |in_flight| {
                (in_flight < held).then_some(in_flight + 1)
            });
        if taken.is_err() {
            self.want_more(now);
        }
        taken.ok().map(|_| self.permit(now))
    }

    /// Notes that a request found no credit, so that more are asked for. While
    /// that stands without an ask, the note is repeated once a pause.
    pub fn want_more(&self, now: BootTime) {
        let is_new = !self.is_short.swap(true, Ordering::AcqRel);
        let woken_at = self.woken_at_ms.load(Ordering::Acquire);
        if is_new || millis(now) >= woken_at + millis(URGENT_PAUSE) {
            self.woken_at_ms.store(millis(now), Ordering::Release);
            self.wake.notify_one();
        }
    }

    fn permit(self: &Arc<Self>, taken_at: BootTime) -> Permit {
        Permit {
            credit: Arc::clone(self),
            taken_at,
        }
    }

    /// Counts a request that must go on here whatever the grant: one that is
    /// resumed at the engine that already runs it.
    #[must_use]
    pub fn take_running(self: &Arc<Self>) -> Permit {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        self.permit(clock::now())
    }
}

/// One credit in use; dropping it gives it back.
#[derive(Debug)]
pub struct Permit {
    credit: Arc<Credit>,
    taken_at: BootTime,
}

impl Permit {
    /// Whether the grant still stands at `now`. Checked right before the bytes
    /// leave, since the process may have been paused since the permit was taken.
    #[must_use]
    pub fn is_current(&self, now: BootTime) -> bool {
        self.credit.held(now) >= 1
    }

    /// Notes that the run broke or could not start. All credits of the target
    /// are given up until its owner has asked it whether it started anew.
    pub fn note_failure(&self) {
        self.credit.failures.fetch_add(1, Ordering::AcqRel);
        self.credit.grant(0, BootTime::ZERO);
        self.credit.is_short.store(true, Ordering::Release);
        self.credit.wake.notify_one();
    }

    /// Notes that the first token came at `now`: late ones tell that the target
    /// has turned cold.
    pub fn note_first_token(&self, now: BootTime) {
        let waited = millis(now.saturating_sub(self.taken_at));
        let is_good = waited <= self.credit.band_ms.load(Ordering::Acquire);
        let count = if is_good {
            &self.credit.good
        } else {
            &self.credit.slow
        };
        count.fetch_add(1, Ordering::AcqRel);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.credit.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Share of `limit` that one of `daemons` may use by itself: the baseline.
#[must_use]
pub fn local_share(limit: u32, daemons: usize) -> u32 {
    let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
    (limit / daemons).max(1)
}
