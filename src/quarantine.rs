//! Finds requests that crash their targets and quarantines them for a while.
//!
//! When a target crashes, every request in flight there is marked. A marked
//! request is retried on trial, and only at a target where no other marked
//! request is on trial. The trial ends when the run has produced its first
//! tokens. A harmless request loses its mark when it completes; a second crash
//! during a trial leaves a single suspect, which is quarantined.
//!
//! Invariant: a request is quarantined only after two targets crashed while it
//! ran, the second one while it was the only suspect there.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::join_all;

use crate::{
    cell,
    clock::{self, BootTime},
    entry::ServerState,
    peer::{self, MessageKey, PeerError},
    wire::{CrashNotice, Frame},
};

/// Lifetime of a mark, and so of a quarantine, after the last crash.
pub const MARK_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum number of marks; above it, the oldest mark is removed.
const MAX_MARKS: usize = 4096;

/// Maximum time to wait for the other daemons to acknowledge a crash notice.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);

/// Hash of the customer and the body of a request.
pub type Fingerprint = [u8; 16];
/// Number of a run, unique within a daemon.
pub type RunNumber = u64;

/// Returns the fingerprint of a request.
#[must_use]
pub fn fingerprint(customer: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(customer.len() as u64).to_be_bytes());
    hasher.update(customer.as_bytes());
    hasher.update(body);
    let mut fingerprint = Fingerprint::default();
    hasher.finalize_xof().fill(&mut fingerprint);
    fingerprint
}

/// Reason why a request may not start at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunRefused {
    /// The request crashed targets and is quarantined.
    Quarantined,
    /// The request is marked, and either another marked request is on trial at
    /// the target or another copy of the request is on trial at any target.
    TrialBusy,
}

/// Crash record of a marked request.
#[derive(Clone, Copy, Debug)]
struct Mark {
    /// Number of crashes during which the request was in flight.
    crashes: u32,
    /// Number of crashes in which the request was the only suspect, see
    /// [`suspects`].
    sole_suspect_crashes: u32,
    /// Time of the last crash.
    at: BootTime,
}

/// A run that is in flight at a target.
#[derive(Clone, Copy, Debug)]
struct Running {
    number: RunNumber,
    fingerprint: Fingerprint,
    /// Whether the request was marked when the run started. A mark that arrives
    /// later does not count: it may come from another daemon that saw the same
    /// crash that ends this run.
    began_marked: bool,
    /// Whether the run started marked and has not produced its first tokens yet.
    is_on_trial: bool,
}

/// Marks and runs in flight of one daemon.
#[derive(Debug, Default)]
pub struct Quarantine {
    marks: HashMap<Fingerprint, Mark>,
    in_flight: HashMap<Box<str>, Vec<Running>>,
    last_number: RunNumber,
}

