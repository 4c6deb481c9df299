//! Decides when this daemon writes the status of a rollout to the store, and what.
//!
//! Load pattern: all daemons reach the same decision within a second, and one write is enough.
//! Each daemon therefore waits for a time that grows with its rank, and writes only if the
//! store does not hold the status by then. Every write carries the revision of the object that
//! it is based on, so that a second writer, or one that stood still, changes nothing. A call
//! without an answer may still be executed, so the object is read before the next write. If
//! that read has no answer either, the write is repeated with its old condition: a store that
//! answers no reads may still execute writes.

use std::{collections::BTreeMap, time::Duration};

use super::{
    model::{Change, Fleet},
    rollout::{Rollout, RolloutOrder, RolloutState},
    rollout_report::RolloutDecision,
};
use crate::{clock::BootTime, platform::Revision};

/// Time that each daemon leaves to the one that ranks before it: a write, and the change on its
/// way back.
const RANK_DELAY: Duration = Duration::from_millis(750);
/// Shortest and longest pause after a call that wrote no status.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Shortest and longest wait for an answer. It grows with each call without an answer, so that
/// a store that is slow is heard as well.
const CALL_TIMEOUT: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(4));

/// Status to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatusWrite {
    /// Service of the order.
    pub service: Box<str>,
    /// Revision that the object must still have.
    pub revision: Revision,
    /// State to write.
    pub state: RolloutState,
    /// Version that the state is about.
    pub version: Box<str>,
}

/// Outcome of a call to the store.
#[derive(Clone, Debug)]
pub enum RolloutAnswer {
    /// The status was written.
    Written,
    /// Nothing was written; this is what the store holds.
    Held(Change),
    /// Nothing was done.
    NotDone(Box<str>),
    /// The call may have been executed, or may be later.
    Unknown(Box<str>),
}

/// Call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutCall {
    /// Reads the object of a service.
    Read(Box<str>),
    /// Writes a status.
    Write(RolloutStatusWrite),
}

impl RolloutCall {
    /// Returns the service that the call is about.
    #[must_use]
    pub fn service(&self) -> &str {
        match self {
            Self::Read(service) => service,
            Self::Write(write) => &write.service,
        }
    }
}

/// A call, its number and the longest wait for its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusStep {
    /// Number to record the answer with.
    pub number: u64,
    /// The call.
    pub call: RolloutCall,
    /// Longest wait for the answer.
    pub timeout: Duration,
}

/// A status that the store does not hold yet.
#[derive(Debug)]
struct Pending {
    order: RolloutOrder,
    state: RolloutState,
    since: BootTime,
    /// Newest known content of the object; holds the status once it is known to be written.
    held: Rollout,
    /// Number of the call in progress.
    in_progress: Option<u64>,
    must_read: bool,
    retry_at: BootTime,
    pause: Duration,
    timeout: Duration,
}

/// State of the writer, by service.
#[derive(Debug, Default)]
pub struct RolloutWriter {
    pending: BTreeMap<Box<str>, Pending>,
    last_number: u64,
}

impl RolloutWriter {
    /// Returns the calls that are due, at most one for each service. `rank` is the number of
    /// daemons that are to write before this one.
    pub fn due(
        &mut self,
        fleet: &Fleet,
        decisions: &[(Box<str>, RolloutDecision)],
        rank: u32,
        now: BootTime,
    ) -> Vec<StatusStep> {
        self.pending
            .retain(|service, _| fleet.rollouts.contains_key(service));
        let mut steps = Vec::new();
        for (service, rollout) in &fleet.rollouts {
            let decision = decisions.iter().find(|(name, _)| name == service);
            let wanted = wanted_state(fleet, rollout, decision.map(|(_, decision)| *decision));
            let Some((state, stored)) = wanted else {
                self.pending.remove(service);
                continue;
            };
            let pending = self.pending.remove(service);
            let mut pending = Pending::update(pending, state, stored, now);
            steps.extend(pending.next_call(rank, now).map(|call| {
                self.last_number += 1;
                pending.in_progress = Some(self.last_number);
                StatusStep {
                    number: self.last_number,
                    call,
                    timeout: pending.timeout,
                }
            }));
            self.pending.insert(service.clone(), pending);
        }
        steps
    }

