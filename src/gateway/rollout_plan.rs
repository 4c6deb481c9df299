//! Decides how far a rollout goes: which share of the requests the new version gets, and
//! whether it is good or bad.
//!
//! Load pattern: a version fails at once, later, only under load or only on one route, or takes
//! several times as long, while targets of the old version crash too, zones fail and targets of
//! the new version are cold. Few requests may reach a bad version, and a good one has to get all
//! of them well before the time limit. The new version is therefore compared with the old one
//! under the same conditions: on the same route, and in the same zone.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::version_outcomes::{OutcomeSums, Outcomes, RouteOutcomes, Side, TIME_BUCKETS};

/// Part of the permitted exposure that daemons use. The rest covers the rounding of the shares
/// of hundreds of daemons that have few requests each.
const EXPOSURE_FRACTION: f64 = 0.8;
/// Earliest and latest end of the canary phase, as parts of the time limit.
const CANARY_END: (f64, f64) = (1.0 / 3.0, 0.5);
/// Minimum time for which targets of the new version have been there at the end of the canary
/// phase, as a part of the time limit.
const MIN_READY: f64 = 1.0 / 6.0;
/// Length of each later step, as a part of the time limit. Until all requests go to the new
/// version, a bad one then gets under a tenth of all requests within the time limit.
const STEP_LENGTH: f64 = 1.0 / 18.0;
/// Minimum length of a step: reports of bad responses take that long to arrive.
const MIN_STEP: Duration = Duration::from_millis(600);
/// Part of the time limit after which remaining work at old targets is not waited for.
const LATEST_COMPLETION: f64 = 0.85;
/// Part of the time limit from which runs are moved off old targets: those still there at
/// [`LATEST_COMPLETION`] would be lost, and shorter ones end by themselves.
const MOVE_FROM: f64 = 0.7;
/// Part of the time limit by which a version that has answered nothing counts as bad.
const LATEST_ANSWER: f64 = 0.7;
/// Slots of the new version, as a part of those of the old one, that suffice for all requests.
const SUFFICIENT_SLOTS: f64 = 0.8;
/// Responses of the new version that suffice on a route, if the old one has as many there.
const SUFFICIENT_RESPONSES: u32 = 20;

/// Likelihood ratio, as its logarithm, from which more bad responses than expected are no
/// chance: about one in 160,000 for one comparison, and some hundred are made.
const CERTAINTY: f64 = 12.0;
/// Share of bad responses up to which no version counts as bad before
/// [`SUFFICIENT_BAD`] of them.
const USUAL_BAD_SHARE: f64 = 0.005;
/// Bad responses of the new version that suffice if the old one has fewer than half its share.
const SUFFICIENT_BAD: u32 = 50;
/// Weight of the overall share in that of a zone, in responses.
const ZONE_PRIOR: f64 = 10.0;
/// Smallest part of the responses by which the new version has to be slower to count as slow:
/// each target of a good version is slow for up to a seventh of the time.
const MIN_SLOW_PART: f64 = 0.2;

/// Step of a rollout.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutStep {
    /// The new version gets few requests.
    #[default]
    Canary,
    /// It gets a quarter.
    Quarter,
    /// It gets half.
    Half,
    /// It gets all.
    All,
}

impl RolloutStep {
    fn next(self) -> Self {
        match self {
            Self::Canary => Self::Quarter,
            Self::Quarter => Self::Half,
            Self::Half | Self::All => Self::All,
        }
    }
}

/// Why a version is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum VerdictCause {
    /// It has too many bad responses on all routes together.
    BadResponses,
    /// It has too many bad responses on one route.
    BadOnRoute,
    /// It takes too long on all routes together.
    Slow,
    /// It takes too long on one route.
    SlowOnRoute,
    /// It has answered nothing.
    NoAnswers,
    /// The time limit is over, and too few of its targets were there to try it.
    NotTried,
    /// The store says that it was rolled back.
    Status,
}

/// That the new version is bad, and the figures that decided it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutVerdict {
    /// The cause.
    pub cause: VerdictCause,
    /// Responses of the old version, on the route if the cause is on one.
    pub old: Outcomes,
    /// Responses of the new version.
    pub new: Outcomes,
}

/// Ready slots of the two versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Slots of available targets of the old version.
    pub old_slots: u32,
    /// Slots of available targets of the new version that are not cold.
    pub new_slots: u32,
}

