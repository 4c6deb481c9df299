//! Scores targets so that each request is placed on the one with the lowest cost.
//!
//! Load pattern: many long generations share few engines. A prompt waits until the
//! prompts queued before it are prefilled, and a few of these already take as long
//! as the objective for the first event. Runs are preempted once an engine's memory
//! is full. The cost of an engine therefore depends mostly on the expected wait for
//! the first event, and then on memory utilization.

use std::{sync::Mutex, time::Duration};

use rand::{Rng, seq::IndexedRandom};

use super::{
    load::Work,
    model::{EngineLimits, Tokens},
};

/// Cost of fully used engine memory, where a first event that takes exactly the
/// objective costs 1. Low, because memory use delays no run until memory runs out.
const MEMORY_WEIGHT: f64 = 0.3;
/// Memory utilization of an engine above which runs may be preempted: the sizes
/// of runs are estimates, and copies of other runs take memory as well.
const SAFE_UTILIZATION: f64 = 0.85;
/// Cost of memory utilization above [`SAFE_UTILIZATION`], per whole memory of the
/// engine: a preempted run has to be prefilled again.
const OVERFLOW_WEIGHT: f64 = 10.0;
/// Memory utilization of an engine up to which backups may be placed on it: above
/// half, new generations at the daily peak would wait for memory that backups hold.
const BACKUP_UTILIZATION_LIMIT: f64 = 0.5;
/// Cost of a target whose slots are all in use; the other costs of plain calls
/// are relative to it.
const SLOT_WEIGHT: f64 = 1.0;
/// Cost of one recent failure: as much as half of the slots being in use.
const FAILURE_COST: f64 = 0.5;
/// Cost of a target that is still cold: as much as all slots being in use.
const COLD_COST: f64 = 1.0;
/// Cost of placing a generation in another region: a run that is resumed there
/// pauses for two more round trips, and traffic between regions is billed.
const OTHER_REGION_ENGINE_COST: f64 = 0.3;
/// Cost of placing a plain call in another region. High, because the objective of
/// a plain call is only a few round trips.
const OTHER_REGION_PLAIN_COST: f64 = 0.8;
/// Number of targets in other zones that are considered per request: the better
/// of two random targets is nearly as good as the best one, and rarely the one
/// that every other daemon chooses too.
const OTHER_ZONE_SAMPLE_SIZE: usize = 2;
/// Cost of placing a request in another zone of the same region: only breaks ties.
const OTHER_ZONE_COST: f64 = 0.01;

/// Network distance between this daemon and a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
pub enum Distance {
    /// The same availability zone.
    #[strum(serialize = "zone")]
    SameZone,
    /// Another zone of the same region.
    #[strum(serialize = "region")]
    OtherZone,
    /// Another region.
    #[strum(serialize = "far")]
    OtherRegion,
}

/// State of a target that a request may be placed on, as known to this daemon.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Work of this daemon at the target, plus that of the other daemons as last
    /// reported.
    pub work: Work,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Number of recent failures, decayed over time.
    pub failures: f64,
    /// Whether the target is still slow after its start.
    pub is_cold: bool,
    /// Distance from this daemon.
    pub distance: Distance,
    /// How long work takes on the target now, as a factor of what is usual.
    pub slowness: f64,
}

/// Resource demand of a generation that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct GenerationDemand {
    /// Number of prompt tokens to prefill.
    pub prompt: Tokens,
    /// Expected memory use, in tokens.
    pub tokens: Tokens,
    /// Latency objective for the first event.
    pub objective: Duration,
}

