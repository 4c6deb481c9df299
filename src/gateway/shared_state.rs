//! Shares the control thread's state with the threads that serve traffic.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::sync::{Notify, futures::Notified};

use super::{
    load::Work, model::Fleet, peer_wire::TargetKey, peers::DaemonName, reach::Sibling,
    send_budget::SendCounts,
};
use crate::clock::{self, BootTime};

/// Load and sends of all other daemons, as last reported.
#[derive(Clone, Debug, Default)]
pub struct PeerLoad {
    /// Work of the other daemons, by target.
    pub work: HashMap<TargetKey, Work>,
    /// Sends of the other daemons, by service.
    pub sends: HashMap<TargetKey, SendCounts>,
    /// Sends of the other daemons of this daemon's zone; empty unless a target has a limit.
    pub zone_sends: HashMap<TargetKey, SendCounts>,
}

/// The newest view of the fleet, written by the control thread and read without
/// locks by the threads that serve traffic.
#[derive(Debug, Default)]
pub struct SharedState {
    fleet: ArcSwap<Fleet>,
    /// Send time of the newest read that confirmed the configuration, in milliseconds
    /// since boot; 0 before the first such read.
    config_confirmed_ms: AtomicU64,
    /// Time at which this daemon's newest read of the configuration failed, in milliseconds since
    /// boot; 0 if it succeeded or is under way.
    store_failed_ms: AtomicU64,
    /// Number of daemons that share budgets, this one included.
    daemon_count: AtomicU64,
    /// Load and sends of all other daemons.
    peer_load: ArcSwap<PeerLoad>,
    /// Names of all listed daemons, this one included; empty before the list has been
    /// read.
    daemon_names: ArcSwap<Vec<DaemonName>>,
    /// The other daemons, through which targets may be reached.
    siblings: ArcSwap<Vec<Sibling>>,
    is_stopping: AtomicBool,
    /// Notified when the fleet changes.
    changed: Notify,
}

impl SharedState {
    /// Returns the fleet as last published.
    #[must_use]
    pub fn fleet(&self) -> Arc<Fleet> {
        self.fleet.load_full()
    }

    /// Publishes a new view of the fleet and wakes those that wait in [`Self::changed`].
    pub fn publish(&self, fleet: Fleet) {
        self.fleet.store(Arc::new(fleet));
        self.changed.notify_waiters();
    }

    /// Returns a future that completes when the fleet changes after this call,
    /// even if the change precedes the first poll.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Records that the known configuration includes every change made before `sent`.
    pub fn confirm_config(&self, sent: BootTime) {
        self.config_confirmed_ms
            .fetch_max(clock::millis(sent), Ordering::Relaxed);
    }

    /// Returns the time since the configuration was last confirmed, or `None` before
    /// the first confirmation.
    #[must_use]
    pub fn config_age(&self, now: BootTime) -> Option<Duration> {
        let confirmed = self.config_confirmed_ms.load(Ordering::Relaxed);
        (confirmed > 0).then(|| now.saturating_sub(Duration::from_millis(confirmed)))
    }

    /// Records that this daemon's newest read of the configuration failed at a time, or that it
    /// succeeded.
    pub fn record_store_failure(&self, at: Option<BootTime>) {
        let ms = at.map_or(0, clock::millis);
        self.store_failed_ms.store(ms, Ordering::Relaxed);
    }

    /// Returns the time since this daemon's newest read of the configuration failed; `None` if
    /// it succeeded.
    #[must_use]
    pub fn store_failure_age(&self, now: BootTime) -> Option<Duration> {
        let failed = self.store_failed_ms.load(Ordering::Relaxed);
        (failed > 0).then(|| now.saturating_sub(Duration::from_millis(failed)))
    }

    /// Returns the number of daemons that share budgets, this one included.
    #[must_use]
    pub fn daemon_count(&self) -> usize {
        usize::try_from(self.daemon_count.load(Ordering::Relaxed))
            .unwrap_or(1)
            .max(1)
    }

    /// Records the number of daemons that share budgets.
    pub fn set_daemon_count(&self, count: usize) {
        self.daemon_count.store(count as u64, Ordering::Relaxed);
    }

    /// Returns the names of all listed daemons, this one included; none before the list
    /// has been read.
    #[must_use]
    pub fn daemon_names(&self) -> Arc<Vec<DaemonName>> {
        self.daemon_names.load_full()
    }

    /// Records the names of the listed daemons.
    pub fn set_daemon_names(&self, names: Vec<DaemonName>) {
        self.daemon_names.store(Arc::new(names));
    }

    /// Returns the other daemons, through which targets may be reached.
    #[must_use]
    pub fn siblings(&self) -> Arc<Vec<Sibling>> {
        self.siblings.load_full()
    }

    /// Records the other daemons, through which targets may be reached.
    pub fn set_siblings(&self, siblings: Vec<Sibling>) {
        self.siblings.store(Arc::new(siblings));
    }

    /// Returns the load and sends of all other daemons, as last reported.
    #[must_use]
    pub fn peer_load(&self) -> Arc<PeerLoad> {
        self.peer_load.load_full()
    }

    /// Records the load and sends of all other daemons.
    pub fn set_peer_load(&self, peer_load: PeerLoad) {
        self.peer_load.store(Arc::new(peer_load));
    }

    /// Records that the process was asked to stop.
    pub fn mark_stopping(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process was asked to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }
}
