//! Requests that crash their targets: marked, tried again apart from one
//! another, and kept out for a while.
//!
//! When a target crashes, everything that was in flight there is marked. A
//! marked request runs again only where no other marked request is on trial,
//! so that an innocent neighbour clears itself by being answered, and a second
//! crash during its trial leaves one suspect. That one is kept out.
//!
//! Invariant: a request is kept out only after two targets crashed under it,
//! the second while it was the only suspect there.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::join_all;

use crate::{
    cell,
    clock::{self, BootTime},
    entry::Entry,
    peer::{self, Seal},
    wire::{CrashMark, Frame},
};

/// How long a mark stands, and how long a request is kept out.
pub const MARK_LIFE: Duration = Duration::from_secs(600);
/// Most marks kept; beyond, the oldest is forgotten.
const MAX_MARKS: usize = 4096;

/// Longest wait for the other daemons to hear of a crash.
const TELL_TIMEOUT: Duration = Duration::from_millis(500);

/// Hash of customer and body.
pub type Fingerprint = [u8; 16];
/// Number of one run, unique within a daemon.
pub type RunNumber = u64;

/// The fingerprint of a request.
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

/// Why a request may not start at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// It crashed targets and is kept out for a while.
    Quarantined,
    /// It is marked, and another marked request is on trial there, or another
    /// copy of itself is on trial.
    Apart,
}

/// What is known of a marked request.
#[derive(Clone, Copy, Debug)]
struct Mark {
    /// Crashes it was part of.
    crashes: u32,
    /// Crashes in which it was already marked and the only suspect.
    alone: u32,
    /// When it was last part of one.
    at: BootTime,
}

/// A run that is in flight at a target.
#[derive(Clone, Copy, Debug)]
struct Running {
    number: RunNumber,
    fingerprint: Fingerprint,
    /// It was marked when it began. A mark that came later may tell of the
    /// very crash that ends this run, seen by another daemon.
    began_marked: bool,
    /// It began marked and has not shown yet that it does no harm.
    is_on_trial: bool,
}

/// Marks and runs in flight of one daemon.
#[derive(Debug, Default)]
pub struct Quarantine {
    marks: HashMap<Fingerprint, Mark>,
    in_flight: HashMap<Box<str>, Vec<Running>>,
    last: RunNumber,
}

impl Quarantine {
    /// Whether a request is kept out.
    #[must_use]
    pub fn is_kept_out(&self, fingerprint: &Fingerprint, now: BootTime) -> bool {
        self.mark(fingerprint, now).is_some_and(|m| m.alone > 0)
    }

    /// Whether a request was part of a crash and has not been answered since.
    #[must_use]
    pub fn is_marked(&self, fingerprint: &Fingerprint, now: BootTime) -> bool {
        self.mark(fingerprint, now).is_some()
    }

    /// Starts a run at a target.
    ///
    /// # Errors
    /// It may not run at all, or not there now.
    pub fn begin(
        &mut self,
        fingerprint: Fingerprint,
        target: &str,
        now: BootTime,
    ) -> Result<RunNumber, Held> {
        if self.is_kept_out(&fingerprint, now) {
            return Err(Held::Quarantined);
        }
        let is_on_trial = self.is_marked(&fingerprint, now);
        if is_on_trial && self.has_trial(&fingerprint, target) {
            return Err(Held::Apart);
        }
        self.last += 1;
        let running = Running {
            number: self.last,
            fingerprint,
            began_marked: is_on_trial,
            is_on_trial,
        };
        let there = self.in_flight.entry(target.into()).or_default();
        there.push(running);
        Ok(self.last)
    }

    /// Ends the trial of a run that got as far as its first tokens; its mark
    /// stays until it is whole.
    pub fn survived(&mut self, target: &str, number: RunNumber) {
        let there = self.in_flight.get_mut(target);
        for running in there.into_iter().flatten() {
            running.is_on_trial &= running.number != number;
        }
    }

    /// Ends a run. When it is `whole`, its mark is cleared, and the notice for
    /// other daemons is returned.
    pub fn end(&mut self, target: &str, number: RunNumber, is_whole: bool) -> Option<CrashMark> {
        let there = self.in_flight.get_mut(target)?;
        let at = there.iter().position(|r| r.number == number)?;
        let fingerprint = there.swap_remove(at).fingerprint;
        if there.is_empty() {
            self.in_flight.remove(target);
        }
        if !is_whole {
            return None;
        }
        self.marks.remove(&fingerprint)?;
        Some(CrashMark {
            fingerprint,
            crashes: 0,
            alone: 0,
        })
    }

    /// Marks what was in flight at a target that crashed; returns the notices
    /// for other daemons. Told again, it finds nothing in flight any more.
    pub fn crashed(&mut self, target: &str, now: BootTime) -> Vec<CrashMark> {
        let mut there = self.in_flight.remove(target).unwrap_or_default();
        there.sort_by_key(|r| r.fingerprint);
        there.dedup_by_key(|r| r.fingerprint);
        let suspects = suspects(&there);
        let known = there.iter().map(|r| {
            let mark = self.mark(&r.fingerprint, now);
            let is_alone = suspects == [r.fingerprint];
            CrashMark {
                fingerprint: r.fingerprint,
                crashes: mark.map_or(0, |m| m.crashes) + 1,
                alone: mark.map_or(0, |m| m.alone) + u32::from(is_alone),
            }
        });
        let notices: Vec<CrashMark> = known.collect();
        for notice in &notices {
            self.hear(notice, now);
        }
        notices
    }

