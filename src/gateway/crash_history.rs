//! Decides whether a request crashes the targets that run it, at any point of its answer.
//!
//! Load pattern: one request crashes each target that runs it, some of them late in a long
//! answer, and its caller repeats it at any daemon. At the same time targets crash for other
//! reasons and break many long runs, some of them several times. A sound run is on one of the
//! targets of its service, so it meets crashes at the rate at which each target has them. A
//! request is held once its runs have met more crashes than that rate explains for their length.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::peer_wire::{AttemptKey, RequestCrash, RequestCrashReport, SubjectKey, TargetKey};
use crate::clock::BootTime;

/// Minimum number of crashes from which a request is held. One or two are common for long runs.
const MIN_CRASHES: usize = 3;
/// A request is held if a sound one would meet as many crashes with a lower probability.
const MAX_CHANCE: f64 = 0.0002;
/// Time before the first crash of a request for which the crashes of others count for the rate as
/// well, since targets may crash in series with some seconds in between.
const RATE_BEFORE: Duration = Duration::from_secs(10);
/// Time from the last crash to the next run of a request that is held with [`MIN_CRASHES`], for
/// the daemon that ranks first; each lower rank waits as much longer.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);
/// Factor by which each further crash lengthens that time. With this one, at most three runs
/// are tried in ten minutes.
const TRIAL_GROWTH: u32 = 6;
/// Longest interval between two trials.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(600);
/// Time after its last crash at which a request is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(900);
/// Time after which a crash no longer counts as one that other runs could have met.
const CRASH_KEPT_FOR: Duration = Duration::from_secs(300);
/// Span within which crashes of one target are the same one, as several runs and daemons see
/// it. A target takes longer to start again.
const SAME_CRASH: Duration = Duration::from_secs(2);
/// Maximum number of requests with crashes.
const MAX_REQUESTS: usize = 256;
/// Maximum number of crashes kept for a request.
const MAX_CRASHES: usize = 24;
/// Maximum number of crashes of all targets that are kept.
const MAX_KNOWN_CRASHES: usize = 1_024;
/// Maximum number of requests in one report.
const MAX_REPORTED: usize = 8;
/// Number of reports that carry a change; datagrams may be lost.
const CHANGE_REPORTS: u8 = 3;
/// Interval between reports of a request that is held, for daemons that have started or were
/// cut off.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Crash of a target while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunCrash {
    /// Hash of the target's id.
    pub target: TargetKey,
    /// Hash of the id of the attempt. Its runs follow each other, whatever their times say,
    /// which delays of reports shift.
    pub attempt: AttemptKey,
    /// Time of the crash.
    pub at: BootTime,
    /// Time at which the request was sent to the target.
    pub sent_at: BootTime,
}

#[derive(Debug, Default)]
struct Request {
    /// Crashes since the last whole answer, in order of time; at most [`MAX_CRASHES`].
    crashes: Vec<RunCrash>,
    /// Time of the last whole answer.
    whole_at: Option<BootTime>,
    /// Time at which this daemon last tried the request while it was held.
    tried_at: Option<BootTime>,
    /// Number of reports that are to carry the last change.
    reports_due: u8,
    reported_at: BootTime,
}

impl Request {
    /// Returns the crashes that count: each of a run that was sent after the last counted one.
    /// Runs that were in progress at the same time may have met the same cause.
    fn counted(&self) -> Vec<&RunCrash> {
        let mut counted: Vec<&RunCrash> = Vec::new();
        for crash in &self.crashes {
            let is_separate = |last: &&RunCrash| {
                let is_later = last.attempt == crash.attempt || last.at <= crash.sent_at;
                is_later && !is_same(last, crash)
            };
            if counted.last().is_none_or(is_separate) {
                counted.push(crash);
            }
        }
        counted
    }

    fn last_at(&self) -> BootTime {
        let last = self.crashes.last().map(|crash| crash.at);
        last.max(self.whole_at).unwrap_or_default()
    }

