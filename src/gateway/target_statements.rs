//! Holds what targets state of themselves in their answers: how many requests they take,
//! that they leave, and for how long they want none.
//!
//! Load pattern: a target's answers go to whichever daemon had a request for it, and each
//! daemon of hundreds gets few of them, while the store says nothing of limits and is late
//! with departures, or away. Who hears a statement tells the others, except of waits, which
//! are meant for the daemon alone that was told. A statement holds from the answer on, until
//! an answer, the store or time ends it.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::{
    peer_wire::{ServiceSendCounts, StatementReport, TargetKey, target_key},
    send_budget::SendTracker,
    target_limits::{LIMIT_WINDOW, demand_name},
};
use crate::clock::{self, BootTime};

/// Smallest limit that is kept to, in requests per second. Without any request no answer
/// would tell that the limit has ended.
const MIN_LIMIT: f64 = 0.25;
/// Largest limit that is kept to, in requests per second; far above what a target serves.
const MAX_LIMIT: f64 = 1e6;
/// Time by which a report has to be newer than what is known, since reports are delayed and
/// echoed.
const MERGE_WINDOW: Duration = Duration::from_millis(500);
/// How long a limit that has ended is still reported, so that all daemons hear of the end.
const ENDED_KEPT_FOR: Duration = Duration::from_secs(5);
/// Number of reports that carry a change at once; datagrams may be lost.
const CHANGE_REPORTS: u8 = 3;
/// How long a target that has said that it leaves gets no work, if the store still lists it
/// afterwards: targets that leave are gone by then.
const LEAVING_KEPT_FOR: Duration = Duration::from_secs(60);
/// Interval at which the leader of a zone reports all statements, for daemons that have started
/// or were cut off.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for which a target is sent nothing because it asked for that; longer ones
/// are shortened.
const MAX_WAIT: Duration = Duration::from_secs(300);
/// Maximum number of statements in one report; as many fit a datagram.
const MAX_REPORTED: usize = 48;
/// Maximum number of targets with statements, far above the targets of a fleet.
const MAX_STATEMENTS: usize = 4_096;

/// What a target has stated, as far as this daemon knows.
#[derive(Clone, Copy, Debug)]
struct Statement {
    /// Requests per second; `None` once an answer without a limit has arrived.
    per_second: Option<f64>,
    /// Time of the newest answer that says so.
    at: BootTime,
    /// Time from which `per_second` is what it is.
    since: BootTime,
    /// Time of the first answer that says that the target leaves; `None` if there is none.
    leaving_at: Option<BootTime>,
    /// Number of reports since the last change, at most [`CHANGE_REPORTS`].
    reports: u8,
    reported_at: BootTime,
}

impl Statement {
    fn is_leaving(&self, now: BootTime) -> bool {
        self.leaving_at
            .is_some_and(|at| now.saturating_sub(at) < LEAVING_KEPT_FOR)
    }
}

/// A limit that has begun, changed or ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The target takes this many requests per second.
    Stated(f64),
    /// The target no longer states a limit.
    Ended,
}

/// What targets have stated.
#[derive(Clone, Debug, Default)]
pub struct StatementTable {
    /// At most [`MAX_STATEMENTS`].
    statements: HashMap<TargetKey, Statement>,
    /// Times until which targets want no requests of this daemon; at most
    /// [`MAX_STATEMENTS`].
    waits: HashMap<TargetKey, BootTime>,
    reported_at: BootTime,
}

impl StatementTable {
    /// Records an answer of a target to a request sent at `sent_at`, and the limit that it
    /// states, in requests per second.
    pub fn record_answer(
        &mut self,
        target: TargetKey,
        limit: Option<f64>,
        sent_at: BootTime,
        now: BootTime,
    ) -> Option<LimitChange> {
        let known = self.statements.get(&target).copied();
        match (known, limit) {
            (None, None) => return None,
            // The answer may be older than the one with the limit.
            (Some(known), None) if sent_at <= known.at => return None,
            _ => {}
        }
        self.replace(target, limit, now, now, 0)
    }

