//! Lets the control thread follow the platform's records and instances, either
//! directly as a relay or through peers.
//!
//! Heartbeats carry a digest of both. A daemon that is behind a peer, or holds
//! other records at the same revision, fetches from that peer.

use std::{net::SocketAddr, sync::Arc};

use tokio::sync::watch;

use crate::{
    clock::BootTime,
    control::{Control, Event, PEER_TIMEOUT},
    feeds::PlatformContext,
    peer::{self, MessageKey, PeerError},
    platform::{InstanceRole, Object},
    relay::{EchoTracker, PeerContacts, Role, choose_relays},
    settings::CutOff,
    spread::single_change_page,
    wire::{DaemonName, Frame, Heartbeat},
};

/// Rendezvous key by which the daemon that writes the status objects is chosen,
/// among those of all regions.
const STATUS_WRITER_KEY: &str = "status";

/// State of the control thread for following the platform through peers.
pub(crate) struct FollowState {
    /// Tracker that bounds the age of packets from peers.
    pub echoes: EchoTracker,
    contacts: PeerContacts,
    duties: watch::Sender<PlatformDuties>,
    fetch_limits: FetchLimits,
}

/// Work at the platform that is assigned to this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PlatformDuties {
    /// How this daemon follows records and instances.
    pub role: Role,
    /// Whether this daemon writes the status objects of invalid records.
    pub writes_status: bool,
}

/// Limits on fetches from peers, so that at most one of records and one of
/// instances runs at a time.
#[derive(Default)]
struct FetchLimits {
    /// Earliest time of the next fetch of records.
    next_records_at: BootTime,
    /// Earliest time of the next fetch of instances.
    next_instances_at: BootTime,
    /// Hashes of the peer's and of this daemon's records for which a whole page
    /// was last fetched. If the two hashes are still the same after that fetch, it
    /// is not repeated.
    compared: Option<(u64, u64)>,
}

impl Default for FollowState {
    fn default() -> Self {
        Self {
            echoes: EchoTracker::default(),
            contacts: PeerContacts::default(),
            duties: watch::channel(PlatformDuties::default()).0,
            fetch_limits: FetchLimits::default(),
        }
    }
}

impl Control {
    /// Returns the shared state of the tasks that call the platform.
    pub(crate) fn platform_context(&self) -> PlatformContext {
        let peers = self.settings.peers.iter();
        PlatformContext {
            platform: self.platform.clone(),
            events: self.events.clone(),
            view: self.view.clone(),
            duties: self.follow_state.duties.subscribe(),
            watch_reopen: Arc::default(),
            message_key: self.message_key.clone(),
            peers: peers.filter_map(|p| p.parse().ok()).collect(),
            period: self.settings.timing.platform_poll,
        }
    }

    /// Recomputes whether this daemon reads the platform and writes the status
    /// objects.
    pub(crate) fn update_platform_role(&mut self, now: BootTime) {
        let region = &self.settings.region;
        let live: Vec<_> = self.members.live(now).collect();
        // Other daemons may be unable to fetch from a daemon whose address is
        // not listed.
        let region_peers = live
            .iter()
            .filter(|m| m.heartbeat.region == *region && self.listed_address(&m.id.name).is_some());
        let with_self =
            |others: Vec<DaemonName>| others.into_iter().chain([self.own_id.name.clone()]);
        let relays = choose_relays(
            region,
            with_self(region_peers.map(|m| m.id.name.clone()).collect()),
        );
        let all = with_self(live.iter().map(|m| m.id.name.clone()).collect());
        let writers = choose_relays(STATUS_WRITER_KEY, all);
        let timing = &self.settings.timing;
        let max_age = timing.platform_poll + timing.suspect_after;
        let confirmed_at = self.replica.confirmed_at();
        let is_fresh = confirmed_at.is_some_and(|at| now.saturating_sub(at) <= max_age);
        let role = if relays.contains(&self.own_id.name) || !self.replica.has_full_set() {
            Role::Relay
        } else if is_fresh && self.instances.is_fresh(now, max_age * 2) {
            Role::Listener
        } else {
            Role::Fallback
        };
        let duties = PlatformDuties {
            role,
            writes_status: writers.first() == Some(&self.own_id.name),
        };
        let changed = self.follow_state.duties.send_if_modified(|current| {
            let differs = *current != duties;
            *current = duties;
            differs
        });
        if changed {
            log::info!("event=platform_role role={role}");
        }
    }

