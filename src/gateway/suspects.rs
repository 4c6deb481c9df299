//! Finds the parts of prompts on which engines crash, from the crashes and the answers
//! that all daemons report.
//!
//! Load pattern: one part of a prompt crashes each engine that begins to answer it.
//! Requests with that part reach all daemons, and each crash also breaks sound requests
//! that wait at the same engine. A crash counts against all parts of the requests that it
//! broke before they had gone on past their first event, and an answer that does go on
//! clears its parts. Crashes count as separate ones only if an answer without the part has begun
//! in between, so that a total outage puts no part under suspicion.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use super::peer_wire::{PartKey, SuspectReport};
use crate::clock::{self, BootTime};

/// Span within which crashes count as one: the engines of a zone that lose power together,
/// and one crash as several daemons see it. Also the most by which the delay of a report
/// and its echo may shift a time.
const MERGE_WINDOW: Duration = Duration::from_millis(500);
/// Number of crashes from which requests with a part are held.
const HOLD_CRASHES: usize = 3;
/// Maximum number of crashes with which a run that one of them broke is still repeated.
const MAX_CRASHES_TO_REPEAT: usize = 1;
/// Time from the crash that completes [`HOLD_CRASHES`] to the hold: reports of answers
/// that have begun with the part may be on their way.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time from the last crash to the first trial of a held part.
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
/// Time without a crash or request after which a part is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// How long a cleared part is still reported, so that all daemons clear it.
const CLEARED_KEPT_FOR: Duration = Duration::from_secs(5);
/// Maximum number of crashes kept for a part.
const MAX_CRASHES: usize = 8;
/// Maximum number of parts with crashes.
const MAX_ENTRIES: usize = 64;
/// Maximum number of parts whose last answer, or last crash without an entry, is
/// remembered.
const MAX_REMEMBERED: usize = 4_096;
/// Maximum number of parts in one report.
const MAX_REPORTED: usize = 8;
/// Maximum number of held parts in one report, so that others find room.
const MAX_REPORTED_HELD: usize = 4;
/// Number of reports that carry a change at once; datagrams may be lost.
const CHANGE_REPORTS: u8 = 3;
/// Interval between reports without a change, for daemons that have started or were
/// cut off.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a request may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// None of its parts is held.
    Send,
    /// It is the one request that tries whether engines still crash on this part.
    Trial(PartKey),
    /// Engines crash on this part.
    Hold(PartKey),
}

/// A part that has become held, or is no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldChange {
    /// The part has become held after this number of crashes.
    Held(PartKey, usize),
    /// The part is no longer held.
    Released(PartKey, ReleaseReason),
}

/// Why a part is no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ReleaseReason {
    /// An answer with the part has begun.
    AnswerBegun,
    /// No request with the part came for a long time, or the table was full.
    Forgotten,
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

/// Crashes and answers by one part.
#[derive(Clone, Debug)]
struct Entry {
    /// Crashes after `begun_at`, oldest first, at least [`MERGE_WINDOW`] apart.
    crashes: Vec<BootTime>,
    /// For each crash, the first time after it and before the next crash at which an
    /// answer without this part had begun, if there is one; oldest first.
    others_begun: Vec<BootTime>,
    /// Last time at which an answer with this part had begun.
    begun_at: Option<BootTime>,
    /// Time at which the last crash was cleared; set exactly while there are no crashes.
    cleared_at: Option<BootTime>,
    /// Time of the last trial.
    tried_at: Option<BootTime>,
    /// Number of trials since the first crash.
    trials: u32,
    own_trial: Option<OwnTrial>,
    /// Number of returns of trials; tells a report that still has a returned trial.
    returns: u32,
    own_returns: u32,
    last_return: Option<Return>,
    /// Time of the last request with this part.
    asked_at: BootTime,
    /// Time of the last report.
    reported_at: BootTime,
    /// Number of reports since the last change, at most [`CHANGE_REPORTS`].
    reports: u8,
    /// Whether the part was held when changes were last collected.
    was_held: bool,
}

