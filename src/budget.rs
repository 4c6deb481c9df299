//! Budget shared by retries and hedges, which bounds the load that they add
//! when targets fail.

use std::sync::{Mutex, PoisonError};

use crate::clock::BootTime;

/// Extra runs that each request adds to the budget, in thousandths.
const DEPOSIT_MILLI: u64 = 50;
/// Cost of one extra run, in thousandths.
const COST_MILLI: u64 = 1000;
/// Largest balance, in thousandths of an extra run.
const MAX_MILLI: u64 = 100 * COST_MILLI;
/// Balance at the start and level to which time alone refills it, in thousandths
/// of an extra run, so that a daemon with few requests can retry.
const FLOOR_MILLI: u64 = 5 * COST_MILLI;
/// Refill per second up to the floor, in thousandths of an extra run.
const REFILL_PER_SECOND_MILLI: u64 = 500;

/// Balance of extra runs that are still allowed. Each request adds a share of
/// one, and time refills the balance up to a small floor.
#[derive(Debug)]
pub struct RetryBudget(Mutex<Balance>);

#[derive(Debug)]
struct Balance {
    /// Balance in thousandths of an extra run, at most [`MAX_MILLI`].
    milli: u64,
    refilled_at: BootTime,
}

impl RetryBudget {
    /// Creates a budget whose balance is the floor.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self(Mutex::new(Balance {
            milli: FLOOR_MILLI,
            refilled_at: now,
        }))
    }

    /// Adds one request's share.
    pub fn deposit(&self) {
        let mut balance = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        balance.milli = (balance.milli + DEPOSIT_MILLI).min(MAX_MILLI);
    }

    /// Deducts one extra run. Returns false if the balance does not cover it.
    #[must_use]
    pub fn try_spend(&self, now: BootTime) -> bool {
        let mut balance = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let seconds = now.saturating_sub(balance.refilled_at).as_secs();
        if seconds > 0 {
            balance.refilled_at = now;
            let refilled = balance.milli + seconds * REFILL_PER_SECOND_MILLI;
            balance.milli = balance.milli.max(refilled.min(FLOOR_MILLI));
        }
        let remaining = balance.milli.checked_sub(COST_MILLI);
        balance.milli = remaining.unwrap_or(balance.milli);
        remaining.is_some()
    }
}
