//! The owner's side of credits: who may have how much at one target.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::{BootTime, millis},
    wire::{CreditAsk, HolderLine, MemberId},
};

/// Time for which the work of a silent holder counts: engines keep a
/// generation without a reader for a while.
const KEEP_SILENT: Duration = Duration::from_secs(15);
/// Added to a credit's life before a new owner hands out more.
pub const TAKEOVER_MARGIN: Duration = Duration::from_millis(100);

/// What the owner knows of one holder: its last ask and the answer to it.
#[derive(Clone, Debug)]
struct LastAsk {
    sequence: u64,
    heard_at: BootTime,
    in_flight: u32,
    held: u32,
    desired: u32,
    granted: u32,
    good: u64,
    slow: u64,
    failures: u64,
}

impl LastAsk {
    /// Most requests that the holder may have in flight by its last ask. It
    /// takes no grant but the one that answers that ask.
    fn counted(&self) -> u32 {
        self.in_flight.max(self.held).max(self.granted)
    }
}

/// First tokens that an ask newly reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FirstTokens {
    /// Within the model's band.
    pub good: u64,
    /// Later.
    pub slow: u64,
}

/// Credits of one target that this daemon owns.
///
/// Invariant: a grant never lifts the sum of what holders may have in flight
/// above the limit.
#[derive(Clone, Debug)]
pub struct Book {
    holders: BTreeMap<MemberId, LastAsk>,
    life: Duration,
    /// When this daemon became the owner.
    since: BootTime,
    /// Requests at the target that no holder accounts for, and until when.
    unaccounted: (u32, BootTime),
}

impl Book {
    /// Takes over a target at `since`. `life` is the life of a grant.
    #[must_use]
    pub fn new(life: Duration, since: BootTime) -> Self {
        Self {
            holders: BTreeMap::new(),
            life,
            since,
            unaccounted: (0, BootTime::ZERO),
        }
    }

    /// Whether grants of an earlier owner may still be in force.
    #[must_use]
    pub fn is_taking_over(&self, now: BootTime) -> bool {
        self.since > BootTime::ZERO && now < self.since + self.life + TAKEOVER_MARGIN
    }

    /// Counts as the owner from `since` on: after a pause, or from when the
    /// lease on the target was taken.
    pub fn take_over(&mut self, since: BootTime) {
        self.since = since;
    }

    /// What the next owner must know; nothing while this one may not know all.
    #[must_use]
    pub fn hand_over(&self, now: BootTime) -> Option<Vec<HolderLine>> {
        let line = |(holder, last): (&MemberId, &LastAsk)| HolderLine {
            holder: holder.clone(),
            in_flight: last.in_flight,
            counted: last.counted(),
            failures: last.failures,
        };
        let knows_all = !self.is_taking_over(now);
        knows_all.then(|| self.holders.iter().map(line).collect())
    }

    /// Takes over from an owner that knew all. A holder that has already asked
    /// this daemon takes no earlier grant any more, so its own ask counts.
    pub fn on_handover(&mut self, lines: &[HolderLine], now: BootTime) {
        if !self.is_taking_over(now) {
            return;
        }
        for line in lines {
            let last = LastAsk {
                sequence: 0,
                heard_at: now,
                in_flight: line.in_flight,
                held: line.counted,
                desired: line.in_flight,
                granted: 0,
                good: u64::MAX,
                slow: u64::MAX,
                failures: line.failures,
            };
            self.holders.entry(line.holder.clone()).or_insert(last);
        }
        self.unaccounted = (0, BootTime::ZERO);
        self.since = BootTime::ZERO;
    }

    /// The engine's own count. While taking over, what holders do not account
    /// for is work of holders that are gone.
    pub fn on_report(&mut self, running: u32, now: BootTime) {
        if self.is_taking_over(now) {
            let known = self.holders.values().map(|h| h.in_flight).sum();
            self.unaccounted = (running.saturating_sub(known), now + KEEP_SILENT);
        }
    }

    /// Whether an ask tells of a run that broke since the ask before it.
    #[must_use]
    pub fn tells_of_failure(&self, from: &MemberId, ask: &CreditAsk) -> bool {
        let before = self.holders.get(from).map_or(0, |h| h.failures);
        ask.failures > before
    }

    /// Whether no holder has, or may have, a request at the target.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.holders.values().all(|h| h.counted() == 0)
    }

    /// Whether any holder has a request at the target.
    #[must_use]
    pub fn has_work(&self) -> bool {
        self.holders.values().any(|h| h.in_flight > 0)
    }

    /// Holders that were given credits, with the sequence of their last ask.
    pub fn granted(&self) -> impl Iterator<Item = (&MemberId, u64)> {
        let granted = self.holders.iter().filter(|(_, h)| h.granted > 0);
        granted.map(|(id, h)| (id, h.sequence))
    }

    /// Sum that holders may have in flight.
    #[must_use]
    pub fn counted(&self, now: BootTime) -> u32 {
        let (count, until) = self.unaccounted;
        let unaccounted = if now < until { count } else { 0 };
        unaccounted + self.holders.values().map(LastAsk::counted).sum::<u32>()
    }

    /// Answers an ask with the credits its sender may have; `None` for an ask
    /// that is not newer than the last one.
    pub fn on_ask(
        &mut self,
        from: &MemberId,
        sequence: u64,
        ask: &CreditAsk,
        limit: u32,
        now: BootTime,
    ) -> Option<(u32, FirstTokens)> {
        let silent = |h: &LastAsk| now.saturating_sub(h.heard_at) >= KEEP_SILENT;
        self.holders.retain(|_, h| !silent(h));
        let before = self.holders.get(from);
        if before.is_some_and(|h| h.sequence >= sequence) {
            return None;
        }
        let first_tokens = before.map(|h| FirstTokens {
            good: ask.good.saturating_sub(h.good),
            slow: ask.slow.saturating_sub(h.slow),
        });
        let held = LastAsk {
            sequence,
            heard_at: now,
            in_flight: ask.in_flight,
            held: ask.held,
            desired: ask.in_flight.saturating_add(ask.wanted),
            granted: 0,
            good: ask.good,
            slow: ask.slow,
            failures: ask.failures,
        };
        self.holders.insert(from.clone(), held);
        let granted = self.share_of(from, limit, now);
        if let Some(held) = self.holders.get_mut(from) {
            held.granted = granted;
        }
        Some((granted, first_tokens.unwrap_or_default()))
    }

    /// Credits for the holder that has just asked.
    fn share_of(&self, holder: &MemberId, limit: u32, now: BootTime) -> u32 {
        let Some(asking) = self.holders.get(holder) else {
            return 0;
        };
        let counted = self.counted(now) - asking.counted();
        let free = limit.saturating_sub(counted);
        let share = asking.desired.min(self.fair_share(limit)).min(free);
        if self.is_taking_over(now) {
            return share.min(asking.held);
        }
        share
    }

    /// Level up to which every holder gets what it desires.
    fn fair_share(&self, limit: u32) -> u32 {
        let mut desired: Vec<u32> = self.holders.values().map(|h| h.desired).collect();
        desired.sort_unstable();
        let mut left = limit;
        let mut others = u32::try_from(desired.len()).unwrap_or(u32::MAX);
        for wish in desired {
            let level = left / others;
            if wish > level {
                // Holders that come first may have what does not divide.
                return left.div_ceil(others);
            }
            left -= wish;
            others -= 1;
        }
        limit
    }

    /// Milliseconds that a grant lives.
    #[must_use]
    pub fn life_ms(&self) -> u32 {
        u32::try_from(millis(self.life)).unwrap_or(u32::MAX)
    }
}
