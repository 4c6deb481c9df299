//! Credits that this daemon, as a holder, requests from the owners of targets.
//!
//! It sends a credit request once per heartbeat period for each target in use,
//! and at once when a caller's request finds no credit. After a shortage it
//! requests about twice what is in flight, otherwise for one spare credit.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::sync::Notify;

use crate::{
    clock::BootTime,
    credits::{Credit, MIN_URGENT_REQUEST_INTERVAL},
    warmup::RampState,
    wire::{CreditGrant, CreditRequest, DaemonName, TargetName},
};

/// Time after the last request at a target for which this daemon still requests
/// one spare credit.
const SPARE_CREDIT_RETENTION: Duration = Duration::from_secs(1);

/// The last credit request that was sent for a target; answers to earlier ones
/// are ignored.
struct LastRequest {
    owner: DaemonName,
    sequence: u64,
    at: BootTime,
    /// Requests in flight when it was sent, plus the credits requested.
    demand: u32,
}

/// Credits of one target and the state of the requests for them.
struct HeldTarget {
    credit: Arc<Credit>,
    last_request: Option<LastRequest>,
    last_used_at: Option<BootTime>,
    ramp: Option<RampState>,
    is_answered: bool,
    /// Whether the last grant was smaller than the demand.
    fell_short: bool,
}

/// Credits that this daemon holds, by target.
///
/// Invariant: a grant is accepted only when it answers the last credit request
/// for its target, and expires no later than `life` after a time before that
/// request was sent. So the owner knows all that a holder may use from the
/// holder's last credit request and the grant that answers it.
pub struct Holder {
    targets: BTreeMap<TargetName, HeldTarget>,
    life: Duration,
    wake: Arc<Notify>,
}

impl Holder {
    /// Creates a holder without credits. `wake` is notified when a request finds
    /// none.
    #[must_use]
    pub fn new(life: Duration, wake: Arc<Notify>) -> Self {
        Self {
            targets: BTreeMap::new(),
            life,
            wake,
        }
    }

    /// Returns the credits held for a target.
    pub fn credit(&mut self, target: &str) -> Arc<Credit> {
        self.held_target(target).credit.clone()
    }

    fn held_target(&mut self, target: &str) -> &mut HeldTarget {
        let wake = &self.wake;
        self.targets
            .entry(target.into())
            .or_insert_with(|| HeldTarget {
                credit: Arc::new(Credit::with_wake(wake.clone())),
                last_request: None,
                last_used_at: None,
                ramp: None,
                is_answered: true,
                fell_short: false,
            })
    }

    /// Returns the credit request to send to `owner`, or `None` if none is due.
    /// `sequence` is that of the datagram that will carry it. With `is_urgent`,
    /// one is due only if a caller's request found no credit and no answer of
    /// `owner` is outstanding.
    pub fn next_request(
        &mut self,
        target: &str,
        owner: &str,
        sequence: u64,
        is_urgent: bool,
        now: BootTime,
    ) -> Option<CreditRequest> {
        let held_target = self.held_target(target);
        let credit = &held_target.credit;
        let has_shortage = credit.has_shortage();
        let is_same_owner = held_target
            .last_request
            .as_ref()
            .is_some_and(|last| &*last.owner == owner);
        let is_recent =
            |last: &LastRequest| now.saturating_sub(last.at) < MIN_URGENT_REQUEST_INTERVAL;
        // After a grant that met the demand the next credit request may double
        // it without a pause; after a smaller grant, an urgent one waits for
        // that interval.
        let is_backing_off =
            held_target.last_request.as_ref().is_some_and(is_recent) && held_target.fell_short;
        let is_waiting = is_same_owner && !held_target.is_answered;
        if is_urgent && (!has_shortage || is_waiting || is_backing_off) {
            return None;
        }
        let (in_flight, held) = (credit.in_flight(), credit.held(now));
        if in_flight > 0 || has_shortage {
            held_target.last_used_at = Some(now);
        }
        let is_in_use = |at| now.saturating_sub(at) < SPARE_CREDIT_RETENTION;
        let is_in_use = held_target.last_used_at.is_some_and(is_in_use);
        if !is_in_use && held == 0 && in_flight == 0 {
            return None;
        }
        credit.clear_shortage();
        let additional = match (has_shortage, is_in_use) {
            (true, _) => in_flight.max(1) + 1,
            (false, true) => 1,
            (false, false) => 0,
        };
        held_target.is_answered = false;
        held_target.last_request = Some(LastRequest {
            owner: owner.into(),
            sequence,
            at: now,
            demand: in_flight.saturating_add(additional),
        });
        let (on_time, late) = credit.first_tokens();
        Some(CreditRequest {
            target: target.into(),
            held,
            in_flight,
            additional,
            first_tokens_on_time: on_time,
            first_tokens_late: late,
            failures: credit.failures(),
            ramp: held_target.ramp.clone(),
        })
    }

    /// Applies a grant of `owner`. Returns false if it does not answer the last
    /// credit request for its target.
    pub fn on_grant(&mut self, owner: &str, grant: &CreditGrant) -> bool {
        let life = self.life.min(Duration::from_millis(grant.life_ms.into()));
        let Some(held_target) = self.targets.get_mut(&grant.target) else {
            return false;
        };
        let Some(last_request) = &held_target.last_request else {
            return false;
        };
        let is_last =
            last_request.sequence == grant.request_sequence && &*last_request.owner == owner;
        // A second answer to the same request may only revoke the first one's
        // credits.
        if !is_last || (held_target.is_answered && grant.credits > 0) {
            return false;
        }
        held_target.is_answered = true;
        if let Some(ramp) = &grant.ramp {
            held_target.credit.set_boot_id(&ramp.boot_id);
        }
        held_target
            .credit
            .grant(grant.credits, last_request.at + life);
        held_target.fell_short = grant.credits < last_request.demand;
        // A grant of zero comes from an owner that is taking over, or for a
        // target that is starting; neither means that the target is saturated.
        let is_saturated = grant.credits > 0 && held_target.fell_short;
        held_target.credit.set_saturated(is_saturated);
        if grant.ramp.is_some() {
            held_target.ramp.clone_from(&grant.ramp);
        }
        true
    }

    /// Drops the credits of one target; a grant still in transit is ignored.
    pub fn revoke(&mut self, target: &str, now: BootTime) {
        if let Some(held_target) = self.targets.get_mut(target) {
            held_target.credit.grant(0, now);
            held_target.last_request = None;
        }
    }

    /// Drops the credits of all targets, after a pause of this process.
    pub fn revoke_all(&mut self, now: BootTime) {
        for held_target in self.targets.values_mut() {
            held_target.credit.grant(0, now);
            held_target.last_request = None;
        }
    }

    /// Drops the credits of targets that are no longer listed, and removes those
    /// targets once nothing is in flight there.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool, now: BootTime) {
        self.targets.retain(|name, held_target| {
            let is_listed = is_listed(name);
            if !is_listed {
                held_target.credit.grant(0, now);
            }
            is_listed || held_target.credit.in_flight() > 0
        });
    }
}