    /// Records an answer that says that its target leaves. Returns whether this is news.
    pub fn record_leaving(&mut self, target: TargetKey, now: BootTime) -> bool {
        let is_full = self.statements.len() >= MAX_STATEMENTS;
        if is_full && !self.statements.contains_key(&target) {
            return false;
        }
        let statement = self.statements.entry(target).or_insert(Statement {
            per_second: None,
            at: now,
            since: now,
            leaving_at: None,
            reports: 0,
            reported_at: BootTime::ZERO,
        });
        let is_news = !statement.is_leaving(now);
        if is_news {
            statement.leaving_at = Some(now);
            statement.reports = 0;
        }
        is_news
    }

    /// Returns the targets that have said that they leave, and when.
    #[must_use]
    pub fn leaving(&self, now: BootTime) -> HashMap<TargetKey, BootTime> {
        let leaving = self.statements.iter().filter(|(_, s)| s.is_leaving(now));
        leaving
            .filter_map(|(key, s)| Some((*key, s.leaving_at?)))
            .collect()
    }

    /// Records that a target wants no requests of this daemon for some time. Returns the time
    /// that is kept if that is shorter.
    pub fn record_wait(
        &mut self,
        target: TargetKey,
        wait: Duration,
        now: BootTime,
    ) -> Option<Duration> {
        self.waits.retain(|_, until| *until > now);
        if self.waits.len() < MAX_STATEMENTS || self.waits.contains_key(&target) {
            let until = self.waits.entry(target).or_default();
            *until = (*until).max(now + wait.min(MAX_WAIT));
        }
        (wait > MAX_WAIT).then_some(MAX_WAIT)
    }

    /// Returns the time until which a target wants no requests of this daemon; `None` if it
    /// takes some now.
    #[must_use]
    pub fn waits_until(&self, target: TargetKey, now: BootTime) -> Option<BootTime> {
        self.waits
            .get(&target)
            .copied()
            .filter(|until| *until > now)
    }

    /// Adds the reports of another daemon. A daemon that `forwards` them reports what
    /// changed.
    pub fn merge(&mut self, reports: &[StatementReport], forwards: bool, now: BootTime) {
        let reports_made = if forwards { 0 } else { CHANGE_REPORTS };
        for report in reports {
            let at = now.saturating_sub(Duration::from_millis(report.age_ms.into()));
            let known = self.statements.get(&report.target);
            let is_news = match known {
                Some(known) => at > known.at + MERGE_WINDOW,
                None => report.per_second.is_some(),
            };
            if is_news {
                let limit = report.per_second.map(f64::from);
                self.replace(report.target, limit, at, now, reports_made);
            }
            let leaving_age = report
                .leaving_age_ms
                .map(|ms| Duration::from_millis(ms.into()));
            if leaving_age.is_some_and(|age| age < LEAVING_KEPT_FOR)
                && self.record_leaving(report.target, now)
                && let Some(statement) = self.statements.get_mut(&report.target)
            {
                statement.leaving_at = leaving_age.map(|age| now.saturating_sub(age));
                statement.reports = reports_made;
            }
        }
    }

    fn replace(
        &mut self,
        target: TargetKey,
        limit: Option<f64>,
        at: BootTime,
        now: BootTime,
        reports: u8,
    ) -> Option<LimitChange> {
        let known = self.statements.get(&target).copied();
        if known.is_none() && self.statements.len() >= MAX_STATEMENTS {
            return None;
        }
        let limit = limit.map(|limit| limit.clamp(MIN_LIMIT, MAX_LIMIT));
        let is_same = known.is_some_and(|known| match (known.per_second, limit) {
            (Some(a), Some(b)) => (a - b).abs() < f64::from(f32::EPSILON) * b,
            (a, b) => a.is_none() && b.is_none(),
        });
        let unchanged = known.filter(|_| is_same);
        let statement = Statement {
            per_second: limit,
            at,
            since: unchanged.map_or(now, |known| known.since),
            leaving_at: known.and_then(|known| known.leaving_at),
            reports: unchanged.map_or(reports, |known| known.reports),
            reported_at: known.map_or(BootTime::ZERO, |known| known.reported_at),
        };
        self.statements.insert(target, statement);
        let change = limit.map_or(LimitChange::Ended, LimitChange::Stated);
        (!is_same).then_some(change)
    }

