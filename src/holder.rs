//! The holder's side of credits: what to ask of owners, and what it was given.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::sync::Notify;

use crate::{
    clock::BootTime,
    credits::{Credit, MIN_URGENT_ASK_INTERVAL},
    warmup::RampState,
    wire::{CreditAsk, CreditGrant, DaemonName, TargetName},
};

/// Time after the last request for which a credit is still kept at hand.
const KEEP_AFTER_USE: Duration = Duration::from_secs(1);

/// An ask that was sent; only an answer to the last one counts.
struct Asked {
    owner: DaemonName,
    sequence: u64,
    at: BootTime,
    /// Credits that would have been enough.
    desired: u32,
}

struct Holding {
    credit: Arc<Credit>,
    asked: Option<Asked>,
    used_at: Option<BootTime>,
    ramp: Option<RampState>,
    is_answered: bool,
    /// The owner gave less than was wanted last.
    was_in_vain: bool,
}

/// Credits of this daemon by target.
///
/// Invariant: a grant is taken only when it answers the last ask for its
/// target, and lives no longer than `life` from before that ask was sent. So
/// the last ask, and the grant that answers it, tell all that a holder may use.
pub struct Holder {
    holdings: BTreeMap<TargetName, Holding>,
    life: Duration,
    wake: Arc<Notify>,
}

impl Holder {
    /// Starts without credits. `wake` is notified when a request finds none.
    #[must_use]
    pub fn new(life: Duration, wake: Arc<Notify>) -> Self {
        Self {
            holdings: BTreeMap::new(),
            life,
            wake,
        }
    }

    /// Credits held for a target.
    pub fn credit(&mut self, target: &str) -> Arc<Credit> {
        self.holding(target).credit.clone()
    }

    fn holding(&mut self, target: &str) -> &mut Holding {
        let wake = &self.wake;
        self.holdings
            .entry(target.into())
            .or_insert_with(|| Holding {
                credit: Arc::new(Credit::with_wake(wake.clone())),
                asked: None,
                used_at: None,
                ramp: None,
                is_answered: true,
                was_in_vain: false,
            })
    }

    /// What to ask of `owner`, if anything; `sequence` is that of the datagram
    /// that will carry it. `is_urgent` asks only where a request found no
    /// credit, and only when no answer is outstanding.
    pub fn ask(
        &mut self,
        target: &str,
        owner: &str,
        sequence: u64,
        is_urgent: bool,
        now: BootTime,
    ) -> Option<CreditAsk> {
        let holding = self.holding(target);
        let credit = &holding.credit;
        let is_short = credit.has_shortage();
        let is_same = holding.asked.as_ref().is_some_and(|a| &*a.owner == owner);
        let is_recent = |a: &Asked| now.saturating_sub(a.at) < MIN_URGENT_ASK_INTERVAL;
        // After an ask that was met in full the next one may double at once.
        let was_in_vain = holding.asked.as_ref().is_some_and(is_recent) && holding.was_in_vain;
        let is_waiting = is_same && !holding.is_answered;
        if is_urgent && (!is_short || is_waiting || was_in_vain) {
            return None;
        }
        let (in_flight, held) = (credit.in_flight(), credit.held(now));
        if in_flight > 0 || is_short {
            holding.used_at = Some(now);
        }
        let is_in_use = |at| now.saturating_sub(at) < KEEP_AFTER_USE;
        let is_in_use = holding.used_at.is_some_and(is_in_use);
        if !is_in_use && held == 0 && in_flight == 0 {
            return None;
        }
        credit.clear_shortage();
        let wanted = match (is_short, is_in_use) {
            (true, _) => in_flight.max(1) + 1,
            (false, true) => 1,
            (false, false) => 0,
        };
        holding.is_answered = false;
        holding.asked = Some(Asked {
            owner: owner.into(),
            sequence,
            at: now,
            desired: in_flight.saturating_add(wanted),
        });
        let (good, slow) = credit.first_tokens();
        Some(CreditAsk {
            target: target.into(),
            held,
            in_flight,
            wanted,
            good,
            slow,
            failures: credit.failures(),
            ramp: holding.ramp.clone(),
        })
    }

    /// Takes a grant of `owner`. Returns false when it answers no last ask.
    pub fn on_grant(&mut self, owner: &str, grant: &CreditGrant) -> bool {
        let life = self.life.min(Duration::from_millis(grant.life_ms.into()));
        let Some(holding) = self.holdings.get_mut(&grant.target) else {
            return false;
        };
        let Some(asked) = &holding.asked else {
            return false;
        };
        let is_last = asked.sequence == grant.answers && &*asked.owner == owner;
        // A second answer may only take back what the first one gave.
        if !is_last || (holding.is_answered && grant.credits > 0) {
            return false;
        }
        holding.is_answered = true;
        holding.credit.grant(grant.credits, asked.at + life);
        holding.was_in_vain = grant.credits < asked.desired;
        // An owner that gives nothing is taking over, or the target starts:
        // neither tells of a crowd.
        let is_full = grant.credits > 0 && holding.was_in_vain;
        holding.credit.set_saturated(is_full);
        if grant.ramp.is_some() {
            holding.ramp.clone_from(&grant.ramp);
        }
        true
    }

    /// Gives up the credits of one target; a grant under way is void.
    pub fn revoke(&mut self, target: &str, now: BootTime) {
        if let Some(holding) = self.holdings.get_mut(target) {
            holding.credit.grant(0, now);
            holding.asked = None;
        }
    }

    /// Gives up everything, after a pause of this process.
    pub fn revoke_all(&mut self, now: BootTime) {
        for holding in self.holdings.values_mut() {
            holding.credit.grant(0, now);
            holding.asked = None;
        }
    }

    /// Forgets targets that are gone, once nothing is in flight there.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool, now: BootTime) {
        self.holdings.retain(|name, holding| {
            let is_listed = is_listed(name);
            if !is_listed {
                holding.credit.grant(0, now);
            }
            is_listed || holding.credit.in_flight() > 0
        });
    }
}