    /// Adds a crash; returns whether it is new.
    fn add(&mut self, crash: RunCrash) -> bool {
        let is_cleared = self.whole_at.is_some_and(|at| crash.at <= at);
        let is_known =
            |known: &&mut RunCrash| (known.attempt, known.target) == (crash.attempt, crash.target);
        if let Some(known) = self.crashes.iter_mut().find(is_known) {
            // The report that was delayed least is the most accurate.
            if crash.at < known.at {
                *known = crash;
            }
            return false;
        }
        if is_cleared {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }
}

/// Returns whether two runs met the same crash.
fn is_same(a: &RunCrash, b: &RunCrash) -> bool {
    a.target == b.target && a.at.abs_diff(b.at) < SAME_CRASH
}

/// Crashes of targets by the requests that they ran, as far as this daemon knows those of all
/// daemons.
#[derive(Debug, Default)]
pub struct CrashHistory {
    /// At most [`MAX_REQUESTS`].
    requests: BTreeMap<SubjectKey, Request>,
    /// Crashes of all targets, each once; at most [`MAX_KNOWN_CRASHES`].
    crashes: VecDeque<RunCrash>,
}

impl CrashHistory {
    /// Records that a target crashed while it ran a request.
    pub fn record_crash(&mut self, request: SubjectKey, crash: RunCrash) {
        if self.add(request, crash) {
            self.set_reports_due(request);
        }
        self.trim(crash.at);
    }

    /// Records that a request got a whole answer, which clears it.
    pub fn record_whole(&mut self, request: SubjectKey, now: BootTime) {
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.crashes.clear();
            entry.whole_at = Some(now);
            entry.tried_at = None;
            entry.reports_due = CHANGE_REPORTS;
        }
    }

    /// Returns how many crashes count against a request if it is held, given the number of
    /// targets of its service.
    #[must_use]
    pub fn held(&self, request: SubjectKey, targets: usize) -> Option<usize> {
        let entry = self.requests.get(&request)?;
        let counted = entry.counted();
        if counted.len() < MIN_CRASHES {
            return None;
        }
        let start = counted.first()?.at.saturating_sub(RATE_BEFORE);
        let span = start..=counted.last()?.at;
        let is_of_others = |crash: &&RunCrash| {
            span.contains(&crash.at) && !entry.crashes.iter().any(|c| is_same(c, crash))
        };
        let others = self.crashes.iter().filter(is_of_others).count();
        let seconds = span.end().saturating_sub(*span.start()).as_secs_f64();
        // One more, since no crash in a short time does not mean a rate of zero.
        let rate = as_f64(others + 1) / seconds.max(f64::MIN_POSITIVE) / as_f64(targets.max(1));
        let expected = rate * length_of(&counted).as_secs_f64();
        (chance_of_at_least(counted.len(), expected) < MAX_CHANCE).then_some(counted.len())
    }

    /// Decides whether a request may be sent although its targets crashed, given the number of
    /// targets of its service and of daemons that rank above this one for it. Returns how many
    /// crashes count against it if not.
    pub fn check(
        &mut self,
        request: SubjectKey,
        targets: usize,
        rank: usize,
        now: BootTime,
    ) -> Option<usize> {
        let crashes = self.held(request, targets)?;
        let entry = self.requests.get_mut(&request)?;
        let growth = u32::try_from(crashes - MIN_CRASHES).unwrap_or(u32::MAX);
        let interval = TRIAL_INTERVAL
            .saturating_mul(TRIAL_GROWTH.saturating_pow(growth))
            .min(MAX_TRIAL_INTERVAL);
        let turns = u32::try_from(rank).unwrap_or(u32::MAX).saturating_add(1);
        let last = entry.crashes.last().map(|crash| crash.at);
        let last = last.max(entry.tried_at).unwrap_or_default();
        if now.saturating_sub(last) < interval.saturating_mul(turns) {
            return Some(crashes);
        }
        entry.tried_at = Some(now);
        None
    }

    /// Returns the report to send to other daemons now; empty if none is due.
    pub fn report(&mut self, now: BootTime) -> Vec<RequestCrashReport> {
        let age =
            |at: BootTime| u64::try_from(now.saturating_sub(at).as_micros()).unwrap_or(u64::MAX);
        let mut due: Vec<_> = self
            .requests
            .iter_mut()
            .filter(|(_, entry)| {
                let is_held = entry.crashes.len() >= MIN_CRASHES;
                let is_old = now.saturating_sub(entry.reported_at) >= REPORT_INTERVAL;
                entry.reports_due > 0 || (is_held && is_old)
            })
            .collect();
        due.sort_by_key(|(_, entry)| (entry.reported_at, std::cmp::Reverse(entry.crashes.len())));
        due.truncate(MAX_REPORTED);
        let report = |(request, entry): (&SubjectKey, &mut Request)| {
            entry.reported_at = now;
            entry.reports_due = entry.reports_due.saturating_sub(1);
            let crashes = entry.crashes.iter().map(|crash| RequestCrash {
                target: crash.target,
                attempt: crash.attempt,
                age_us: age(crash.at),
                sent_age_us: age(crash.sent_at),
            });
            RequestCrashReport {
                request: *request,
                crashes: crashes.collect(),
                whole_age_us: entry.whole_at.map(age),
            }
        };
        due.into_iter().map(report).collect()
    }

