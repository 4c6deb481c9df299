//! Routing decisions: one log line each, and the last ones kept for `explain`.

use std::{
    collections::VecDeque,
    fmt,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::platform::Revision;

/// Decisions kept for `explain`.
const KEPT: usize = 10_000;

/// Why a request went where it went.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Request id.
    pub request: Box<str>,
    /// Service asked for.
    pub service: Box<str>,
    /// Target chosen, if any had room.
    pub target: Option<Box<str>>,
    /// `name:reason` for each candidate, best first.
    pub candidates: Box<str>,
    /// Revision of the records in force.
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

/// The last decisions of this daemon.
#[derive(Default)]
pub(crate) struct Decisions(Mutex<VecDeque<Decision>>);

impl Decisions {
    /// Logs and keeps a decision.
    pub fn note(&self, decision: Decision) {
        log::info!("{decision}");
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.len() == KEPT {
            kept.pop_front();
        }
        kept.push_back(decision);
    }

    /// All kept decisions on one request, oldest first.
    pub fn of(&self, request: &str) -> Vec<Decision> {
        let kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let found = kept.iter().filter(|d| &*d.request == request);
        found.cloned().collect()
    }
}
