//! Exchanges datagrams and fetches with other daemons, and maintains the list of
//! daemons.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, SystemTime},
};

use rand::seq::IndexedRandom;
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::{Mutex, Notify, Semaphore, mpsc},
    time::MissedTickBehavior,
};

use super::{
    control::{Comparison, Control},
    demand_exchange::FORWARDED_TO,
    feed::{Store, with_timeout},
    model::ZoneName,
    peer_wire::{
        Answer, ConfigStatement, DemandReport, DemandScope, Fetch, Incarnation, Message, Packet,
        Query, Update,
    },
    peers::{DaemonInfo, DaemonName, QUERY_INTERVAL, REMOTE_QUERY_INTERVAL, REPORT_PERIOD},
    rollout_report::RolloutReport,
    rollouts::ReportTo,
};
use crate::{
    clock::{self, BootTime},
    peer::{MessageKey, call_peer, serve_frames},
};

/// Size up to which a datagram is not fragmented on its way; larger messages are
/// shortened where possible.
const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Size of the receive buffer: the largest possible datagram, since a report of work
/// at many targets cannot be shortened enough and arrives in IP fragments.
const RECEIVE_BYTES: usize = 64 * 1_024;
/// Longest wait for complete topics: allows a large configuration over a slow link.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an unanswered query is remembered; after that time the queried
/// daemon counts as silent anyway.
const PENDING_QUERY_EXPIRY: Duration = Duration::from_secs(1);
/// Longest time that a query waits for this daemon's first configuration. Its sender
/// needs an answer in any case, to know that this daemon is there.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(300);
/// Longest wait for the list of daemons; the same as for other calls to the store.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Times after the start, on average, at which the list of daemons is read again. There
/// are several, since the store may answer with a list that is seconds old.
const LIST_DELAYS: [Duration; 3] = [
    Duration::from_millis(1_500),
    Duration::from_secs(4),
    Duration::from_secs(8),
];
/// Interval between later reads of the list, to find daemons that have sent no
/// datagrams to this one.
const LIST_PERIOD: Duration = Duration::from_secs(20);
/// Smallest and largest factor of the times at which the list is read.
const LIST_JITTER: (f64, f64) = (0.7, 1.3);
/// Pause after a failed registration in the list: allows a few attempts before other
/// daemons first need the list.
const REGISTER_PAUSE: Duration = Duration::from_millis(500);
/// Number of ticks from one report of the other zones' load to the next: as often as
/// the leaders of zones exchange it.
const OTHER_ZONES_REPORT_TICKS: u32 = 2;
/// Maximum number of daemons to which one report of speeds is sent, so that it takes about
/// 1 KB/s whatever the number of daemons.
const MAX_SPEED_RECEIVERS: usize = 8;
/// Maximum number of fetches that are answered at the same time. Others wait, so that
/// over a slow link some are complete in time.
const MAX_CONCURRENT_FETCHES: usize = 8;
/// Pause of this process after which datagrams may have waited in the socket. Ages in
/// them would be too short.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Time after such a pause for which reports of ages are ignored. They are repeated.
const PAUSE_RECOVERY: Duration = Duration::from_millis(200);
/// Interval between statements of a configuration that may be older than that of others. Each
/// goes to one daemon, which answers if it has a newer one.
const CONFIG_STATEMENT_PERIOD: Duration = Duration::from_millis(500);
/// Longest time until a daemon registers again after the store was restored from an older
/// copy. All daemons do so, and the store drops calls beyond those that it can accept at once.
const MAX_REGISTER_DELAY: Duration = Duration::from_secs(5);
/// Key of the checksum of messages. It is public, because instances share no
/// secret.
const CHECKSUM_KEY: &str = "bluebelldrift gateway peers";

/// Name, zone and addresses of this daemon.
pub(crate) struct Identity {
    pub name: DaemonName,
    pub zone: ZoneName,
    pub address: SocketAddr,
    /// Peer addresses of some other instances; may be out of date.
    pub seeds: Vec<SocketAddr>,
}

impl Identity {
    /// Returns whether the settings name other instances to ask, and not this one.
    pub fn has_seeds(&self) -> bool {
        !self.seeds.is_empty() && !self.seeds.contains(&self.address)
    }
}

