//! Estimates how long work takes on one target, relative to what is usual, and how many requests
//! of other systems it has.
//!
//! Load pattern: some targets always take longer than others, and each slows down now and then
//! for some hundred milliseconds. Answers state the present value, but a daemon of hundreds gets
//! few answers of one target. The estimate therefore has a long-lived part, an average over
//! about [`AVERAGING_TIME`], and a momentary part that falls back to it within
//! [`MOMENT_TIME`]. Both are kept as logarithms, so that twice as long and half as long
//! cancel out.

use std::time::Duration;

use super::{
    load::Work,
    model::Tokens,
    peer_wire::{SpeedReport, TargetKey},
    placement::GenerationDemand,
};
use crate::clock::{self, BootTime};

/// Time over which the long-lived part averages. A slowdown of half a second to 2.5 times moves
/// it by 5%.
const AVERAGING_TIME: Duration = Duration::from_secs(10);
/// Longest time that one sample stands for, so that a single one after a pause does not decide.
const MAX_SAMPLE_TIME: Duration = Duration::from_secs(1);
/// Time in which a momentary value loses most of its weight: slowdowns last some hundred
/// milliseconds.
const MOMENT_TIME: Duration = Duration::from_millis(300);
/// Time in which the long-lived part loses most of its weight without new samples, so that a
/// target that gets no work because of it is tried again.
const FORGETTING_TIME: Duration = Duration::from_secs(30);
/// How long a value from another daemon is used.
const REMOTE_KEPT_FOR: Duration = Duration::from_secs(30);
/// How long a target that states its load, or its speed, counts as one that does.
const STATED_KEPT_FOR: Duration = Duration::from_secs(60);
/// Time in which stated requests lose most of their weight, and after which they have none.
const LOAD_TIME: Duration = Duration::from_secs(1);
const LOAD_KEPT_FOR: Duration = Duration::from_secs(3);
/// Time within which requests have to be in two answers to count. An answer may be read after
/// that of another request, which it still counts, so that a request of this daemon looks like
/// one of another system.
const CONFIRM_TIME: Duration = Duration::from_millis(300);
/// Age of a stated speed below which gaps between events do not replace it: they were measured
/// from about that time on.
const GAP_HOLDOFF: Duration = Duration::from_millis(150);
/// Gaps that are this many times as long as usual at the target show a slowdown; shorter ones
/// also vary with the number of requests.
const SLOW_GAP_FACTOR: f64 = 1.6;
/// Differences from usual up to this factor do not count if they were measured by this daemon:
/// gaps and first events vary by that much at targets of equal speed.
const NOISE_FACTOR: f64 = 1.1;
/// Weight of the time to one first event in the long-lived part. Low, because the wait depends
/// on other requests as well.
const FIRST_EVENT_WEIGHT: f64 = 0.05;
/// Range of believed values. Beyond it a target gets no work, or all, in any case.
const MIN_SLOWNESS: f64 = 0.25;
const MAX_SLOWNESS: f64 = 8.0;
/// Factor from usual above which other daemons get a report, and weight that own samples need.
const REPORT_FACTOR: f64 = 1.15;
const MIN_REPORT_WEIGHT: f64 = 0.4;
/// Time over which gaps between events are averaged. Events may arrive several at once.
const GAP_WINDOW: Duration = Duration::from_millis(100);
/// Longest time without an event that counts as a gap; a run that is preempted pauses for longer.
const MAX_GAP: Duration = Duration::from_secs(1);
/// Largest number of requests or slots that a target may state, far above what one serves.
const MAX_STATED: u32 = 1_000_000;
/// Largest stated speed value, where 100 is usual.
const MAX_STATED_PERCENT: f64 = 100_000.0;

/// Load that a target states in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLoad {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait.
    pub waiting: u32,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// How long work takes now, as a factor of what is usual; `None` if not stated.
    pub slowness: Option<f64>,
}

impl StatedLoad {
    /// Parses `RUNNING,WAITING,SLOTS` or `RUNNING,WAITING,SLOTS,PERCENT`; `None` if the text is
    /// anything else.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split(',').map(str::trim);
        let mut count = || {
            let count = fields.next()?.parse().ok()?;
            (count <= MAX_STATED).then_some(count)
        };
        let (running, waiting, slots) = (count()?, count()?, count()?);
        let slowness = match fields.next() {
            None => None,
            Some(text) => {
                let percent: f64 = text.parse().ok()?;
                let is_valid = percent > 0.0 && percent <= MAX_STATED_PERCENT;
                Some(is_valid.then_some(percent / 100.0)?)
            }
        };
        fields.next().is_none().then_some(Self {
            running,
            waiting,
            slots,
            slowness,
        })
    }
}

/// Average of samples over [`AVERAGING_TIME`], which also knows how much it rests on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Average {
    /// Sum of the samples, each by its weight.
    sum: f64,
    /// Sum of the weights, which approaches 1.
    weight: f64,
    sampled_at: Option<BootTime>,
}