impl Capacity {
    /// Returns the largest share of the requests that the new version can take.
    #[must_use]
    pub fn max_share(self) -> f64 {
        let (old, new) = (f64::from(self.old_slots), f64::from(self.new_slots));
        if new > 0.0 && new >= SUFFICIENT_SLOTS * old {
            return 1.0;
        }
        new / old.max(1.0)
    }
}

/// State of a rollout at one moment.
#[derive(Clone, Copy, Debug)]
pub struct RolloutMoment<'a> {
    /// Time since the order.
    pub age: Duration,
    /// Time limit of the order.
    pub time_limit: Duration,
    /// The current step.
    pub step: RolloutStep,
    /// Time since it began.
    pub step_age: Duration,
    /// Time for which targets of the new version have been there.
    pub ready_for: Duration,
    /// Time for which no work at targets of the old version has been reported.
    pub old_idle_for: Duration,
    /// Ready slots.
    pub capacity: Capacity,
    /// Counts of all daemons.
    pub sums: &'a OutcomeSums,
}

impl RolloutMoment<'_> {
    fn step_length(&self) -> Duration {
        self.time_limit.mul_f64(STEP_LENGTH).max(MIN_STEP)
    }

    /// Returns the step that follows now.
    #[must_use]
    pub fn next_step(&self) -> RolloutStep {
        let may_go_on = match self.step {
            RolloutStep::Canary => {
                self.age >= self.time_limit.mul_f64(CANARY_END.0)
                    && self.ready_for >= self.time_limit.mul_f64(MIN_READY)
                    && !self.is_unanswered()
                    && (self.age >= self.time_limit.mul_f64(CANARY_END.1) || self.is_tried())
            }
            _ => self.step_age >= self.step_length(),
        };
        if may_go_on {
            self.step.next()
        } else {
            self.step
        }
    }

    /// Returns the share of the requests that the new version gets.
    #[must_use]
    pub fn share(&self, exposure_share: f64) -> f64 {
        let canary = EXPOSURE_FRACTION * exposure_share;
        let share = match self.step {
            RolloutStep::Canary => canary,
            RolloutStep::Quarter => canary.max(0.25),
            RolloutStep::Half => 0.5,
            RolloutStep::All => 1.0,
        };
        share.min(self.capacity.max_share())
    }

    /// Returns whether the old targets may be stopped.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let is_late = self.age >= self.time_limit.mul_f64(LATEST_COMPLETION);
        self.step == RolloutStep::All
            && self.step_age >= self.step_length()
            && self.capacity.max_share() >= 1.0
            && (is_late || self.old_idle_for >= MIN_STEP)
    }

    /// Returns whether runs at old targets are to be moved.
    #[must_use]
    pub fn moves_runs(&self) -> bool {
        self.step == RolloutStep::All && self.age >= self.time_limit.mul_f64(MOVE_FROM)
    }

    /// Returns whether the new version has had enough responses on each route that has traffic.
    fn is_tried(&self) -> bool {
        let is_tried = |(_, [old, new]): &(_, [RouteOutcomes; 2])| {
            old.counts.responses < SUFFICIENT_RESPONSES
                || new.counts.responses >= SUFFICIENT_RESPONSES
        };
        let total = self.sums.total(Side::New).responses;
        total >= SUFFICIENT_RESPONSES && self.sums.routes.iter().all(is_tried)
    }

    /// Returns whether requests were sent to the new version, and it has answered none of them.
    fn is_unanswered(&self) -> bool {
        let total = |side| self.sums.total(side).responses;
        self.sums.sends[Side::New as usize] >= SUFFICIENT_RESPONSES
            && total(Side::New) == 0
            && total(Side::Old) >= SUFFICIENT_RESPONSES
    }

    /// Returns why the new version is bad; `None` as long as nothing shows that it is.
    #[must_use]
    pub fn verdict(&self) -> Option<RolloutVerdict> {
        let (old, new) = (self.sums.total(Side::Old), self.sums.total(Side::New));
        let verdict = |cause, old, new| Some(RolloutVerdict { cause, old, new });
        let expected = expected_by_zone(self.sums, old, new);
        // A target that crashes or is broken says nothing of its version.
        let is_one_target = self.sums.is_one_target_bad() && new.bad < SUFFICIENT_BAD;
        if !is_one_target && is_worse(new, expected) {
            return verdict(VerdictCause::BadResponses, old, new);
        }
        for (_, [old, new]) in &self.sums.routes {
            let on_route = likely_share(old.counts).max(expected);
            if !is_one_target && is_worse(new.counts, on_route) {
                return verdict(VerdictCause::BadOnRoute, old.counts, new.counts);
            }
            if is_slower(&[(*old, *new)]) {
                return verdict(VerdictCause::SlowOnRoute, old.counts, new.counts);
            }
        }
        let routes: Vec<_> = self
            .sums
            .routes
            .iter()
            .map(|(_, [o, n])| (*o, *n))
            .collect();
        if is_slower(&routes) {
            return verdict(VerdictCause::Slow, old, new);
        }
        if self.is_unanswered() && self.age >= self.time_limit.mul_f64(LATEST_ANSWER) {
            return verdict(VerdictCause::NoAnswers, old, new);
        }
        if self.step == RolloutStep::Canary && self.age >= self.time_limit {
            return verdict(VerdictCause::NotTried, old, new);
        }
        None
    }
}

