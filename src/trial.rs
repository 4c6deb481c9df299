//! Applies the quarantine to generations: decides where a request may run, and
//! reports to the quarantine how each run ended.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::{self, BootTime},
    engine::EngineError,
    entry::ServerState,
    quarantine::{self, Fingerprint},
    refusal::{Refusal, RefusalKind},
    run::Run,
    view::{Target, TargetState},
};

/// Pause before a marked request is placed again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Interval between checks whether a waiting request is quarantined.
const VERDICT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of probes of an engine that broke a run, and the pause after each
/// failed one. A single probe is not enough, since an engine that is exiting
/// may still accept connections.
const PROBES: (u32, Duration) = (5, Duration::from_millis(40));

/// Targets at which a request may not run now.
#[derive(Default)]
pub(crate) struct Skipped {
    /// Targets at which a run of the request was started.
    pub tried: Vec<Box<str>>,
    /// Targets skipped because of a trial that excludes this request.
    on_trial: Vec<Box<str>>,
}

impl Skipped {
    /// Returns all targets at which the request should not be placed.
    pub fn targets(
        &self,
        state: &ServerState,
        fingerprint: &Fingerprint,
        service: &str,
    ) -> Vec<Box<str>> {
        let excluded = quarantine::excluded_targets(state, fingerprint, service);
        [self.tried.as_slice(), &self.on_trial, &excluded].concat()
    }

    /// Skips a target at which a trial excludes this request, and pauses. Once
    /// no target is left, all targets skipped for this reason may be tried
    /// again.
    ///
    /// # Errors
    /// Returns an error if more than the queue timeout has passed since `since`,
    /// the time from which the request waits to be placed. This is not its
    /// arrival, because a request whose run was lost may have arrived long before.
    pub async fn skip_busy(
        &mut self,
        state: &ServerState,
        fingerprint: &Fingerprint,
        service: &str,
        target: Box<str>,
        since: BootTime,
    ) -> Result<(), Refusal> {
        let queue_timeout = state.settings.timing.queue_timeout;
        if clock::now().saturating_sub(since) > queue_timeout {
            let message = "no target is free to run this request apart from others";
            return Err(Refusal::not_run(RefusalKind::NoRoom, message));
        }
        self.on_trial.push(target);
        let skipped = self.targets(state, fingerprint, service);
        let view = state.view.load();
        let mut targets = view.targets_of(service).iter();
        let is_available =
            |t: &Arc<Target>| t.state == TargetState::Serving && !skipped.contains(&t.name);
        if !targets.any(is_available) {
            self.on_trial.clear();
        }
        drop(view);
        tokio::time::sleep(RETRY_PAUSE).await;
        Ok(())
    }
}

/// Returns the refusal of a quarantined request.
pub(crate) fn quarantined_refusal() -> Refusal {
    let message = "this request crashed two targets and is kept out for a while";
    Refusal::not_run(RefusalKind::Quarantined, message)
}

/// Refuses a request that is quarantined.
///
/// # Errors
/// Returns a refusal if the request is quarantined.
pub(crate) fn check_not_quarantined(
    state: &ServerState,
    fingerprint: &Fingerprint,
) -> Result<(), Refusal> {
    let is_quarantined = state
        .quarantine
        .lock()
        .is_quarantined(fingerprint, clock::now());
    if is_quarantined {
        Err(quarantined_refusal())
    } else {
        Ok(())
    }
}

/// Waits until a request is quarantined.
pub(crate) async fn wait_until_quarantined(state: &ServerState, fingerprint: &Fingerprint) {
    while check_not_quarantined(state, fingerprint).is_ok() {
        tokio::time::sleep(VERDICT_POLL_INTERVAL).await;
    }
}

/// Returns whether a request should not run at `target` although it was placed
/// there. This happens if it was marked after the targets were selected.
pub(crate) fn is_excluded(
    state: &ServerState,
    fingerprint: &Fingerprint,
    service: &str,
    target: &str,
) -> bool {
    let excluded = quarantine::excluded_targets(state, fingerprint, service);
    excluded.iter().any(|name| **name == *target)
}

/// Refuses a marked request that finds no target here on which it was not tried
/// yet, because other daemons are the trial daemons of all others.
///
/// # Errors
/// Returns a refusal if the request must be passed on, see [`crate::forward`].
pub(crate) fn check_runs_here(
    state: &ServerState,
    fingerprint: &Fingerprint,
    service: &str,
    tried: &[Box<str>],
) -> Result<(), Refusal> {
    if !is_marked(state, fingerprint) {
        return Ok(());
    }
    let excluded = quarantine::excluded_targets(state, fingerprint, service);
    let view = state.view.load();
    let targets = view.targets_of(service).iter();
    let serving = || targets.clone().filter(|t| t.state == TargetState::Serving);
    let mut own = serving().filter(|t| !excluded.contains(&t.name));
    let is_elsewhere = serving().any(|t| excluded.contains(&t.name));
    if is_elsewhere && own.all(|t| tried.contains(&t.name)) {
        let message = "other daemons run this request apart from others";
        return Err(Refusal::not_run(RefusalKind::NoRoom, message));
    }
    Ok(())
}

/// Returns whether a request is marked, so that it may run only on trial.
pub(crate) fn is_marked(state: &ServerState, fingerprint: &Fingerprint) -> bool {
    state.quarantine.lock().is_marked(fingerprint, clock::now())
}

/// Logs that a marked request found no credit, with the number of targets at which
/// this daemon may run it.
pub(crate) fn log_unplaced(
    state: &ServerState,
    request: &str,
    fingerprint: &Fingerprint,
    service: &str,
) {
    if !is_marked(state, fingerprint) {
        return;
    }
    let excluded = quarantine::excluded_targets(state, fingerprint, service);
    let targets = state.view.load().targets_of(service).len();
    log::info!(
        "event=trial_unplaced request={request} trial_targets={} targets={targets}",
        targets.saturating_sub(excluded.len())
    );
}

/// Ends a run that completed, which removes the mark of its request at all
/// daemons.
pub(crate) async fn on_complete(state: &ServerState, run: &mut Run) {
    if let Some(in_flight) = run.in_flight.take() {
        quarantine::notify_peers(state, in_flight.complete()).await;
    }
}

/// Handles a lost run: if its engine crashed, marks the requests that were in
/// flight there and notifies the other daemons before the caller gets the
/// error.
pub(crate) async fn on_lost(state: &ServerState, run: &mut Run, error: &EngineError) {
    if error.is_not_run() && !run.was_sent() {
        return;
    }
    if has_crashed(state, &run.target.address, error).await
        && let Some(in_flight) = run.in_flight.take()
    {
        quarantine::notify_peers(state, in_flight.on_crash()).await;
    }
}

/// Returns whether the engine that broke a run is taken to have crashed:
/// connecting to it fails, or it has restarted and does not have the run.
async fn has_crashed(state: &ServerState, address: &str, error: &EngineError) -> bool {
    for _ in 0..PROBES.0 {
        match state.engines.load(address).await {
            Err(EngineError::Call { source }) if source.is_unsent() => return true,
            Ok(_) => return matches!(error, EngineError::UnknownGeneration { .. }),
            Err(_) => tokio::time::sleep(PROBES.1).await,
        }
    }
    false
}