/// The port on which this daemon exchanges messages with other daemons, over UDP
/// and TCP.
pub(crate) struct PeerPort {
    identity: Identity,
    incarnation: Incarnation,
    udp: UdpSocket,
    tcp: TcpListener,
    message_key: MessageKey,
    control: Rc<RefCell<Control>>,
    /// Time of each unanswered query, by nonce.
    pending_queries: RefCell<HashMap<u64, BootTime>>,
    /// Queries that arrived before this daemon had a configuration. They are answered
    /// once it has one.
    unanswered_queries: RefCell<Vec<UnansweredQuery>>,
    /// Notified once the list of daemons names others, so that they are queried at once.
    list_gained: Notify,
    /// Number of ticks so far.
    ticks: Cell<u32>,
    /// Time of the last tick or datagram, and end of the last pause without any.
    active_at: Cell<BootTime>,
    paused_until: Cell<Option<BootTime>>,
    /// Position of the seed that is queried next.
    next_seed: Cell<usize>,
    /// Whether a fetch is in progress. One at a time suffices, since a fetch returns
    /// everything that is missing.
    is_fetching: Cell<bool>,
    /// Time of the last complete fetch; zero before the first one.
    fetched_at: Cell<BootTime>,
    /// Permits for fetches that this daemon answers.
    fetch_permits: Semaphore,
    /// Time of the last statement of the configuration; zero before the first one.
    config_stated_at: Cell<BootTime>,
}

/// A query that cannot be answered yet.
struct UnansweredQuery {
    name: DaemonName,
    query: Query,
    from: SocketAddr,
    received_at: BootTime,
}

impl PeerPort {
    /// Binds UDP and TCP to the peer address.
    pub async fn bind(identity: Identity, control: Rc<RefCell<Control>>) -> io::Result<Self> {
        let udp = UdpSocket::bind(identity.address).await?;
        let tcp = TcpListener::bind(identity.address).await?;
        let incarnation = incarnation();
        control.borrow().demand.lock().begin(incarnation);
        Ok(Self {
            incarnation,
            identity,
            udp,
            tcp,
            message_key: MessageKey::new(CHECKSUM_KEY),
            control,
            pending_queries: RefCell::default(),
            unanswered_queries: RefCell::default(),
            list_gained: Notify::new(),
            ticks: Cell::default(),
            active_at: Cell::new(clock::now()),
            paused_until: Cell::default(),
            next_seed: Cell::new(rand::random_range(0..usize::from(u16::MAX))),
            is_fetching: Cell::new(false),
            fetched_at: Cell::new(BootTime::ZERO),
            fetch_permits: Semaphore::new(MAX_CONCURRENT_FETCHES),
            config_stated_at: Cell::new(BootTime::ZERO),
        })
    }

    /// Exchanges datagrams with other daemons; never returns.
    pub async fn run(self: Rc<Self>, to_forward: Rc<Mutex<mpsc::UnboundedReceiver<Update>>>) {
        let mut to_forward = to_forward.lock().await;
        let mut zone_queries = tokio::time::interval(QUERY_INTERVAL);
        let mut remote_queries = tokio::time::interval(REMOTE_QUERY_INTERVAL);
        let mut reports = tokio::time::interval(REPORT_PERIOD);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let changed = self.control.borrow().report_requests();
        let config_gained = self.control.borrow().config_gained();
        let term_began = self.control.borrow().term_began();
        let mut buf = vec![0; RECEIVE_BYTES];
        loop {
            tokio::select! {
                _ = zone_queries.tick() => self.tick().await,
                _ = reports.tick() => self.report_work().await,
                () = changed.notified() => {
                    self.report_work().await;
                    reports.reset();
                }
                () = self.list_gained.notified() => {
                    self.tick().await;
                    self.query_remote().await;
                }
                () = config_gained.notified() => self.answer_waiting().await,
                () = term_began.notified() => self.announce_reads(clock::now()).await,
                _ = remote_queries.tick() => self.query_remote().await,
                Some(update) = to_forward.recv() => self.forward_read(update).await,
                received = self.udp.recv_from(&mut buf) => match received {
                    Ok((len, from)) => self.receive(&buf[..len], from).await,
                    Err(e) => log::debug!("event=receive_failed error={e:?}"),
                },
            }
        }
    }

