//! Finds the subjects on which targets crash, from the crashes and the answers that all
//! daemons report. A subject is a part of a prompt that requests share, or a whole request.
//!
//! Load pattern: one subject crashes each target that begins to answer it. Requests with
//! that subject reach all daemons, and each crash also breaks sound requests that wait at
//! the same target. A crash counts against all subjects of the requests that it
//! broke before they had gone on past their first event, and an answer that does go on
//! clears its subjects. Crashes count as separate ones only if an answer without the subject
//! has begun in between, so that a total outage puts no subject under suspicion.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use super::{
    crash_history::CrashHistoryHandle,
    peer_wire::{SubjectKey, SuspectReport},
    suspect_entry::{CHANGE_REPORTS, Crash, Entry, FORGET_AFTER, MAX_CRASHES, later},
};
use crate::clock::{self, BootTime};

/// Maximum number of crashes with which a run that one of them broke is still repeated.
const MAX_CRASHES_TO_REPEAT: usize = 1;
/// Maximum number of subjects with crashes.
const MAX_ENTRIES: usize = 64;
/// Maximum number of subjects whose last answer, or last crash without an entry, is
/// remembered.
const MAX_REMEMBERED: usize = 4_096;
/// Maximum number of subjects in one report.
const MAX_REPORTED: usize = 8;
/// Maximum number of held subjects in one report, so that others find room.
const MAX_REPORTED_HELD: usize = 4;
/// Interval between reports without a change, for daemons that have started or were
/// cut off.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a request may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// None of its subjects is held.
    Send,
    /// It is the one request that tries whether engines still crash on this subject.
    Trial(SubjectKey),
    /// Engines crash on this subject.
    Hold(SubjectKey),
}

/// A subject that has become held, or is no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldChange {
    /// The subject has become held after this number of crashes.
    Held(SubjectKey, usize),
    /// The subject is no longer held.
    Released(SubjectKey, ReleaseReason),
}

/// Why a subject is no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ReleaseReason {
    /// An answer with the subject has begun.
    AnswerBegun,
    /// No request with the subject came for a long time, or the table was full.
    Forgotten,
}

/// Removes the older half of the times if there are more than [`MAX_REMEMBERED`].
fn trim<T: Copy + Ord>(times_by_subject: &mut HashMap<SubjectKey, T>) {
    if times_by_subject.len() > MAX_REMEMBERED {
        let mut times: Vec<_> = times_by_subject.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(MAX_REMEMBERED / 2);
        times_by_subject.retain(|_, at| *at > *median);
    }
}

/// Crashes and answers by subject, as far as this daemon knows those of all daemons.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    /// At most [`MAX_ENTRIES`]; in order, so that the same input leads to the same reports.
    entries: BTreeMap<SubjectKey, Entry>,
    /// Last time at which an answer with each subject is known to have begun, for reports of
    /// crashes that arrive later; at most [`MAX_REMEMBERED`].
    begun: HashMap<SubjectKey, BootTime>,
    /// Last crash of each subject whose entry was evicted; at most [`MAX_REMEMBERED`]. One
    /// crash of runs with long prompts may name more subjects than there are entries.
    evicted: HashMap<SubjectKey, Crash>,
    /// Last time at which this daemon saw any answer begin, for subjects that come back from
    /// `evicted`.
    any_begun_at: Option<BootTime>,
    reported_at: BootTime,
    /// Releases of subjects whose entries are gone.
    released: Vec<HeldChange>,
}

impl SuspectTable {
    /// Records that a run with these subjects broke before it had gone on past its first event
    /// because the connection to its engine failed. If one of the subjects is held already,
    /// that explains the crash.
    pub fn record_crash(&mut self, subjects: &[SubjectKey], now: BootTime) {
        let is_held =
            |subject: &&SubjectKey| self.entries.get(subject).is_some_and(|e| e.is_held(now));
        let held: Vec<SubjectKey> = subjects.iter().filter(is_held).copied().collect();
        for subject in if held.is_empty() { subjects } else { &held } {
            let entry = self.entry(*subject, now);
            entry.asked_at = now;
            entry.update(now, |entry| entry.add_crash(Crash::new(*subject, now)));
        }
        self.evict(now);
    }

    /// Records that an answer with these subjects has gone on past its first event, or has
    /// ended whole.
    pub fn record_begun(&mut self, subjects: &[SubjectKey], now: BootTime) {
        for (subject, entry) in &mut self.entries {
            if subjects.contains(subject) {
                entry.update(now, |entry| entry.begun_at = entry.begun_at.max(Some(now)));
            } else {
                entry.update(now, |entry| entry.others_begun.push(now));
            }
        }
        self.begun
            .extend(subjects.iter().map(|subject| (*subject, now)));
        trim(&mut self.begun);
        self.any_begun_at = self.any_begun_at.max(Some(now));
    }

