//! Decides which requests a stopping process still accepts.
//!
//! Load pattern: instances are restarted one after another under full load.
//! Callers keep sending on open connections. A request is accepted only if its time
//! limit ends before the process does, since nothing else bounds the wait at a target:
//! a refusal at once, with a time to return, is better than breaking it off later.
//! What was accepted earlier and still waits gets an answer before the process exits.

use std::{collections::VecDeque, time::Duration};

use crate::clock::BootTime;

/// Fraction of the time between SIGTERM and SIGKILL after which idle connections
/// are closed. Until then, responses carry `connection: close`, so that callers do
/// not reuse the connections.
pub const IDLE_CLOSE_FRACTION: f64 = 0.4;
/// Fraction of the time between SIGTERM and SIGKILL after which the process exits
/// even if responses are still being written, once each request has one.
pub const EXIT_FRACTION: f64 = 0.95;
/// Fraction of the time between SIGTERM and SIGKILL after which requests that have no
/// response yet are answered; the rest until the exit is for writing these answers.
pub const FINAL_ANSWER_FRACTION: f64 = 0.92;
/// Fraction of the time between SIGTERM and SIGKILL for which the final answers then wait,
/// so that answers of targets that have arrived are read before.
pub const READ_FRACTION: f64 = 0.01;

/// Returns whether a request with the given time left is certain to be answered before
/// the process exits, given that the process has been stopping for `stopping_for` and
/// is killed after `grace`.
#[must_use]
pub fn ends_before_exit(time_left: Duration, stopping_for: Duration, grace: Duration) -> bool {
    stopping_for.saturating_add(time_left) <= grace.mul_f64(FINAL_ANSWER_FRACTION)
}

/// Time between SIGTERM and SIGKILL. A process that stood still does not know exactly when
/// it began: what must come before its end counts from `earliest`, and what others may
/// still use to its end counts from `latest`.
#[derive(Clone, Copy, Debug)]
pub struct GracePeriod {
    /// Earliest time at which it may have begun.
    pub earliest: BootTime,
    /// Time at which the signal was seen.
    pub latest: BootTime,
    /// Length of the period.
    pub length: Duration,
}

impl GracePeriod {
    /// Returns whether requests that have no response yet are to be answered.
    #[must_use]
    pub fn final_answers_due(&self, now: BootTime) -> bool {
        now.saturating_sub(self.earliest) > self.length.mul_f64(FINAL_ANSWER_FRACTION)
    }

    /// Returns whether the process may exit although responses are still being written.
    #[must_use]
    pub fn may_cut_responses(&self, now: BootTime) -> bool {
        now.saturating_sub(self.latest) > self.length.mul_f64(EXIT_FRACTION)
    }

    /// Returns whether the process may exit if no caller is connected.
    #[must_use]
    pub fn may_exit_idle(&self, now: BootTime) -> bool {
        now.saturating_sub(self.earliest) > self.length.mul_f64(2.0 * IDLE_CLOSE_FRACTION)
    }
}

/// Time after the end of a pause within which a signal that came during the pause is
/// seen: some turns of a busy event loop.
const SIGNAL_DELAY: Duration = Duration::from_millis(250);

/// Remembers when the process last stood still, since a signal that comes meanwhile is
/// seen only afterwards.
#[derive(Debug)]
pub struct PauseDetector {
    /// Time between two checks above which the process has stood still.
    max_gap: Duration,
    checked_at: BootTime,
    /// Pauses that ended within [`SIGNAL_DELAY`], oldest first: the last check before each
    /// and the first one after it.
    pauses: VecDeque<(BootTime, BootTime)>,
}

impl PauseDetector {
    /// Creates a detector whose [`Self::check`] is called more often than every `max_gap`.
    #[must_use]
    pub fn new(max_gap: Duration, now: BootTime) -> Self {
        Self {
            max_gap,
            checked_at: now,
            pauses: VecDeque::new(),
        }
    }

    /// Records that the process runs.
    pub fn check(&mut self, now: BootTime) {
        if now.saturating_sub(self.checked_at) > self.max_gap {
            self.pauses.push_back((self.checked_at, now));
        }
        self.pauses.retain(|(_, ended)| is_recent(*ended, now));
        self.checked_at = now;
    }

    /// Returns the time from which a signal that is seen now may have waited.
    #[must_use]
    pub fn earliest_signal(&self, now: BootTime) -> BootTime {
        let mut pauses = self.pauses.iter();
        let recent = pauses.find(|(_, ended)| is_recent(*ended, now));
        recent.map_or(now, |(began, _)| *began)
    }
}

/// Returns whether a signal of a pause that ended at `ended` may not have been seen yet.
fn is_recent(ended: BootTime, now: BootTime) -> bool {
    now.saturating_sub(ended) <= SIGNAL_DELAY
}
