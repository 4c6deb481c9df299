//! Which target gets a request.
//!
//! Load pattern: many long generations share few engines, each of which slows
//! down with every run it decodes and preempts runs once its memory is full.
//! The expected memory of all runs decides, then the prompts still to be read,
//! which delay the tokens of every run beside them.

use super::{
    load::Work,
    model::{EngineLimits, Tokens},
};

/// Cost of a full memory; runs are preempted beyond it.
const MEMORY_WEIGHT: f64 = 1.0;
/// Cost of a memory's worth of prompts still to be read: reading delays all
/// runs, so that it weighs more than memory that is only held.
const UNREAD_WEIGHT: f64 = 2.0;
/// Cost of all slots being taken.
const SLOT_WEIGHT: f64 = 1.0;
/// Cost added once memory does not suffice.
const OVERFLOW_COST: f64 = 4.0;
/// Cost of one recent failure.
const FAILURE_COST: f64 = 0.5;
/// Cost of a target that is still cold.
const COLD_COST: f64 = 1.0;
/// Cost of another region for a generation: a round trip is small against its
/// objective, and bytes between regions are paid.
const FAR_ENGINE_COST: f64 = 0.05;
/// Cost of another region for a plain call, whose objective is a few round
/// trips.
const FAR_PLAIN_COST: f64 = 0.8;
/// Cost of another zone of the same region.
const OTHER_ZONE_COST: f64 = 0.01;

/// How far a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same availability zone.
    Zone,
    /// Another zone of the same region.
    Region,
    /// Another region.
    Far,
}

/// What is known of a target that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Work of all daemons, as far as known.
    pub work: Work,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Recent failures.
    pub failures: f64,
    /// Still slow after its start.
    pub is_cold: bool,
    /// How far it is.
    pub distance: Distance,
}

/// Cost of placing a generation of `need` tokens at a candidate; lowest first.
#[must_use]
pub fn engine_cost(candidate: &Candidate, limits: &EngineLimits, need: Tokens) -> f64 {
    let memory = limits.memory.max(1);
    let share = |tokens: Tokens| as_f64(tokens) / as_f64(memory);
    let after = share(candidate.work.tokens + need);
    let overflow = if after > 1.0 { OVERFLOW_COST } else { 0.0 };
    let far = match candidate.distance {
        Distance::Zone => 0.0,
        Distance::Region => OTHER_ZONE_COST,
        Distance::Far => FAR_ENGINE_COST,
    };
    MEMORY_WEIGHT * after
        + UNREAD_WEIGHT * share(candidate.work.unread)
        + SLOT_WEIGHT * slot_share(candidate)
        + overflow
        + common_cost(candidate)
        + far
}

/// Cost of placing a plain call at a candidate; lowest first.
#[must_use]
pub fn plain_cost(candidate: &Candidate) -> f64 {
    let far = match candidate.distance {
        Distance::Zone => 0.0,
        Distance::Region => OTHER_ZONE_COST,
        Distance::Far => FAR_PLAIN_COST,
    };
    SLOT_WEIGHT * slot_share(candidate) + common_cost(candidate) + far
}

fn slot_share(candidate: &Candidate) -> f64 {
    f64::from(candidate.work.requests) / f64::from(candidate.slots.max(1))
}

fn common_cost(candidate: &Candidate) -> f64 {
    let cold = if candidate.is_cold { COLD_COST } else { 0.0 };
    cold + FAILURE_COST * candidate.failures
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^52"
)]
fn as_f64(tokens: Tokens) -> f64 {
    tokens as f64
}
