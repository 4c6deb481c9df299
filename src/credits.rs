//! What a daemon may have in flight at one target, on the holder's side.

use std::sync::{
    Arc,
    atomic::{AtomicU32, AtomicU64, Ordering},
};

use crate::clock::{BootTime, millis};

/// Credits held for one target. Control grants; traffic takes and gives back.
///
/// Invariant: a permit is only given while fewer than `granted` are out and
/// the grant has not lapsed.
#[derive(Debug, Default)]
pub struct Credit {
    granted: AtomicU32,
    lapses_at_ms: AtomicU64,
    in_flight: AtomicU32,
}

impl Credit {
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
        taken.ok().map(|_| Permit {
            credit: Arc::clone(self),
        })
    }

    /// Counts a request that must go on here whatever the grant: one that is
    /// resumed at the engine that already runs it.
    #[must_use]
    pub fn take_running(self: &Arc<Self>) -> Permit {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        Permit {
            credit: Arc::clone(self),
        }
    }
}

/// One credit in use; dropping it gives it back.
#[derive(Debug)]
pub struct Permit {
    credit: Arc<Credit>,
}

impl Permit {
    /// Whether the grant still stands at `now`. Checked right before the bytes
    /// leave, since the process may have been paused since the permit was taken.
    #[must_use]
    pub fn is_current(&self, now: BootTime) -> bool {
        self.credit.held(now) >= 1
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
