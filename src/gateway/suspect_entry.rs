//! Crashes, answers and trials of one subject.

use std::time::Duration;

use super::{
    peer_wire::{CrashNumber, SubjectKey, SuspectReport},
    suspects::ReleaseReason,
};
use crate::clock::BootTime;

/// Span within which crashes count as one: the engines of a zone that lose power together,
/// and one crash as several daemons see it. Also the most by which the delay of a report
/// and its echo may shift the time of an answer or a trial.
const MERGE_WINDOW: Duration = Duration::from_millis(500);
/// Number of crashes from which requests with a subject are held.
const HOLD_CRASHES: usize = 3;
/// Time from the crash that completes [`HOLD_CRASHES`] to the hold: reports of answers
/// that have begun with the subject may be on their way.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time from the last crash to the first trial of a held subject.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);
/// Factor by which each trial lengthens the interval until the next one.
const TRIAL_GROWTH: u32 = 6;
/// Longest interval between trials.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(600);
/// Time from the return of a trial that reached no engine to the next trial, for the daemon
/// that ranks first; each lower rank waits as much longer. Longer than a report takes.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of times that a daemon doubles its own [`RETRY_INTERVAL`].
const MAX_RETRY_DOUBLINGS: u32 = 3;
/// Time without a crash or request after which a subject is forgotten.
pub(super) const FORGET_AFTER: Duration = Duration::from_secs(600);
/// How long a cleared subject is still reported, so that all daemons clear it.
const CLEARED_KEPT_FOR: Duration = Duration::from_secs(5);
/// Maximum number of crashes kept for a subject.
pub(super) const MAX_CRASHES: usize = 8;
/// Maximum number of [`Entry::past`] crashes.
const MAX_PAST: usize = 32;
/// Number of reports that carry a change at once; datagrams may be lost.
pub(super) const CHANGE_REPORTS: u8 = 3;

/// A crash that counts against a subject. Ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Crash {
    /// The earliest time known; each report delays it.
    pub(super) at: BootTime,
    /// Tells an echo from another crash, however late it is.
    pub(super) number: CrashNumber,
}

impl Crash {
    /// Returns a crash that this daemon sees now. Its number is all but unique, since times
    /// have nanoseconds and each daemon's clock its own start.
    pub(super) fn new(subject: SubjectKey, now: BootTime) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&subject.to_le_bytes());
        hasher.update(&now.as_nanos().to_le_bytes());
        let mut number = [0; 4];
        number.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
        Self {
            at: now,
            number: CrashNumber::from_le_bytes(number),
        }
    }
}

/// A trial by this daemon, and what it replaced.
#[derive(Clone, Copy, Debug)]
struct OwnTrial {
    at: BootTime,
    tried_before: Option<BootTime>,
    trials_before: u32,
}

/// The last known return of a trial that reached no engine.
#[derive(Clone, Copy, Debug)]
struct Return {
    /// Time at which this daemon made it or heard of it.
    at: BootTime,
    is_own: bool,
}

/// Crashes and answers by one subject.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Crashes after `begun_at`, oldest first, at least [`MERGE_WINDOW`] apart.
    pub(super) crashes: Vec<Crash>,
    /// Numbers of crashes that were merged into others, cleared or dropped, so that no
    /// report of them counts; latest last, at most [`MAX_PAST`].
    past: Vec<CrashNumber>,
    /// For each crash, the first time after it and before the next crash at which an
    /// answer without this subject had begun, if there is one; oldest first.
    pub(super) others_begun: Vec<BootTime>,
    /// Last time at which an answer with this subject had begun.
    pub(super) begun_at: Option<BootTime>,
    /// Time at which the last crash was cleared; set exactly while there are no crashes.
    cleared_at: Option<BootTime>,
    /// Time of the last trial.
    pub(super) tried_at: Option<BootTime>,
    /// Number of trials since the first crash.
    pub(super) trials: u32,
    own_trial: Option<OwnTrial>,
    /// Number of returns of trials; tells a report that still has a returned trial.
    pub(super) returns: u32,
    own_returns: u32,
    last_return: Option<Return>,
    /// Time of the last request with this subject.
    pub(super) asked_at: BootTime,
    /// Time of the last report.
    pub(super) reported_at: BootTime,
    /// Number of reports since the last change, at most [`CHANGE_REPORTS`].
    pub(super) reports: u8,
    /// Whether the subject was held when changes were last collected.
    pub(super) was_held: bool,
}

