//! Credits that this daemon, as the owner of a target, grants to the daemons
//! that use it.
//!
//! The owner divides the target's limit among all holders by max-min fairness.
//! A new owner grants nothing new until the grants of the last one have expired
//! or were handed over, so that the limit holds while daemons disagree on who
//! the owner is.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::{BootTime, millis},
    wire::{CreditRequest, HandoverEntry, MemberId},
};

/// Time for which the requests of a holder that stopped requesting credits still
/// count, since engines keep a generation without a reader for a while.
const SILENT_HOLDER_RETENTION: Duration = Duration::from_secs(15);
/// Time beyond the lifetime of a credit that a new owner waits before it grants
/// more.
pub const TAKEOVER_MARGIN: Duration = Duration::from_millis(100);

/// State of one holder: its last credit request and the grant that answered it.
#[derive(Clone, Debug)]
struct HolderState {
    sequence: u64,
    /// Whether the credit request was answered. One that was deferred may still be.
    is_answered: bool,
    requested_at: BootTime,
    in_flight: u32,
    held: u32,
    /// Requests in flight, plus the credits that it asked for.
    demand: u32,
    granted: u32,
    /// Number of first tokens that arrived within the first-token band.
    on_time: u64,
    /// Number of first tokens that arrived later.
    late: u64,
    /// Number of failed runs.
    failures: u64,
}

impl HolderState {
    /// Creates the state after a credit request that is not answered yet.
    fn from_request(sequence: u64, request: &CreditRequest, now: BootTime) -> Self {
        Self {
            sequence,
            is_answered: false,
            requested_at: now,
            in_flight: request.in_flight,
            held: request.held,
            demand: request.in_flight.saturating_add(request.additional),
            granted: 0,
            on_time: request.first_tokens_on_time,
            late: request.first_tokens_late,
            failures: request.failures,
        }
    }

    /// Returns the most requests that the holder may have in flight. Its last
    /// credit request and the answer bound them, since a holder accepts only the
    /// grant that answers its last request.
    fn max_in_flight(&self) -> u32 {
        self.in_flight.max(self.held).max(self.granted)
    }
}

/// Numbers of first tokens that a holder received between two of its credit
/// requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FirstTokens {
    /// First tokens that came within the model's first-token band.
    pub on_time: u64,
    /// First tokens later than the band.
    pub late: u64,
}

/// Grants of the credits of one target that this daemon owns.
///
/// Invariant: a new grant never raises the sum of the requests that holders may
/// have in flight above the limit.
#[derive(Clone, Debug)]
pub struct GrantTable {
    holders: BTreeMap<MemberId, HolderState>,
    life: Duration,
    /// When this daemon became the owner; zero if there are no grants of an
    /// earlier owner to wait for.
    owned_since: BootTime,
    /// Number of requests at the target that no holder reported, and until when
    /// they count.
    unaccounted: (u32, BootTime),
}

impl GrantTable {
    /// Creates a table without holders for a target that this daemon owns from
    /// `since` on. `life` is the lifetime of a grant.
    #[must_use]
    pub fn new(life: Duration, since: BootTime) -> Self {
        Self {
            holders: BTreeMap::new(),
            life,
            owned_since: since,
            unaccounted: (0, BootTime::ZERO),
        }
    }

    /// Returns whether grants of an earlier owner may still be in force.
    #[must_use]
    pub fn is_taking_over(&self, now: BootTime) -> bool {
        self.owned_since > BootTime::ZERO && now < self.owned_since + self.life + TAKEOVER_MARGIN
    }

    /// Restarts the takeover at `since`, which is the end of a pause of this
    /// process or the time when it acquired the lease on the target.
    pub fn restart_takeover(&mut self, since: BootTime) {
        self.owned_since = since;
    }

    /// Returns the state of all holders for the next owner, or `None` during a
    /// takeover, when this daemon may not know all holders.
    #[must_use]
    pub fn handover_entries(&self, now: BootTime) -> Option<Vec<HandoverEntry>> {
        let entry = |(holder, state): (&MemberId, &HolderState)| HandoverEntry {
            holder: holder.clone(),
            in_flight: state.in_flight,
            max_in_flight: state.max_in_flight(),
            failures: state.failures,
        };
        let knows_all_holders = !self.is_taking_over(now);
        knows_all_holders.then(|| self.holders.iter().map(entry).collect())
    }

    /// Adds the holders that the last owner knew and ends the takeover. For a
    /// holder that has already requested credits from this daemon, its own
    /// request counts, since it no longer accepts an earlier grant.
    pub fn on_handover(&mut self, entries: &[HandoverEntry], now: BootTime) {
        if !self.is_taking_over(now) {
            return;
        }
        for entry in entries {
            let state = HolderState {
                sequence: 0,
                is_answered: true,
                requested_at: now,
                in_flight: entry.in_flight,
                held: entry.max_in_flight,
                demand: entry.in_flight,
                granted: 0,
                // A handover does not hold these counts. With the largest value,
                // the holder's next credit request counts no first tokens as new.
                on_time: u64::MAX,
                late: u64::MAX,
                failures: entry.failures,
            };
            self.holders.entry(entry.holder.clone()).or_insert(state);
        }
        self.unaccounted = (0, BootTime::ZERO);
        self.owned_since = BootTime::ZERO;
    }

