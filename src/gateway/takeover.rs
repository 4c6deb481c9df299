//! Decides when a run that broke off may go on at another engine.
//!
//! Load pattern: engines lose the answers of some of their runs, or connections are reset,
//! while the engines work on; a closed connection does not end the run at every engine. Two
//! engines would then work on one request. Other engines crash, are replaced at the same
//! address, or are cut off, and each wait lengthens the pause that callers see.

use std::time::Duration;

use super::engines::{CopyHandle, StopAnswer};
use crate::clock::BootTime;

/// Minimum gap between events after which callers disconnect.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Multiple of a route's objective for which callers wait for the next event.
const PATIENCE_OBJECTIVES: u32 = 4;
/// Age that an engine's report may have.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Pauses between tries, the first and the longest.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));
/// Longest wait for one answer of an engine that may copy a long run.
const MAX_CALL_TIME: Duration = Duration::from_secs(1);
/// Shortest time that a call is given.
const MIN_CALL_TIME: Duration = Duration::from_millis(200);
/// Number of tries in a row that find an engine unreachable until it counts as cut off: the
/// first packet of one may be lost.
const UNREACHABLE_TRIES: u32 = 2;

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The run has ended at its engine, or the engine is cut off; with the handle of a newer
    /// copy, if there is one.
    Resume(Option<CopyHandle>),
    /// Look into the engine's report whether it still has the run.
    ReadReport,
    /// Ask the engine again after this pause.
    Retry(Duration),
    /// The caller does not wait any longer; the run may still go on at its engine.
    GiveUp,
}

/// A run that broke off and may go on at another engine.
#[derive(Clone, Debug)]
pub struct Takeover {
    broke_at: BootTime,
    /// Time from which the caller is expected to have left.
    give_up_at: BootTime,
    pause: Duration,
    /// Number of tries since the engine was last reached.
    unreachable: u32,
}

impl Takeover {
    /// Begins when a run breaks off. The caller got its last event, or sent its request, at
    /// `last_event_at`. `is_silent` states that the connection ended because the engine was
    /// silent.
    #[must_use]
    pub fn new(
        last_event_at: BootTime,
        objective: Duration,
        is_silent: bool,
        broke_at: BootTime,
    ) -> Self {
        let patience = MIN_PATIENCE.max(objective * PATIENCE_OBJECTIVES);
        Self {
            broke_at,
            give_up_at: last_event_at + patience,
            pause: PAUSES.0,
            unreachable: u32::from(is_silent),
        }
    }

    /// Returns the timeout of a call that begins now.
    #[must_use]
    pub fn call_timeout(&self, now: BootTime) -> Duration {
        let left = self.give_up_at.saturating_sub(now);
        left.clamp(MIN_CALL_TIME, MAX_CALL_TIME)
    }

    /// Takes the engine's answer to a request to stop the run.
    pub fn after_stop(&mut self, answer: StopAnswer, now: BootTime) -> Step {
        match answer {
            StopAnswer::Copied(handle) => Step::Resume(Some(handle)),
            StopAnswer::Stopped | StopAnswer::NoSuchRun | StopAnswer::Gone => Step::Resume(None),
            StopAnswer::Unreachable => self.after_unreachable(now),
            StopAnswer::Unknown(_) if self.may_read_report(now) => Step::ReadReport,
            StopAnswer::Unknown(_) => self.retry(now),
        }
    }

    /// Takes what the engine's report says of the run; the engine was asked at `asked_at`.
    pub fn after_report(&mut self, answer: &StopAnswer, asked_at: BootTime, now: BootTime) -> Step {
        match answer {
            StopAnswer::Gone => Step::Resume(None),
            StopAnswer::NoSuchRun if self.may_read_report(asked_at) => Step::Resume(None),
            StopAnswer::Unreachable => self.after_unreachable(now),
            _ => self.retry(now),
        }
    }

    /// Returns whether a report that is asked for now is certain to be newer than the break.
    fn may_read_report(&self, now: BootTime) -> bool {
        now.saturating_sub(self.broke_at) >= MAX_REPORT_AGE
    }

    fn after_unreachable(&mut self, now: BootTime) -> Step {
        self.unreachable += 1;
        if self.unreachable >= UNREACHABLE_TRIES {
            return Step::Resume(None);
        }
        if now >= self.give_up_at {
            return Step::GiveUp;
        }
        Step::Retry(Duration::ZERO)
    }

    fn retry(&mut self, now: BootTime) -> Step {
        self.unreachable = 0;
        let pause = self.pause;
        if now + pause >= self.give_up_at {
            return Step::GiveUp;
        }
        self.pause = (2 * pause).min(PAUSES.1);
        Step::Retry(pause)
    }
}