impl Entry {
    pub(super) fn new(begun_at: Option<BootTime>, now: BootTime) -> Self {
        Self {
            crashes: Vec::new(),
            past: Vec::new(),
            others_begun: Vec::new(),
            begun_at,
            cleared_at: Some(now),
            tried_at: None,
            trials: 0,
            own_trial: None,
            returns: 0,
            own_returns: 0,
            last_return: None,
            asked_at: BootTime::ZERO,
            reported_at: BootTime::ZERO,
            reports: 0,
            was_held: false,
        }
    }

    /// Returns the crashes that count: the first one, and each that follows an answer of
    /// others after the last counted one.
    pub(super) fn counted(&self) -> Vec<BootTime> {
        let mut counted: Vec<BootTime> = Vec::new();
        for at in self.crashes.iter().map(|crash| &crash.at) {
            let is_separate = |last: &BootTime| {
                let mut others = self.others_begun.iter();
                others.any(|begun| last < begun && begun < at)
            };
            if counted.last().is_none_or(is_separate) {
                counted.push(*at);
            }
        }
        counted
    }

    /// Returns the number of crashes that count if requests with this subject are held.
    pub(super) fn held_crashes(&self, now: BootTime) -> Option<usize> {
        let counted = self.counted();
        let completed_at = counted.get(HOLD_CRASHES - 1)?;
        (now.saturating_sub(*completed_at) >= SETTLE_TIME).then_some(counted.len())
    }

    pub(super) fn is_held(&self, now: BootTime) -> bool {
        self.held_crashes(now).is_some()
    }

    /// Returns the time from which a daemon of this rank may try the subject.
    pub(super) fn next_trial(&self, rank: usize) -> BootTime {
        let interval = TRIAL_INTERVAL
            .saturating_mul(TRIAL_GROWTH.saturating_pow(self.trials))
            .min(MAX_TRIAL_INTERVAL);
        let turns = u32::try_from(rank).unwrap_or(u32::MAX).saturating_add(1);
        let last = self.crashes.last().map(|crash| crash.at);
        let last = last.max(self.tried_at);
        let due = last
            .unwrap_or_default()
            .saturating_add(interval.saturating_mul(turns));
        let retry = self.last_return.map(|last| {
            let wait = if last.is_own {
                // Lets other daemons try in between, apart from all of their turns.
                let doublings = self.own_returns.saturating_sub(1).min(MAX_RETRY_DOUBLINGS);
                RETRY_INTERVAL * 2_u32.pow(doublings) + RETRY_INTERVAL / 2
            } else {
                RETRY_INTERVAL.saturating_mul(turns)
            };
            last.at.saturating_add(wait)
        });
        due.max(retry.unwrap_or_default())
    }

    pub(super) fn start_trial(&mut self, now: BootTime) {
        self.own_trial = Some(OwnTrial {
            at: now,
            tried_before: self.tried_at,
            trials_before: self.trials,
        });
        self.tried_at = Some(now);
        self.trials += 1;
        self.reports = 0;
    }

    /// Undoes the own trial that began at this time.
    pub(super) fn return_trial(&mut self, began_at: BootTime, now: BootTime) {
        let Some(trial) = self.own_trial.take_if(|trial| trial.at == began_at) else {
            return;
        };
        // Another daemon may have begun a later one.
        if self.tried_at == Some(trial.at) {
            self.tried_at = trial.tried_before;
            self.trials = trial.trials_before;
        }
        self.returns = self.returns.saturating_add(1);
        self.own_returns = self.own_returns.saturating_add(1);
        self.last_return = Some(Return {
            at: now,
            is_own: true,
        });
        self.reports = 0;
    }

