//! Credits that this daemon holds for one target.
//!
//! A credit allows one request in flight at the target. The control thread sets
//! how many credits there are and until when they are valid; request handlers
//! acquire and return them without a lock, so a request needs no message to the
//! target's owner.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;

use crate::{
    clock::{self, BootTime, millis},
    wire::BootId,
};

/// Shortest time between two urgent requests for the credits of one target whose
/// owner granted less than was wanted.
pub(crate) const MIN_URGENT_REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Credits held for one target, granted by the control thread and used by
/// request handlers.
///
/// Invariant: [`Credit::try_acquire`] returns a permit only while fewer than
/// `granted` permits are in use and the grant has not expired.
#[derive(Debug, Default)]
pub struct Credit {
    granted: AtomicU32,
    expires_at_ms: AtomicU64,
    in_flight: AtomicU32,
    /// Start of the target that the grant is for; `None` if it is not known.
    boot_id: ArcSwapOption<BootId>,
    /// Whether a request found no free credit since the last credit request to
    /// the owner.
    has_shortage: AtomicBool,
    /// Whether the owner's last grant was smaller than wanted, but not zero.
    is_saturated: AtomicBool,
    wake: Arc<Notify>,
    notified_at_ms: AtomicU64,
    first_token_band_ms: AtomicU64,
    on_time: AtomicU64,
    late: AtomicU64,
    failures: AtomicU64,
}

impl Credit {
    /// Creates a `Credit` without credits; `wake` is notified when a request
    /// finds none.
    #[must_use]
    pub fn with_wake(wake: Arc<Notify>) -> Self {
        Self {
            wake,
            ..Self::default()
        }
    }

    /// Returns whether a request found no credit since
    /// [`Credit::clear_shortage`].
    #[must_use]
    pub fn has_shortage(&self) -> bool {
        self.has_shortage.load(Ordering::Acquire)
    }

    /// Clears the flag that a request found no credit.
    pub fn clear_shortage(&self) {
        self.has_shortage.store(false, Ordering::Release);
    }

    /// Returns whether the owner's last grant was smaller than wanted, but not
    /// zero.
    #[must_use]
    pub fn is_saturated(&self) -> bool {
        self.is_saturated.load(Ordering::Acquire)
    }

    /// Records whether the owner's last grant was smaller than wanted, but not
    /// zero.
    pub fn set_saturated(&self, is_saturated: bool) {
        self.is_saturated.store(is_saturated, Ordering::Release);
    }

    /// Sets the time to the first token up to which a target counts as warm.
    pub fn set_first_token_band(&self, band: Duration) {
        self.first_token_band_ms
            .store(millis(band), Ordering::Release);
    }

    /// Returns the number of first tokens within the band, and of later ones.
    #[must_use]
    pub fn first_tokens(&self) -> (u64, u64) {
        let on_time = self.on_time.load(Ordering::Acquire);
        (on_time, self.late.load(Ordering::Acquire))
    }

    /// Returns the number of runs that failed. After each one, the target may
    /// have restarted.
    #[must_use]
    pub fn failures(&self) -> u64 {
        self.failures.load(Ordering::Acquire)
    }

    /// Replaces the grant: `granted` requests at once, until `expires_at`.
    pub fn grant(&self, granted: u32, expires_at: BootTime) {
        // A smaller count is stored before its expiry time, so that a concurrent
        // reader never sees the larger count with the new expiry time; a larger
        // count is stored after its expiry time is in place.
        if granted <= self.granted.load(Ordering::Acquire) {
            self.granted.store(granted, Ordering::Release);
            self.expires_at_ms
                .store(millis(expires_at), Ordering::Release);
        } else {
            self.expires_at_ms
                .store(millis(expires_at), Ordering::Release);
            self.granted.store(granted, Ordering::Release);
        }
    }