    /// Decides whether a request with these subjects may be sent. `rank_of` returns the number
    /// of daemons that rank above this one for a subject; those try it earlier.
    pub fn check(
        &mut self,
        subjects: &[SubjectKey],
        rank_of: impl Fn(SubjectKey) -> usize,
        now: BootTime,
    ) -> Verdict {
        let mut held = Vec::new();
        for subject in subjects {
            if let Some(entry) = self.entries.get_mut(subject) {
                entry.asked_at = now;
                held.extend(entry.is_held(now).then_some(*subject));
            }
        }
        // Sound subjects that share the deadly requests are held as well. Requests with fewer
        // held subjects go first, since they lack the deadly one.
        let extra_turns = held.len().saturating_sub(1);
        for subject in &held {
            let rank = rank_of(*subject).saturating_add(extra_turns);
            if now < self.entries[subject].next_trial(rank) {
                return Verdict::Hold(*subject);
            }
        }
        let Some(subject) = held.pop() else {
            return Verdict::Send;
        };
        for subject in subjects {
            if let Some(entry) = self.entries.get_mut(subject).filter(|e| e.is_held(now)) {
                entry.start_trial(now);
            }
        }
        Verdict::Trial(subject)
    }

    /// Takes back the trial that [`Self::check`] allowed at `began_at` for a request with
    /// these subjects, because the request certainly ran on no engine.
    pub fn return_trial(&mut self, subjects: &[SubjectKey], began_at: BootTime, now: BootTime) {
        for subject in subjects {
            if let Some(entry) = self.entries.get_mut(subject) {
                entry.return_trial(began_at, now);
            }
        }
    }

    /// Returns whether a run with these subjects that broke as [`Self::record_crash`] says may
    /// be repeated. One crash may be a coincidence.
    #[must_use]
    pub fn may_repeat(&self, subjects: &[SubjectKey]) -> bool {
        let mut entries = subjects
            .iter()
            .filter_map(|subject| self.entries.get(subject));
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
        let report = |(subject, entry): (&SubjectKey, &mut Entry)| {
            entry.reported_at = now;
            entry.reports = (entry.reports + 1).min(CHANGE_REPORTS);
            let age = |at: BootTime| {
                u32::try_from(clock::millis(now.saturating_sub(at))).unwrap_or(u32::MAX)
            };
            SuspectReport {
                subject: *subject,
                crashes: entry
                    .crashes
                    .iter()
                    .map(|c| (age(c.at), c.number))
                    .collect(),
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
            let begun_at = self.begun.get(&report.subject).copied();
            if let Some(at) = later(begun_at, report.begun_age_ms.map(time)) {
                self.begun.insert(report.subject, at);
            }
            let asked_at = time(report.asked_age_ms);
            let crashes = report.crashes.iter().map(|(age_ms, number)| Crash {
                at: time(*age_ms),
                number: *number,
            });
            let last = crashes.clone().map(|crash| crash.at).max();
            let is_forgotten =
                now.saturating_sub(asked_at.max(last.unwrap_or_default())) > FORGET_AFTER;
            let is_known = self.entries.contains_key(&report.subject);
            if is_forgotten || (last.is_none() && !is_known) {
                continue;
            }
            let entry = self.entry(report.subject, now);
            entry.asked_at = later(Some(entry.asked_at), Some(asked_at)).unwrap_or_default();
            entry.merge_trials(report, report.tried_age_ms.map(time), now);
            let others_begun = report.others_begun_ages_ms.iter().copied().map(time);
            entry.update(now, |entry| {
                entry.begun_at = later(entry.begun_at, report.begun_age_ms.map(time));
                for crash in crashes.take(MAX_CRASHES) {
                    entry.add_crash(crash);
                }
                entry
                    .others_begun
                    .extend(others_begun.take(MAX_CRASHES + 1));
            });
        }
        trim(&mut self.begun);
        self.evict(now);
    }

    /// Returns the subjects that have become held or are no longer held since the last call.
    pub fn held_changes(&mut self, now: BootTime) -> Vec<HeldChange> {
        let mut changes = std::mem::take(&mut self.released);
        for (subject, entry) in &mut self.entries {
            let held = entry.held_crashes(now);
            if held.is_some() == entry.was_held {
                continue;
            }
            entry.was_held = held.is_some();
            changes.push(match held {
                Some(crashes) => HeldChange::Held(*subject, crashes),
                None => HeldChange::Released(*subject, entry.release_reason()),
            });
        }
        changes
    }

    /// Returns the number of held subjects.
    #[must_use]
    pub fn held_count(&self, now: BootTime) -> usize {
        self.entries.values().filter(|e| e.is_held(now)).count()
    }

    fn entry(&mut self, subject: SubjectKey, now: BootTime) -> &mut Entry {
        let begun_at = self.begun.get(&subject).copied();
        let is_new = !self.entries.contains_key(&subject);
        let crash = is_new.then(|| self.evicted.remove(&subject)).flatten();
        let crash = crash.filter(|crash| now.saturating_sub(crash.at) <= FORGET_AFTER);
        let entry = self.entries.entry(subject);
        let entry = entry.or_insert_with(|| Entry::new(begun_at, now));
        if let Some(crash) = crash {
            // An answer with the subject would have cleared the crash.
            let others_begun = self.any_begun_at;
            entry.update(now, |entry| {
                entry.add_crash(crash);
                entry.others_begun.extend(others_begun);
            });
        }
        entry
    }

    /// Removes the entries with the fewest crashes, oldest first, until the table is
    /// within its bound, and remembers their last crashes.
    fn evict(&mut self, now: BootTime) {
        self.expire(now);
        while self.entries.len() > MAX_ENTRIES {
            let least = self.entries.iter().min_by_key(|(subject, e)| {
                let last = e.crashes.last().map(|crash| crash.at);
                (e.counted().len(), e.crashes.len(), last, **subject)
            });
            let least = least.map(|(subject, e)| (*subject, e.crashes.last().copied()));
            if let Some((subject, crash)) = least {
                self.evicted.extend(crash.map(|crash| (subject, crash)));
                self.remove_where(|p, _| *p == subject);
            }
        }
        trim(&mut self.evicted);
    }

    fn expire(&mut self, now: BootTime) {
        self.remove_where(|_, entry| entry.is_expired(now));
    }

    fn remove_where(&mut self, is_removed: impl Fn(&SubjectKey, &Entry) -> bool) {
        let released = &mut self.released;
        self.entries.retain(|subject, entry| {
            let is_removed = is_removed(subject, entry);
            if is_removed && entry.was_held {
                released.push(HeldChange::Released(*subject, entry.release_reason()));
            }
            !is_removed
        });
    }
}

/// The [`SuspectTable`]s and crash histories of this daemon, apart for streamed and plain
/// requests: answers of plain services say nothing about whether engines are down. Clones share
/// them.
#[derive(Clone, Debug)]
pub struct Suspects {
    /// Subjects of streamed requests.
    pub streamed: SuspectTracker,
    /// Subjects of plain requests.
    pub plain: SuspectTracker,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            streamed: SuspectTracker::new("streamed"),
            plain: SuspectTracker::new("plain"),
        }
    }
}