    /// Adds the reports of another daemon, and has changes reported further if `forwards`.
    pub fn merge(&mut self, reports: &[RequestCrashReport], forwards: bool, now: BootTime) {
        let time = |age_us: u64| now.saturating_sub(Duration::from_micros(age_us));
        for report in reports.iter().take(MAX_REQUESTS) {
            let mut is_changed = false;
            let whole_at = report.whole_age_us.map(time);
            if let (Some(entry), Some(at)) = (self.requests.get_mut(&report.request), whole_at) {
                let before = entry.crashes.len();
                entry.crashes.retain(|crash| crash.at > at);
                entry.whole_at = entry.whole_at.max(whole_at);
                is_changed |= before != entry.crashes.len();
            }
            for crash in report.crashes.iter().take(MAX_CRASHES) {
                let crash = RunCrash {
                    target: crash.target,
                    attempt: crash.attempt,
                    at: time(crash.age_us),
                    sent_at: time(crash.sent_age_us),
                };
                is_changed |= self.add(report.request, crash);
            }
            if is_changed && forwards {
                self.set_reports_due(report.request);
            }
        }
        self.trim(now);
    }

    /// Adds a crash; returns whether it is a new one of this request.
    fn add(&mut self, request: SubjectKey, crash: RunCrash) -> bool {
        let is_known = self.crashes.iter().any(|known| is_same(known, &crash));
        if !is_known {
            self.crashes.push_back(crash);
        }
        self.requests.entry(request).or_default().add(crash)
    }

    fn set_reports_due(&mut self, request: SubjectKey) {
        if let Some(entry) = self.requests.get_mut(&request) {
            // One crash alone holds nothing, so its report may be lost.
            let is_single = entry.crashes.len() == 1 && entry.whole_at.is_none();
            entry.reports_due = if is_single { 1 } else { CHANGE_REPORTS };
        }
    }

    /// Removes what is old, and the requests with the fewest crashes beyond the bound.
    fn trim(&mut self, now: BootTime) {
        self.crashes
            .retain(|crash| now.saturating_sub(crash.at) <= CRASH_KEPT_FOR);
        let excess = self.crashes.len().saturating_sub(MAX_KNOWN_CRASHES);
        self.crashes.drain(..excess);
        self.requests
            .retain(|_, entry| now.saturating_sub(entry.last_at()) <= FORGET_AFTER);
        while self.requests.len() > MAX_REQUESTS {
            let least = self
                .requests
                .iter()
                .min_by_key(|(_, entry)| (entry.crashes.len(), entry.last_at()));
            let Some(least) = least.map(|(request, _)| *request) else {
                return;
            };
            self.requests.remove(&least);
        }
    }
}

/// Returns for how long the runs lasted that met these crashes; they do not overlap.
fn length_of(crashes: &[&RunCrash]) -> Duration {
    let lengths = crashes
        .iter()
        .map(|crash| crash.at.saturating_sub(crash.sent_at));
    lengths.sum()
}

/// Returns the probability of at least `count` events where `expected` are expected, if they
/// are independent of each other.
fn chance_of_at_least(count: usize, expected: f64) -> f64 {
    let mut term = (-expected).exp();
    let mut below = 0.0;
    for k in 0..count {
        below += term;
        term *= expected / as_f64(k + 1);
    }
    1.0 - below
}

fn as_f64(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

/// A [`CrashHistory`] that both threads share. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct CrashHistoryHandle(Arc<Mutex<CrashHistory>>);

impl CrashHistoryHandle {
    /// Locks the history.
    pub fn lock(&self) -> MutexGuard<'_, CrashHistory> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
