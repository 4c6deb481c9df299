//! Operator's orders to move the traffic of a service to targets of another version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::platform::Revision;

/// An order, as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: Box<str>,
    /// Version to move the traffic to.
    pub version: Box<str>,
    /// Time within which the rollout has to be completed or rolled back.
    pub time_limit: Duration,
}

/// State of a rollout.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutState {
    /// Both versions get traffic.
    Running,
    /// Only the new version gets traffic; targets of other versions are stopped.
    Completed,
    /// The new version gets no traffic; its targets drain.
    RolledBack,
}

/// An order and its state in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The order.
    pub order: RolloutOrder,
    /// State and version of the last status that was written; `None` if there is none. It is
    /// that of an earlier order if the versions differ.
    pub status: Option<(RolloutState, Box<str>)>,
    /// Revision of the object's last change, with the era; the condition of the next write.
    pub revision: Revision,
}
