//! The immutable view that the control thread publishes for traffic.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;

use crate::{
    clock::BootTime,
    credits::Credit,
    platform::Revision,
    records::{RecordSet, Snapshot},
    wire::{LoadHint, TargetName},
};

/// Whether a target may take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// It may, as far as credits go.
    Serving,
    /// Operators took its zone out.
    ZoneOut,
    /// It is leaving.
    Leaving,
}

/// One target as traffic sees it.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Instance name.
    pub name: TargetName,
    /// Availability zone it stands in.
    pub zone: Box<str>,
    /// Region of that zone.
    pub region: Box<str>,
    /// Service port.
    pub address: Box<str>,
    /// Whether it may take new work.
    pub standing: Standing,
    /// Credits this daemon holds for it.
    pub credit: Arc<Credit>,
    /// What the engine last reported; it lags.
    pub load: LoadHint,
    /// This daemon reads its load reports.
    pub is_polled: bool,
}

/// A daemon that requests can be forwarded to.
#[derive(Clone, Debug)]
pub(crate) struct PeerDaemon {
    /// Instance name.
    pub name: Box<str>,
    /// Region it stands in.
    pub region: Box<str>,
    /// Peer port.
    pub address: SocketAddr,
    /// Caller port.
    pub caller_address: Box<str>,
    /// Revision of its records in force.
    pub revision: Revision,
    /// Hash of its records in force.
    pub records_hash: u64,
    /// It takes no new work.
    pub is_draining: bool,
}

/// Everything traffic reads.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Records as held, tombstones and faults included.
    pub records: Arc<RecordSet>,
    /// Records in force.
    pub snapshot: Arc<Snapshot>,
    /// Targets by service.
    pub targets: BTreeMap<Box<str>, Vec<Arc<Target>>>,
    /// Live daemons besides this one.
    pub peers: Vec<PeerDaemon>,
    /// When the configuration was last confirmed, directly or through peers.
    pub confirmed_at: Option<BootTime>,
    /// The daemon has a configuration and is not stopping.
    pub is_ready: bool,
}

impl View {
    /// Whether the configuration is too old at `now` for new work.
    pub fn is_stale(&self, now: BootTime, stale_after: Duration) -> bool {
        self.confirmed_at
            .is_none_or(|at| now.saturating_sub(at) > stale_after)
    }

    /// The target of this name, whatever its service.
    pub fn target(&self, name: &str) -> Option<&Arc<Target>> {
        let mut all = self.targets.values().flatten();
        all.find(|target| &*target.name == name)
    }

    /// Targets of one service.
    pub fn targets_of(&self, service: &str) -> &[Arc<Target>] {
        self.targets.get(service).map_or(&[], Vec::as_slice)
    }
}

/// Where the current view stands.
pub(crate) type SharedView = Arc<ArcSwap<View>>;