    /// Updates the state that depends on time and queries higher-ranked daemons of this
    /// daemon's zone, and one of the seeds as long as the list of daemons is not known.
    async fn tick(&self) {
        let now = clock::now();
        self.record_activity(now);
        self.pending_queries
            .borrow_mut()
            .retain(|_, at| now.saturating_sub(*at) < PENDING_QUERY_EXPIRY);
        self.control.borrow_mut().tick();
        let mut to = self.control.borrow().peers.zone_peers_to_query(now);
        let sources = self.control.borrow().peers.sources_to_query(now);
        to.extend(
            sources
                .into_iter()
                .filter(|source| !to.contains(source))
                .collect::<Vec<_>>(),
        );
        if !self.control.borrow().peers.has_list() {
            to.extend(self.next_seed());
        }
        self.query_all(&to, false).await;
        self.answer_waiting().await;
        let ticks = self.ticks.replace(self.ticks.get().wrapping_add(1));
        if ticks.is_multiple_of(OTHER_ZONES_REPORT_TICKS) {
            self.report_other_zones().await;
            self.announce_reads(now).await;
        }
        self.report_suspects(now).await;
        self.report_statements(now).await;
        self.report_speeds(now).await;
        self.report_demand(now).await;
        self.report_rollouts(now).await;
    }

    /// Detects that this process stood still.
    fn record_activity(&self, now: BootTime) {
        let pause = now.saturating_sub(self.active_at.replace(now));
        if pause > MAX_PAUSE {
            log::info!("event=paused ms={}", clock::millis(pause));
            self.paused_until.set(Some(now));
        }
    }

    /// Returns whether datagrams may have waited in the socket while this process stood
    /// still.
    fn is_after_pause(&self, now: BootTime) -> bool {
        let until = self.paused_until.get();
        until.is_some_and(|at| now.saturating_sub(at) < PAUSE_RECOVERY)
    }

    /// Returns the seed to query next. They take turns, since each of them is queried by
    /// all daemons that start.
    fn next_seed(&self) -> Option<SocketAddr> {
        let own = self.identity.address;
        let others: Vec<_> = self.identity.seeds.iter().filter(|s| **s != own).collect();
        let at = self.next_seed.get().checked_rem(others.len())?;
        self.next_seed.set(at + 1);
        Some(*others[at])
    }

    /// Reports this daemon's running work to its zone.
    async fn report_work(&self) {
        let (report, to) = {
            let control = self.control.borrow();
            (
                control.build_work_report(),
                control.peers.zone_peers(clock::now()),
            )
        };
        for peer in to {
            self.send(peer, Message::WorkReport(report.clone())).await;
        }
    }

    /// Sends the load of all other zones to this daemon's zone, if it leads the zone.
    async fn report_other_zones(&self) {
        let (load, to) = {
            let control = self.control.borrow();
            (
                control.other_zones(),
                control.peers.zone_peers(clock::now()),
            )
        };
        if let Some(load) = load {
            for peer in to {
                self.send(peer, Message::OtherZones(load.clone())).await;
            }
        }
    }

    /// Tells this daemon's zone and the leaders of other zones that it reads the store for others,
    /// if it does.
    async fn announce_reads(&self, now: BootTime) {
        let to = {
            let peers = &self.control.borrow().peers;
            if !peers.fallback().is_source(now) {
                return;
            }
            let mut to = peers.zone_peers(now);
            to.extend(peers.remote_peers_to_query(now));
            to
        };
        for peer in to {
            self.send(peer, Message::ReadsForOthers).await;
        }
    }

    /// Queries a daemon that reads for others at once if it has just begun to.
    async fn receive_announcement(&self, name: &str, from: SocketAddr, now: BootTime) {
        let was_known = {
            let peers = &mut self.control.borrow_mut().peers;
            let was_known = peers.sources_to_query(now).contains(&from);
            peers.record_source(name, now);
            was_known
        };
        if !was_known {
            self.query_all(&[from], false).await;
        }
    }

