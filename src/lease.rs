//! Lease on a target that is still cold after a start.
//!
//! A lease is one object at the platform that is written only on condition of
//! its last revision, so that two daemons that both consider themselves the
//! owner cannot both hold it. The revision is the fencing token.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    clock::BootTime,
    platform::{Object, PutResult, Revision, WriteCondition},
    warmup::RampState,
    wire::MemberId,
};

/// Key prefix of the lease objects of targets.
pub const TARGET_LEASE_PREFIX: &str = "lease/target/";

/// Value of a lease object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Daemon that holds the lease.
    pub holder: MemberId,
    /// State of the target's ramp, for the next owner.
    pub ramp: Option<RampState>,
    /// Whether the holder released the lease, so that another daemon need not wait
    /// for it to expire.
    #[serde(default)]
    pub is_released: bool,
}

/// A call to the platform on a lease object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseCall {
    /// A read of the object.
    Read,
    /// A write of the object under this condition.
    Write(WriteCondition),
}

/// What a call on a lease object is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPurpose {
    /// To acquire or renew the lease.
    Acquire,
    /// To release the lease.
    Release,
}

/// One lease as seen by this daemon.
///
/// Invariant: the lease counts as held only for `life` by this daemon's own
/// clock, measured from a time before the write that acquired or renewed it was
/// sent.
#[derive(Clone, Debug)]
pub struct Lease {
    me: MemberId,
    life: Duration,
    /// Last revision seen (0 for an absent object), and since when it has been
    /// unchanged; `None` before the first read.
    last_seen: Option<(Revision, BootTime)>,
    /// Whether the lease may be acquired without waiting for it to expire.
    can_acquire: bool,
    /// What the last call is for; `None` if its answer no longer matters.
    purpose: Option<CallPurpose>,
    /// Whether the object, as last seen, names this daemon as the holder of a lease
    /// that is not released.
    is_recorded: bool,
    /// When this daemon acquired the lease, which counts as held until
    /// `held_until`; `None` if it never did, or released or lost the lease.
    held_since: Option<BootTime>,
    held_until: BootTime,
    /// Until when the answer to the last call is awaited.
    pending_until: BootTime,
    /// When [`Lease::next_call`] last returned a call; `None` if it never did.
    last_call_at: Option<BootTime>,
}

impl Lease {
    /// Creates a lease whose object has not been read yet.
    #[must_use]
    pub fn new(me: MemberId, life: Duration) -> Self {
        Self {
            me,
            life,
            last_seen: None,
            can_acquire: false,
            purpose: None,
            is_recorded: false,
            held_since: None,
            held_until: BootTime::ZERO,
            pending_until: BootTime::ZERO,
            last_call_at: None,
        }
    }

    /// Returns when the lease was acquired, if it is held at `now`. This is
    /// [`BootTime::ZERO`] if no daemon had held it before.
    #[must_use]
    pub fn held_since(&self, now: BootTime) -> Option<BootTime> {
        self.held_since.filter(|_| now < self.held_until)
    }

    /// Returns true once after the lease expired without being renewed or released.
    pub fn take_expiry(&mut self, now: BootTime) -> bool {
        let is_expired = |_: &mut BootTime| now >= self.held_until;
        self.held_since.take_if(is_expired).is_some()
    }

    /// Returns the call that is due to acquire or renew the lease, if any. A
    /// held lease is renewed after half its lifetime; calls are at least an
    /// eighth of it apart.
    pub fn next_call(&mut self, now: BootTime) -> Option<LeaseCall> {
        if now < self.pending_until {
            return None;
        }
        let renew_at = self.held_until.saturating_sub(self.life / 2);
        if self.held_since(now).is_some() && now < renew_at {
            return None;
        }
        let min_interval = self.life / 8;
        if self
            .last_call_at
            .is_some_and(|at| now.saturating_sub(at) < min_interval)
        {
            return None;
        }
        self.purpose = Some(CallPurpose::Acquire);
        self.last_call_at = Some(now);
        self.pending_until = now + self.life;
        let is_available = |at| self.can_acquire || now.saturating_sub(at) > self.life;
        Some(match self.last_seen {
            Some((revision, _)) if self.held_since(now).is_some() => {
                LeaseCall::Write(WriteCondition::AtRevision(revision))
            }
            Some((0, _)) => LeaseCall::Write(WriteCondition::Absent),
            Some((revision, at)) if is_available(at) => {
                LeaseCall::Write(WriteCondition::AtRevision(revision))
            }
            _ => LeaseCall::Read,
        })
    }