impl Average {
    /// Adds a sample that stands for the time since the last one.
    pub(super) fn add(&mut self, sample: f64, now: BootTime) {
        let time = self.sampled_at.map(|at| now.saturating_sub(at));
        let time = time.map_or(MAX_SAMPLE_TIME, |time| time.min(MAX_SAMPLE_TIME));
        self.add_weighted(sample, 1.0 - decay(time, AVERAGING_TIME), now);
    }

    fn add_weighted(&mut self, sample: f64, weight: f64, now: BootTime) {
        self.sum += weight * (sample - self.sum);
        self.weight += weight * (1.0 - self.weight);
        self.sampled_at = Some(now);
    }

    /// Returns the mean; `None` without samples.
    pub(super) fn mean(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }

    /// Returns the weight, which falls with the age of the last sample.
    fn weight_at(&self, now: BootTime) -> f64 {
        let age = self.sampled_at.map(|at| now.saturating_sub(at));
        age.map_or(0.0, |age| self.weight * decay(age, FORGETTING_TIME))
    }
}

/// Requests at a target of which the daemons do not know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnseenRequests {
    /// All of them.
    pub requests: u32,
    /// Those that wait.
    pub waiting: u32,
}

impl UnseenRequests {
    /// Adds these requests to the known work. Each counts with the tokens of an average known
    /// request, and those that wait also with the prompt of the request to be placed.
    pub fn add_to(&self, work: &mut Work, demand: &GenerationDemand) {
        let known = Tokens::from(work.requests);
        let tokens = work.tokens.checked_div(known).unwrap_or(demand.tokens);
        work.requests += self.requests;
        work.tokens += Tokens::from(self.requests) * tokens;
        work.pending_prompt_tokens += Tokens::from(self.waiting) * demand.prompt;
    }
}

/// What is believed of the speed and the load of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedEstimate {
    /// Logarithm of the time that work takes, relative to usual.
    long: Average,
    /// The same at the time of the newest sample.
    moment: Option<(f64, BootTime)>,
    /// Logarithm of the gaps between events, in seconds.
    gaps: Average,
    /// The long-lived part as another daemon reported it, and the time of its last sample.
    remote: Option<(f64, BootTime)>,
    load_stated_at: Option<BootTime>,
    slowness_stated_at: Option<BootTime>,
    /// Requests of the newest answer that are not this daemon's.
    stated_others: u32,
    /// The lower of this number and that of the answer before, and requests that wait.
    others: UnseenRequests,
}