    /// Reports the subjects on which targets crashed to this daemon's zone, and to other
    /// zones if this daemon leads its zone.
    async fn report_suspects(&self, now: BootTime) {
        let (streamed, plain, streamed_crashes, plain_crashes) = {
            let suspects = &self.control.borrow().suspects;
            (
                suspects.streamed.with(now, |table| table.report(now)),
                suspects.plain.with(now, |table| table.report(now)),
                suspects.streamed.history.lock().report(now),
                suspects.plain.history.lock().report(now),
            )
        };
        if !streamed_crashes.is_empty() {
            self.send_to_zones(&Message::RequestCrashes(streamed_crashes), now)
                .await;
        }
        if !plain_crashes.is_empty() {
            self.send_to_zones(&Message::PlainRequestCrashes(plain_crashes), now)
                .await;
        }
        if !streamed.is_empty() {
            self.send_to_zones(&Message::Suspects(streamed), now).await;
        }
        if !plain.is_empty() {
            self.send_to_zones(&Message::PlainSuspects(plain), now)
                .await;
        }
    }

    /// Reports the limits of targets in the same way.
    async fn report_statements(&self, now: BootTime) {
        let report = {
            let control = self.control.borrow();
            let leads = control.peers.is_zone_leader(now);
            control.statements.table().report(leads, now)
        };
        if !report.is_empty() {
            self.send_to_zones(&Message::Statements(report), now).await;
        }
    }

    /// Reports the speeds of targets to a few daemons, each time to others.
    async fn report_speeds(&self, now: BootTime) {
        let (report, to) = {
            let control = self.control.borrow();
            let report = control.speeds.table().report(now);
            (report, self.receivers(now))
        };
        if report.is_empty() {
            return;
        }
        for peer in to.sample(&mut rand::rng(), MAX_SPEED_RECEIVERS) {
            self.send(*peer, Message::Speeds(report.clone())).await;
        }
    }

    /// Reports the demand of customers while a service is short of room.
    async fn report_demand(&self, now: BootTime) {
        let reports = self.control.borrow().demand_reports(now);
        for report in reports {
            let to = {
                let peers = &self.control.borrow().peers;
                match report.scope {
                    DemandScope::Daemon => peers.zone_reader_address(now).into_iter().collect(),
                    DemandScope::Zone => peers.remote_peers_to_query(now),
                    DemandScope::All => self.few_zone_peers(now),
                }
            };
            for peer in to {
                self.send(peer, Message::CustomerDemand(report.clone()))
                    .await;
            }
        }
    }

    /// Reports the responses of versions to the leader of this daemon's zone, or to those of
    /// other zones if this daemon leads its zone; verdicts and steps to all.
    async fn report_rollouts(&self, now: BootTime) {
        let reports = {
            let control = self.control.borrow();
            let leads = control.peers.is_zone_leader(now);
            control.rollouts.reports(leads, now)
        };
        for (to, report) in reports {
            let to = {
                let peers = &self.control.borrow().peers;
                match to {
                    ReportTo::Leader => peers.zone_peers_to_query(now),
                    ReportTo::OtherLeaders => peers.remote_peers_to_query(now),
                    ReportTo::All => {
                        let mut all = peers.zone_peers(now);
                        all.extend(peers.remote_peers_to_query(now));
                        all
                    }
                }
            };
            for peer in to {
                self.send(peer, Message::Rollouts(vec![report.clone()]))
                    .await;
            }
        }
    }

    /// Adds a report of the demand of customers, and passes it on if it is new.
    async fn receive_demand(&self, from: &str, zone: &str, report: DemandReport, now: BootTime) {
        let is_passed_on = {
            let control = self.control.borrow();
            let mut demand = control.demand.lock();
            demand.receive(from, zone, report.clone(), now)
        };
        if is_passed_on {
            for peer in self.few_zone_peers(now) {
                self.send(peer, Message::CustomerDemand(report.clone()))
                    .await;
            }
        }
    }

    /// Returns a few random daemons of this daemon's zone.
    fn few_zone_peers(&self, now: BootTime) -> Vec<SocketAddr> {
        let peers = self.control.borrow().peers.zone_peers(now);
        let few = peers.sample(&mut rand::rng(), FORWARDED_TO);
        few.copied().collect()
    }

