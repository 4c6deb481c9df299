//! Lease on a starting target: one object at the platform, updated
//! conditionally; its revision is the fencing number.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    clock::BootTime,
    platform::{Condition, Object, Put, Revision},
    warmup::RampState,
    wire::MemberId,
};

/// Prefix of lease objects of targets.
pub const TARGET_LEASES: &str = "lease/target/";

/// The lease object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Daemon that holds it.
    pub holder: MemberId,
    /// The target's ramp, for whoever comes after.
    pub ramp: Option<RampState>,
}

/// The next call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseCall {
    /// Read the object.
    Read,
    /// Write it under this condition.
    Write(Condition),
}

/// One lease as one daemon sees it.
///
/// Invariant: it counts as held only for `life` from before the write that
/// took it was sent, by this daemon's own clock.
#[derive(Clone, Debug)]
pub struct Lease {
    me: MemberId,
    life: Duration,
    /// Revision last seen, and since when it has been unchanged.
    seen: Option<(Revision, BootTime)>,
    is_free: bool,
    /// Writes under way take the lease rather than give it up.
    is_wanted: bool,
    /// When the present holding began.
    held_since: Option<BootTime>,
    held_until: BootTime,
    pending_until: BootTime,
    last_call: Option<BootTime>,
}

impl Lease {
    /// Starts without knowing anything.
    #[must_use]
    pub fn new(me: MemberId, life: Duration) -> Self {
        Self {
            me,
            life,
            seen: None,
            is_free: false,
            is_wanted: false,
            held_since: None,
            held_until: BootTime::ZERO,
            pending_until: BootTime::ZERO,
            last_call: None,
        }
    }

    /// When the lease was taken, while it is held at `now`; the start of the
    /// clock when nobody ever held it before.
    #[must_use]
    pub fn held_since(&self, now: BootTime) -> Option<BootTime> {
        self.held_since.filter(|_| now < self.held_until)
    }

    /// The call that is due, for a daemon that wants the lease.
    pub fn next_call(&mut self, now: BootTime) -> Option<LeaseCall> {
        if now < self.pending_until {
            return None;
        }
        let renew_at = self.held_until.saturating_sub(self.life / 2);
        if self.held_since(now).is_some() && now < renew_at {
            return None;
        }
        let pause = self.life / 8;
        if self
            .last_call
            .is_some_and(|at| now.saturating_sub(at) < pause)
        {
            return None;
        }
        self.is_wanted = true;
        self.last_call = Some(now);
        self.pending_until = now + self.life;
        let may_write = |at| self.is_free || now.saturating_sub(at) > self.life;
        Some(match self.seen {
            Some((revision, _)) if self.held_since(now).is_some() => {
                LeaseCall::Write(Condition::At(revision))
            }
            Some((0, _)) => LeaseCall::Write(Condition::Absent),
            Some((revision, at)) if may_write(at) => LeaseCall::Write(Condition::At(revision)),
            _ => LeaseCall::Read,
        })
    }

    /// The object as read; `None` when it is absent.
    pub fn on_read(&mut self, object: Option<&Object>, now: BootTime) {
        self.pending_until = BootTime::ZERO;
        let revision = object.map_or(0, |o| o.revision);
        if self.seen.is_none_or(|(seen, _)| seen != revision) {
            self.seen = Some((revision, now));
        }
        let record = object.and_then(|o| o.value.clone());
        let record: Option<LeaseRecord> = record.and_then(|v| serde_json::from_value(v).ok());
        // A write of this very daemon whose answer was lost may be renewed.
        let is_free = |r: LeaseRecord| r.holder == self.me || r.ramp.is_some_and(|r| r.is_warm);
        self.is_free = record.is_some_and(is_free);
    }

    /// Gives the lease up with a last write, after which others may take it.
    pub fn give_up(&mut self) -> Option<LeaseCall> {
        let (revision, _) = self.seen?;
        self.release();
        Some(LeaseCall::Write(Condition::At(revision)))
    }

    /// Gives the lease up: it no longer counts as held.
    pub fn release(&mut self) {
        self.is_wanted = false;
        self.held_since = None;
        self.held_until = BootTime::ZERO;
        self.is_free = false;
    }

    /// How a write sent at `sent_at` ended.
    pub fn on_put(&mut self, put: &Put, sent_at: BootTime, now: BootTime) {
        match put {
            Put::Written(revision) => {
                let is_first = self.seen.is_some_and(|(seen, _)| seen == 0);
                self.seen = Some((*revision, now));
                self.pending_until = BootTime::ZERO;
                if !self.is_wanted {
                    return;
                }
                if is_first {
                    self.held_since = Some(BootTime::ZERO);
                } else if self.held_since(now).is_none() {
                    self.held_since = Some(now);
                }
                self.held_until = sent_at + self.life;
            }
            Put::Conflict(object) => {
                self.held_since = None;
                self.on_read(object.as_ref(), now);
            }
        }
    }

    /// A call failed, or its answer was lost: what stands is not known.
    pub fn on_failure(&mut self) {
        self.pending_until = BootTime::ZERO;
    }
}