    /// Records the object as read; `None` if it is absent.
    pub fn on_read(&mut self, object: Option<&Object>, now: BootTime) {
        self.pending_until = BootTime::ZERO;
        let revision = object.map_or(0, |o| o.revision);
        if self
            .last_seen
            .is_none_or(|(last_seen, _)| last_seen != revision)
        {
            self.last_seen = Some((revision, now));
        }
        let record = object.and_then(|o| o.value.clone());
        let record: Option<LeaseRecord> = record.and_then(|v| serde_json::from_value(v).ok());
        // If this daemon is the recorded holder, the answer to its write was
        // lost, and it may write again. A warm ramp means that the holder no
        // longer needs the lease.
        let is_released =
            |r: &LeaseRecord| r.is_released || r.ramp.as_ref().is_some_and(|r| r.is_warm);
        let is_mine = |r: &LeaseRecord| r.holder == self.me;
        self.can_acquire = record
            .as_ref()
            .is_some_and(|r| is_mine(r) || is_released(r));
        self.is_recorded = record
            .as_ref()
            .is_some_and(|r| is_mine(r) && !is_released(r));
    }

    /// Returns whether the object names this daemon as the holder, so that others must
    /// wait for the lease to expire.
    #[must_use]
    pub fn is_recorded(&self) -> bool {
        self.is_recorded
    }

    /// Releases the lease and returns the write after which other daemons may acquire
    /// it, unless the answer to an earlier call is awaited: the write of that call may
    /// have changed the revision.
    pub fn next_release(&mut self, now: BootTime) -> Option<LeaseCall> {
        let (revision, _) = self.last_seen.filter(|_| now >= self.pending_until)?;
        self.release();
        // Until its answer, no other call is made, for which it could be taken.
        self.pending_until = now + self.life;
        self.purpose = Some(CallPurpose::Release);
        self.is_recorded = false;
        Some(LeaseCall::Write(WriteCondition::AtRevision(revision)))
    }

    /// Releases the lease: it no longer counts as held.
    pub fn release(&mut self) {
        self.purpose.take_if(|p| *p == CallPurpose::Acquire);
        self.held_since = None;
        self.held_until = BootTime::ZERO;
        self.can_acquire = false;
    }

    /// Records the result of a write that was sent at `sent_at`.
    pub fn on_write(&mut self, result: &PutResult, sent_at: BootTime, now: BootTime) {
        let is_release = self.end_release();
        match result {
            PutResult::Written(revision) => {
                self.is_recorded = !is_release;
                let was_absent = self.last_seen.is_some_and(|(last_seen, _)| last_seen == 0);
                self.last_seen = Some((*revision, now));
                self.pending_until = BootTime::ZERO;
                if self.purpose != Some(CallPurpose::Acquire) {
                    return;
                }
                if was_absent {
                    self.held_since = Some(BootTime::ZERO);
                } else if self.held_since(now).is_none() {
                    self.held_since = Some(now);
                }
                self.held_until = sent_at + self.life;
            }
            PutResult::Conflict(object) => {
                self.held_since = None;
                self.on_read(object.as_ref(), now);
            }
        }
    }

    /// Records that a call failed or its answer was lost, so that the state of
    /// the object is unknown. A release is due again after the life of the lease.
    pub fn on_failure(&mut self) {
        if self.end_release() {
            self.is_recorded = true;
        } else {
            self.pending_until = BootTime::ZERO;
        }
    }

    /// Returns whether a write that releases the lease was outstanding, and ends that.
    fn end_release(&mut self) -> bool {
        let is_release = |p: &mut CallPurpose| *p == CallPurpose::Release;
        self.purpose.take_if(is_release).is_some()
    }
}