impl Suspects {
    /// Returns the table for streamed or for plain requests.
    #[must_use]
    pub fn of_kind(&self, is_stream: bool) -> &SuspectTracker {
        if is_stream {
            &self.streamed
        } else {
            &self.plain
        }
    }
}

/// One [`SuspectTable`] of this daemon, and the history of crashes by whole request. Clones
/// share them.
#[derive(Clone, Debug)]
pub struct SuspectTracker {
    table: Arc<Mutex<SuspectTable>>,
    /// Crashes by whole request, at any point of its answer.
    pub history: CrashHistoryHandle,
    /// Kind of requests, for logs and metrics.
    requests: &'static str,
}

impl SuspectTracker {
    fn new(requests: &'static str) -> Self {
        Self {
            table: Arc::default(),
            history: CrashHistoryHandle::default(),
            requests,
        }
    }

    /// Calls `act` with the table and returns its result. Logs which subjects have become
    /// held or are no longer held.
    pub fn with<T>(&self, now: BootTime, act: impl FnOnce(&mut SuspectTable) -> T) -> T {
        let (result, changes, held_count) = {
            let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
            let result = act(&mut table);
            (result, table.held_changes(now), table.held_count(now))
        };
        if !changes.is_empty() {
            let held_count = u32::try_from(held_count).unwrap_or(u32::MAX);
            metrics::gauge!("bluebell_gateway_held_subjects", "requests" => self.requests)
                .set(f64::from(held_count));
        }
        for change in changes {
            match change {
                HeldChange::Held(subject, crashes) => {
                    log::warn!(
                        "event=suspect_held subject={subject:08x} requests={} crashes={crashes}",
                        self.requests
                    );
                }
                HeldChange::Released(subject, reason) => {
                    log::info!("event=suspect_released subject={subject:08x} reason={reason}");
                }
            }
        }
        result
    }
}