    /// Takes reports on rollouts. Those that change what this daemon knows are passed on at
    /// once, and a sender that knows less is told.
    async fn merge_rollouts(
        &self,
        packet: (&str, Incarnation, &str),
        reports: &[RolloutReport],
        from: SocketAddr,
    ) {
        let now = clock::now();
        let (name, incarnation, zone) = packet;
        let (rollouts, leads) = {
            let control = self.control.borrow();
            (control.rollouts.clone(), control.peers.is_zone_leader(now))
        };
        if rollouts.merge(reports, (name, incarnation), zone, now) {
            self.send(from, Message::Rollouts(rollouts.news(now))).await;
        }
        if rollouts.has_news(leads) {
            self.report_rollouts(now).await;
        }
    }

    /// Sends a message to this daemon's zone, and to the leaders of other zones if this
    /// daemon leads its zone.
    async fn send_to_zones(&self, message: &Message, now: BootTime) {
        for peer in self.receivers(now) {
            self.send(peer, message.clone()).await;
        }
    }

    /// Returns the other daemons of this daemon's zone, and the leaders of other zones if this
    /// daemon leads its zone.
    fn receivers(&self, now: BootTime) -> Vec<SocketAddr> {
        let peers = &self.control.borrow().peers;
        let mut to = peers.zone_peers(now);
        if peers.is_zone_leader(now) {
            to.extend(peers.remote_peers_to_query(now));
        }
        to
    }

    /// Queries the best-ranked daemons of other zones, if this daemon leads its zone.
    async fn query_remote(&self) {
        let now = clock::now();
        let to = {
            let control = self.control.borrow();
            if control.peers.is_zone_leader(now) {
                control.peers.remote_peers_to_query(now)
            } else {
                Vec::new()
            }
        };
        self.query_all(&to, true).await;
    }

    async fn query_all(&self, to: &[SocketAddr], is_remote: bool) {
        for peer in to {
            let nonce = rand::random();
            let query = self.control.borrow().build_query(nonce, is_remote);
            self.pending_queries
                .borrow_mut()
                .insert(nonce, clock::now());
            self.send(*peer, Message::Query(query)).await;
            self.state_config(*peer).await;
        }
    }

    /// Tells another daemon from time to time which configuration this one has, if others may
    /// have a newer one.
    async fn state_config(&self, to: SocketAddr) {
        let now = clock::now();
        let is_due = now.saturating_sub(self.config_stated_at.get()) >= CONFIG_STATEMENT_PERIOD;
        let statement = self.control.borrow().uncertain_config();
        if let Some(statement) = statement.filter(|_| is_due) {
            self.config_stated_at.set(now);
            self.send(to, Message::ConfigStatement(statement)).await;
        }
    }

    /// Fetches the configuration of another daemon if it is newer, or answers that this
    /// daemon's is.
    async fn compare_config(self: &Rc<Self>, other: ConfigStatement, from: SocketAddr) {
        let comparison = self.control.borrow_mut().compare_config(other);
        match comparison {
            Comparison::Same => {}
            Comparison::Fetch => self.start_fetch(from),
            Comparison::Tell(own) => self.send(from, Message::ConfigStatement(own)).await,
        }
    }

    /// Forwards an update read from the store to all followers of this daemon.
    async fn forward_read(&self, update: Update) {
        let to = self.control.borrow().peers.followers(clock::now());
        for peer in to {
            self.send(peer, Message::Updates(vec![update.clone()]))
                .await;
        }
    }

    /// Forwards updates from another daemon to the rest of this daemon's zone, if
    /// this daemon leads the zone.
    async fn forward_received(&self, updates: Vec<Update>) {
        let now = clock::now();
        let to = {
            let peers = &self.control.borrow().peers;
            if updates.is_empty() || !peers.is_zone_leader(now) {
                return;
            }
            peers.zone_peers(now)
        };
        for peer in to {
            self.send(peer, Message::Updates(updates.clone())).await;
        }
    }

    async fn send(&self, to: SocketAddr, message: Message) {
        let packet = Packet {
            from: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            incarnation: self.incarnation,
            message,
        };
        let Some(datagram) = self.encode_datagram(packet) else {
            return;
        };
        metrics::counter!("bluebell_control_bytes", "direction" => "sent")
            .increment(datagram.len() as u64);
        if let Err(e) = self.udp.send_to(&datagram, to).await {
            log::debug!("event=datagram_failed peer={to} error={e:?}");
        }
    }

