//! How much work a target bears: its ramp after a start, and its limit.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{clock::BootTime, records::Capacity, wire::BootId};

/// Shortest time between two cuts of a limit.
const CUT_PERIOD: Duration = Duration::from_secs(1);
/// Time without preemption after which a cut limit grows by one.
const GROW_PERIOD: Duration = Duration::from_secs(1);
/// Longest time between two signs of work that counts as work.
const MAX_WORK_GAP: Duration = Duration::from_secs(1);

/// What daemons tell one another of a target's ramp.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RampState {
    /// Start of the target that it holds for.
    pub boot_id: BootId,
    /// Times that the target turned cold since then.
    pub chills: u32,
    /// Requests that the target bears.
    pub limit: u32,
    /// The ramp is over.
    pub is_warm: bool,
}

/// Limit of one target, as its owner sees it.
///
/// Invariants: the limit is at most the record's; while the target is cold it
/// is at most `cold_limit`, doubled for each window of good answers.
#[derive(Clone, Debug, Default)]
pub struct Ramp {
    boot_id: Option<BootId>,
    chills: u32,
    limit: u32,
    is_warm: bool,
    /// Time with work in the present window, and when it was last seen.
    worked: Duration,
    worked_at: Option<BootTime>,
    /// An answer of the present window was good.
    has_good_answer: bool,
    preemptions: u64,
    changed_at: BootTime,
}

impl Ramp {
    /// Requests that the target bears now: none before its start is known.
    #[must_use]
    pub fn limit(&self, capacity: &Capacity) -> u32 {
        if capacity.cold_limit >= capacity.limit {
            return capacity.limit;
        }
        self.limit.min(capacity.limit)
    }

    /// Whether the target may still be cold, so that two owners at once would
    /// be too much for it.
    #[must_use]
    pub fn is_cold(&self, capacity: &Capacity) -> bool {
        !self.is_warm && capacity.cold_limit < capacity.limit
    }

    /// Whether the target went through its ramp and could turn cold again.
    #[must_use]
    pub fn is_ramped_up(&self, capacity: &Capacity) -> bool {
        self.is_warm && capacity.cold_limit < capacity.limit
    }

    /// What other daemons should know.
    #[must_use]
    pub fn state(&self) -> Option<RampState> {
        Some(RampState {
            boot_id: self.boot_id.clone()?,
            chills: self.chills,
            limit: self.limit,
            is_warm: self.is_warm,
        })
    }

    /// Takes the target's report. Returns true for another start of the target.
    pub fn on_report(
        &mut self,
        boot_id: &str,
        preemptions: u64,
        capacity: &Capacity,
        now: BootTime,
    ) -> bool {
        let is_new = self.boot_id.as_deref() != Some(boot_id);
        if is_new {
            self.boot_id = Some(boot_id.into());
            self.chill(capacity);
            self.chills = 0;
            self.preemptions = preemptions;
            self.changed_at = now;
            return true;
        }
        self.follow_preemptions(preemptions, capacity, now);
        false
    }

    /// Back to cold.
    pub fn chill(&mut self, capacity: &Capacity) {
        self.chills += 1;
        self.limit = capacity.cold_limit;
        self.is_warm = false;
        self.begin_window();
    }

    /// Takes over what another daemon knows of the same start.
    pub fn adopt(&mut self, known: &RampState) {
        let is_same = self.boot_id.as_ref() == Some(&known.boot_id);
        if !is_same || known.chills < self.chills {
            return;
        }
        if known.chills > self.chills {
            self.chills = known.chills;
            self.limit = known.limit;
            self.is_warm = known.is_warm;
            self.begin_window();
        } else if !self.is_warm {
            self.limit = self.limit.max(known.limit);
            self.is_warm = known.is_warm;
        }
    }

    /// The target has work or not, and an answer came within the band or not.
    /// After a whole window of work with good answers the limit doubles; time
    /// without work tells nothing and does not count.
    pub fn on_work(&mut self, has_work: bool, is_good: bool, capacity: &Capacity, now: BootTime) {
        if self.is_warm || self.boot_id.is_none() {
            return;
        }
        let gap = self.worked_at.map(|at| now.saturating_sub(at));
        self.worked += gap.filter(|gap| *gap <= MAX_WORK_GAP).unwrap_or_default();
        self.worked_at = has_work.then_some(now);
        self.has_good_answer |= is_good;
        if self.worked < capacity.ramp_window || !self.has_good_answer {
            return;
        }
        self.begin_window();
        self.limit = self.limit.saturating_mul(2).min(capacity.limit);
        self.is_warm = self.limit >= capacity.limit;
        self.changed_at = now;
    }

    fn begin_window(&mut self) {
        self.worked = Duration::ZERO;
        self.worked_at = None;
        self.has_good_answer = false;
    }

    fn follow_preemptions(&mut self, preemptions: u64, capacity: &Capacity, now: BootTime) {
        let is_preempting = preemptions > self.preemptions;
        self.preemptions = preemptions;
        let unchanged = now.saturating_sub(self.changed_at);
        if is_preempting && unchanged >= CUT_PERIOD {
            self.limit = (self.limit * 3 / 4).max(1);
            self.changed_at = now;
        } else if !is_preempting && self.is_warm && unchanged >= GROW_PERIOD {
            self.limit = (self.limit + 1).min(capacity.limit);
            self.changed_at = now;
        }
    }
}
