//! Which target gets a request.
//!
//! Load pattern: many long generations share few engines. A prompt waits for
//! those that are read before it, a few of which already use up the objective,
//! and runs are preempted once an engine's memory is full. So the expected wait
//! for the first event decides, then memory.

use std::{sync::Mutex, time::Duration};

use rand::{Rng, seq::IndexedRandom};

use super::{
    load::Work,
    model::{EngineLimits, Tokens},
};

/// Cost of a full memory, against 1 for a first event at the objective. Low,
/// since memory that suffices delays nobody.
const MEMORY_WEIGHT: f64 = 0.3;
/// Share of an engine's memory from which on runs may have to be preempted:
/// sizes are estimates, and copies of other runs come on top.
const MEMORY_SAFE: f64 = 0.85;
/// Cost of each further memory's worth; preempted runs are read again.
const OVERFLOW_WEIGHT: f64 = 10.0;
/// Share of an engine's memory that backups may fill it up to: beyond half, the
/// next generations at the peak of a day would wait for what the backups take.
const BACKUP_PART: f64 = 0.5;
/// Cost of all slots being taken; the unit of the other costs of plain calls.
const SLOT_WEIGHT: f64 = 1.0;
/// Cost of one recent failure: as much as half of the slots taken.
const FAILURE_COST: f64 = 0.5;
/// Cost of a target that is still cold: as much as all slots taken.
const COLD_COST: f64 = 1.0;
/// Cost of another region for a generation: a run that goes on elsewhere
/// pauses for two round trips more, and bytes between regions are paid.
const FAR_ENGINE_COST: f64 = 0.3;
/// Cost of another region for a plain call, whose objective is a few round
/// trips.
const FAR_PLAIN_COST: f64 = 0.8;
/// Targets of other zones that are looked at: the better of two chosen at
/// random is nearly as good as the best, and seldom everybody's.
const FAR_SAMPLE: usize = 2;
/// Cost of another zone of the same region: decides only between equals.
const OTHER_ZONE_COST: f64 = 0.01;

/// How far a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
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

/// A generation that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Prompt tokens to be read.
    pub prompt: Tokens,
    /// Tokens of memory that it is expected to take.
    pub tokens: Tokens,
    /// Time within which the first event is wanted.
    pub objective: Duration,
}

/// Cost of placing a generation at a candidate; lowest first.
#[must_use]
pub fn engine_cost(
    candidate: &Candidate,
    limits: &EngineLimits,
    need: &Need,
    read_rate: f64,
) -> f64 {
    let objective = need.objective.as_secs_f64().max(MIN_OBJECTIVE_S);
    let wait = as_f64(candidate.work.unread + need.prompt) / read_rate / objective;
    let memory = as_f64(candidate.work.tokens + need.tokens) / as_f64(limits.memory.max(1));
    let far = match candidate.distance {
        Distance::Zone => 0.0,
        Distance::Region => OTHER_ZONE_COST,
        Distance::Far => FAR_ENGINE_COST,
    };
    wait + MEMORY_WEIGHT * memory
        + OVERFLOW_WEIGHT * (memory - MEMORY_SAFE).max(0.0)
        + common_cost(candidate)
        + far
}

/// Whether an engine has room for a backup: one that made runs wait or be
/// preempted would cost more than it saves.
#[must_use]
pub fn has_room_for_backup(work: &Work, limits: &EngineLimits, need: &Need) -> bool {
    let memory = as_f64(limits.memory.max(1));
    as_f64(work.tokens + need.tokens) <= BACKUP_PART * memory
}

/// Prompt tokens that engines read in a second, learnt from first events.
#[derive(Debug)]
pub struct ReadRate(Mutex<f64>);

/// Rate before the first sample, in tokens per second; the first few first
/// events replace it.
const FIRST_RATE: f64 = 5_000.0;
/// Part of a sample that enters the mean, so that about ten samples count.
const SAMPLE_PART: f64 = 0.1;
/// Smallest rate believed, in tokens per second: a stalled engine is no measure.
const MIN_RATE: f64 = 200.0;
/// Shortest objective reckoned with, in seconds.
const MIN_OBJECTIVE_S: f64 = 0.01;

impl Default for ReadRate {
    fn default() -> Self {
        Self(Mutex::new(FIRST_RATE))
    }
}

impl ReadRate {
    /// Tokens per second.
    #[must_use]
    pub fn get(&self) -> f64 {
        *self
            .0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Notes that `tokens`, the prompt and those before it, took `time`.
    pub fn note(&self, tokens: Tokens, time: Duration) {
        if tokens == 0 || time.is_zero() {
            return;
        }
        let sample = (as_f64(tokens) / time.as_secs_f64()).max(MIN_RATE);
        let mut rate = self
            .0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        *rate += SAMPLE_PART * (sample - *rate);
    }
}

/// The targets of other zones that are looked at for one request.
///
/// Load pattern: what is known of them is some hundred milliseconds old and the
/// same for all daemons, so that all would send to the same one meanwhile.
pub fn sample_far<'a, T>(far: &'a [T], rng: &mut impl Rng) -> impl Iterator<Item = &'a T> {
    far.sample(rng, FAR_SAMPLE)
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