impl Entry {
    fn new(begun_at: Option<BootTime>, now: BootTime) -> Self {
        Self {
            crashes: Vec::new(),
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
    fn counted(&self) -> Vec<BootTime> {
        let mut counted: Vec<BootTime> = Vec::new();
        for at in &self.crashes {
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

    /// Returns the number of crashes that count if requests with this part are held.
    fn held_crashes(&self, now: BootTime) -> Option<usize> {
        let counted = self.counted();
        let completed_at = counted.get(HOLD_CRASHES - 1)?;
        (now.saturating_sub(*completed_at) >= SETTLE_TIME).then_some(counted.len())
    }

    fn is_held(&self, now: BootTime) -> bool {
        self.held_crashes(now).is_some()
    }

    /// Returns the time from which a daemon of this rank may try the part.
    fn next_trial(&self, rank: usize) -> BootTime {
        let interval = TRIAL_INTERVAL
            .saturating_mul(TRIAL_GROWTH.saturating_pow(self.trials))
            .min(MAX_TRIAL_INTERVAL);
        let turns = u32::try_from(rank).unwrap_or(u32::MAX).saturating_add(1);
        let last = self.crashes.last().copied().max(self.tried_at);
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

    fn start_trial(&mut self, now: BootTime) {
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
    fn return_trial(&mut self, began_at: BootTime, now: BootTime) {
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
    fn merge_trials(&mut self, report: &SuspectReport, tried_at: Option<BootTime>, now: BootTime) {
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

    /// Changes the crashes, answers of others and last answer, keeps their invariants and
    /// records whether the counts may have changed.
    fn update(&mut self, now: BootTime, change: impl FnOnce(&mut Self)) {
        let before = (self.crashes.clone(), self.others_begun.clone());
        change(self);
        self.crashes.sort_unstable();
        self.crashes
            .dedup_by(|later, earlier| later.saturating_sub(*earlier) < MERGE_WINDOW);
        self.crashes.retain(|at| Some(*at) > self.begun_at);
        while self.crashes.len() > MAX_CRASHES {
            let counted = self.counted();
            let uncounted = self.crashes.iter().position(|at| !counted.contains(at));
            self.crashes.remove(uncounted.unwrap_or(0));
        }
        let crashes = &self.crashes;
        let crashes_before = |at: &BootTime| crashes.partition_point(|crash| crash < at);
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

    fn release_reason(&self) -> ReleaseReason {
        if self.cleared_at.is_some() {
            ReleaseReason::AnswerBegun
        } else {
            ReleaseReason::Forgotten
        }
    }

    fn is_expired(&self, now: BootTime) -> bool {
        let last = self.crashes.last().copied().unwrap_or_default();
        self.cleared_at
            .is_some_and(|at| now.saturating_sub(at) > CLEARED_KEPT_FOR)
            || now.saturating_sub(last.max(self.asked_at)) > FORGET_AFTER
    }
}

/// Returns the later of a known and a reported time. The reported one has to be later by
/// more than the delay of a report, else times would grow each time that they are echoed.
fn later(known: Option<BootTime>, reported: Option<BootTime>) -> Option<BootTime> {
    let is_later = reported > known.map(|at| at + MERGE_WINDOW);
    if is_later { reported } else { known }
}

/// Removes the older half of the times if there are more than [`MAX_REMEMBERED`].
fn trim(times_by_part: &mut HashMap<PartKey, BootTime>) {
    if times_by_part.len() > MAX_REMEMBERED {
        let mut times: Vec<_> = times_by_part.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(MAX_REMEMBERED / 2);
        times_by_part.retain(|_, at| *at > *median);
    }
}

/// Crashes and answers by part, as far as this daemon knows those of all daemons.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    /// At most [`MAX_ENTRIES`]; in order, so that the same input leads to the same reports.
    entries: BTreeMap<PartKey, Entry>,
    /// Last time at which an answer with each part is known to have begun, for reports of
    /// crashes that arrive later; at most [`MAX_REMEMBERED`].
    begun: HashMap<PartKey, BootTime>,
    /// Last crash of each part whose entry was evicted; at most [`MAX_REMEMBERED`]. One
    /// crash of runs with long prompts may name more parts than there are entries.
    evicted: HashMap<PartKey, BootTime>,
    reported_at: BootTime,
    /// Releases of parts whose entries are gone.
    released: Vec<HeldChange>,
}

impl SuspectTable {
    /// Records that a run with these parts broke before it had gone on past its first event
    /// because the connection to its engine failed. If one of the parts is held already,
    /// that explains the crash.
    pub fn record_crash(&mut self, parts: &[PartKey], now: BootTime) {
        let is_held = |part: &&PartKey| self.entries.get(part).is_some_and(|e| e.is_held(now));
        let held: Vec<PartKey> = parts.iter().filter(is_held).copied().collect();
        for part in if held.is_empty() { parts } else { &held } {
            let entry = self.entry(*part, now);
            entry.asked_at = now;
            entry.update(now, |entry| entry.crashes.push(now));
        }
        self.evict(now);
    }

    /// Records that an answer with these parts has gone on past its first event, or has
    /// ended whole.
    pub fn record_begun(&mut self, parts: &[PartKey], now: BootTime) {
        for (part, entry) in &mut self.entries {
            if parts.contains(part) {
                entry.update(now, |entry| entry.begun_at = entry.begun_at.max(Some(now)));
            } else {
                entry.update(now, |entry| entry.others_begun.push(now));
            }
        }
        self.begun.extend(parts.iter().map(|part| (*part, now)));
        trim(&mut self.begun);
    }

    /// Decides whether a request with these parts may be sent. `rank_of` returns the number
    /// of daemons that rank above this one for a part; those try it earlier.
    pub fn check(
        &mut self,
        parts: &[PartKey],
        rank_of: impl Fn(PartKey) -> usize,
        now: BootTime,
    ) -> Verdict {
        let mut held = Vec::new();
        for part in parts {
            if let Some(entry) = self.entries.get_mut(part) {
                entry.asked_at = now;
                held.extend(entry.is_held(now).then_some(*part));
            }
        }
        // Sound parts that share the deadly requests are held as well. Requests with fewer
        // held parts go first, since they lack the deadly one.
        let extra_turns = held.len().saturating_sub(1);
        for part in &held {
            let rank = rank_of(*part).saturating_add(extra_turns);
            if now < self.entries[part].next_trial(rank) {
                return Verdict::Hold(*part);
            }
        }
        let Some(part) = held.pop() else {
            return Verdict::Send;
        };
        for part in parts {
            if let Some(entry) = self.entries.get_mut(part).filter(|e| e.is_held(now)) {
                entry.start_trial(now);
            }
        }
        Verdict::Trial(part)
    }

    /// Takes back the trial that [`Self::check`] allowed at `began_at` for a request with
    /// these parts, because the request certainly ran on no engine.
    pub fn return_trial(&mut self, parts: &[PartKey], began_at: BootTime, now: BootTime) {
        for part in parts {
            if let Some(entry) = self.entries.get_mut(part) {
                entry.return_trial(began_at, now);
            }
        }
    }

    /// Returns whether a run with these parts that broke as [`Self::record_crash`] says may
    /// be repeated. One crash may be a coincidence.
    #[must_use]
    pub fn may_repeat(&self, parts: &[PartKey]) -> bool {
        let mut entries = parts.iter().filter_map(|part| self.entries.get(part));
        entries.all(|entry| entry.counted().len() <= MAX_CRASHES_TO_REPEAT)
    }

    /// Returns the report to send to other daemons now; empty if none is due.
    pub fn report(&mut self, now: BootTime) -> Vec<SuspectReport> {
        self.expire(now);
        let is_due = now.saturating_sub(self.reported_at) >= REPORT_INTERVAL;
        let has_change = |e: &Entry| e.reports < CHANGE_REPORTS;
        if !is_due && !self.entries.values().any(has_change) {
            return Vec::new();
        }
        self.reported_at = now;
        let (mut held, mut others): (Vec<_>, Vec<_>) =
            self.entries.iter_mut().partition(|(_, e)| e.is_held(now));
        held.sort_by_key(|(_, e)| e.reported_at);
        let mut chosen: Vec<_> = held.drain(..held.len().min(MAX_REPORTED_HELD)).collect();
        others.extend(held);
        others.sort_by_key(|(_, e)| {
            let crashes = if has_change(e) { e.counted().len() } else { 0 };
            (e.reports, Reverse(crashes), e.reported_at)
        });
        others.truncate(MAX_REPORTED - chosen.len());
        chosen.append(&mut others);
        let report = |(part, entry): (&PartKey, &mut Entry)| {
            entry.reported_at = now;
            entry.reports = (entry.reports + 1).min(CHANGE_REPORTS);
            let age = |at: BootTime| {
                u32::try_from(clock::millis(now.saturating_sub(at))).unwrap_or(u32::MAX)
            };
            SuspectReport {
                part: *part,
                crash_ages_ms: entry.crashes.iter().copied().map(age).collect(),
                others_begun_ages_ms: entry.others_begun.iter().copied().map(age).collect(),
                begun_age_ms: entry.begun_at.map(age),
                tried_age_ms: entry.tried_at.map(age),
                trials: entry.trials,
                returns: entry.returns,
                asked_age_ms: age(entry.asked_at),
            }
        };
        chosen.into_iter().map(report).collect()
    }

    /// Adds the report of another daemon.
    pub fn merge(&mut self, reports: &[SuspectReport], now: BootTime) {
        let time = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        for report in reports.iter().take(MAX_ENTRIES) {
            let begun_at = self.begun.get(&report.part).copied();
            if let Some(at) = later(begun_at, report.begun_age_ms.map(time)) {
                self.begun.insert(report.part, at);
            }
            let asked_at = time(report.asked_age_ms);
            let crashes = report.crash_ages_ms.iter().copied().map(time);
            let last = crashes.clone().max();
            let is_forgotten =
                now.saturating_sub(asked_at.max(last.unwrap_or_default())) > FORGET_AFTER;
            let is_known = self.entries.contains_key(&report.part);
            if is_forgotten || (last.is_none() && !is_known) {
                continue;
            }
            let entry = self.entry(report.part, now);
            entry.asked_at = later(Some(entry.asked_at), Some(asked_at)).unwrap_or_default();
            entry.merge_trials(report, report.tried_age_ms.map(time), now);
            let others_begun = report.others_begun_ages_ms.iter().copied().map(time);
            entry.update(now, |entry| {
                entry.begun_at = later(entry.begun_at, report.begun_age_ms.map(time));
                entry.crashes.extend(crashes.take(MAX_CRASHES));
                entry
                    .others_begun
                    .extend(others_begun.take(MAX_CRASHES + 1));
            });
        }
        trim(&mut self.begun);
        self.evict(now);
    }

    /// Returns the parts that have become held or are no longer held since the last call.
    pub fn held_changes(&mut self, now: BootTime) -> Vec<HeldChange> {
        let mut changes = std::mem::take(&mut self.released);
        for (part, entry) in &mut self.entries {
            let held = entry.held_crashes(now);
            if held.is_some() == entry.was_held {
                continue;
            }
            entry.was_held = held.is_some();
            changes.push(match held {
                Some(crashes) => HeldChange::Held(*part, crashes),
                None => HeldChange::Released(*part, entry.release_reason()),
            });
        }
        changes
    }

    /// Returns the number of held parts.
    #[must_use]
    pub fn held_count(&self, now: BootTime) -> usize {
        self.entries.values().filter(|e| e.is_held(now)).count()
    }

    fn entry(&mut self, part: PartKey, now: BootTime) -> &mut Entry {
        let begun_at = self.begun.get(&part).copied();
        let is_new = !self.entries.contains_key(&part);
        let crashed_at = is_new.then(|| self.evicted.remove(&part)).flatten();
        let crashed_at = crashed_at.filter(|at| now.saturating_sub(*at) <= FORGET_AFTER);
        let entry = self.entries.entry(part);
        let entry = entry.or_insert_with(|| Entry::new(begun_at, now));
        if let Some(at) = crashed_at {
            entry.update(now, |entry| entry.crashes.push(at));
        }
        entry
    }

    /// Removes the entries with the fewest crashes, oldest first, until the table is
    /// within its bound, and remembers their last crashes.
    fn evict(&mut self, now: BootTime) {
        self.expire(now);
        while self.entries.len() > MAX_ENTRIES {
            let least = self.entries.iter().min_by_key(|(part, e)| {
                let last = e.crashes.last().copied().unwrap_or_default();
                (e.counted().len(), e.crashes.len(), last, **part)
            });
            let least = least.map(|(part, e)| (*part, e.crashes.last().copied()));
            if let Some((part, crashed_at)) = least {
                self.evicted.extend(crashed_at.map(|at| (part, at)));
                self.remove_where(|p, _| *p == part);
            }
        }
        trim(&mut self.evicted);
    }

    fn expire(&mut self, now: BootTime) {
        self.remove_where(|_, entry| entry.is_expired(now));
    }

    fn remove_where(&mut self, is_removed: impl Fn(&PartKey, &Entry) -> bool) {
        let released = &mut self.released;
        self.entries.retain(|part, entry| {
            let is_removed = is_removed(part, entry);
            if is_removed && entry.was_held {
                released.push(HeldChange::Released(*part, entry.release_reason()));
            }
            !is_removed
        });
    }
}

/// The [`SuspectTable`] of this daemon. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct SuspectTracker(Arc<Mutex<SuspectTable>>);

impl SuspectTracker {
    /// Calls `act` with the table and returns its result. Logs which parts have become
    /// held or are no longer held.
    pub fn with<T>(&self, now: BootTime, act: impl FnOnce(&mut SuspectTable) -> T) -> T {
        let (result, changes, held_count) = {
            let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            let result = act(&mut table);
            (result, table.held_changes(now), table.held_count(now))
        };
        if !changes.is_empty() {
            let held_count = u32::try_from(held_count).unwrap_or(u32::MAX);
            metrics::gauge!("bluebell_gateway_held_parts").set(f64::from(held_count));
        }
        for change in changes {
            match change {
                HeldChange::Held(part, crashes) => {
                    log::warn!("event=part_held part={part:08x} crashes={crashes}");
                }
                HeldChange::Released(part, reason) => {
                    log::info!("event=part_released part={part:08x} reason={reason}");
                }
            }
        }
        result
    }
}
