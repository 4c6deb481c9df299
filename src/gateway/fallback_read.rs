//! Decides when a daemon reads the configuration for itself because what it gets from other
//! daemons is too old, and how old a configuration may be by which it answers.
//!
//! Load pattern: the store refuses or does not answer most daemons, first those that read for the
//! others, while the configuration changes. Each daemon that the store serves has to find out by
//! itself, before the age of its configuration reaches the time within which a change has to be in
//! force. The daemons of a zone begin one after the other, in numbers that double; one that
//! succeeds supplies the rest, so that the number of calls follows from the share of daemons
//! that the store refuses, and not from the size of the fleet. All but the first make sure by a
//! call that the store does not count that it answers them. A daemon whose read failed tries again
//! in turns that are spread evenly over the daemons of its zone.

use std::time::Duration;

use crate::clock::BootTime;

/// Shortest bound that is supported. Without any fault, the age of a configuration reaches 2.2 s: two
/// waits of overlapping watches, and the queries from zone to zone and within the zone.
const MIN_BOUND: Duration = Duration::from_millis(2_500);
/// Age at which the first daemon of a zone reads for itself, as a part of the bound.
const READ_AFTER: f64 = 0.75;
/// The same if the zone reader reports that its reads fail.
const READ_AFTER_FAILURES: f64 = 0.55;
/// Time from the first to the last daemon of a zone, as a part of the bound.
const READ_SPREAD: f64 = 0.07;
/// Time limit of such a read, as a part of the bound.
const READ_TIMEOUT: f64 = 0.17;
/// Pause after the first failure, as a part of the bound: a kept connection may have been lost.
const FIRST_RETRY: f64 = 0.05;
/// Shortest pause after further failures, and period of the turns in which a daemon then tries
/// again. Together with the time limit they are shorter than the bound, for which a failure counts.
const MIN_RETRY_PAUSE: f64 = 0.2;
const RETRY_PERIOD: f64 = 0.6;
/// Age below which the sender of an answer is relied on, as a part of the bound.
const RELIABLE_AGE: f64 = 0.6;
/// Number of daemons of a zone that read without a probe, as long as their reads succeed.
const DIRECT_READERS: usize = 2;
/// Pause from one daemon of a zone to the next at the start, when none has a configuration yet.
const START_SPACING: Duration = Duration::from_millis(50);
/// Time after the start before which none reads for this reason.
const START_WAIT: Duration = Duration::from_millis(1_500);
/// How long a daemon whose read succeeded goes on reading for others.
const TERM: Duration = Duration::from_secs(3);
/// Time left of a term from which it may be extended.
const EXTEND_WITHIN: Duration = Duration::from_secs(1);

/// Time within which a change of the configuration has to be in force, and what follows from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigBound(Duration);

impl Default for ConfigBound {
    fn default() -> Self {
        Self(Duration::from_secs(3))
    }
}

impl ConfigBound {
    /// Creates the bound; one that is too short to be kept is raised.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self(bound.max(MIN_BOUND))
    }

    /// Returns the age up to which answers may depend on a configuration, and for which a failed
    /// read shows that this daemon does not reach the store.
    #[must_use]
    pub fn max_age(self) -> Duration {
        self.0
    }

    /// Returns the age below which the sender of an answer is relied on.
    #[must_use]
    pub fn reliable_age(self) -> Duration {
        self.0.mul_f64(RELIABLE_AGE)
    }

    /// Returns the time limit of a daemon's read for itself.
    #[must_use]
    pub fn read_timeout(self) -> Duration {
        self.0.mul_f64(READ_TIMEOUT)
    }
}

/// Position of a daemon among those of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Number of daemons that rank above it.
    pub position: usize,
    /// Number of daemons of the zone.
    pub daemons: usize,
}

impl Rank {
    /// Returns the part of the daemons that begin before this one, if their number doubles at
    /// even intervals.
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    fn doubling_fraction(self) -> f64 {
        let all = (self.daemons.max(1) as f64 + 1.0).log2();
        (self.position as f64 + 1.0).log2() / all
    }

    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    fn fraction(self) -> f64 {
        self.position as f64 / self.daemons.max(1) as f64
    }
}

