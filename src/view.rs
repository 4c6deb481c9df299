//! Defines the immutable view that the control thread publishes for request
//! handling.
//!
//! Requests read the view without locks and never wait for the control thread.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;

use crate::{
    clock::BootTime,
    credits::Credit,
    platform::Revision,
    records::{RecordSet, Snapshot},
    wire::{LoadSummary, TargetName},
};

/// Whether a target may accept new work, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum TargetState {
    /// Accepts new work within its credits.
    Serving,
    /// Accepts no new work, because an operator took its availability zone out of
    /// service.
    ZoneOut,
    /// Accepts no new work, because its instance is leaving.
    Leaving,
}

/// A target, with the state that request handling needs.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Name of the instance.
    pub name: TargetName,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Region of the availability zone.
    pub region: Box<str>,
    /// Address of the service port.
    pub address: Box<str>,
    /// Whether the target may accept new work.
    pub state: TargetState,
    /// Credits this daemon holds for the target.
    pub credit: Arc<Credit>,
    /// Last load report of the engine; it lags behind the actual load.
    pub load: LoadSummary,
    /// Whether this daemon reads the load reports of the target.
    pub is_polled: bool,
}

/// A daemon that requests can be forwarded to.
#[derive(Clone, Debug)]
pub(crate) struct PeerDaemon {
    /// Name of the instance.
    pub name: Box<str>,
    /// Region of the instance.
    pub region: Box<str>,
    /// Address of the peer port.
    pub address: SocketAddr,
    /// Address of the caller port.
    pub caller_address: Box<str>,
    /// Revision of the records in effect at that daemon.
    pub revision: Revision,
    /// Hash of the live records of that daemon.
    pub records_hash: u64,
    /// Whether the daemon is stopping and accepts no new work.
    pub is_draining: bool,
}

/// State of the daemon that request handling reads.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// All records, including tombstones and invalid changes.
    pub records: Arc<RecordSet>,
    /// Records in effect.
    pub snapshot: Arc<Snapshot>,
    /// Targets, keyed by service.
    pub targets: BTreeMap<Box<str>, Vec<Arc<Target>>>,
    /// Live daemons other than this one.
    pub peers: Vec<PeerDaemon>,
    /// Time at which the configuration was last confirmed, by the platform or
    /// through peers; `None` if it never was.
    pub confirmed_at: Option<BootTime>,
    /// Whether the daemon accepts new work and may own targets: it has a
    /// current configuration, the grants of earlier owners have expired, and it
    /// is not stopping.
    pub is_ready: bool,
}

impl View {
    /// Returns whether the configuration was last confirmed more than
    /// `stale_after` before `now`, which is too old for new work.
    pub fn is_stale(&self, now: BootTime, stale_after: Duration) -> bool {
        self.confirmed_at
            .is_none_or(|at| now.saturating_sub(at) > stale_after)
    }

    /// Returns the target with this name, of any service.
    pub fn target(&self, name: &str) -> Option<&Arc<Target>> {
        let mut targets = self.targets.values().flatten();
        targets.find(|target| &*target.name == name)
    }

    /// Returns the targets of a service.
    pub fn targets_of(&self, service: &str) -> &[Arc<Target>] {
        self.targets.get(service).map_or(&[], Vec::as_slice)
    }
}

/// Shared handle to the current view, which is replaced as a whole.
pub(crate) type SharedView = Arc<ArcSwap<View>>;