    /// Adds the trials that another daemon reports.
    pub(super) fn merge_trials(
        &mut self,
        report: &SuspectReport,
        tried_at: Option<BootTime>,
        now: BootTime,
    ) {
        if report.returns < self.returns {
            return;
        }
        let is_own = self.own_trial.is_some_and(|t| Some(t.at) == self.tried_at);
        if report.returns > self.returns {
            self.returns = report.returns;
            self.last_return = Some(Return {
                at: now,
                is_own: false,
            });
            self.reports = 0;
            if !is_own {
                self.tried_at = tried_at;
                self.trials = report.trials;
                return;
            }
        }
        let later_at = later(self.tried_at, tried_at);
        if later_at != self.tried_at {
            self.tried_at = later_at;
            self.trials = self.trials.max(report.trials);
            self.reports = 0;
        }
    }

    /// Adds a crash, or the earlier time of a known one. Call it within [`Self::update`].
    pub(super) fn add_crash(&mut self, crash: Crash) {
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.number == crash.number) {
            known.at = known.at.min(crash.at);
        } else if !self.past.contains(&crash.number) {
            self.crashes.push(crash);
        }
    }

    /// Removes crashes that are no longer separate, are cleared or are too many.
    fn prune_crashes(&mut self) {
        let past = &mut self.past;
        self.crashes.sort_unstable();
        self.crashes.dedup_by(|later, earlier| {
            let is_same = later.at.saturating_sub(earlier.at) < MERGE_WINDOW;
            past.extend(is_same.then_some(later.number));
            is_same
        });
        self.crashes.retain(|crash| {
            let is_cleared = Some(crash.at) <= self.begun_at;
            past.extend(is_cleared.then_some(crash.number));
            !is_cleared
        });
        while self.crashes.len() > MAX_CRASHES {
            let counted = self.counted();
            let is_uncounted = |crash: &Crash| !counted.contains(&crash.at);
            let uncounted = self.crashes.iter().position(is_uncounted);
            let dropped = self.crashes.remove(uncounted.unwrap_or(0));
            self.past.push(dropped.number);
        }
        let excess = self.past.len().saturating_sub(MAX_PAST);
        self.past.drain(..excess);
    }

    /// Changes the crashes, answers of others and last answer, keeps their invariants and
    /// records whether the counts may have changed.
    pub(super) fn update(&mut self, now: BootTime, change: impl FnOnce(&mut Self)) {
        let before = (self.crashes.clone(), self.others_begun.clone());
        change(self);
        self.prune_crashes();
        let crashes = &self.crashes;
        let crashes_before = |at: &BootTime| crashes.partition_point(|crash| crash.at < *at);
        self.others_begun.sort_unstable();
        self.others_begun.retain(|at| crashes_before(at) > 0);
        self.others_begun.dedup_by_key(|at| crashes_before(at));
        if self.crashes.is_empty() {
            self.cleared_at.get_or_insert(now);
            self.tried_at = None;
            self.trials = 0;
            self.own_trial = None;
            self.own_returns = 0;
            self.last_return = None;
        } else {
            self.cleared_at = None;
        }
        if before != (self.crashes.clone(), self.others_begun.clone()) {
            self.reports = 0;
        }
    }

    pub(super) fn release_reason(&self) -> ReleaseReason {
        if self.cleared_at.is_some() {
            ReleaseReason::AnswerBegun
        } else {
            ReleaseReason::Forgotten
        }
    }

    pub(super) fn is_expired(&self, now: BootTime) -> bool {
        let last = self.crashes.last().map(|crash| crash.at);
        let last = last.unwrap_or_default();
        self.cleared_at
            .is_some_and(|at| now.saturating_sub(at) > CLEARED_KEPT_FOR)
            || now.saturating_sub(last.max(self.asked_at)) > FORGET_AFTER
    }
}

/// Returns the later of a known and a reported time. The reported one has to be later by
/// more than the delay of a report, else times would grow each time that they are echoed.
pub(super) fn later(known: Option<BootTime>, reported: Option<BootTime>) -> Option<BootTime> {
    let is_later = reported > known.map(|at| at + MERGE_WINDOW);
    if is_later { reported } else { known }
}