    /// Takes in another daemon's notice.
    pub fn hear(&mut self, notice: &CrashMark, now: BootTime) {
        if notice.crashes == 0 {
            self.marks.remove(&notice.fingerprint);
            return;
        }
        let held = self.mark(&notice.fingerprint, now);
        let mark = Mark {
            crashes: notice.crashes.max(held.map_or(0, |m| m.crashes)),
            alone: notice.alone.max(held.map_or(0, |m| m.alone)),
            at: now,
        };
        self.marks.insert(notice.fingerprint, mark);
        self.forget_oldest(now);
    }

    fn has_trial(&self, fingerprint: &Fingerprint, target: &str) -> bool {
        self.in_flight.iter().any(|(name, there)| {
            let mut trials = there.iter().filter(|r| r.is_on_trial);
            trials.any(|r| **name == *target || r.fingerprint == *fingerprint)
        })
    }

    fn mark(&self, fingerprint: &Fingerprint, now: BootTime) -> Option<Mark> {
        let mark = self.marks.get(fingerprint).copied();
        mark.filter(|m| now.saturating_sub(m.at) < MARK_LIFE)
    }

    fn forget_oldest(&mut self, now: BootTime) {
        if self.marks.len() <= MAX_MARKS {
            return;
        }
        self.marks
            .retain(|_, m| now.saturating_sub(m.at) < MARK_LIFE);
        let oldest = self.marks.iter().min_by_key(|(_, m)| m.at);
        if let Some(oldest) = oldest.map(|(f, _)| *f)
            && self.marks.len() > MAX_MARKS
        {
            self.marks.remove(&oldest);
        }
    }
}

/// Who may have caused a crash: those on trial, or else all that began marked.
fn suspects(there: &[Running]) -> Vec<Fingerprint> {
    let on_trial = there.iter().filter(|r| r.is_on_trial);
    let on_trial: Vec<Fingerprint> = on_trial.map(|r| r.fingerprint).collect();
    if !on_trial.is_empty() {
        return on_trial;
    }
    let marked = there.iter().filter(|r| r.began_marked);
    marked.map(|r| r.fingerprint).collect()
}

/// The quarantine that all parts of one daemon share.
#[derive(Clone, Default)]
pub(crate) struct SharedQuarantine(Arc<Mutex<Quarantine>>);

impl SharedQuarantine {
    pub fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a run at a target; dropping it ends the run.
    pub fn begin(&self, fingerprint: Fingerprint, target: &str) -> Result<InFlight, Held> {
        let number = self.lock().begin(fingerprint, target, clock::now())?;
        Ok(InFlight {
            quarantine: self.clone(),
            target: target.into(),
            number,
        })
    }
}

/// A run in flight. Dropped, it ended for a reason that says nothing of it.
pub(crate) struct InFlight {
    quarantine: SharedQuarantine,
    target: Box<str>,
    number: RunNumber,
}

impl InFlight {
    /// The first tokens are here: its trial is over.
    pub fn survived(&self) {
        self.quarantine.lock().survived(&self.target, self.number);
    }

    /// It was answered whole: clears it, and tells the others to.
    pub fn whole(self) -> Vec<CrashMark> {
        let mut quarantine = self.quarantine.lock();
        let cleared = quarantine.end(&self.target, self.number, true);
        drop(quarantine);
        cleared.into_iter().collect()
    }

    /// Its target crashed: marks all that ran there; the others must hear of
    /// it before the caller does.
    pub fn crashed(self) -> Vec<CrashMark> {
        let marks = self.quarantine.lock().crashed(&self.target, clock::now());
        for mark in &marks {
            log::warn!(
                "event=crash_mark target={} crashes={} alone={}",
                self.target,
                mark.crashes,
                mark.alone
            );
        }
        marks
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut quarantine = self.quarantine.lock();
        quarantine.end(&self.target, self.number, false);
    }
}

/// Whether `me`, one of `daemons`, is the one that tries marked requests at
/// `target`: each target has one such daemon, whatever other targets there
/// are, so that two marked requests never meet there.
#[must_use]
pub fn is_trial_target<'a>(
    target: &str,
    me: &str,
    daemons: impl IntoIterator<Item = &'a str>,
) -> bool {
    let weight = |daemon: &&str| cell::score(target, daemon);
    daemons.into_iter().max_by_key(weight) == Some(me)
}

/// The targets at which a request should not be tried by this daemon: for a
/// marked one, those of other daemons.
pub(crate) fn left_out(entry: &Entry, print: &Fingerprint, service: &str) -> Vec<Box<str>> {
    if !entry.quarantine.lock().is_marked(print, clock::now()) {
        return Vec::new();
    }
    let view = entry.view.load();
    let me = &*entry.settings.name;
    let is_own = |target: &str| {
        let peers = view.peers.iter().map(|p| &*p.name);
        is_trial_target(target, me, peers.chain([me]))
    };
    let targets = view.targets_of(service).iter();
    let others = targets.filter(|t| !is_own(&t.name));
    others.map(|t| t.name.clone()).collect()
}

/// Tells the live daemons of crashes. It returns when all have answered or
/// [`TELL_TIMEOUT`] is over, and is awaited before the caller hears of a
/// crash: the next daemon that gets the request then knows of it.
pub(crate) async fn tell(entry: &Entry, notices: Vec<CrashMark>) {
    let view = entry.view.load_full();
    let seal = Seal::new(&entry.settings.keys.peer);
    let told = notices.into_iter().flat_map(|notice| {
        let seal = &seal;
        let peers = view.peers.iter().map(|p| p.address);
        peers.map(move |to| {
            peer::ask::<_, Frame>(seal, to, Frame::CrashMark(notice.clone()), TELL_TIMEOUT)
        })
    });
    for error in join_all(told).await.into_iter().filter_map(Result::err) {
        log::debug!("event=crash_mark_not_told error={:?}", error.to_string());
    }
}