/// Returns the cost of placing a generation on a candidate; lower is better.
///
/// `prefill_rate` is in tokens per second; see [`PrefillRate`].
#[must_use]
pub fn engine_cost(
    candidate: &Candidate,
    limits: &EngineLimits,
    demand: &GenerationDemand,
    prefill_rate: f64,
) -> f64 {
    let objective = demand.objective.as_secs_f64().max(MIN_OBJECTIVE_S);
    let wait = as_f64(candidate.work.pending_prompt_tokens + demand.prompt) / prefill_rate
        * candidate.slowness
        / objective;
    let utilization =
        as_f64(candidate.work.tokens + demand.tokens) / as_f64(limits.memory_tokens.max(1));
    let distance_cost = match candidate.distance {
        Distance::SameZone => 0.0,
        Distance::OtherZone => OTHER_ZONE_COST,
        Distance::OtherRegion => OTHER_REGION_ENGINE_COST,
    };
    wait + MEMORY_WEIGHT * utilization
        + OVERFLOW_WEIGHT * (utilization - SAFE_UTILIZATION).max(0.0)
        + common_cost(candidate)
        + distance_cost
}

/// Returns whether an engine has enough free memory for a backup. A backup that
/// makes runs wait or be preempted costs more than it saves.
#[must_use]
pub fn has_room_for_backup(work: &Work, limits: &EngineLimits, demand: &GenerationDemand) -> bool {
    let capacity = as_f64(limits.memory_tokens.max(1));
    as_f64(work.tokens + demand.tokens) <= BACKUP_UTILIZATION_LIMIT * capacity
}

/// Moving average of the prefill rate of engines, in tokens per second, measured
/// by the time until first events and normalized to the usual speed of a target.
#[derive(Debug)]
pub struct PrefillRate(Mutex<f64>);

/// Rate assumed before the first sample, in tokens per second; its share in the
/// average falls by a tenth with each first event.
const INITIAL_RATE: f64 = 5_000.0;
/// Weight of a new sample in the moving average, which thus covers about ten samples.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Lower bound of a sample, in tokens per second: the wait for a stalled engine
/// does not reflect its prefill rate.
const MIN_RATE: f64 = 200.0;
/// Lower bound of the objective that waits are divided by, in seconds.
const MIN_OBJECTIVE_S: f64 = 0.01;

impl Default for PrefillRate {
    fn default() -> Self {
        Self(Mutex::new(INITIAL_RATE))
    }
}

impl PrefillRate {
    /// Returns the average rate in tokens per second.
    #[must_use]
    pub fn get(&self) -> f64 {
        *self
            .0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records that prefilling `tokens`, those of a prompt and of the prompts queued
    /// before it, took `time`.
    pub fn record(&self, tokens: Tokens, time: Duration) {
        if tokens == 0 || time.is_zero() {
            return;
        }
        let sample = (as_f64(tokens) / time.as_secs_f64()).max(MIN_RATE);
        let mut rate = self
            .0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        *rate += SAMPLE_WEIGHT * (sample - *rate);
    }
}

/// Returns a random sample of the targets in other zones, for one request.
///
/// Load pattern: load reports from other zones are a few hundred milliseconds old
/// and the same at all daemons. Without sampling, all daemons would send to the
/// same target until the next report.
pub fn sample_other_zones<'a, T>(
    targets: &'a [T],
    rng: &mut impl Rng,
) -> impl Iterator<Item = &'a T> {
    targets.sample(rng, OTHER_ZONE_SAMPLE_SIZE)
}

/// Returns the cost of placing a plain call on a candidate; lower is better.
#[must_use]
pub fn plain_cost(candidate: &Candidate) -> f64 {
    let distance_cost = match candidate.distance {
        Distance::SameZone => 0.0,
        Distance::OtherZone => OTHER_ZONE_COST,
        Distance::OtherRegion => OTHER_REGION_PLAIN_COST,
    };
    SLOT_WEIGHT * slot_utilization(candidate) + common_cost(candidate) + distance_cost
}

/// Returns the part of the slots in use that would delay a further request as much at the usual
/// speed. At a slow target, the request itself takes longer too.
fn slot_utilization(candidate: &Candidate) -> f64 {
    let requests = f64::from(candidate.work.requests);
    ((requests + 1.0) * candidate.slowness - 1.0) / f64::from(candidate.slots.max(1))
}

fn common_cost(candidate: &Candidate) -> f64 {
    let cold_cost = if candidate.is_cold { COLD_COST } else { 0.0 };
    cold_cost + FAILURE_COST * candidate.failures
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^52"
)]
fn as_f64(tokens: Tokens) -> f64 {
    tokens as f64
}
