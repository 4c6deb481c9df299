//! How the control thread follows the platform: as a relay, or through peers.

use std::{net::SocketAddr, sync::Arc};

use tokio::sync::watch;

use crate::{
    clock::BootTime,
    control::{Control, Event, PEER_TIMEOUT},
    feeds::PlatformReader,
    peer::{self, PeerError, Seal},
    platform::{InstanceRole, Object},
    relay::{Contacts, Exchange, Role, choose_relays},
    settings::CutOff,
    spread::page_of,
    wire::{DaemonName, Frame, Heartbeat},
};

/// The name under which all regions choose who writes status objects.
const STATUS_CELL: &str = "status";

/// What the control thread keeps to follow the platform through others.
pub(crate) struct CellLinks {
    /// Bounds the age of what peers say.
    pub exchange: Exchange,
    contacts: Contacts,
    duties: watch::Sender<Duties>,
    fetches: Fetches,
}

/// What this daemon does at the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Duties {
    /// How it follows records and instances.
    pub role: Role,
    /// It writes the status objects of invalid records.
    pub writes_status: bool,
}

/// Fetches from peers: one of each sort at a time.
#[derive(Default)]
struct Fetches {
    records_until: BootTime,
    instances_until: BootTime,
    /// Hashes, the peer's and the own, that a fetch could not make equal.
    settled: Option<(u64, u64)>,
}

impl Default for CellLinks {
    fn default() -> Self {
        Self {
            exchange: Exchange::default(),
            contacts: Contacts::default(),
            duties: watch::channel(Duties::default()).0,
            fetches: Fetches::default(),
        }
    }
}

impl Control {
    /// What the tasks that call the platform need.
    pub(crate) fn platform_reader(&self) -> PlatformReader {
        let peers = self.settings.peers.iter();
        PlatformReader {
            platform: self.platform.clone(),
            events: self.events.clone(),
            view: self.view.clone(),
            duties: self.cell.duties.subscribe(),
            resync: Arc::default(),
            seal: self.seal.clone(),
            peers: peers.filter_map(|p| p.parse().ok()).collect(),
            period: self.settings.timing.platform_poll,
        }
    }

    /// Decides anew whether this daemon reads the platform.
    pub(crate) fn choose_role(&mut self, now: BootTime) {
        let region = &self.settings.region;
        let live: Vec<_> = self.members.live(now).collect();
        // An address that is not listed may not be one to fetch from.
        let cell = live
            .iter()
            .filter(|m| m.heartbeat.region == *region && self.listed_address(&m.id.name).is_some());
        let with_me = |others: Vec<DaemonName>| others.into_iter().chain([self.me.name.clone()]);
        let relays = choose_relays(region, with_me(cell.map(|m| m.id.name.clone()).collect()));
        let all = with_me(live.iter().map(|m| m.id.name.clone()).collect());
        let writers = choose_relays(STATUS_CELL, all);
        let timing = &self.settings.timing;
        let patience = timing.platform_poll + timing.suspect_after;
        let confirmed_at = self.spread.confirmed_at();
        let is_fresh = confirmed_at.is_some_and(|at| now.saturating_sub(at) <= patience);
        let role = if relays.contains(&self.me.name) || !self.spread.has_whole_set() {
            Role::Relay
        } else if is_fresh && self.instances.is_fresh(now, patience * 2) {
            Role::Listener
        } else {
            Role::Fallback
        };
        let duties = Duties {
            role,
            writes_status: writers.first() == Some(&self.me.name),
        };
        let changed = self.cell.duties.send_if_modified(|held| {
            let is_new = *held != duties;
            *held = duties;
            is_new
        });
        if changed {
            log::info!("event=platform_role role={role}");
        }
    }

    /// Takes what a heartbeat says of records and instances.
    pub(crate) fn on_digest(&mut self, from: SocketAddr, said: &Heartbeat, now: BootTime) {
        let is_behind =
            said.revision > self.spread.revision() || said.newest > self.spread.newest();
        let written_after = self
            .cell
            .exchange
            .written_after(self.me.incarnation, said.echo);
        if !is_behind && let Some(at) = written_after.map(|at| at.min(now)) {
            let is_own_region = said.region == self.settings.region;
            self.cell.contacts.on_contact(is_own_region, at);
            self.on_peer_confirmation(said, at);
        }
        let hashes = (said.records_hash, self.spread.hash());
        let is_level =
            said.revision == self.spread.revision() && said.newest == self.spread.newest();
        let differs = is_level && hashes.0 != hashes.1 && self.cell.fetches.settled != Some(hashes);
        // A daemon without records starts from the platform or from a majority,
        // never from the one peer that it happens to hear.
        let may_fetch = self.spread.has_whole_set() && now >= self.cell.fetches.records_until;
        if (is_behind || differs) && may_fetch {
            self.cell.fetches.records_until = now + PEER_TIMEOUT;
            if differs {
                log::warn!(
                    "event=records_differ peer={from} revision={}",
                    said.revision
                );
                self.cell.fetches.settled = Some(hashes);
            }
            // A whole page mends what single changes cannot.
            self.fetch_records(from, if differs { 0 } else { self.spread.revision() });
        }
        if self.instances.is_behind(said, now) && now >= self.cell.fetches.instances_until {
            self.cell.fetches.instances_until = now + PEER_TIMEOUT;
            self.fetch_instances(from);
        }
    }