impl SpeedEstimate {
    /// Records the load that an answer states, where this daemon has `own_requests` at the
    /// target.
    pub fn record_load(&mut self, load: &StatedLoad, own_requests: u32, now: BootTime) {
        let requests = (load.running + load.waiting).saturating_sub(own_requests);
        let is_confirming = is_young(self.load_stated_at, CONFIRM_TIME, now);
        let last = if is_confirming {
            self.stated_others
        } else {
            requests
        };
        self.load_stated_at = Some(now);
        self.stated_others = requests;
        self.others = UnseenRequests {
            requests: requests.min(last),
            waiting: load.waiting,
        };
        if let Some(slowness) = load.slowness {
            let sample = slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS).ln();
            self.slowness_stated_at = Some(now);
            self.moment = Some((sample, now));
            self.long.add(sample, now);
        }
    }

    /// Records an average gap between events; `usual` is the average of all targets of the
    /// service. Ignored unless the target states its load: elsewhere nothing is to change.
    pub(super) fn record_gap(&mut self, gap: Duration, usual: &mut Average, now: BootTime) {
        if gap.is_zero() || !is_young(self.load_stated_at, STATED_KEPT_FOR, now) {
            return;
        }
        let sample = gap.as_secs_f64().ln();
        let deviation = sample - self.gaps.mean().unwrap_or(sample);
        self.gaps.add(sample, now);
        if !self.states_slowness(now) {
            usual.add(sample, now);
            self.long.add(sample - usual.mean().unwrap_or(sample), now);
        }
        if is_young(self.slowness_stated_at, GAP_HOLDOFF, now) {
            return;
        }
        let is_slow = deviation > SLOW_GAP_FACTOR.ln();
        self.moment = is_slow.then(|| (self.long_part(now) + deviation, now));
    }

    /// Records that a first event took `ratio` times as long as the prompts before it take on
    /// average. Ignored if the target states its speed or has requests that wait unseen, and
    /// unless it states its load.
    pub fn record_first_event(&mut self, ratio: f64, now: BootTime) {
        let is_measured = is_young(self.load_stated_at, STATED_KEPT_FOR, now)
            && !self.states_slowness(now)
            && self.others.waiting == 0;
        if is_measured && ratio > 0.0 {
            let sample = ratio.clamp(MIN_SLOWNESS, MAX_SLOWNESS).ln();
            self.long.add_weighted(sample, FIRST_EVENT_WEIGHT, now);
        }
    }

    /// Records the long-lived part as another daemon knows it.
    pub fn merge(&mut self, report: &SpeedReport, now: BootTime) {
        let age = Duration::from_millis(report.age_ms.into());
        let at = now.saturating_sub(age);
        let is_newer = self.remote.is_none_or(|(_, known_at)| at > known_at);
        if report.percent > 0 && age < REMOTE_KEPT_FOR && is_newer {
            let slowness = f64::from(report.percent) / 100.0;
            let value = slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS).ln();
            self.remote = Some((value, at));
        }
    }

    /// Returns the report of this daemon's own long-lived estimate; `None` if it is close to
    /// usual or rests on little.
    #[must_use]
    pub fn report(&self, target: TargetKey, now: BootTime) -> Option<SpeedReport> {
        let own = self.own_mean(now)?;
        let age = now.saturating_sub(self.long.sampled_at?);
        let is_clear = own.abs() > REPORT_FACTOR.ln();
        let is_sure = self.long.weight >= MIN_REPORT_WEIGHT && age < REMOTE_KEPT_FOR;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "25 to 800"
        )]
        let percent = (own.exp().clamp(MIN_SLOWNESS, MAX_SLOWNESS) * 100.0).round() as u16;
        (is_clear && is_sure).then_some(SpeedReport {
            target,
            percent,
            age_ms: u32::try_from(clock::millis(age)).unwrap_or(u32::MAX),
        })
    }

    /// Returns how long work takes on the target now, as a factor of what is usual; exactly 1
    /// if nothing is known.
    #[must_use]
    pub fn slowness(&self, now: BootTime) -> f64 {
        let long = self.long_part(now);
        let value = self.moment.map_or(long, |(moment, at)| {
            long + (moment - long) * decay(now.saturating_sub(at), MOMENT_TIME)
        });
        value.exp().clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    /// Returns the same without the momentary part.
    #[must_use]
    pub fn long_slowness(&self, now: BootTime) -> f64 {
        self.long_part(now).exp().clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    /// Returns the requests of other systems, where the other daemons report
    /// `reported_requests`. Requests of daemons that have not been reported count as such until
    /// they are, and never twice.
    #[must_use]
    pub fn unseen(&self, reported_requests: u32, now: BootTime) -> UnseenRequests {
        let age = self.load_stated_at.map(|at| now.saturating_sub(at));
        let Some(age) = age.filter(|age| *age < LOAD_KEPT_FOR) else {
            return UnseenRequests::default();
        };
        let others = f64::from(self.others.requests) * decay(age, LOAD_TIME);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative and at most twice MAX_STATED"
        )]
        let requests = (others.round() as u32).saturating_sub(reported_requests);
        UnseenRequests {
            requests,
            waiting: requests.min(self.others.waiting),
        }
    }

    fn states_slowness(&self, now: BootTime) -> bool {
        is_young(self.slowness_stated_at, STATED_KEPT_FOR, now)
    }

    /// Returns the mean of this daemon's own samples, without what may be noise.
    fn own_mean(&self, now: BootTime) -> Option<f64> {
        let mean = self.long.mean()?;
        if self.states_slowness(now) {
            return Some(mean);
        }
        Some(mean.signum() * (mean.abs() - NOISE_FACTOR.ln()).max(0.0))
    }

    /// Returns the long-lived part: this daemon's own estimate as far as it has weight, and for
    /// the rest that of other daemons, or the usual speed.
    fn long_part(&self, now: BootTime) -> f64 {
        let weight = self.long.weight_at(now);
        let own = self.own_mean(now).unwrap_or(0.0);
        let remote = self.remote.map_or(0.0, |(value, at)| {
            let age = now.saturating_sub(at);
            let is_kept = age < REMOTE_KEPT_FOR;
            if is_kept {
                value * decay(age, FORGETTING_TIME)
            } else {
                0.0
            }
        });
        weight * own + (1.0 - weight) * remote
    }
}

/// Measures the average gap between the events of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct GapMeter {
    /// Time of the event from which is measured, and the number of events since.
    since: Option<BootTime>,
    events: u32,
    last_at: BootTime,
}

impl GapMeter {
    /// Records an event. Returns the average gap once [`GAP_WINDOW`] has been measured.
    pub fn record(&mut self, now: BootTime) -> Option<Duration> {
        let is_pause = now.saturating_sub(self.last_at) > MAX_GAP;
        let since = self.since.filter(|_| !is_pause);
        self.last_at = now;
        let Some(since) = since else {
            self.restart(now);
            return None;
        };
        self.events += 1;
        let time = now.saturating_sub(since);
        if time < GAP_WINDOW {
            return None;
        }
        let gap = time / self.events;
        self.restart(now);
        Some(gap)
    }

    /// Measures from `now` on, since what was measured before says nothing of the target.
    pub fn restart(&mut self, now: BootTime) {
        *self = Self {
            since: Some(now),
            events: 0,
            last_at: now,
        };
    }
}

fn is_young(at: Option<BootTime>, limit: Duration, now: BootTime) -> bool {
    at.is_some_and(|at| now.saturating_sub(at) < limit)
}

/// Returns what is left of 1 after `age` if it falls to 1/e in `time`.
fn decay(age: Duration, time: Duration) -> f64 {
    (-age.as_secs_f64() / time.as_secs_f64()).exp()
}