    /// Records, during a takeover, how many of the requests that the engine
    /// reports were reported by no holder. They are taken to belong to holders
    /// that are gone.
    pub fn on_report(&mut self, requests: u32, now: BootTime) {
        if self.is_taking_over(now) {
            let reported = self.holders.values().map(|h| h.in_flight).sum();
            self.unaccounted = (
                requests.saturating_sub(reported),
                now + SILENT_HOLDER_RETENTION,
            );
        }
    }

    /// Forgets the requests that no holder reported, because the target has restarted.
    pub fn on_restart(&mut self) {
        self.unaccounted = (0, BootTime::ZERO);
    }

    /// Returns whether a run of the sender failed since its last credit request.
    #[must_use]
    pub fn reports_new_failure(&self, from: &MemberId, request: &CreditRequest) -> bool {
        let before = self.holders.get(from).map_or(0, |h| h.failures);
        request.failures > before
    }

    /// Returns whether no holder may have a request at the target.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.holders.values().all(|h| h.max_in_flight() == 0)
    }

    /// Returns whether any holder reported a request at the target.
    #[must_use]
    pub fn has_work(&self) -> bool {
        self.holders.values().any(|h| h.in_flight > 0)
    }

    /// Returns the holders whose last grant was not zero, with the sequence of
    /// their last credit request.
    pub fn holders_with_grants(&self) -> impl Iterator<Item = (&MemberId, u64)> {
        let granted = self.holders.iter().filter(|(_, h)| h.granted > 0);
        granted.map(|(id, h)| (id, h.sequence))
    }

    /// Returns the most requests that all holders together may have in flight,
    /// plus those that no holder reported.
    #[must_use]
    pub fn max_in_flight(&self, now: BootTime) -> u32 {
        let (count, until) = self.unaccounted;
        let unaccounted = if now < until { count } else { 0 };
        unaccounted
            + self
                .holders
                .values()
                .map(HolderState::max_in_flight)
                .sum::<u32>()
    }

    /// Records a credit request that gets no answer now, so that requests which its
    /// sender has completed no longer count: it may request no more credits for a
    /// while. First tokens count with the next request that is answered.
    pub fn record_unanswered(
        &mut self,
        from: &MemberId,
        sequence: u64,
        request: &CreditRequest,
        now: BootTime,
    ) {
        let before = self.holders.get(from);
        if before.is_some_and(|h| h.sequence >= sequence) {
            return;
        }
        let mut state = HolderState::from_request(sequence, request, now);
        if let Some(before) = before {
            (state.on_time, state.late) = (before.on_time, before.late);
        }
        self.holders.insert(from.clone(), state);
    }

    /// Records a credit request and returns the credits granted to its sender,
    /// with the first tokens since its last one. Returns `None` if the request is
    /// not newer than the sender's last one.
    pub fn on_request(
        &mut self,
        from: &MemberId,
        sequence: u64,
        request: &CreditRequest,
        limit: u32,
        now: BootTime,
    ) -> Option<(u32, FirstTokens)> {
        let is_silent =
            |h: &HolderState| now.saturating_sub(h.requested_at) >= SILENT_HOLDER_RETENTION;
        self.holders.retain(|_, h| !is_silent(h));
        let before = self.holders.get(from);
        let is_old =
            |h: &HolderState| h.sequence > sequence || (h.sequence == sequence && h.is_answered);
        if before.is_some_and(is_old) {
            return None;
        }
        let first_tokens = before.map(|h| FirstTokens {
            on_time: request.first_tokens_on_time.saturating_sub(h.on_time),
            late: request.first_tokens_late.saturating_sub(h.late),
        });
        let state = HolderState::from_request(sequence, request, now);
        self.holders.insert(from.clone(), state);
        let granted = self.credits_for(from, limit, now);
        if let Some(state) = self.holders.get_mut(from) {
            (state.granted, state.is_answered) = (granted, true);
        }
        Some((granted, first_tokens.unwrap_or_default()))
    }

    /// Returns the credits for a holder that has just requested some. During a
    /// takeover these are at most the credits that it holds already.
    fn credits_for(&self, holder: &MemberId, limit: u32, now: BootTime) -> u32 {
        let Some(requester) = self.holders.get(holder) else {
            return 0;
        };
        let others = self.max_in_flight(now) - requester.max_in_flight();
        let free = limit.saturating_sub(others);
        let share = requester.demand.min(self.fair_share(limit)).min(free);
        if self.is_taking_over(now) {
            return share.min(requester.held);
        }
        share
    }

    /// Returns the max-min fair share: the level up to which `limit` can satisfy
    /// the demand of every holder.
    fn fair_share(&self, limit: u32) -> u32 {
        let mut demands: Vec<u32> = self.holders.values().map(|h| h.demand).collect();
        demands.sort_unstable();
        let mut remaining = limit;
        let mut holders_left = u32::try_from(demands.len()).unwrap_or(u32::MAX);
        for demand in demands {
            let level = remaining / holders_left;
            if demand > level {
                // Rounding up gives the remainder to the holders that request
                // first.
                return remaining.div_ceil(holders_left);
            }
            remaining -= demand;
            holders_left -= 1;
        }
        limit
    }

    /// Returns the lifetime of a grant in milliseconds.
    #[must_use]
    pub fn life_ms(&self) -> u32 {
        u32::try_from(millis(self.life)).unwrap_or(u32::MAX)
    }
}
