//! Limit on the requests at one target: its ramp after a start, and cuts after
//! preemptions.
//!
//! A target that has just started is cold and takes few requests. Its limit
//! doubles for each window in which it worked and answered in time, up to the
//! limit in the records. Preemptions, which show that its memory is overloaded,
//! cut the limit.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{clock::BootTime, records::Capacity, wire::BootId};

/// Shortest time between two cuts of a limit.
const MIN_CUT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without preemption after which a cut limit grows by one.
const GROWTH_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between two samples that counts as time with work.
const MAX_SAMPLE_GAP: Duration = Duration::from_secs(1);

/// State of a target's ramp, as daemons exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RampState {
    /// Boot id of the target's start that the state applies to.
    pub boot_id: BootId,
    /// Number of times that the target became cold again since that start.
    #[serde(rename = "chills")]
    pub cold_resets: u32,
    /// Most requests in flight at the target.
    pub limit: u32,
    /// Whether the ramp is complete.
    pub is_warm: bool,
}

/// Limit of one target as determined by its owner.
///
/// Invariants: the limit is at most the record's; while the target is cold, it
/// is at most `cold_limit` doubled once for each window of timely answers.
#[derive(Clone, Debug, Default)]
pub struct Ramp {
    boot_id: Option<BootId>,
    cold_resets: u32,
    limit: u32,
    is_warm: bool,
    /// Time with work in the current window.
    work_time: Duration,
    /// When work was last seen in the current window.
    work_seen_at: Option<BootTime>,
    /// Whether a first token of the current window came within the band.
    has_on_time_answer: bool,
    preemptions: u64,
    limit_changed_at: BootTime,
}

impl Ramp {
    /// Returns the most requests that the target may have in flight. A target
    /// with a ramp gets none before its boot id is known.
    #[must_use]
    pub fn limit(&self, capacity: &Capacity) -> u32 {
        if capacity.cold_limit >= capacity.limit {
            return capacity.limit;
        }
        self.limit.min(capacity.limit)
    }

    /// Returns whether the target may still be cold, so that the grants of two
    /// owners at once would overload it.
    #[must_use]
    pub fn is_cold(&self, capacity: &Capacity) -> bool {
        !self.is_warm && capacity.cold_limit < capacity.limit
    }

    /// Returns whether the target has completed its ramp and could become cold
    /// again.
    #[must_use]
    pub fn is_ramped_up(&self, capacity: &Capacity) -> bool {
        self.is_warm && capacity.cold_limit < capacity.limit
    }

    /// Returns the state to send to other daemons, if the boot id is known.
    #[must_use]
    pub fn state(&self) -> Option<RampState> {
        Some(RampState {
            boot_id: self.boot_id.clone()?,
            cold_resets: self.cold_resets,
            limit: self.limit,
            is_warm: self.is_warm,
        })
    }

    /// Records the target's load report. Returns true if it is the first
    /// one since a start of the target.
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
            self.reset_to_cold(capacity);
            self.cold_resets = 0;
            self.preemptions = preemptions;
            self.limit_changed_at = now;
            return true;
        }
        self.adjust_for_preemptions(preemptions, capacity, now);
        false
    }

    /// Returns the target to cold: its limit is `cold_limit` again.
    pub fn reset_to_cold(&mut self, capacity: &Capacity) {
        self.cold_resets += 1;
        self.limit = capacity.cold_limit;
        self.is_warm = false;
        self.reset_window();
    }

    /// Merges the state that another daemon has of the same start. The state
    /// with more resets to cold is the newer one; with as many, a cold target
    /// takes the higher limit.
    pub fn merge(&mut self, other: &RampState) {
        let is_same_start = self.boot_id.as_ref() == Some(&other.boot_id);
        if !is_same_start || other.cold_resets < self.cold_resets {
            return;
        }
        if other.cold_resets > self.cold_resets {
            self.cold_resets = other.cold_resets;
            self.limit = other.limit;
            self.is_warm = other.is_warm;
            self.reset_window();
        } else if !self.is_warm {
            self.limit = self.limit.max(other.limit);
            self.is_warm = other.is_warm;
        }
    }

    /// Records whether the target has work, and whether a first token came
    /// within the band. After a whole window of work with a timely answer the
    /// limit doubles. Time without work does not count, since it does not show
    /// whether the target is warm.
    pub fn on_work(
        &mut self,
        has_work: bool,
        is_on_time: bool,
        capacity: &Capacity,
        now: BootTime,
    ) {
        if self.is_warm || self.boot_id.is_none() {
            return;
        }
        let gap = self.work_seen_at.map(|at| now.saturating_sub(at));
        self.work_time += gap.filter(|gap| *gap <= MAX_SAMPLE_GAP).unwrap_or_default();
        self.work_seen_at = has_work.then_some(now);
        self.has_on_time_answer |= is_on_time;
        if self.work_time < capacity.ramp_window || !self.has_on_time_answer {
            return;
        }
        self.reset_window();
        self.limit = self.limit.saturating_mul(2).min(capacity.limit);
        self.is_warm = self.limit >= capacity.limit;
        self.limit_changed_at = now;
    }

    fn reset_window(&mut self) {
        self.work_time = Duration::ZERO;
        self.work_seen_at = None;
        self.has_on_time_answer = false;
    }

    fn adjust_for_preemptions(&mut self, preemptions: u64, capacity: &Capacity, now: BootTime) {
        let is_preempting = preemptions > self.preemptions;
        self.preemptions = preemptions;
        let unchanged_for = now.saturating_sub(self.limit_changed_at);
        if is_preempting && unchanged_for >= MIN_CUT_INTERVAL {
            self.limit = (self.limit * 3 / 4).max(1);
            self.limit_changed_at = now;
        } else if !is_preempting && self.is_warm && unchanged_for >= GROWTH_INTERVAL {
            self.limit = (self.limit + 1).min(capacity.limit);
            self.limit_changed_at = now;
        }
    }
}