/// State of a daemon's reads for itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct FallbackReads {
    bound: ConfigBound,
    /// Time of the newest read, if it failed.
    failed_at: Option<BootTime>,
    /// Number of failures in a row.
    failures: u32,
    /// End of the time for which this daemon reads for others.
    term_end: Option<BootTime>,
}

impl FallbackReads {
    /// Creates the state of a daemon that has not read yet.
    #[must_use]
    pub fn new(bound: ConfigBound) -> Self {
        Self {
            bound,
            ..Self::default()
        }
    }

    /// Returns the bound from which the times follow.
    #[must_use]
    pub fn bound(&self) -> ConfigBound {
        self.bound
    }

    /// Records the outcome of any read of the configuration by this daemon.
    pub fn record(&mut self, succeeded: bool, now: BootTime) {
        if succeeded {
            self.failed_at = None;
            self.failures = 0;
            return;
        }
        let is_old = |at| now.saturating_sub(at) > 2 * self.bound.max_age();
        if self.failed_at.is_some_and(is_old) {
            self.failures = 0;
        }
        self.failed_at = Some(now);
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns whether a cheap call is to show first that the store answers this daemon.
    #[must_use]
    pub fn probes_first(&self, rank: Rank) -> bool {
        self.failures > 0 || rank.position >= DIRECT_READERS
    }

    /// Returns when this daemon reads the configuration next, unless it is confirmed until
    /// then. `confirmed_at` is the send time of the newest read that confirmed it.
    #[must_use]
    pub fn next_read(&self, confirmed_at: BootTime, rank: Rank, reader_fails: bool) -> BootTime {
        let after = if reader_fails {
            READ_AFTER_FAILURES
        } else {
            READ_AFTER
        };
        let after = after + READ_SPREAD * rank.doubling_fraction();
        let due = confirmed_at + self.part(after);
        self.retry_at(rank).map_or(due, |retry| due.max(retry))
    }

    /// Does the same for a daemon that began at `began` and has no configuration yet.
    #[must_use]
    pub fn first_read(&self, began: BootTime, rank: Rank) -> BootTime {
        let position = u32::try_from(rank.position).unwrap_or(u32::MAX);
        let began = began + START_WAIT + START_SPACING.saturating_mul(position);
        self.next_read(began, rank, false)
    }

    /// Returns when a daemon whose read failed may try again.
    fn retry_at(&self, rank: Rank) -> Option<BootTime> {
        let failed_at = self.failed_at?;
        if self.failures <= 1 {
            return Some(failed_at + self.part(FIRST_RETRY));
        }
        let earliest = failed_at + self.part(MIN_RETRY_PAUSE);
        let period = self.part(RETRY_PERIOD);
        let phase = period.mul_f64(rank.fraction());
        let into_period = earliest.as_nanos() % period.as_nanos();
        let into_period = Duration::from_nanos(u64::try_from(into_period).unwrap_or(0));
        let wait = phase
            + if into_period > phase {
                period
            } else {
                Duration::ZERO
            };
        Some(earliest + wait.saturating_sub(into_period))
    }

    /// Begins to read for others.
    pub fn begin_term(&mut self, now: BootTime) {
        self.term_end = Some(now + TERM);
    }

    /// Goes on reading for others if the term is about to end and reads succeed.
    pub fn extend_term(&mut self, now: BootTime) {
        let is_ending = |end: BootTime| end > now && end.saturating_sub(now) < EXTEND_WITHIN;
        if self.failed_at.is_none() && self.term_end.is_some_and(is_ending) {
            self.begin_term(now);
        }
    }

    /// Returns whether this daemon reads for others.
    #[must_use]
    pub fn is_in_term(&self, now: BootTime) -> bool {
        self.term_end.is_some_and(|end| now < end)
    }

    /// Returns whether this daemon reads for others with success.
    #[must_use]
    pub fn is_source(&self, now: BootTime) -> bool {
        self.is_in_term(now) && self.failed_at.is_none()
    }

    fn part(&self, factor: f64) -> Duration {
        self.bound.0.mul_f64(factor)
    }
}
