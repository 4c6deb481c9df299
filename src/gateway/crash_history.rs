//! Decides whether a request crashes the targets that run it, at any point of its answer.
//!
//! Load pattern: one request crashes each target that runs it, some of them late in a long
//! answer, and its caller repeats it at any daemon. At the same time targets crash for other
//! reasons and break many long runs, some of them several times. A sound run is on one of the
//! targets of its service, so it meets a share of all crashes that corresponds to their number.
//! A request is held once it has met more of the known crashes than chance explains.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::peer_wire::{RequestCrash, RequestCrashReport, SubjectKey, TargetKey};
use crate::clock::{self, BootTime};

/// Minimum number of crashes from which a request is held. One or two are common for long runs.
const MIN_CRASHES: usize = 3;
/// A request is held if a sound one would meet as many crashes with a lower probability.
const MAX_CHANCE: f64 = 0.001;
/// Time from the last crash for which a request with [`MIN_CRASHES`] is held; doubles with each
/// further crash, so that at most three runs are tried in ten minutes.
const HOLD_TIME: Duration = Duration::from_secs(60);
/// Longest time for which a request is held after its last crash.
const MAX_HOLD_TIME: Duration = Duration::from_secs(600);
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
const MAX_CRASHES: usize = 16;
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
struct Crash {
    target: TargetKey,
    at: BootTime,
    /// Time at which the request was sent to the target.
    sent_at: BootTime,
}

#[derive(Debug, Default)]
struct Request {
    /// Crashes since the last whole answer, in order of time; at most [`MAX_CRASHES`].
    crashes: Vec<Crash>,
    /// Time of the last whole answer.
    whole_at: Option<BootTime>,
    /// Number of reports that are to carry the last change.
    reports_due: u8,
    reported_at: BootTime,
}

impl Request {
    /// Returns the crashes that count: each of a run that was sent after the last counted one.
    /// Runs that were in progress at the same time may have met the same cause.
    fn counted(&self) -> Vec<&Crash> {
        let mut counted: Vec<&Crash> = Vec::new();
        for crash in &self.crashes {
            if counted.last().is_none_or(|last| last.at <= crash.sent_at) {
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
    fn add(&mut self, crash: Crash) -> bool {
        let is_cleared = self.whole_at.is_some_and(|at| crash.at <= at);
        if is_cleared || self.crashes.iter().any(|known| is_same(known, &crash)) {
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

fn is_same(a: &Crash, b: &Crash) -> bool {
    a.target == b.target && a.at.abs_diff(b.at) < SAME_CRASH
}

/// Crashes of targets by the requests that they ran, as far as this daemon knows those of all
/// daemons.
#[derive(Debug, Default)]
pub struct CrashHistory {
    /// At most [`MAX_REQUESTS`].
    requests: BTreeMap<SubjectKey, Request>,
    /// Crashes of all targets, each once; at most [`MAX_KNOWN_CRASHES`].
    crashes: VecDeque<Crash>,
}

impl CrashHistory {
    /// Records that a target crashed while it ran a request that was sent to it at `sent_at`.
    pub fn record_crash(
        &mut self,
        request: SubjectKey,
        target: TargetKey,
        sent_at: BootTime,
        now: BootTime,
    ) {
        let crash = Crash {
            target,
            at: now,
            sent_at,
        };
        if self.add(request, crash) {
            self.set_reports_due(request);
        }
        self.trim(now);
    }

    /// Records that a request got a whole answer, which clears it.
    pub fn record_whole(&mut self, request: SubjectKey, now: BootTime) {
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.crashes.clear();
            entry.whole_at = Some(now);
            entry.reports_due = CHANGE_REPORTS;
        }
    }

    /// Returns whether a request is held, given the number of targets of its service: the number
    /// of crashes that count against it, and that number with all crashes between the first and
    /// the last of these that it did not meet.
    #[must_use]
    pub fn held(
        &self,
        request: SubjectKey,
        targets: usize,
        now: BootTime,
    ) -> Option<(usize, usize)> {
        let entry = self.requests.get(&request)?;
        let counted = entry.counted();
        if counted.len() < MIN_CRASHES {
            return None;
        }
        let doublings = u32::try_from(counted.len() - MIN_CRASHES).unwrap_or(u32::MAX);
        let hold_time = HOLD_TIME.saturating_mul(2_u32.saturating_pow(doublings));
        let last = counted.last()?.at;
        if now.saturating_sub(last) > hold_time.min(MAX_HOLD_TIME) {
            return None;
        }
        let span = counted.first()?.at..=last;
        let is_of_others = |crash: &&Crash| {
            span.contains(&crash.at) && !entry.crashes.iter().any(|c| is_same(c, crash))
        };
        let known = counted.len() + self.crashes.iter().filter(is_of_others).count();
        let chance = chance_of_at_least(counted.len(), known, targets);
        (chance < MAX_CHANCE).then_some((counted.len(), known))
    }

    /// Returns the report to send to other daemons now; empty if none is due.
    pub fn report(&mut self, now: BootTime) -> Vec<RequestCrashReport> {
        let age =
            |at: BootTime| u32::try_from(clock::millis(now.saturating_sub(at))).unwrap_or(u32::MAX);
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
                age_ms: age(crash.at),
                sent_age_ms: age(crash.sent_at),
            });
            RequestCrashReport {
                request: *request,
                crashes: crashes.collect(),
                whole_age_ms: entry.whole_at.map(age),
            }
        };
        due.into_iter().map(report).collect()
    }

    /// Adds the reports of another daemon, and has changes reported further if `forwards`.
    pub fn merge(&mut self, reports: &[RequestCrashReport], forwards: bool, now: BootTime) {
        let time = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        for report in reports.iter().take(MAX_REQUESTS) {
            let mut is_changed = false;
            let whole_at = report.whole_age_ms.map(time);
            if let (Some(entry), Some(at)) = (self.requests.get_mut(&report.request), whole_at) {
                let before = entry.crashes.len();
                entry.crashes.retain(|crash| crash.at > at);
                entry.whole_at = entry.whole_at.max(whole_at);
                is_changed |= before != entry.crashes.len();
            }
            for crash in report.crashes.iter().take(MAX_CRASHES) {
                let crash = Crash {
                    target: crash.target,
                    at: time(crash.age_ms),
                    sent_at: time(crash.sent_age_ms),
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
    fn add(&mut self, request: SubjectKey, crash: Crash) -> bool {
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

/// Returns the probability that a run which is always on one of `targets` meets at least `met`
/// of `crashes`, each of one target at random.
fn chance_of_at_least(met: usize, crashes: usize, targets: usize) -> f64 {
    let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    let p = 1.0 / count(targets.max(1));
    if p >= 1.0 {
        return 1.0;
    }
    let mut term = (1.0 - p).powf(count(crashes));
    let mut below = 0.0;
    for k in 0..met.min(crashes + 1) {
        below += term;
        term *= count(crashes - k) / count(k + 1) * p / (1.0 - p);
    }
    // Not negative by rounding.
    (1.0 - below).max(0.0)
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
