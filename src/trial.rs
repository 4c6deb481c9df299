//! How generations meet the quarantine: where a request may run, and what is
//! learnt when a run ends.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::{self, BootTime},
    engine::EngineError,
    entry::Entry,
    quarantine::{self, Fingerprint},
    refusal::{Refusal, RefusalKind},
    run::Run,
    view::{Standing, Target},
};

/// Pause before a marked request looks at all targets again.
const APART_PAUSE: Duration = Duration::from_millis(20);
/// Looks at an engine that broke a run, and the pause between them: one that
/// is ending may still accept a connection.
const LOOKS: (u32, Duration) = (5, Duration::from_millis(40));

/// Where one request may not run now.
#[derive(Default)]
pub(crate) struct Skipped {
    /// Targets that had a run of it.
    pub tried: Vec<Box<str>>,
    /// Targets where another marked request is on trial.
    apart: Vec<Box<str>>,
}

impl Skipped {
    /// All targets at which the request should not be placed.
    pub fn targets(&self, entry: &Entry, print: &Fingerprint, service: &str) -> Vec<Box<str>> {
        let left_out = quarantine::left_out(entry, print, service);
        [self.tried.as_slice(), &self.apart, &left_out].concat()
    }

    /// Leaves out a target where another marked request is on trial. Once no
    /// target is left, all may be tried again after a pause.
    ///
    /// # Errors
    /// The request has waited too long since it was to be placed at `since`:
    /// one whose run was lost arrived long before.
    pub async fn stay_apart(
        &mut self,
        entry: &Entry,
        print: &Fingerprint,
        service: &str,
        target: Box<str>,
        since: BootTime,
    ) -> Result<(), Refusal> {
        let queue_timeout = entry.settings.timing.queue_timeout;
        if clock::now().saturating_sub(since) > queue_timeout {
            let message = "no target is free to run this request apart from others";
            return Err(Refusal::not_run(RefusalKind::NoRoom, message));
        }
        self.apart.push(target);
        let skipped = self.targets(entry, print, service);
        let view = entry.view.load();
        let mut others = view.targets_of(service).iter();
        let is_open =
            |t: &Arc<Target>| t.standing == Standing::Serving && !skipped.contains(&t.name);
        if !others.any(is_open) {
            self.apart.clear();
        }
        drop(view);
        tokio::time::sleep(APART_PAUSE).await;
        Ok(())
    }
}

/// The refusal of a request that is kept out.
pub(crate) fn kept_out() -> Refusal {
    let message = "this request crashed two targets and is kept out for a while";
    Refusal::not_run(RefusalKind::Quarantined, message)
}

/// Refuses a request that is kept out.
///
/// # Errors
/// It is kept out.
pub(crate) fn admit(entry: &Entry, print: &Fingerprint) -> Result<(), Refusal> {
    let is_kept_out = entry.quarantine.lock().is_kept_out(print, clock::now());
    if is_kept_out { Err(kept_out()) } else { Ok(()) }
}

/// Whether a request that has begun at `target` should not run there, since it
/// was marked after its targets were looked at.
pub(crate) fn is_left_out(entry: &Entry, print: &Fingerprint, service: &str, target: &str) -> bool {
    let left_out = quarantine::left_out(entry, print, service);
    left_out.iter().any(|name| **name == *target)
}

/// Whether a request may only run apart from other marked ones.
pub(crate) fn is_marked(entry: &Entry, print: &Fingerprint) -> bool {
    entry.quarantine.lock().is_marked(print, clock::now())
}

/// Learns from a run that was whole.
pub(crate) async fn on_whole(entry: &Entry, run: &mut Run) {
    if let Some(in_flight) = run.in_flight.take() {
        quarantine::tell(entry, in_flight.whole()).await;
    }
}

/// Learns from a run that was lost; the other daemons hear of a crash before
/// the caller does.
pub(crate) async fn on_lost(entry: &Entry, run: &mut Run, error: &EngineError) {
    if error.is_not_run() && !run.was_sent() {
        return;
    }
    if is_gone(entry, &run.target.address, error).await
        && let Some(in_flight) = run.in_flight.take()
    {
        quarantine::tell(entry, in_flight.crashed()).await;
    }
}

/// Whether the engine that broke a run has certainly ended: it refuses
/// connections, or it started anew and does not have the run.
async fn is_gone(entry: &Entry, address: &str, error: &EngineError) -> bool {
    for _ in 0..LOOKS.0 {
        match entry.engines.load(address).await {
            Err(EngineError::Call { source }) if source.is_unsent() => return true,
            Ok(_) => return matches!(error, EngineError::Gone { .. }),
            Err(_) => tokio::time::sleep(LOOKS.1).await,
        }
    }
    false
}
