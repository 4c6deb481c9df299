//! What traffic reads of the control thread's state.

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
    extra_sends::SendCounts, load::Work, model::Fleet, peer_wire::TargetKey, peers::DaemonName,
};
use crate::clock::{self, BootTime};

/// What other daemons do, as last heard.
#[derive(Clone, Debug, Default)]
pub struct Others {
    /// Their work, by target.
    pub works: HashMap<TargetKey, Work>,
    /// Their sends, by service.
    pub sends: HashMap<TargetKey, SendCounts>,
}

/// The newest view of the fleet. The control thread writes, traffic reads
/// without locks.
#[derive(Debug, Default)]
pub struct Standing {
    fleet: ArcSwap<Fleet>,
    /// When the read of the configuration was sent that the view stands on, in
    /// milliseconds since boot; 0 before the first.
    config_proof_ms: AtomicU64,
    /// Daemons that share budgets, this one included.
    daemons: AtomicU64,
    /// What all other daemons do.
    others: ArcSwap<Others>,
    /// All daemons that are listed, this one included.
    names: ArcSwap<Vec<DaemonName>>,
    is_stopping: AtomicBool,
    /// Told when the fleet changes.
    changed: Notify,
}

impl Standing {
    /// The fleet as last told.
    #[must_use]
    pub fn fleet(&self) -> Arc<Fleet> {
        self.fleet.load_full()
    }

    /// Publishes a new view.
    pub fn publish(&self, fleet: Fleet) {
        self.fleet.store(Arc::new(fleet));
        self.changed.notify_waiters();
    }

    /// Completes when the fleet changes after this call, also if that is before
    /// it is first polled.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Notes that no change of the configuration before `sent` is missing.
    pub fn prove_config(&self, sent: BootTime) {
        self.config_proof_ms
            .fetch_max(clock::millis(sent), Ordering::Relaxed);
    }

    /// Age of the newest sure read of the configuration.
    #[must_use]
    pub fn config_age(&self, now: BootTime) -> Option<Duration> {
        let proof = self.config_proof_ms.load(Ordering::Relaxed);
        (proof > 0).then(|| now.saturating_sub(Duration::from_millis(proof)))
    }

    /// Daemons that share budgets, this one included.
    #[must_use]
    pub fn daemons(&self) -> usize {
        usize::try_from(self.daemons.load(Ordering::Relaxed))
            .unwrap_or(1)
            .max(1)
    }

    /// Notes how many daemons share budgets.
    pub fn set_daemons(&self, count: usize) {
        self.daemons.store(count as u64, Ordering::Relaxed);
    }

    /// All daemons that are listed, this one included.
    #[must_use]
    pub fn names(&self) -> Arc<Vec<DaemonName>> {
        self.names.load_full()
    }

    /// Notes the daemons that are listed.
    pub fn set_names(&self, names: Vec<DaemonName>) {
        self.names.store(Arc::new(names));
    }

    /// What all other daemons do, as last heard.
    #[must_use]
    pub fn others(&self) -> Arc<Others> {
        self.others.load_full()
    }

    /// Notes what all other daemons do.
    pub fn set_others(&self, others: Others) {
        self.others.store(Arc::new(others));
    }

    /// The process was told to stop.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Whether the process was told to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }
}