    /// Records the start of the target that the next grant is for. If it is another
    /// start than before, drops the current grant, so that no credit of one start is
    /// used at another.
    pub fn set_boot_id(&self, boot_id: &str) {
        let is_same = |known: &BootId| **known == *boot_id;
        if !self.boot_id.load().as_deref().is_some_and(is_same) {
            self.grant(0, BootTime::ZERO);
            self.boot_id.store(Some(Arc::new(boot_id.into())));
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Returns the number of credits granted that have not expired at `now`.
    #[must_use]
    pub fn held(&self, now: BootTime) -> u32 {
        if millis(now) < self.expires_at_ms.load(Ordering::Acquire) {
            self.granted.load(Ordering::Acquire)
        } else {
            0
        }
    }

    /// Returns the number of requests that could start at `now`.
    #[must_use]
    pub fn free(&self, now: BootTime) -> u32 {
        self.held(now).saturating_sub(self.in_flight())
    }

    /// Acquires one credit, or reports a shortage if none is free.
    #[must_use]
    pub fn try_acquire(self: &Arc<Self>, now: BootTime) -> Option<Permit> {
        // The boot id is read before the grant: a grant that follows a change of the
        // boot id is then at worst used with the older one, which the target declines.
        let boot_id = self.boot_id.load_full();
        let held = self.held(now);
        let acquired =
            self.in_flight
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |in_flight| {
                    (in_flight < held).then_some(in_flight + 1)
                });
        if acquired.is_err() {
            self.report_shortage(now);
        }
        acquired.ok().map(|_| self.permit(now, boot_id))
    }

    /// Records that a request found no credit and wakes the control thread to
    /// request more from the owner. Until a credit request clears the flag,
    /// further calls repeat the notification at most once per
    /// [`MIN_URGENT_REQUEST_INTERVAL`].
    pub fn report_shortage(&self, now: BootTime) {
        let is_new = !self.has_shortage.swap(true, Ordering::AcqRel);
        let notified_at = self.notified_at_ms.load(Ordering::Acquire);
        if is_new || millis(now) >= notified_at + millis(MIN_URGENT_REQUEST_INTERVAL) {
            self.notified_at_ms.store(millis(now), Ordering::Release);
            self.wake.notify_one();
        }
    }

    fn permit(self: &Arc<Self>, acquired_at: BootTime, boot_id: Option<Arc<BootId>>) -> Permit {
        Permit {
            credit: Arc::clone(self),
            acquired_at,
            boot_id,
        }
    }

    /// Returns a permit regardless of the grant, for a request that is resumed
    /// at the engine that already runs it.
    #[must_use]
    pub fn acquire_for_resumed(self: &Arc<Self>) -> Permit {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        self.permit(clock::now(), None)
    }
}

/// One credit in use; dropping it returns the credit.
#[derive(Debug)]
pub struct Permit {
    credit: Arc<Credit>,
    acquired_at: BootTime,
    /// Start of the target that the credit was granted for; `None` if it is not known.
    boot_id: Option<Arc<BootId>>,
}

impl Permit {
    /// Returns whether the target's grant is still valid at `now`. Callers check
    /// this right before they send the request, since the process may have been
    /// paused after the permit was acquired.
    #[must_use]
    pub fn is_current(&self, now: BootTime) -> bool {
        self.credit.held(now) >= 1
    }

    /// Returns the start of the target that the credit was granted for, if it is
    /// known.
    #[must_use]
    pub fn boot_id(&self) -> Option<&BootId> {
        self.boot_id.as_deref()
    }

    /// Records that the run failed or could not start. Drops all credits of the
    /// target until its owner has probed it for a restart.
    pub fn record_failure(&self) {
        self.credit.failures.fetch_add(1, Ordering::AcqRel);
        self.credit.grant(0, BootTime::ZERO);
        self.credit.has_shortage.store(true, Ordering::Release);
        self.credit.wake.notify_one();
    }

    /// Records that the first token arrived at `now`. Late first tokens are the
    /// sign that a warm target has become cold again.
    pub fn record_first_token(&self, now: BootTime) {
        let waited = millis(now.saturating_sub(self.acquired_at));
        let is_on_time = waited <= self.credit.first_token_band_ms.load(Ordering::Acquire);
        let count = if is_on_time {
            &self.credit.on_time
        } else {
            &self.credit.late
        };
        count.fetch_add(1, Ordering::AcqRel);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.credit.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the share of `limit` that one of `daemons` may use without
/// requesting credits from an owner, as the `least_in_flight` policy does.
#[must_use]
pub fn local_share(limit: u32, daemons: usize) -> u32 {
    let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
    (limit / daemons).max(1)
}