    /// Records the outcome of a call. The outcome of a call that was superseded is ignored.
    pub fn record(&mut self, step: &StatusStep, answer: &RolloutAnswer, now: BootTime) {
        if let Some(pending) = self.pending.get_mut(step.call.service())
            && pending.in_progress == Some(step.number)
        {
            pending.in_progress = None;
            pending.record(&step.call, answer, now);
        }
    }
}

/// Returns the state that the store is to hold, and what it holds as far as is known; `None` if
/// there is nothing to write.
fn wanted_state<'a>(
    fleet: &'a Fleet,
    rollout: &'a Rollout,
    decision: Option<RolloutDecision>,
) -> Option<(RolloutState, &'a Rollout)> {
    let lost = fleet.lost_rollouts.get(&rollout.order.service);
    if let Some(stored) = lost {
        // The status cannot be written to an object that is gone, or that is another order.
        let stored = stored.as_ref().filter(|s| s.order == rollout.order)?;
        return Some((rollout.state()?, stored));
    }
    if rollout.is_over() {
        return None;
    }
    let state = match decision? {
        RolloutDecision::Running { .. } => RolloutState::Running,
        RolloutDecision::Complete => RolloutState::Completed,
        RolloutDecision::RollBack => RolloutState::RolledBack,
    };
    (rollout.state() != Some(state)).then_some((state, rollout))
}

impl Pending {
    fn new(state: RolloutState, stored: &Rollout, now: BootTime) -> Self {
        Self {
            order: stored.order.clone(),
            state,
            since: now,
            held: stored.clone(),
            in_progress: None,
            must_read: false,
            retry_at: now,
            pause: RETRY_PAUSE.0,
            timeout: CALL_TIMEOUT.0,
        }
    }

    /// Returns the state after a look at what is to be written and what the store holds.
    fn update(known: Option<Self>, state: RolloutState, stored: &Rollout, now: BootTime) -> Self {
        let Some(mut known) = known.filter(|known| known.order == stored.order) else {
            return Self::new(state, stored, now);
        };
        if stored.revision > known.held.revision {
            known.held = stored.clone();
        }
        if known.state == state {
            return known;
        }
        Self {
            // The call in progress, which may still be executed, is no longer waited for.
            must_read: known.must_read || known.in_progress.is_some(),
            ..Self::new(state, &known.held, now)
        }
    }

    /// Returns whether the store holds the status, or a final one that another daemon wrote.
    fn is_written(&self) -> bool {
        self.held.order == self.order
            && (self.held.is_over() || self.held.state() == Some(self.state))
    }

    fn next_call(&self, rank: u32, now: BootTime) -> Option<RolloutCall> {
        let is_due = now >= self.retry_at && now >= self.since + RANK_DELAY * rank;
        if !is_due || self.in_progress.is_some() || self.is_written() {
            return None;
        }
        let service = self.order.service.clone();
        if self.must_read || self.held.order != self.order {
            return Some(RolloutCall::Read(service));
        }
        Some(RolloutCall::Write(RolloutStatusWrite {
            service,
            revision: self.held.revision,
            state: self.state,
            version: self.order.version.clone(),
        }))
    }

    fn record(&mut self, call: &RolloutCall, answer: &RolloutAnswer, now: BootTime) {
        match answer {
            RolloutAnswer::Written => {
                self.held.status = Some((self.state, self.order.version.clone()));
                return;
            }
            RolloutAnswer::Held(Change::Rollout(held)) if held.revision >= self.held.revision => {
                self.held = held.clone();
                self.must_read = false;
            }
            // The object is gone or unreadable, or the answer is an old one. The fleet will say
            // so as well unless that changes.
            RolloutAnswer::Held(_) => self.must_read = true,
            RolloutAnswer::NotDone(_) => {}
            RolloutAnswer::Unknown(_) => {
                self.must_read = matches!(call, RolloutCall::Write(_));
                self.timeout = (self.timeout * 2).min(CALL_TIMEOUT.1);
            }
        }
        self.retry_at = now + self.pause;
        self.pause = (self.pause * 2).min(RETRY_PAUSE.1);
    }
}