    /// Compares the digest in a heartbeat with the records and instances held
    /// here, and records a confirmation or fetches what is missing.
    pub(crate) fn sync_from_heartbeat(
        &mut self,
        from: SocketAddr,
        heartbeat: &Heartbeat,
        now: BootTime,
    ) {
        let is_behind = heartbeat.revision > self.replica.revision()
            || heartbeat.newest_revision > self.replica.newest_revision();
        let written_after = self
            .follow_state
            .echoes
            .written_after(self.own_id.incarnation, heartbeat.echo);
        if !is_behind && let Some(at) = written_after.map(|at| at.min(now)) {
            let is_own_region = heartbeat.region == self.settings.region;
            self.follow_state.contacts.on_contact(is_own_region, at);
            self.on_peer_confirmation(heartbeat, at);
        }
        let hashes = (heartbeat.records_hash, self.replica.hash());
        let has_same_revisions = heartbeat.revision == self.replica.revision()
            && heartbeat.newest_revision == self.replica.newest_revision();
        let differs = has_same_revisions
            && hashes.0 != hashes.1
            && self.follow_state.fetch_limits.compared != Some(hashes);
        // A daemon without records starts from the platform or from a majority
        // of the peers, never from a single peer whose heartbeat arrives first.
        let may_fetch =
            self.replica.has_full_set() && now >= self.follow_state.fetch_limits.next_records_at;
        if (is_behind || differs) && may_fetch {
            self.follow_state.fetch_limits.next_records_at = now + PEER_TIMEOUT;
            if differs {
                log::warn!(
                    "event=records_differ peer={from} revision={}",
                    heartbeat.revision
                );
                self.follow_state.fetch_limits.compared = Some(hashes);
            }
            // At equal revisions there are no newer changes to fetch, so only a
            // whole page can remove the difference.
            self.fetch_records(from, if differs { 0 } else { self.replica.revision() });
        }
        if self.instances.on_heartbeat(heartbeat, now)
            && now >= self.follow_state.fetch_limits.next_instances_at
        {
            self.follow_state.fetch_limits.next_instances_at = now + PEER_TIMEOUT;
            self.fetch_instances(from);
        }
    }

    fn on_peer_confirmation(&mut self, heartbeat: &Heartbeat, written_after: BootTime) {
        let age = heartbeat
            .confirmed_age_ms
            .map(std::time::Duration::from_millis);
        let confirmed_at = age.and_then(|age| written_after.checked_sub(age));
        if let Some(at) = confirmed_at {
            self.replica.on_confirmed(heartbeat.revision, at);
        }
    }

    /// Applies a write made through this daemon and pushes it to all listed
    /// daemons at once, since the platform may fail before the watch delivers
    /// it.
    pub(crate) fn on_written(&mut self, object: &Object) {
        self.replica.on_written(object);
        for instance in self.instances.instances.values() {
            let is_peer =
                instance.role == InstanceRole::Daemon && instance.name != self.own_id.name;
            if let (true, Ok(to)) = (is_peer, instance.address.parse()) {
                let (message_key, page) = (self.message_key.clone(), single_change_page(object));
                tokio::spawn(async move {
                    let sent = peer::call_peer::<_, Frame>(
                        &message_key,
                        to,
                        Frame::Records(page),
                        PEER_TIMEOUT,
                    )
                    .await;
                    log_call_end("push", to, sent.err());
                });
            }
        }
    }