/// Returns the highest share of bad responses that is still likely after these ones.
fn likely_share(counts: Outcomes) -> f64 {
    let (bad, all) = (f64::from(counts.bad), f64::from(counts.responses));
    (bad + 1.5 * bad.sqrt() + 1.5) / (all + 20.0)
}

/// Returns the share of bad responses that the new version would have if it were like the old
/// one, given in which zones its targets are.
fn expected_by_zone(sums: &OutcomeSums, old: Outcomes, new: Outcomes) -> f64 {
    let overall = likely_share(old);
    let in_zones = sums.zones.iter().map(|(_, [old, new])| {
        let (bad, all) = (f64::from(old.bad), f64::from(old.responses));
        let share = (bad + ZONE_PRIOR * overall) / (all + ZONE_PRIOR);
        f64::from(new.responses) * share.max(overall)
    });
    let expected: f64 = in_zones.sum();
    (expected / f64::from(new.responses.max(1))).max(overall)
}

/// Returns whether there are more bad responses than chance explains where the share
/// `expected` of them is bad.
fn is_worse(new: Outcomes, expected: f64) -> bool {
    if new.responses == 0 {
        return false;
    }
    let all = f64::from(new.responses);
    let share = f64::from(new.bad.min(new.responses)) / all;
    if new.bad >= SUFFICIENT_BAD && share >= 2.0 * expected {
        return true;
    }
    let expected = expected.clamp(USUAL_BAD_SHARE, 1.0 - USUAL_BAD_SHARE);
    share > expected && all * divergence(share, expected) >= CERTAINTY
}

/// Returns the Kullback-Leibler divergence of two shares.
fn divergence(share: f64, expected: f64) -> f64 {
    let part = |p: f64, q: f64| if p > 0.0 { p * (p / q).ln() } else { 0.0 };
    part(share, expected) + part(1.0 - share, 1.0 - expected)
}

/// Returns whether the new version takes longer than the old one by more than targets of one
/// version differ: a one-sided Kolmogorov-Smirnov test of its times against those of the old
/// version, moved by one bucket. Several routes are compared each by itself, since the versions
/// may have different parts of them, and weighted by the responses of the new version.
fn is_slower(routes: &[(RouteOutcomes, RouteOutcomes)]) -> bool {
    let sum = |times: &[u32]| f64::from(times.iter().sum::<u32>());
    let comparable: Vec<_> = routes
        .iter()
        .filter(|(old, _)| sum(&old.times) >= f64::from(SUFFICIENT_RESPONSES))
        .collect();
    let all_old: f64 = comparable.iter().map(|(old, _)| sum(&old.times)).sum();
    let all_new: f64 = comparable.iter().map(|(_, new)| sum(&new.times)).sum();
    if all_new < f64::from(SUFFICIENT_RESPONSES) {
        return false;
    }
    let excess = |i: usize| -> f64 {
        let on_route = |(old, new): &&(RouteOutcomes, RouteOutcomes)| {
            let part_old = sum(&old.times[..i]) / sum(&old.times);
            (part_old * sum(&new.times) - sum(&new.times[..=i])) / all_new
        };
        comparable.iter().map(on_route).sum()
    };
    let largest = (1..TIME_BUCKETS).map(excess).fold(0.0, f64::max);
    let size = all_old * all_new / (all_old + all_new);
    largest >= MIN_SLOW_PART.max((CERTAINTY / (2.0 * size)).sqrt())
}