    /// Encodes a packet after removing the parts that make it too large for a
    /// datagram; returns `None` if no updates are left of it.
    fn encode_datagram(&self, mut packet: Packet) -> Option<Vec<u8>> {
        loop {
            let datagram = self.message_key.encode(&packet);
            if datagram.len() <= MAX_DATAGRAM_BYTES {
                return Some(datagram);
            }
            match &mut packet.message {
                Message::Answer(answer) if !answer.updates.is_empty() => {
                    remove_longest(&mut answer.updates, &self.message_key);
                    answer.is_partial = true;
                }
                Message::Updates(updates) if updates.len() > 1 => {
                    remove_longest(updates, &self.message_key);
                }
                Message::Updates(_) => return None,
                // Sent in IP fragments; if one is lost, the known load is less accurate.
                _ => return Some(datagram),
            }
        }
    }

    async fn receive(self: &Rc<Self>, datagram: &[u8], from: SocketAddr) {
        let Some(packet) = self.message_key.verify_and_decode::<Packet>(datagram) else {
            log::debug!("event=datagram_unreadable peer={from}");
            return;
        };
        let now = clock::now();
        self.record_activity(now);
        let info = DaemonInfo {
            address: from,
            zone: packet.zone.clone(),
        };
        let is_accepted = {
            let peers = &mut self.control.borrow_mut().peers;
            peers.record_datagram(&packet.from, info, packet.incarnation, now)
        };
        if !is_accepted {
            return;
        }
        match packet.message {
            Message::Query(query) => self.answer(&packet.from, query, from).await,
            Message::WorkReport(report) => {
                self.control
                    .borrow_mut()
                    .record_work_report(&packet.from, report);
            }
            Message::OtherZones(load) => {
                self.control
                    .borrow_mut()
                    .record_other_zones(&packet.from, load);
            }
            Message::Suspects(_)
            | Message::PlainSuspects(_)
            | Message::Statements(_)
            | Message::RequestCrashes(_)
            | Message::PlainRequestCrashes(_)
            | Message::Speeds(_)
            | Message::CustomerDemand(_)
                if self.is_after_pause(now) =>
            {
                log::debug!("event=report_ignored peer={from}");
            }
            Message::Suspects(reports) => {
                let suspects = &self.control.borrow().suspects.streamed;
                suspects.with(now, |table| table.merge(&reports, now));
            }
            Message::PlainSuspects(reports) => {
                let suspects = &self.control.borrow().suspects.plain;
                suspects.with(now, |table| table.merge(&reports, now));
            }
            Message::RequestCrashes(reports) => {
                let control = self.control.borrow();
                let forwards = control.peers.is_zone_leader(now);
                let mut history = control.suspects.streamed.history.lock();
                history.merge(&reports, forwards, now);
            }
            Message::PlainRequestCrashes(reports) => {
                let control = self.control.borrow();
                let forwards = control.peers.is_zone_leader(now);
                let mut history = control.suspects.plain.history.lock();
                history.merge(&reports, forwards, now);
            }
            Message::Statements(reports) => {
                let control = self.control.borrow();
                let forwards = control.peers.is_zone_leader(now);
                control.statements.table().merge(&reports, forwards, now);
            }
            Message::ReadsForOthers => self.receive_announcement(&packet.from, from, now).await,
            Message::ConfigStatement(other) => self.compare_config(other, from).await,
            Message::Speeds(reports) => {
                self.control.borrow().speeds.table().merge(&reports, now);
            }
            Message::CustomerDemand(report) => {
                self.receive_demand(&packet.from, &packet.zone, report, now)
                    .await;
            }
            Message::Rollouts(reports) => {
                let sender = (&*packet.from, packet.incarnation, &*packet.zone);
                self.merge_rollouts(sender, &reports, from).await;
            }
            Message::Answer(answer) => self.handle_answer(&packet.from, answer, from).await,
            Message::Updates(updates) => {
                let to_forward = self
                    .control
                    .borrow_mut()
                    .apply_updates(&packet.from, &updates);
                self.forward_received(to_forward).await;
            }
        }
    }

