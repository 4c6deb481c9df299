//! One budget for retries and hedges, so that a failure never multiplies load.

use std::sync::{Mutex, PoisonError};

use crate::clock::BootTime;

/// Extra runs that a request pays for, in thousandths.
const SHARE_MILLI: u64 = 50;
/// Cost of one extra run, in thousandths.
const COST_MILLI: u64 = 1000;
/// Most that can be saved up, in thousandths.
const MOST_MILLI: u64 = 100 * COST_MILLI;
/// What is there at the start, so that a quiet daemon can retry, in thousandths.
const FLOOR_MILLI: u64 = 5 * COST_MILLI;
/// What each second adds up to the floor, in thousandths.
const FLOOR_PER_SECOND_MILLI: u64 = 500;

/// Extra runs still allowed: a share of recent requests, and a small floor.
#[derive(Debug)]
pub struct Budget(Mutex<Saved>);

#[derive(Debug)]
struct Saved {
    /// At most [`MOST_MILLI`].
    milli: u64,
    refilled_at: BootTime,
}

impl Budget {
    /// Starts with the floor.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self(Mutex::new(Saved {
            milli: FLOOR_MILLI,
            refilled_at: now,
        }))
    }

    /// Counts a request.
    pub fn deposit(&self) {
        let mut saved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        saved.milli = (saved.milli + SHARE_MILLI).min(MOST_MILLI);
    }

    /// Takes one extra run, if there is one left.
    #[must_use]
    pub fn try_spend(&self, now: BootTime) -> bool {
        let mut saved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let seconds = now.saturating_sub(saved.refilled_at).as_secs();
        if seconds > 0 {
            saved.refilled_at = now;
            let refilled = saved.milli + seconds * FLOOR_PER_SECOND_MILLI;
            saved.milli = saved.milli.max(refilled.min(FLOOR_MILLI));
        }
        let left = saved.milli.checked_sub(COST_MILLI);
        saved.milli = left.unwrap_or(saved.milli);
        left.is_some()
    }
}
