//! Records of routing decisions: each is logged as one line, and the most recent
//! ones are stored for the operators' request `/v1/explain/REQUEST`.

use std::{
    collections::VecDeque,
    fmt,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::platform::Revision;

/// Maximum number of decisions stored for `explain`.
const MAX_DECISIONS: usize = 10_000;

/// A routing decision for a request, with its reasons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Request id.
    pub request: Box<str>,
    /// Name of the requested service.
    pub service: Box<str>,
    /// Chosen target, if any had capacity.
    pub target: Option<Box<str>>,
    /// `name:reason` for each candidate, best first.
    pub candidates: Box<str>,
    /// Revision of the records on which the decision is based.
    pub revision: Revision,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let target = self.target.as_deref().unwrap_or("none");
        write!(
            f,
            "event=route request={} service={} target={target} candidates={} revision={}",
            self.request, self.service, self.candidates, self.revision
        )
    }
}

/// The most recent decisions of this daemon.
#[derive(Default)]
pub(crate) struct Decisions(Mutex<VecDeque<Decision>>);

impl Decisions {
    /// Logs and stores a decision.
    pub fn record(&self, decision: Decision) {
        log::info!("{decision}");
        let mut decisions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if decisions.len() == MAX_DECISIONS {
            decisions.pop_front();
        }
        decisions.push_back(decision);
    }

    /// Returns all stored decisions for one request, oldest first.
    pub fn for_request(&self, request: &str) -> Vec<Decision> {
        let decisions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let found = decisions.iter().filter(|d| &*d.request == request);
        found.cloned().collect()
    }
}
