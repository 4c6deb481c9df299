//! Selects the daemon that reads the store for each zone, and aggregates the load
//! of all daemons.
//!
//! Load pattern: every call to the store is charged, and its rate limits grow
//! more slowly than the fleet, so one daemon of a zone reads for the whole zone.
//! The other daemons query it several times a second. An answer carries the age of
//! the sender's configuration, counted from the send time of the newest read that
//! confirmed the configuration. The querying daemon counts that age back from
//! the time of its query, so that neither network delay nor a pause of either process
//! makes the age look lower than it is.
//!
//! The zone reader of a daemon is the best-ranked daemon of its zone that ranks above it
//! and answers its queries. A daemon without a zone reader leads the zone: it reads the
//! store unless a higher-ranked zone supplies the changes, and it exchanges changes and
//! load with the leaders of other zones.
//!
//! A daemon whose configuration gets old all the same reads for itself, whatever its rank; see
//! `fallback_read`. If that succeeds, it reads for others for a while and says so to them, and
//! they query it too.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use super::{
    fallback_read::{ConfigBound, FallbackReads, Rank},
    load::Work,
    model::ZoneName,
    peer_wire::{Incarnation, ServiceSendCounts, TargetKey, TargetWork, WorkReport, ZoneLoad},
    send_budget::SendCounts,
    start::Start,
};
use crate::{cell, clock::BootTime, log::shown};

/// Interval between a daemon's queries to its zone reader. State that depends on time,
/// such as the load of silent daemons, is updated at the same interval.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between queries to daemons of other zones, which also carry the load of
/// the sender's zone; traffic between regions is charged by the byte.
pub const REMOTE_QUERY_INTERVAL: Duration = Duration::from_millis(300);
/// Longest interval between two reports of a daemon's running work. It bounds the age
/// of the load of the zone's other daemons when a target is chosen. A change of the
/// prompts to prefill is reported at once, since an engine prefills a prompt in about
/// the same time.
pub const REPORT_PERIOD: Duration = Duration::from_millis(400);
/// Silence after which a zone reader is replaced: the time of two queries and a round
/// trip between regions.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// How long a daemon waits for a higher-ranked daemon that sends datagrams but answers
/// no queries: the time of several queries. A network path may work in one direction
/// only.
const ANSWER_WAIT: Duration = Duration::from_millis(1_500);
/// How long changes are still forwarded to a silent daemon: five of its reports of
/// running work may be lost.
const FOLLOWER_EXPIRY: Duration = Duration::from_secs(2);
/// How long a daemon that said that it reads for others is queried: it says so every 400 ms.
const SOURCE_EXPIRY: Duration = Duration::from_millis(1_200);
/// Maximum number of such daemons that one daemon queries.
const MAX_SOURCES: usize = 2;
/// How long the load of a silent daemon counts: three of its reports may be lost.
const WORK_EXPIRY: Duration = Duration::from_millis(1_500);
/// How long a silent daemon counts as one that shares budgets: a paused process
/// may still use its share when it resumes.
const MEMBER_EXPIRY: Duration = Duration::from_secs(10);

/// Name of a daemon.
pub type DaemonName = Box<str>;

/// Address and zone of a daemon, from the store's list or from its datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonInfo {
    /// Address at which the daemon receives datagrams and serves fetches.
    pub address: SocketAddr,
    /// Availability zone of the daemon.
    pub zone: ZoneName,
}

/// The newest messages of one other daemon.
#[derive(Clone, Debug)]
struct PeerState {
    incarnation: Incarnation,
    /// Time of the last datagram.
    last_datagram_at: BootTime,
    /// Time of the last answer to a query; `None` if there was none.
    answered_at: Option<BootTime>,
    /// Time of the last answer with a configuration age low enough to rely on; `None`
    /// if there was none.
    reliable_answer_at: Option<BootTime>,
    /// Whether the last answer said that the daemon's reads of the store fail, or that
    /// its configuration was never confirmed.
    is_store_down: bool,
    /// Time at which the daemon last said that it reads the store for others because their
    /// zone readers do not; `None` if it never did.
    source_at: Option<BootTime>,
    /// Work of this daemon alone.
    work: TargetWork,
    /// Sends of this daemon alone.
    sends: ServiceSendCounts,
    /// Load of its zone and the time of the report; set for leaders of other zones.
    zone_report: Option<(BootTime, ZoneLoad)>,
    /// Load of all other zones and the time of the report; set for leaders of this
    /// daemon's zone.
    remote_report: Option<(BootTime, ZoneLoad)>,
}