    /// Answers a query, and fetches from its sender if the sender knows newer revisions
    /// while this daemon cannot read the store.
    async fn answer(self: &Rc<Self>, name: &str, query: Query, to: SocketAddr) {
        if self
            .control
            .borrow()
            .is_behind_sender(&query.known_revisions)
        {
            self.start_fetch(to);
        }
        if !self.control.borrow().has_config() {
            self.unanswered_queries.borrow_mut().push(UnansweredQuery {
                name: name.into(),
                query,
                from: to,
                received_at: clock::now(),
            });
            return;
        }
        let answer = self.control.borrow_mut().build_answer(name, query);
        self.send(to, Message::Answer(answer)).await;
        self.state_config(to).await;
    }

    /// Answers the queries that had to wait: all of them once this daemon has a
    /// configuration, else those that have waited for too long.
    async fn answer_waiting(&self) {
        let now = clock::now();
        let has_config = self.control.borrow().has_config();
        let is_due = |q: &mut UnansweredQuery| {
            has_config || now.saturating_sub(q.received_at) > MAX_ANSWER_DELAY
        };
        let due: Vec<_> = {
            let mut waiting = self.unanswered_queries.borrow_mut();
            waiting.extract_if(.., is_due).collect()
        };
        for UnansweredQuery {
            name, query, from, ..
        } in due
        {
            let answer = self.control.borrow_mut().build_answer(&name, query);
            self.send(from, Message::Answer(answer)).await;
        }
    }

    /// Applies an answer and forwards its updates; ignores an answer that belongs to
    /// no pending query.
    async fn handle_answer(self: &Rc<Self>, name: &str, answer: Answer, from: SocketAddr) {
        let queried_at = self.pending_queries.borrow_mut().remove(&answer.nonce);
        let Some(queried_at) = queried_at else {
            return;
        };
        let is_partial = answer.is_partial;
        let to_forward = self
            .control
            .borrow_mut()
            .apply_answer(name, &answer, queried_at);
        self.forward_received(to_forward).await;
        // What the answer to an older query lacked may have been fetched since.
        if is_partial && queried_at > self.fetched_at.get() {
            self.start_fetch(from);
        }
    }

    /// Starts a fetch in a separate task, so that queries are answered meanwhile.
    /// Does nothing if a fetch is in progress.
    fn start_fetch(self: &Rc<Self>, from: SocketAddr) {
        if !self.is_fetching.replace(true) {
            tokio::task::spawn_local(self.clone().fetch(from));
        }
    }

    /// Fetches the changes and complete topics that datagrams cannot hold, and applies
    /// them.
    async fn fetch(self: Rc<Self>, from: SocketAddr) {
        let fetch = self.control.borrow().build_fetch();
        let fetched =
            call_peer::<Fetch, Vec<Update>>(&self.message_key, from, fetch, FETCH_TIMEOUT).await;
        self.is_fetching.set(false);
        match fetched {
            Ok(updates) => {
                log::info!("event=fetched peer={from} topics={}", updates.len());
                self.fetched_at.set(clock::now());
                let source = from.to_string();
                let to_forward = self.control.borrow_mut().apply_updates(&source, &updates);
                self.forward_received(to_forward).await;
            }
            Err(e) => log::warn!("event=fetch_failed error={:?}", e.to_string()),
        }
    }

    /// Answers fetches; never returns.
    pub async fn serve_fetches(self: Rc<Self>) {
        loop {
            match self.tcp.accept().await {
                Ok((tcp, peer)) => {
                    tokio::task::spawn_local(self.clone().serve_fetch(tcp, peer));
                }
                Err(e) => {
                    log::warn!("event=accept_failed port=peers error={e:?}");
                    tokio::time::sleep(FETCH_TIMEOUT).await;
                }
            }
        }
    }

    async fn serve_fetch(self: Rc<Self>, tcp: TcpStream, peer: SocketAddr) {
        let Ok(_permit) = self.fetch_permits.acquire().await else {
            return;
        };
        let control = self.control.clone();
        let answer = move |fetch: Fetch| std::future::ready(control.borrow().answer_fetch(&fetch));
        let served = serve_frames(tcp, self.message_key.clone(), peer, FETCH_TIMEOUT, answer).await;
        if let Err(e) = served {
            log::debug!("event=fetch_connection_ended error={:?}", e.to_string());
        }
    }

