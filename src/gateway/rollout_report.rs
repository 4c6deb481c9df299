//! What daemons tell each other about a rollout, and the decision that is written to the store.

use serde::{Deserialize, Serialize};

use super::{
    peer_wire::{TargetKey, target_key},
    rollout::RolloutOrder,
    rollout_plan::{RolloutStep, RolloutVerdict},
    version_outcomes::{OutcomeSums, ReportScope},
};
use crate::platform::Revision;

/// Which order a report is about. Two ids are of the same order if they have the same content
/// and their revisions overlap: each status that is written gives the object a new revision,
/// and daemons learn of the order at different ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderId {
    /// Hash of service, version and time limit.
    pub spec: TargetKey,
    /// Lowest and highest revision of the object, with the era, at which daemons know it.
    pub revisions: (Revision, Revision),
}

impl OrderId {
    pub(super) fn new(order: &RolloutOrder, revision: Revision) -> Self {
        let limit = order.time_limit.as_millis();
        Self {
            spec: target_key(&format!("{}\n{}\n{limit}", order.service, order.version)),
            revisions: (revision, revision),
        }
    }

    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.spec == other.spec
            && self.revisions.0 <= other.revisions.1
            && other.revisions.0 <= self.revisions.1
    }

    pub(super) fn extend(&mut self, revisions: (Revision, Revision)) {
        self.revisions.0 = self.revisions.0.min(revisions.0);
        self.revisions.1 = self.revisions.1.max(revisions.1);
    }
}

/// What a daemon reports about one order. Ages are in milliseconds at the time of the send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The order.
    pub id: OrderId,
    /// Who has counted the sums.
    pub scope: ReportScope,
    /// Age of the order.
    pub age_ms: u32,
    /// Step that the sender has reached.
    pub step: RolloutStep,
    /// Age of this step.
    pub step_age_ms: u32,
    /// That the new version is bad; `None` if this is not known.
    pub verdict: Option<RolloutVerdict>,
    /// Counts since the order; empty in reports that tell only news.
    pub sums: OutcomeSums,
}

/// What is to become of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutDecision {
    /// Both versions get requests.
    Running {
        /// Share of the requests that the new version gets.
        share: f64,
    },
    /// The targets of the old version may be stopped.
    Complete,
    /// The new version gets no more requests.
    RollBack,
}