/// The state of the other daemons, as known to this one.
#[derive(Clone, Debug)]
pub struct Peers {
    name: DaemonName,
    zone: ZoneName,
    listed: BTreeMap<DaemonName, DaemonInfo>,
    /// Number of changes of these.
    list_changes: u64,
    states: HashMap<DaemonName, PeerState>,
    /// Start of this daemon, at which it began to look for a zone reader.
    start: Start,
    /// Time of the newest read of the store's list; `None` before the first one.
    list_read_at: Option<BootTime>,
    /// Reads of this daemon for itself.
    fallback: FallbackReads,
}

impl Peers {
    /// Creates the state of a daemon that knows no other daemon yet.
    #[must_use]
    pub fn new(name: impl Into<Box<str>>, zone: impl Into<Box<str>>, now: BootTime) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            listed: BTreeMap::new(),
            list_changes: 0,
            states: HashMap::new(),
            start: Start::new(now, false),
            list_read_at: None,
            fallback: FallbackReads::default(),
        }
    }

    /// Sets the time within which a change of the configuration has to be in force.
    #[must_use]
    pub fn with_config_bound(mut self, bound: ConfigBound) -> Self {
        self.fallback = FallbackReads::new(bound);
        self
    }

    /// Returns the reads of this daemon for itself.
    #[must_use]
    pub fn fallback(&self) -> &FallbackReads {
        &self.fallback
    }

    /// Records that the settings name other daemons to ask at the start.
    #[must_use]
    pub fn with_seeds(mut self) -> Self {
        self.start.has_seeds = true;
        self
    }

    /// Adds the daemons that the store lists.
    pub fn add_listed(
        &mut self,
        daemons: impl IntoIterator<Item = (DaemonName, DaemonInfo)>,
        now: BootTime,
    ) {
        self.list_read_at = Some(now);
        let (mut names_this, mut names_others) = (false, false);
        for (name, info) in daemons {
            if name == self.name {
                names_this = true;
            } else {
                names_others = true;
                self.put_listed(name, info);
            }
        }
        self.start.record_list(names_this, names_others, now);
    }

    fn put_listed(&mut self, name: DaemonName, info: DaemonInfo) {
        if self.listed.get(&name) != Some(&info) {
            self.list_changes += 1;
            self.listed.insert(name, info);
        }
    }

    /// Returns the other daemons that are listed.
    pub fn listed(&self) -> impl Iterator<Item = (&DaemonName, &DaemonInfo)> {
        self.listed.iter()
    }

    /// Returns how often these have changed.
    #[must_use]
    pub fn list_changes(&self) -> u64 {
        self.list_changes
    }

    /// Returns the names of all listed daemons, this one included; none before the
    /// store's list has been read.
    #[must_use]
    pub fn daemon_names(&self) -> Vec<DaemonName> {
        if self.list_read_at.is_none() {
            return Vec::new();
        }
        self.listed.keys().chain([&self.name]).cloned().collect()
    }

    /// Returns whether the store's list is known and relied on.
    #[must_use]
    pub fn has_list(&self) -> bool {
        self.start.has_list()
    }

    /// Records a datagram of another daemon. Returns `false` if the datagram is to be
    /// ignored, because it comes from an older incarnation or has this daemon's own
    /// name as its sender.
    ///
    /// Once an incarnation has been silent for a while, one that seems older is
    /// accepted, since the wall clock may have been set back.
    pub fn record_datagram(
        &mut self,
        name: &str,
        info: DaemonInfo,
        incarnation: Incarnation,
        now: BootTime,
    ) -> bool {
        if *name == *self.name {
            return false;
        }
        let last = self.states.get(name);
        let is_old = |state: &PeerState| {
            incarnation < state.incarnation
                && now.saturating_sub(state.last_datagram_at) < WORK_EXPIRY
        };
        if last.is_some_and(is_old) {
            return false;
        }
        if self.listed.get(name) != Some(&info) {
            log::info!(
                "event=daemon name={name} zone={} address={}",
                shown(&info.zone),
                info.address,
                name = shown(&name)
            );
            self.put_listed(name.into(), info);
        }
        let state = self.states.entry(name.into()).or_insert_with(|| PeerState {
            incarnation,
            last_datagram_at: now,
            answered_at: None,
            reliable_answer_at: None,
            is_store_down: false,
            source_at: None,
            work: TargetWork::new(),
            sends: ServiceSendCounts::new(),
            zone_report: None,
            remote_report: None,
        });
        state.incarnation = incarnation;
        state.last_datagram_at = now;
        true
    }

    /// Records a query, with the load of its sender's zone if that is another zone.
    pub fn record_query(&mut self, name: &str, zone: Option<ZoneLoad>, now: BootTime) {
        if let Some(state) = self.states.get_mut(name)
            && let Some(zone) = zone
        {
            state.zone_report = Some((now, zone));
        }
    }

    /// Records an answer and the sender's configuration age, which is `None` if its
    /// configuration was never confirmed or its reads of the store fail.
    pub fn record_answer(&mut self, name: &str, config_age: Option<Duration>, now: BootTime) {
        let reliable_age = self.fallback.bound().reliable_age();
        if let Some(state) = self.states.get_mut(name) {
            state.answered_at = Some(now);
            state.is_store_down = config_age.is_none();
            if config_age.is_some_and(|age| age < reliable_age) {
                state.reliable_answer_at = Some(now);
            }
        }
    }

    /// Records that another daemon reads the store for others.
    pub fn record_source(&mut self, name: &str, now: BootTime) {
        if let Some(state) = self.states.get_mut(name) {
            state.source_at = Some(now);
        }
    }

    /// Records the outcome of a read of the configuration by this daemon.
    pub fn record_config_read(&mut self, succeeded: bool, now: BootTime) {
        self.fallback.record(succeeded, now);
    }

    /// Begins to read the store for others after a read of this daemon for itself, unless
    /// another daemon that reads for it can be relied on.
    pub fn begin_term(&mut self, now: BootTime) {
        if !self.has_reliable_reader(now) {
            self.fallback.begin_term(now);
        }
    }

    /// Goes on reading for others as long as no other daemon that reads for this one can be relied
    /// on.
    pub fn extend_term(&mut self, now: BootTime) {
        if !self.has_reliable_reader(now) {
            self.fallback.extend_term(now);
        }
    }

    /// Returns whether the zone reader, or that of a higher-ranked zone for the leader of a zone,
    /// can be relied on.
    fn has_reliable_reader(&self, now: BootTime) -> bool {
        match self.zone_reader(now) {
            Some(name) => self.answers_reliably(name, now),
            None => self.has_remote_source(now),
        }
    }

    /// Records the running work that another daemon of this daemon's zone reports.
    pub fn record_work_report(&mut self, name: &str, report: WorkReport) {
        if let Some(state) = self.states.get_mut(name) {
            state.work = report.sender_work;
            state.sends = report.sends;
        }
    }

    /// Records the load of all other zones as the leader of this daemon's zone reports it.
    pub fn record_other_zones(&mut self, name: &str, load: ZoneLoad, now: BootTime) {
        if let Some(state) = self.states.get_mut(name) {
            state.remote_report = Some((now, load));
        }
    }

    /// Returns the daemons of a zone without this one, with their scores,
    /// highest score first.
    fn ranked(&self, zone: &str) -> Vec<(u64, &str)> {
        let of_zone = self.listed.iter().filter(|(_, l)| *l.zone == *zone);
        let mut ranked: Vec<_> = of_zone
            .map(|(name, _)| (cell::score(zone, name), &**name))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked
    }

    /// Returns the daemons of this daemon's zone that rank above it, best first.
    fn higher_ranked(&self) -> Vec<&str> {
        let own = cell::score(&self.zone, &self.name);
        let ranked = self.ranked(&self.zone);
        let higher_ranked = ranked.into_iter().filter(|(score, _)| *score > own);
        higher_ranked.map(|(_, name)| name).collect()
    }

    /// Returns whether a daemon has answered a query recently.
    fn answers(&self, name: &str, now: BootTime) -> bool {
        let answered = self.states.get(name).and_then(|state| state.answered_at);
        answered.is_some_and(|at| now.saturating_sub(at) < SILENT_AFTER)
    }

    /// Returns the zone reader of this daemon: the best-ranked daemon of the zone
    /// that answers queries. Returns `None` if no daemon that ranks above this one does.
    #[must_use]
    pub fn zone_reader(&self, now: BootTime) -> Option<&str> {
        self.higher_ranked()
            .into_iter()
            .find(|name| self.answers(name, now))
    }

    /// Returns the address of the zone reader, if there is one.
    #[must_use]
    pub fn zone_reader_address(&self, now: BootTime) -> Option<SocketAddr> {
        let listed = self.listed.get(self.zone_reader(now)?);
        listed.map(|listed| listed.address)
    }

    /// Returns whether a higher-ranked daemon of this daemon's zone is likely to answer
    /// soon: one has sent a datagram recently, and this daemon has not waited too long for an
    /// answer. When a zone reader falls silent, the next best takes over, and the rest of
    /// the zone neither calls the store nor queries other zones.
    fn has_likely_zone_reader(&self, now: BootTime) -> bool {
        let higher_ranked = self.higher_ranked();
        let states = higher_ranked
            .iter()
            .filter_map(|name| self.states.get(*name));
        let last_answer = states.clone().filter_map(|state| state.answered_at).max();
        let unanswered = now.saturating_sub(last_answer.unwrap_or(self.start.began));
        let mut silences = states.map(|state| now.saturating_sub(state.last_datagram_at));
        unanswered < ANSWER_WAIT && silences.any(|silence| silence < SILENT_AFTER)
    }

    /// Returns whether a daemon of a higher-ranked zone has recently given a reliable
    /// answer. The ranks keep two zones from relying on each other.
    fn has_remote_source(&self, now: BootTime) -> bool {
        let own = zone_rank(&self.zone);
        let mut listed = self.listed.iter();
        listed.any(|(name, l)| zone_rank(&l.zone) > own && self.answers_reliably(name, now))
    }

    /// Returns whether a daemon has recently given a reliable answer.
    fn answers_reliably(&self, name: &str, now: BootTime) -> bool {
        let state = self.states.get(name);
        let answered = state.and_then(|state| state.reliable_answer_at);
        answered.is_some_and(|at| now.saturating_sub(at) < SILENT_AFTER)
    }

    /// Returns the daemons that have recently said that they read for others, those of this
    /// daemon's zone first.
    fn sources(&self, now: BootTime) -> Vec<&str> {
        let is_recent = |state: &PeerState| {
            let at = state.source_at;
            at.is_some_and(|at| now.saturating_sub(at) < SOURCE_EXPIRY)
        };
        let sources = self.states.iter().filter(|(_, state)| is_recent(state));
        let listed = sources.filter_map(|(name, _)| self.listed.get_key_value(name));
        let mut sources: Vec<_> = listed
            .map(|(name, info)| {
                let is_in_zone = info.zone == self.zone;
                (is_in_zone, cell::score(&info.zone, name), &**name)
            })
            .collect();
        sources.sort_unstable_by(|a, b| b.cmp(a));
        let best = sources.into_iter().take(MAX_SOURCES);
        best.map(|(_, _, name)| name).collect()
    }

    /// Returns whether a daemon of this daemon's zone that ranks above it reads for others.
    fn has_better_source(&self, now: BootTime) -> bool {
        let sources = self.sources(now);
        let higher_ranked = self.higher_ranked();
        let mut better = sources.iter().filter(|name| higher_ranked.contains(*name));
        better.any(|name| self.answers_reliably(name, now))
    }

    /// Returns whether this daemon has to read the store, given the age of its own
    /// configuration; `None` if it was never confirmed.
    ///
    /// It has to if no other daemon reads for it, neither in its zone nor in a
    /// higher-ranked one, and whenever its own configuration has not been confirmed for a while.
    #[must_use]
    pub fn is_reader(&self, config_age: Option<Duration>, now: BootTime) -> bool {
        let due = self.config_read_due(config_age, now);
        self.follows_store(now) || due.is_some_and(|due| due <= now)
    }

    /// Returns whether this daemon follows all topics of the store, because no other daemon
    /// reads for it or because it reads for others.
    #[must_use]
    pub fn follows_store(&self, now: BootTime) -> bool {
        if self.start.waits(self.is_first(), now) {
            return false;
        }
        let leads = self.is_zone_leader(now) && !self.has_remote_source(now);
        leads || (self.fallback.is_in_term(now) && !self.has_better_source(now))
    }

    /// Returns whether a cheap call is to precede this daemon's read for itself.
    #[must_use]
    pub fn probes_first(&self) -> bool {
        self.fallback.probes_first(self.rank())
    }

    fn rank(&self) -> Rank {
        let (own, in_zone) = (cell::score(&self.zone, &self.name), self.ranked(&self.zone));
        Rank {
            position: in_zone.iter().filter(|(score, _)| *score > own).count(),
            daemons: in_zone.len() + 1,
        }
    }

    /// Returns when this daemon reads the configuration for itself unless it is confirmed until
    /// then; `None` while it has just started.
    #[must_use]
    pub fn config_read_due(&self, config_age: Option<Duration>, now: BootTime) -> Option<BootTime> {
        if self.start.waits(self.is_first(), now) {
            return None;
        }
        let rank = self.rank();
        let reader = self.zone_reader(now).and_then(|name| self.states.get(name));
        let reader_fails = reader.is_some_and(|state| state.is_store_down);
        Some(match config_age {
            Some(age) => {
                let confirmed_at = now.saturating_sub(age);
                self.fallback.next_read(confirmed_at, rank, reader_fails)
            }
            None => self.fallback.first_read(self.start.began, rank),
        })
    }

    /// Returns whether no known daemon ranks above this one, in its zone or in a
    /// higher-ranked one.
    fn is_first(&self) -> bool {
        let own = zone_rank(&self.zone);
        self.higher_ranked().is_empty() && self.listed.values().all(|l| zone_rank(&l.zone) <= own)
    }

    /// Returns how many daemons are to write to the store before this one, if all of them have
    /// the same to write: the leaders of zones come first, that of the highest-ranked zone before
    /// the others. Daemons that are not heard do not count, as far as this daemon would hear them.
    /// Two daemons may have the same number.
    #[must_use]
    pub fn writer_rank(&self, now: BootTime) -> u32 {
        let is_heard = |name: &str| {
            let state = self.states.get(name);
            state.is_some_and(|s| now.saturating_sub(s.last_datagram_at) < FOLLOWER_EXPIRY)
        };
        let higher_ranked = self.higher_ranked();
        let position = higher_ranked.iter().filter(|name| is_heard(name)).count();
        // Only leaders of zones hear daemons of other zones.
        let hears_zones = self.is_zone_leader(now);
        let zones: BTreeSet<&str> = self.listed.values().map(|l| &*l.zone).collect();
        let own = zone_rank(&self.zone);
        let is_before = |zone: &&&str| {
            let in_zone = self.listed.iter().filter(|(_, l)| *l.zone == ***zone);
            let mut in_zone = in_zone.map(|(name, _)| name);
            zone_rank(zone) > own && (!hears_zones || in_zone.any(|name| is_heard(name)))
        };
        let zones_before = zones.iter().filter(is_before).count();
        let zone_count = zones.len().max(1);
        u32::try_from(position * zone_count + zones_before).unwrap_or(u32::MAX)
    }

    /// Returns whether this daemon obtains the changes for its zone, from the store or
    /// from daemons of other zones.
    #[must_use]
    pub fn is_zone_leader(&self, now: BootTime) -> bool {
        self.zone_reader(now).is_none() && !self.has_likely_zone_reader(now)
    }

    /// Returns the daemons of this daemon's zone to query now: the zone reader and all
    /// that rank above it, or, without a zone reader, all that rank above this daemon.
    #[must_use]
    pub fn zone_peers_to_query(&self, now: BootTime) -> Vec<SocketAddr> {
        let higher_ranked = self.higher_ranked();
        let reader = higher_ranked
            .iter()
            .position(|name| self.answers(name, now));
        // A daemon that ranks above the zone reader may have recovered.
        let query_count = reader.map_or(higher_ranked.len(), |at| at + 1);
        self.addresses(&higher_ranked[..query_count])
    }

    /// Returns the daemons to query besides because they read for others.
    #[must_use]
    pub fn sources_to_query(&self, now: BootTime) -> Vec<SocketAddr> {
        self.addresses(&self.sources(now))
    }

    /// Returns the daemons of other zones to query when this daemon leads its own zone:
    /// in each zone the best-ranked one that answers and all that rank above it, or, if
    /// none answers, the best two.
    #[must_use]
    pub fn remote_peers_to_query(&self, now: BootTime) -> Vec<SocketAddr> {
        let mut zones: Vec<&str> = self.listed.values().map(|l| &*l.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let mut to_query = Vec::new();
        for zone in zones.into_iter().filter(|z| **z != *self.zone) {
            let ranked: Vec<&str> = self.ranked(zone).into_iter().map(|(_, n)| n).collect();
            let answering = ranked.iter().position(|name| self.answers(name, now));
            let end = answering.map_or(ranked.len().min(2), |at| at + 1);
            to_query.extend(self.addresses(&ranked[..end]));
        }
        to_query
    }

    fn addresses(&self, names: &[&str]) -> Vec<SocketAddr> {
        names
            .iter()
            .map(|name| self.listed[*name].address)
            .collect()
    }

    /// Returns the addresses of the daemons of this daemon's zone that sent a datagram
    /// recently. Shortly after the list was read, daemons that never sent one are included:
    /// two daemons that query only a third one would otherwise exchange no reports.
    #[must_use]
    pub fn zone_peers(&self, now: BootTime) -> Vec<SocketAddr> {
        let is_recent = |at: BootTime| now.saturating_sub(at) < FOLLOWER_EXPIRY;
        let is_list_new = self.list_read_at.is_some_and(is_recent);
        let in_zone = self.listed.iter().filter(|(_, l)| l.zone == self.zone);
        let reachable = in_zone.filter(|(name, _)| {
            let state = self.states.get(*name);
            state.map_or(is_list_new, |state| is_recent(state.last_datagram_at))
        });
        reachable.map(|(_, l)| l.address).collect()
    }

    /// Returns the addresses to which changes are forwarded: daemons of this daemon's
    /// zone and leaders of other zones that sent a datagram recently.
    #[must_use]
    pub fn followers(&self, now: BootTime) -> Vec<SocketAddr> {
        let recent = self
            .states
            .iter()
            .filter(|(_, state)| now.saturating_sub(state.last_datagram_at) < FOLLOWER_EXPIRY);
        let listed = recent.filter_map(|(name, _)| self.listed.get(name));
        listed.map(|l| l.address).collect()
    }

    /// Returns the states of the other daemons of this daemon's zone that sent a datagram
    /// recently.
    fn zone_states(&self, now: BootTime) -> impl Iterator<Item = &PeerState> {
        self.states.iter().filter_map(move |(name, state)| {
            let is_fresh = now.saturating_sub(state.last_datagram_at) < WORK_EXPIRY;
            let is_in_zone = self.listed.get(name).is_some_and(|l| l.zone == self.zone);
            (is_fresh && is_in_zone).then_some(state)
        })
    }

    /// Returns the load of this daemon's whole zone, given the daemon's own work and
    /// sends.
    #[must_use]
    pub fn zone_load(
        &self,
        own: &TargetWork,
        sends: &ServiceSendCounts,
        now: BootTime,
    ) -> ZoneLoad {
        let work = self.zone_states(now).map(|state| &state.work);
        let sent = self.zone_states(now).map(|state| &state.sends);
        ZoneLoad {
            work: sum_work(work.chain([own])),
            sends: sum_sends(sent.chain([sends])),
            daemons: self.zone_daemon_count(now),
        }
    }

    /// Returns the load of all other zones as their leaders reported it to this daemon.
    #[must_use]
    pub fn reported_remote_load(&self, now: BootTime) -> ZoneLoad {
        let newest = self.states.iter().filter_map(|(name, state)| {
            let (at, load) = state.zone_report.as_ref()?;
            let zone = &*self.listed.get(name)?.zone;
            (now.saturating_sub(*at) < WORK_EXPIRY).then_some((zone, (*at, load)))
        });
        let mut zones: BTreeMap<&str, (BootTime, &ZoneLoad)> = BTreeMap::new();
        for (zone, report) in newest {
            let known = zones.entry(zone).or_insert(report);
            if report.0 > known.0 {
                *known = report;
            }
        }
        ZoneLoad {
            work: sum_work(zones.values().map(|(_, report)| &report.work)),
            sends: sum_sends(zones.values().map(|(_, report)| &report.sends)),
            daemons: zones.values().map(|(_, report)| report.daemons).sum(),
        }
    }

    /// Returns the load of all other zones, as reported to this daemon by their leaders
    /// or, if it has a zone reader, by the leader of its own zone.
    fn remote_load(&self, now: BootTime) -> ZoneLoad {
        if self.zone_reader(now).is_none() {
            return self.reported_remote_load(now);
        }
        let reports = self
            .zone_states(now)
            .filter_map(|state| state.remote_report.as_ref());
        let fresh = reports.filter(|(at, _)| now.saturating_sub(*at) < WORK_EXPIRY);
        let newest = fresh.max_by_key(|(at, _)| *at);
        newest.map(|(_, remote)| remote.clone()).unwrap_or_default()
    }

    /// Returns the work and the sends of all other daemons.
    #[must_use]
    pub fn other_work_and_sends(&self, now: BootTime) -> (TargetWork, ServiceSendCounts) {
        let remote = self.remote_load(now);
        let work = self.zone_states(now).map(|state| &state.work);
        let sends = self.zone_states(now).map(|state| &state.sends);
        (
            sum_work(work.chain([&remote.work])),
            sum_sends(sends.chain([&remote.sends])),
        )
    }

    /// Returns the sends of the other daemons of this daemon's zone.
    #[must_use]
    pub fn other_zone_sends(&self, now: BootTime) -> ServiceSendCounts {
        sum_sends(self.zone_states(now).map(|state| &state.sends))
    }

    /// Returns the number of daemons in this daemon's zone that may be running, this one
    /// included.
    #[must_use]
    pub fn zone_daemon_count(&self, now: BootTime) -> u16 {
        self.count_listed(now, |l| l.zone == self.zone)
    }

    /// Returns the number of all daemons that may be running, this one included.
    ///
    /// This is the larger of two numbers: the daemons that sent datagrams recently,
    /// and those of its own zone plus those that leaders of other zones report.
    #[must_use]
    pub fn daemon_count(&self, now: BootTime) -> u16 {
        let direct = self.count_listed(now, |_| true);
        direct.max(
            self.zone_daemon_count(now)
                .saturating_add(self.remote_load(now).daemons),
        )
    }

    fn count_listed(&self, now: BootTime, is_in: impl Fn(&DaemonInfo) -> bool) -> u16 {
        // A listed daemon that has sent nothing may still be starting if this daemon
        // started only recently.
        let is_recently_started = now.saturating_sub(self.start.began) < MEMBER_EXPIRY;
        let members = self.listed.iter().filter(|(name, info)| {
            let state = self.states.get(*name);
            let is_alive = state.map_or(is_recently_started, |state| {
                now.saturating_sub(state.last_datagram_at) < MEMBER_EXPIRY
            });
            is_alive && is_in(info)
        });
        u16::try_from(members.count())
            .unwrap_or(u16::MAX)
            .saturating_add(1)
    }
}

/// Returns the rank of a zone; daemons of higher-ranked zones read for the other zones.
fn zone_rank(zone: &str) -> (u64, &str) {
    (cell::score("store", zone), zone)
}

fn sum_work<'a>(all: impl Iterator<Item = &'a TargetWork>) -> TargetWork {
    let mut total: BTreeMap<TargetKey, Work> = BTreeMap::new();
    for (key, work) in all.flatten() {
        total.entry(*key).or_default().add(Some(work));
    }
    total.into_iter().collect()
}

fn sum_sends<'a>(all: impl Iterator<Item = &'a ServiceSendCounts>) -> ServiceSendCounts {
    let mut total: BTreeMap<TargetKey, SendCounts> = BTreeMap::new();
    for (key, counts) in all.flatten() {
        total.entry(*key).or_default().add(*counts);
    }
    total.into_iter().collect()
}