    /// Returns the report to send to other daemons now; empty if none is due. `leads` says
    /// whether this daemon leads its zone.
    pub fn report(&mut self, leads: bool, now: BootTime) -> Vec<StatementReport> {
        self.statements.retain(|_, s| {
            s.per_second.is_some()
                || s.is_leaving(now)
                || now.saturating_sub(s.since) < ENDED_KEPT_FOR
        });
        let is_due = leads && now.saturating_sub(self.reported_at) >= REPORT_INTERVAL;
        if is_due {
            self.reported_at = now;
        }
        let reported = self
            .statements
            .iter_mut()
            .filter(|(_, s)| is_due || s.reports < CHANGE_REPORTS);
        let mut reported: Vec<_> = reported.collect();
        reported.sort_by_key(|(key, s)| (s.reports, s.reported_at, **key));
        reported.truncate(MAX_REPORTED);
        let report = |(target, statement): (&TargetKey, &mut Statement)| {
            statement.reports = (statement.reports + 1).min(CHANGE_REPORTS);
            statement.reported_at = now;
            let age = |at: BootTime| {
                u32::try_from(clock::millis(now.saturating_sub(at))).unwrap_or(u32::MAX)
            };
            #[expect(
                clippy::cast_possible_truncation,
                reason = "the precision of f32 is enough for a rate"
            )]
            let per_second = statement.per_second.map(|limit| limit as f32);
            StatementReport {
                target: *target,
                per_second,
                age_ms: age(statement.at),
                leaving_age_ms: statement.leaving_at.map(age),
            }
        };
        reported.into_iter().map(report).collect()
    }

    /// Returns the limit of a target in requests per second; `None` if it has none.
    #[must_use]
    pub fn limit(&self, target: TargetKey) -> Option<f64> {
        self.statements.get(&target)?.per_second
    }

    /// Removes the statements of targets that are not listed. The entry of one that leaves
    /// may return, so that statement stays.
    pub fn retain(&mut self, is_listed: impl Fn(TargetKey) -> bool) {
        self.statements
            .retain(|target, s| s.leaving_at.is_some() || is_listed(*target));
    }
}

/// The [`StatementTable`] of this daemon, its sends to targets with limits, and the requests
/// that it has for their services. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct StatementTracker {
    table: Arc<Mutex<StatementTable>>,
    sends: SendTracker,
}

impl StatementTracker {
    /// Returns the table.
    pub fn table(&self) -> MutexGuard<'_, StatementTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether any target has stated something.
    #[must_use]
    pub fn has_any(&self) -> bool {
        !self.table().statements.is_empty()
    }

    /// Returns whether any target has a limit.
    #[must_use]
    pub fn is_in_force(&self) -> bool {
        let table = self.table();
        table.statements.values().any(|s| s.per_second.is_some())
    }

    /// Records a request to a target if the target has a limit, and returns whether it has.
    #[must_use]
    pub fn record_send(&self, target: &str, now: BootTime) -> bool {
        let is_limited = self.table().limit(target_key(target)).is_some();
        if is_limited {
            self.sends.with(target, |sends| sends.record_first(now));
        }
        is_limited
    }

    /// Records a request for a service, whether or not a target may take it.
    pub fn record_request(&self, service: &str, now: BootTime) {
        let name = demand_name(service);
        self.sends
            .with(&name, |requests| requests.record_first(now));
    }

    /// Returns the counts within [`LIMIT_WINDOW`], by the hash of a target's id or of
    /// [`demand_name`].
    #[must_use]
    pub fn counts(&self, now: BootTime) -> ServiceSendCounts {
        self.sends.counts(now, LIMIT_WINDOW)
    }
}