impl Quarantine {
    /// Returns whether a request is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: &Fingerprint, now: BootTime) -> bool {
        self.mark(fingerprint, now)
            .is_some_and(|m| m.sole_suspect_crashes > 0)
    }

    /// Returns whether a request was in flight during a crash and has not
    /// completed since.
    #[must_use]
    pub fn is_marked(&self, fingerprint: &Fingerprint, now: BootTime) -> bool {
        self.mark(fingerprint, now).is_some()
    }

    /// Returns the notice that gives another daemon the mark of a request; `None`
    /// if the request is not marked.
    #[must_use]
    pub fn notice_of(&self, fingerprint: &Fingerprint, now: BootTime) -> Option<CrashNotice> {
        let mark = self.mark(fingerprint, now)?;
        Some(CrashNotice {
            fingerprint: *fingerprint,
            crashes: mark.crashes,
            sole_suspect_crashes: mark.sole_suspect_crashes,
        })
    }

    /// Starts a run at a target.
    ///
    /// # Errors
    /// Returns an error if the request is quarantined, or marked and may not
    /// run at this target now.
    pub fn begin(
        &mut self,
        fingerprint: Fingerprint,
        target: &str,
        now: BootTime,
    ) -> Result<RunNumber, RunRefused> {
        if self.is_quarantined(&fingerprint, now) {
            return Err(RunRefused::Quarantined);
        }
        let is_on_trial = self.is_marked(&fingerprint, now);
        if is_on_trial && self.has_trial(&fingerprint, target) {
            return Err(RunRefused::TrialBusy);
        }
        self.last_number += 1;
        let running = Running {
            number: self.last_number,
            fingerprint,
            began_marked: is_on_trial,
            is_on_trial,
        };
        let runs = self.in_flight.entry(target.into()).or_default();
        runs.push(running);
        Ok(self.last_number)
    }

    /// Ends the trial of a run that produced its first tokens. The mark of its
    /// request stays until the run completes.
    pub fn end_trial(&mut self, target: &str, number: RunNumber) {
        let runs = self.in_flight.get_mut(target);
        for running in runs.into_iter().flatten() {
            running.is_on_trial &= running.number != number;
        }
    }

    /// Ends a run. If it is complete, removes the mark of its request, if there
    /// is one, and returns the notice for the other daemons.
    pub fn end(
        &mut self,
        target: &str,
        number: RunNumber,
        is_complete: bool,
    ) -> Option<CrashNotice> {
        let runs = self.in_flight.get_mut(target)?;
        let index = runs.iter().position(|r| r.number == number)?;
        let fingerprint = runs.swap_remove(index).fingerprint;
        if runs.is_empty() {
            self.in_flight.remove(target);
        }
        if !is_complete {
            return None;
        }
        self.marks.remove(&fingerprint)?;
        Some(CrashNotice {
            fingerprint,
            crashes: 0,
            sole_suspect_crashes: 0,
        })
    }

    /// Marks the requests in flight at a target that crashed, and returns the
    /// notices for the other daemons.
    pub fn on_crash(&mut self, target: &str, now: BootTime) -> Vec<CrashNotice> {
        let mut runs = self.in_flight.remove(target).unwrap_or_default();
        runs.sort_by_key(|r| r.fingerprint);
        runs.dedup_by_key(|r| r.fingerprint);
        let suspects = suspects(&runs);
        let marked = runs.iter().map(|r| {
            let mark = self.mark(&r.fingerprint, now);
            let is_sole_suspect = suspects == [r.fingerprint];
            CrashNotice {
                fingerprint: r.fingerprint,
                crashes: mark.map_or(0, |m| m.crashes) + 1,
                sole_suspect_crashes: mark.map_or(0, |m| m.sole_suspect_crashes)
                    + u32::from(is_sole_suspect),
            }
        });
        let notices: Vec<CrashNotice> = marked.collect();
        for notice in &notices {
            self.apply_notice(notice, now);
        }
        notices
    }

    /// Does the same as [`Quarantine::on_crash`] for a crash that broke the run
    /// `number`. If that run is no longer in flight, the crash was counted before, and
    /// the runs in flight now have begun since.
    pub fn on_run_crashed(
        &mut self,
        target: &str,
        number: RunNumber,
        now: BootTime,
    ) -> Vec<CrashNotice> {
        let mut runs = self.in_flight.get(target).into_iter().flatten();
        if runs.any(|r| r.number == number) {
            self.on_crash(target, now)
        } else {
            Vec::new()
        }
    }

    /// Applies a crash notice. One without crashes removes the mark; any other
    /// raises the counts of the mark to those of the notice and restarts its
    /// lifetime.
    pub fn apply_notice(&mut self, notice: &CrashNotice, now: BootTime) {
        if notice.crashes == 0 {
            self.marks.remove(&notice.fingerprint);
            return;
        }
        let known = self.mark(&notice.fingerprint, now);
        let mark = Mark {
            crashes: notice.crashes.max(known.map_or(0, |m| m.crashes)),
            sole_suspect_crashes: notice
                .sole_suspect_crashes
                .max(known.map_or(0, |m| m.sole_suspect_crashes)),
            at: now,
        };
        self.marks.insert(notice.fingerprint, mark);
        self.evict_marks(now);
    }

    /// Returns whether a request is on trial at `target`, or the request with
    /// this fingerprint at any target.
    fn has_trial(&self, fingerprint: &Fingerprint, target: &str) -> bool {
        self.in_flight.iter().any(|(name, runs)| {
            let mut trials = runs.iter().filter(|r| r.is_on_trial);
            trials.any(|r| **name == *target || r.fingerprint == *fingerprint)
        })
    }

    fn mark(&self, fingerprint: &Fingerprint, now: BootTime) -> Option<Mark> {
        let mark = self.marks.get(fingerprint).copied();
        mark.filter(|m| now.saturating_sub(m.at) < MARK_LIFETIME)
    }

    /// Once there are more than [`MAX_MARKS`] marks, removes the expired ones
    /// and, if that is not enough, the oldest one.
    fn evict_marks(&mut self, now: BootTime) {
        if self.marks.len() <= MAX_MARKS {
            return;
        }
        self.marks
            .retain(|_, m| now.saturating_sub(m.at) < MARK_LIFETIME);
        let oldest = self.marks.iter().min_by_key(|(_, m)| m.at);
        if let Some(oldest) = oldest.map(|(f, _)| *f)
            && self.marks.len() > MAX_MARKS
        {
            self.marks.remove(&oldest);
        }
    }
}

/// Returns the requests that may have caused a crash: those on trial, or if
/// there are none, all whose runs started marked.
fn suspects(runs: &[Running]) -> Vec<Fingerprint> {
    let on_trial = runs.iter().filter(|r| r.is_on_trial);
    let on_trial: Vec<Fingerprint> = on_trial.map(|r| r.fingerprint).collect();
    if !on_trial.is_empty() {
        return on_trial;
    }
    let marked = runs.iter().filter(|r| r.began_marked);
    marked.map(|r| r.fingerprint).collect()
}

/// Quarantine shared by the control thread and request handling of one daemon.
#[derive(Clone, Default)]
pub(crate) struct SharedQuarantine(Arc<Mutex<Quarantine>>);

