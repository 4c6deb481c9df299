//! Placeholder for the decisions on rollouts, to be replaced. It decides by time alone: a
//! rollout is complete after half of its time limit if a target of its version is known, and
//! rolled back otherwise.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use super::{model::Fleet, rollout::RolloutOrder};
use crate::clock::BootTime;

/// Decision on the present order for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutDecision {
    /// The new version gets this share of the requests.
    Running {
        /// Share, from 0 to 1.
        share: f64,
    },
    /// Only the new version is to be used.
    Complete,
    /// The new version is no longer to be used.
    RollBack,
}

/// Orders by service, and the times at which they were first seen.
type Seen = BTreeMap<Box<str>, (RolloutOrder, BootTime)>;

/// Orders that were seen. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Rollouts(Arc<Mutex<Seen>>);

impl Rollouts {
    /// Returns the decision on each order.
    #[must_use]
    pub fn decisions(&self, fleet: &Fleet, now: BootTime) -> Vec<(Box<str>, RolloutDecision)> {
        let mut seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        seen.retain(|service, (order, _)| {
            let rollout = fleet.rollouts.get(service);
            rollout.is_some_and(|rollout| rollout.order == *order)
        });
        let mut decisions = Vec::new();
        for (service, rollout) in &fleet.rollouts {
            let entry = seen.entry(service.clone());
            let (order, since) = entry.or_insert_with(|| (rollout.order.clone(), now));
            let has_target = fleet.targets.values().any(|known| {
                known.target.service == *service && known.version.as_ref() == Some(&order.version)
            });
            let decision = if now.saturating_sub(*since) < order.time_limit / 2 {
                RolloutDecision::Running { share: 0.0 }
            } else if has_target {
                RolloutDecision::Complete
            } else {
                RolloutDecision::RollBack
            };
            decisions.push((service.clone(), decision));
        }
        decisions
    }
}