    fn fetch_records(&self, from: SocketAddr, after: u64) {
        let (message_key, events): (MessageKey, _) =
            (self.message_key.clone(), self.events.clone());
        tokio::spawn(async move {
            match peer::call_peer(
                &message_key,
                from,
                Frame::RecordsRequest(after),
                PEER_TIMEOUT,
            )
            .await
            {
                Ok(Frame::Records(page)) => drop(events.send(Event::RecordsPage(page)).await),
                other => log_call_end("fetch_records", from, other.err()),
            }
        });
    }

    fn fetch_instances(&self, from: SocketAddr) {
        let (message_key, events) = (self.message_key.clone(), self.events.clone());
        tokio::spawn(async move {
            match peer::call_peer(&message_key, from, Frame::InstancesRequest, PEER_TIMEOUT).await {
                Ok(Frame::Instances(page)) => drop(events.send(Event::InstancesPage(page)).await),
                other => log_call_end("fetch_instances", from, other.err()),
            }
        });
    }

    /// Returns the address of a daemon's peer port in the instance list.
    pub(crate) fn listed_address(&self, name: &str) -> Option<SocketAddr> {
        let instance = self.instances.instances.get(name);
        let daemon = instance.filter(|i| i.role == InstanceRole::Daemon);
        daemon.and_then(|i| i.address.parse().ok())
    }

    /// Returns the address of a daemon: the listed one, or else the address that
    /// sent its heartbeats. A daemon that started while the platform was
    /// down is not listed yet.
    pub(crate) fn peer_address_of(&self, name: &str, now: BootTime) -> Option<SocketAddr> {
        let member = || self.members.live(now).find(|m| &*m.id.name == name);
        self.listed_address(name)
            .or_else(|| member().map(|m| m.address))
    }

    /// Returns the receivers of heartbeats: the listed daemons, the live
    /// members that are not listed, and the addresses in the settings, which
    /// are needed while the platform is down.
    pub(crate) fn heartbeat_receivers(
        &self,
        now: BootTime,
    ) -> Vec<(Option<DaemonName>, SocketAddr)> {
        let listed = self.instances.instances.values();
        let listed =
            listed.filter(|i| i.role == InstanceRole::Daemon && i.name != self.own_id.name);
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

    /// Returns the latest time at which the configuration is known to have been
    /// current.
    ///
    /// At that time, either the platform confirmed it or a peer had no newer one.
    /// Peers count so that daemons can go on while none of them can reach the
    /// platform. If this daemon refuses work when cut off and other regions have
    /// daemons, the peer must be in another region, which shows that this region
    /// as a whole is not cut off.
    pub(crate) fn confirmed_current_at(&self) -> Option<BootTime> {
        let zones = &self.replica.snapshot().zones;
        let region_of = |zone: &str| zones.get(zone).map(|z| &z.region);
        let mut daemons = self.instances.instances.values();
        let has_other_regions = daemons.any(|i| {
            i.role == InstanceRole::Daemon
                && region_of(&i.zone).is_some_and(|r| *r != self.settings.region)
        });
        let needs_other_region = self.settings.cut_off == CutOff::Refuse && has_other_regions;
        let contact = self.follow_state.contacts.last(needs_other_region);
        let contact = contact.filter(|_| self.replica.has_full_set());
        self.replica.confirmed_at().max(contact)
    }

    /// Returns whether this daemon has a configuration that is current enough
    /// to accept new work.
    pub(crate) fn can_serve(&self, now: BootTime) -> bool {
        let stale_after = self.settings.timing.stale_after;
        let as_of = self.confirmed_current_at();
        let is_current = as_of.is_some_and(|at| now.saturating_sub(at) <= stale_after);
        let serves_stale = self.settings.cut_off == CutOff::Serve;
        self.replica.has_full_set() && (is_current || serves_stale)
    }
}

/// Logs the end of a call to a peer; `error` is `None` if the peer answered.
fn log_call_end(step: &str, peer: SocketAddr, error: Option<PeerError>) {
    match error {
        Some(e) => log::debug!(
            "event=peer_call_failed step={step} peer={peer} error={:?}",
            e.to_string()
        ),
        None => log::debug!("event=peer_call_ended step={step} peer={peer}"),
    }
}