impl SharedQuarantine {
    pub fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a run at a target; dropping the returned guard ends the run.
    pub fn begin(&self, fingerprint: Fingerprint, target: &str) -> Result<InFlight, RunRefused> {
        let number = self.lock().begin(fingerprint, target, clock::now())?;
        Ok(InFlight {
            quarantine: self.clone(),
            target: target.into(),
            number,
        })
    }
}

/// Guard of a run in flight. Dropping it ends the run without evidence for or
/// against its request.
pub(crate) struct InFlight {
    quarantine: SharedQuarantine,
    target: Box<str>,
    number: RunNumber,
}

impl InFlight {
    /// Ends the trial of the run, which has produced its first tokens.
    pub fn end_trial(&self) {
        self.quarantine.lock().end_trial(&self.target, self.number);
    }

    /// Ends the run as complete, which removes the mark of its request. Returns
    /// the notices by which the other daemons remove it too.
    pub fn complete(self) -> Vec<CrashNotice> {
        let mut quarantine = self.quarantine.lock();
        let cleared = quarantine.end(&self.target, self.number, true);
        drop(quarantine);
        cleared.into_iter().collect()
    }

    /// Marks all requests in flight at the target, which has crashed. The
    /// returned notices must reach the other daemons before the caller gets the
    /// error, since the caller may retry through any of them.
    pub fn on_crash(self) -> Vec<CrashNotice> {
        let mut quarantine = self.quarantine.lock();
        let notices = quarantine.on_run_crashed(&self.target, self.number, clock::now());
        drop(quarantine);
        for notice in &notices {
            log::warn!(
                "event=crash_mark target={} crashes={} alone={}",
                self.target,
                notice.crashes,
                notice.sole_suspect_crashes
            );
        }
        notices
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut quarantine = self.quarantine.lock();
        quarantine.end(&self.target, self.number, false);
    }
}

/// Returns the daemon among `daemons` that runs marked requests at `target`.
///
/// Each target has exactly one such daemon, independently of the other targets,
/// so that two marked requests are never on trial there at the same time.
#[must_use]
pub fn trial_daemon<'a>(
    target: &str,
    daemons: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let weight = |daemon: &&str| cell::score(target, daemon);
    daemons.into_iter().max_by_key(weight)
}

/// Returns whether `me`, one of `daemons`, is the trial daemon of `target`.
#[must_use]
pub fn is_trial_target<'a>(
    target: &str,
    me: &str,
    daemons: impl IntoIterator<Item = &'a str>,
) -> bool {
    trial_daemon(target, daemons) == Some(me)
}

/// Returns the trial daemons of `targets`, each once, in the order of `targets`.
///
/// A daemon that is not among them runs no marked request at these targets, and
/// passes it on to one that is.
#[must_use]
pub fn trial_daemons<'a, 't>(
    targets: impl IntoIterator<Item = &'t str>,
    daemons: &[&'a str],
) -> Vec<&'a str> {
    let mut found = Vec::new();
    for target in targets {
        let daemon = trial_daemon(target, daemons.iter().copied());
        found.extend(daemon.filter(|d| !found.contains(d)));
    }
    found
}

/// Returns the targets at which this daemon should not run a request: for a
/// marked request, those where another daemon runs marked requests.
pub(crate) fn excluded_targets(
    state: &ServerState,
    fingerprint: &Fingerprint,
    service: &str,
) -> Vec<Box<str>> {
    if !state.quarantine.lock().is_marked(fingerprint, clock::now()) {
        return Vec::new();
    }
    let view = state.view.load();
    let me = &*state.settings.name;
    let is_own = |target: &str| {
        let peers = view.peers.iter().map(|p| &*p.name);
        is_trial_target(target, me, peers.chain([me]))
    };
    let targets = view.targets_of(service).iter();
    let others = targets.filter(|t| !is_own(&t.name));
    others.map(|t| t.name.clone()).collect()
}

/// Sends crash notices to all other live daemons, and returns when all have
/// answered or [`NOTIFY_TIMEOUT`] has passed.
///
/// This is awaited before the caller gets the error, so that the daemon that
/// receives a retry of the request already knows about the crash.
pub(crate) async fn notify_peers(state: &ServerState, notices: Vec<CrashNotice>) {
    let view = state.view.load_full();
    let message_key = MessageKey::new(&state.settings.keys.peer);
    let calls = notices.into_iter().flat_map(|notice| {
        let message_key = &message_key;
        let peers = view.peers.iter().map(|p| p.address);
        peers.map(move |to| notify_peer(message_key, to, notice.clone()))
    });
    for error in join_all(calls).await.into_iter().filter_map(Result::err) {
        log::debug!("event=crash_mark_not_told error={:?}", error.to_string());
    }
}

/// Sends a crash notice to one daemon and returns its answer.
///
/// # Errors
/// Returns an error if the daemon does not answer within [`NOTIFY_TIMEOUT`].
pub(crate) async fn notify_peer(
    message_key: &MessageKey,
    to: SocketAddr,
    notice: CrashNotice,
) -> Result<Frame, PeerError> {
    peer::call_peer(message_key, to, Frame::CrashNotice(notice), NOTIFY_TIMEOUT).await
}