    /// Reads the list of daemons, registers this daemon unless its entry is there from
    /// an earlier run, then reads the list repeatedly; never returns.
    pub async fn maintain_listing(self: Rc<Self>, store: Store) {
        let mut is_listed = self.refresh_list(&store).await;
        if is_listed != Some(true) {
            self.register(&store).await;
        }
        // Daemons that start together would otherwise call the store at the same moment,
        // and it drops connections beyond those that it can accept at once.
        let jitter = rand::random_range(LIST_JITTER.0..LIST_JITTER.1);
        let mut waited = Duration::ZERO;
        for at in LIST_DELAYS {
            let at = at.mul_f64(jitter);
            tokio::time::sleep(at.saturating_sub(waited)).await;
            waited = at;
            is_listed = self.refresh_list(&store).await;
        }
        let era_began = self.control.borrow().era_began();
        loop {
            // Not while the store does not answer, since failed calls are charged too.
            if is_listed == Some(false) {
                self.register(&store).await;
            }
            tokio::select! {
                () = tokio::time::sleep(LIST_PERIOD.mul_f64(jitter)) => {
                    is_listed = self.refresh_list(&store).await;
                }
                () = era_began.notified() => {
                    let delay = rand::random_range(0.0..1.0);
                    tokio::time::sleep(MAX_REGISTER_DELAY.mul_f64(delay)).await;
                    // Without asking first, since the list may be older than the new era.
                    self.register(&store).await;
                    is_listed = Some(true);
                }
            }
        }
    }

    async fn register(&self, store: &Store) {
        let own = DaemonInfo {
            address: self.identity.address,
            zone: self.identity.zone.clone(),
        };
        loop {
            let call = (store.register)(self.identity.name.clone(), own.clone());
            match with_timeout(call, LIST_TIMEOUT).await {
                Ok(()) => return,
                Err(e) => log::warn!("event=register_failed error={:?}", e.to_string()),
            }
            tokio::time::sleep(REGISTER_PAUSE).await;
        }
    }

    /// Reads the list of daemons. Returns whether it holds this daemon's current entry;
    /// `None` if the call failed.
    async fn refresh_list(&self, store: &Store) -> Option<bool> {
        match with_timeout((store.list_daemons)(), LIST_TIMEOUT).await {
            Ok(daemons) => {
                let own = &self.identity;
                let is_listed = daemons.iter().any(|(name, info)| {
                    *name == own.name && info.address == own.address && info.zone == own.zone
                });
                let had_list = self.control.borrow().peers.has_list();
                self.control
                    .borrow_mut()
                    .peers
                    .add_listed(daemons, clock::now());
                if !had_list {
                    self.list_gained.notify_one();
                }
                Some(is_listed)
            }
            Err(e) => {
                log::warn!("event=list_daemons_failed error={:?}", e.to_string());
                None
            }
        }
    }
}

/// Returns the incarnation of this process: its start time, in milliseconds since
/// 1970.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    clock::millis(since_epoch.unwrap_or_else(|e| {
        // Other daemons accept an incarnation that seems older once the previous
        // one is silent.
        log::warn!("event=clock_before_1970 error={:?}", e.to_string());
        Duration::ZERO
    }))
}

/// Removes the longest update of a message that is too large for a datagram. The
/// receiver fetches it, or gets it by a query.
fn remove_longest(updates: &mut Vec<Update>, message_key: &MessageKey) {
    let lengths = updates.iter().map(|u| message_key.encode(u).len());
    if let Some((longest, _)) = lengths.enumerate().max_by_key(|(_, len)| *len) {
        updates.remove(longest);
    }
}

/// Returns the peer address of an instance, given any of its addresses.
pub(crate) fn peer_address(address: &str, port: u16) -> Option<SocketAddr> {
    let ip: IpAddr = match address.parse::<SocketAddr>() {
        Ok(address) => address.ip(),
        Err(_) => address.parse().ok()?,
    };
    Some(SocketAddr::new(ip, port))
}