    fn on_peer_confirmation(&mut self, said: &Heartbeat, written_after: BootTime) {
        let age = said.confirmed_age_ms.map(std::time::Duration::from_millis);
        let confirmed_at = age.and_then(|age| written_after.checked_sub(age));
        if let Some(at) = confirmed_at {
            self.spread.on_confirmed(said.revision, at);
        }
    }

    /// A write through this daemon is in force here and goes to all peers at
    /// once, for the platform may fail before the watch brings it.
    pub(crate) fn on_written(&mut self, object: &Object) {
        self.spread.on_written(object);
        for instance in self.instances.instances.values() {
            let is_peer = instance.role == InstanceRole::Daemon && instance.name != self.me.name;
            if let (true, Ok(to)) = (is_peer, instance.address.parse()) {
                let (seal, page) = (self.seal.clone(), page_of(object));
                tokio::spawn(async move {
                    let sent =
                        peer::ask::<_, Frame>(&seal, to, Frame::Records(page), PEER_TIMEOUT).await;
                    log_failure("push", to, sent.err());
                });
            }
        }
    }

    fn fetch_records(&self, from: SocketAddr, after: u64) {
        let (seal, events): (Seal, _) = (self.seal.clone(), self.events.clone());
        tokio::spawn(async move {
            match peer::ask(&seal, from, Frame::RecordsAfter(after), PEER_TIMEOUT).await {
                Ok(Frame::Records(page)) => drop(events.send(Event::Page(page)).await),
                other => log_failure("fetch_records", from, other.err()),
            }
        });
    }

    fn fetch_instances(&self, from: SocketAddr) {
        let (seal, events) = (self.seal.clone(), self.events.clone());
        tokio::spawn(async move {
            match peer::ask(&seal, from, Frame::InstancesAsk, PEER_TIMEOUT).await {
                Ok(Frame::Instances(page)) => drop(events.send(Event::InstancesPage(page)).await),
                other => log_failure("fetch_instances", from, other.err()),
            }
        });
    }

    /// Peer port of a daemon as the instance list has it.
    pub(crate) fn listed_address(&self, name: &str) -> Option<SocketAddr> {
        let instance = self.instances.instances.get(name);
        let daemon = instance.filter(|i| i.role == InstanceRole::Daemon);
        daemon.and_then(|i| i.address.parse().ok())
    }

    /// Where a daemon is reached: as listed, or where it was heard from. One
    /// that started while the platform was down is not listed yet.
    pub(crate) fn address_of(&self, name: &str, now: BootTime) -> Option<SocketAddr> {
        let heard = || self.members.live(now).find(|m| &*m.id.name == name);
        self.listed_address(name)
            .or_else(|| heard().map(|m| m.address))
    }

    /// Listed daemons; then those that are heard but not listed, and those of
    /// the settings, which matter while the platform is down.
    pub(crate) fn heartbeat_receivers(
        &self,
        now: BootTime,
    ) -> Vec<(Option<DaemonName>, SocketAddr)> {
        let listed = self.instances.instances.values();
        let listed = listed.filter(|i| i.role == InstanceRole::Daemon && i.name != self.me.name);
        let mut to: Vec<(Option<DaemonName>, SocketAddr)> = listed
            .filter_map(|i| Some((Some(i.name.clone()), i.address.parse().ok()?)))
            .collect();
        for member in self.members.live(now) {
            if self.listed_address(&member.id.name).is_none() {
                to.push((Some(member.id.name.clone()), member.address));
            }
        }
        let known: Vec<SocketAddr> = to.iter().map(|(_, address)| *address).collect();
        let seeds = self.settings.peers.iter().filter_map(|p| p.parse().ok());
        to.extend(seeds.filter(|a| !known.contains(a)).map(|a| (None, a)));
        to
    }

    /// The moment as of which this daemon knows the configuration to be
    /// current: the platform confirmed it, or, with the platform out of reach
    /// for all, a peer that shows that the cell is not cut off is not ahead.
    pub(crate) fn current_as_of(&self) -> Option<BootTime> {
        let zones = &self.spread.snapshot().zones;
        let region_of = |zone: &str| zones.get(zone).map(|z| &z.region);
        let mut daemons = self.instances.instances.values();
        let has_other_regions = daemons.any(|i| {
            i.role == InstanceRole::Daemon
                && region_of(&i.zone).is_some_and(|r| *r != self.settings.region)
        });
        let is_strict = self.settings.cut_off == CutOff::Refuse && has_other_regions;
        let contact = self.cell.contacts.at(is_strict);
        let contact = contact.filter(|_| self.spread.has_whole_set());
        self.spread.confirmed_at().max(contact)
    }

    /// Whether it holds a configuration that is current enough for new work.
    pub(crate) fn can_serve(&self, now: BootTime) -> bool {
        let stale_after = self.settings.timing.stale_after;
        let as_of = self.current_as_of();
        let is_current = as_of.is_some_and(|at| now.saturating_sub(at) <= stale_after);
        let serves_on = self.settings.cut_off == CutOff::Serve;
        self.spread.has_whole_set() && (is_current || serves_on)
    }
}

fn log_failure(step: &str, peer: SocketAddr, error: Option<PeerError>) {
    match error {
        Some(e) => log::debug!(
            "event=peer_call_failed step={step} peer={peer} error={:?}",
            e.to_string()
        ),
        None => log::debug!("event=peer_call_ended step={step} peer={peer}"),
    }
}
