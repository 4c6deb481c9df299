//! The control thread: all control state in one place, published as views.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use arc_swap::ArcSwap;
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc, oneshot},
};
use tokio_util::sync::CancellationToken;

use crate::{
    allot::{Allot, Daemons, LeaseAnswer, Listed, Out},
    clock::{self, BootTime},
    credits::Credit,
    engine::{EngineClient, LoadReport},
    feeds,
    follow::CellLinks,
    membership::{Member, Membership},
    owner::TAKEOVER_MARGIN,
    peer::{self, PeerPort, Seal},
    platform::{Instance, InstanceRole, InstanceState, Listing, Object, Platform, Revision},
    quarantine::SharedQuarantine,
    records::{ServiceType, ZoneState},
    relay::InstanceList,
    settings::{Policy, Settings},
    spread::Spread,
    supervisor::supervise,
    view::{PeerDaemon, SharedView, Standing, Target, View},
    wire::{Datagram, Frame, Heartbeat, InstancesPage, MemberId, Packet, RecordsPage, TargetName},
};

/// Events that wait for the control thread.
const EVENT_QUEUE: usize = 4096;
/// Longest wait for another daemon's answer over TCP.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Events taken between two views.
const EVENT_BATCH: usize = 256;
/// How long a dead member is remembered.
const KEEP_DEAD: Duration = Duration::from_secs(300);

/// What the control thread reacts to.
pub(crate) enum Event {
    /// A datagram of another daemon.
    Packet(SocketAddr, Packet),
    /// The next change that the watch brought.
    Object(Object),
    /// A change written through this daemon.
    Written(Object),
    /// All records at one revision.
    Listing(Listing),
    /// The platform, asked at this moment, answered with its revision.
    Confirmed(Revision, BootTime),
    /// The platform's instance list, asked for at this moment.
    Instances(Vec<Instance>, BootTime),
    /// The instance list as another daemon read it.
    InstancesPage(InstancesPage),
    /// An engine's load report.
    Load(TargetName, LoadReport),
    /// Records another daemon sent.
    Page(RecordsPage),
    /// Another daemon asks.
    Ask(Frame, oneshot::Sender<Frame>),
    /// A call on a target's lease, sent at this time, ended.
    Lease(TargetName, LeaseAnswer, BootTime),
    /// A target answered a probe sent at this time, or did not.
    Probed(TargetName, Option<LoadReport>, BootTime),
    /// The daemon is stopping.
    Drain,
}

impl Event {
    /// Whether traffic must see its effect before the next heartbeat.
    fn is_urgent(&self) -> bool {
        !matches!(
            self,
            Self::Packet(..) | Self::Load(..) | Self::Probed(..) | Self::Lease(..)
        )
    }
}

/// Sends events to the control thread.
pub(crate) type Events = mpsc::Sender<Event>;

/// Handle of a running control thread.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    /// Queue of the thread.
    pub events: Events,
    /// What it publishes.
    pub view: SharedView,
    /// Address of the peer port.
    pub peer_address: SocketAddr,
    /// Requests that crashed targets.
    pub quarantine: SharedQuarantine,
}

/// Starts the control thread with a runtime and peer port of its own. It ends
/// when `stop` is cancelled.
///
/// # Errors
/// The thread cannot be started, or the peer port cannot be bound.
pub(crate) async fn spawn(
    settings: Arc<Settings>,
    peer_address: SocketAddr,
    caller_address: SocketAddr,
    stop: CancellationToken,
) -> io::Result<ControlHandle> {
    let (events, queue) = mpsc::channel(EVENT_QUEUE);
    let view: SharedView = Arc::new(ArcSwap::from_pointee(View::default()));
    let (bound_tx, bound_rx) = oneshot::channel();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (thread_view, thread_events) = (view.clone(), events.clone());
    let quarantine = SharedQuarantine::default();
    let thread_quarantine = quarantine.clone();
    let body = async move {
        let port = match PeerPort::bind(peer_address).await {
            Ok(port) => port,
            Err(e) => return drop(bound_tx.send(Err(e))),
        };
        let _ = bound_tx.send(Ok(port.address));
        let udp = port.udp.clone();
        let mut control = Control::new(settings, udp, caller_address, thread_view, thread_events);
        control.quarantine = thread_quarantine;
        control.run(port, queue, stop).await;
    };
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || runtime.block_on(body))?;
    let bound = bound_rx.await;
    let peer_address = bound.unwrap_or_else(|_| Err(io::Error::other("control thread ended")))?;
    Ok(ControlHandle {
        events,
        view,
        peer_address,
        quarantine,
    })
}

pub(crate) struct Control {
    pub settings: Arc<Settings>,
    pub me: MemberId,
    caller_address: Box<str>,
    udp: Arc<UdpSocket>,
    pub seal: Seal,
    pub platform: Platform,
    pub view: SharedView,
    pub events: Events,
    pub spread: Spread,
    pub cell: CellLinks,
    pub instances: InstanceList,
    pub members: Membership,
    allot: Allot,
    engines: EngineClient,
    /// Notified when a request finds no credit.
    short: Arc<Notify>,
    started_at: BootTime,
    is_draining: bool,
    quarantine: SharedQuarantine,
}

impl Control {
    fn new(
        settings: Arc<Settings>,
        udp: Arc<UdpSocket>,
        caller_address: SocketAddr,
        view: SharedView,
        events: Events,
    ) -> Self {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let incarnation = since_epoch.unwrap_or_default().as_nanos();
        let me = MemberId {
            name: settings.name.clone(),
            incarnation: u64::try_from(incarnation).unwrap_or(u64::MAX),
        };
        let address = settings.platform.address.clone();
        let (short, started_at) = (Arc::new(Notify::new()), clock::now());
        let (policy, life) = (settings.policy, settings.timing.credit_life);
        let allot = Allot::new(me.clone(), policy, life, short.clone(), started_at);
        Self {
            me,
            caller_address: caller_address.to_string().into(),
            udp,
            seal: Seal::new(&settings.keys.peer),
            platform: Platform::open(address, settings.platform.timeout),
            view,
            events,
            spread: Spread::default(),
            cell: CellLinks::default(),
            instances: InstanceList::default(),
            members: Membership::new(settings.timing.suspect_after),
            allot,
            engines: EngineClient::open(PEER_TIMEOUT),
            short,
            started_at,
            is_draining: false,
            quarantine: SharedQuarantine::default(),
            settings,
        }
    }

    async fn run(
        mut self,
        port: PeerPort,
        mut queue: mpsc::Receiver<Event>,
        stop: CancellationToken,
    ) {
        self.supervise_tasks(port, &stop);
        let mut heartbeat = tokio::time::interval(self.settings.timing.heartbeat);
        heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let short = self.short.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = heartbeat.tick() => self.tick().await,
                () = short.notified() => {
                    let out = self.allot.ask_urgent(clock::now());
                    self.send_all(out).await;
                }
                event = queue.recv() => {
                    let Some(event) = event else { return };
                    self.take_all(event, &mut queue).await;
                }
            }
        }
    }

    /// Takes an event and those that wait behind it. A view is built once for
    /// all of them, and only where one changes what traffic must see before
    /// the next heartbeat.
    async fn take_all(&mut self, first: Event, queue: &mut mpsc::Receiver<Event>) {
        let mut is_urgent = false;
        let mut next = Some(first);
        for _ in 0..EVENT_BATCH {
            let Some(event) = next else { break };
            is_urgent |= event.is_urgent();
            self.take(event).await;
            next = queue.try_recv().ok();
        }
        if let Some(event) = next {
            is_urgent |= event.is_urgent();
            self.take(event).await;
        }
        if is_urgent {
            self.publish(clock::now());
        }
    }

    async fn take(&mut self, event: Event) {
        match event {
            Event::Packet(from, packet) => self.on_packet(from, packet).await,
            Event::Probed(target, load, sent_at) => {
                let now = clock::now();
                let out = self.allot.on_probe(&target, load.as_ref(), sent_at, now);
                self.send_all(out).await;
            }
            event => self.handle(event),
        }
    }

    fn supervise_tasks(&self, port: PeerPort, stop: &CancellationToken) {
        let period = self.settings.timing.platform_poll;
        let reader = self.platform_reader();
        supervise("watch", stop.clone(), {
            let reader = reader.clone();
            move || feeds::watch_records(reader.clone())
        });
        supervise("poll", stop.clone(), {
            let reader = reader.clone();
            move || feeds::poll_platform(reader.clone())
        });
        supervise("status", stop.clone(), move || {
            feeds::write_status(reader.clone())
        });
        let (udp, seal, events) = (self.udp.clone(), self.seal.clone(), self.events.clone());
        supervise("datagrams", stop.clone(), move || {
            feeds::receive_datagrams(udp.clone(), seal.clone(), events.clone())
        });
        let (seal, events) = (self.seal.clone(), self.events.clone());
        let tcp = Arc::new(port.tcp);
        supervise("frames", stop.clone(), move || {
            feeds::accept_frames(tcp.clone(), seal.clone(), events.clone())
        });
        let (view, events) = (self.view.clone(), self.events.clone());
        supervise("loads", stop.clone(), move || {
            feeds::poll_loads(view.clone(), events.clone(), period)
        });
    }

    async fn tick(&mut self) {
        let now = clock::now();
        metrics::gauge!("bluebell_control_seconds").set(clock::thread_time());
        self.members.prune(now, KEEP_DEAD);
        self.choose_role(now);
        self.publish(now);
        self.send_heartbeats(now).await;
        let out = self.allot.tick(now);
        self.send_all(out).await;
    }

    async fn send_all(&self, out: Vec<Out>) {
        for out in out {
            match out {
                Out::Send(to, sequence, message) => self.send(&to, sequence, message).await,
                Out::Lease(target, call, record) => {
                    let (platform, events) = (self.platform.clone(), self.events.clone());
                    tokio::spawn(feeds::call_lease(platform, events, target, call, record));
                }
                Out::Probe(target) => {
                    let Some(instance) = self.instances.instances.get(&target) else {
                        continue;
                    };
                    let (engines, events) = (self.engines.clone(), self.events.clone());
                    let address = instance.address.clone();
                    tokio::spawn(feeds::probe(engines, events, target, address));
                }
            }
        }
    }

    async fn send(&self, to: &str, sequence: u64, message: Datagram) {
        let Some(address) = self.address_of(to, clock::now()) else {
            return;
        };
        self.send_to(address, sequence, message).await;
    }

    async fn send_to(&self, address: SocketAddr, sequence: u64, message: Datagram) {
        let kind: &'static str = (&message).into();
        metrics::counter!("bluebell_datagrams", "kind" => kind).increment(1);
        let packet = Packet {
            from: self.me.clone(),
            sequence,
            message,
        };
        peer::send_packet(&self.udp, &self.seal, address, &packet).await;
    }

    fn handle(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Packet(..) | Event::Probed(..) => {}
            Event::Object(object) => self.spread.on_watched(&object),
            Event::Listing(listing) => self.spread.on_listing(&listing),
            Event::Written(object) => self.on_written(&object),
            Event::Confirmed(revision, asked_at) => self.spread.on_confirmed(revision, asked_at),
            Event::Instances(list, asked_at) => self.instances.on_read(list, asked_at),
            Event::InstancesPage(page) => self.instances.on_page(&page, now),
            Event::Load(target, load) => {
                self.allot.on_load(&target, &load, now);
            }
            Event::Lease(target, answer, sent_at) => {
                self.allot.on_lease(&target, &answer, sent_at, now);
            }
            Event::Page(page) => self.spread.on_page(&page),
            Event::Ask(frame, reply) => drop(reply.send(self.answer(&frame, now))),
            Event::Drain => self.is_draining = true,
        }
    }

    async fn on_packet(&mut self, from: SocketAddr, packet: Packet) {
        let now = clock::now();
        if !self.members.is_new(&packet.from, packet.sequence) {
            return metrics::counter!("bluebell_datagrams_old").increment(1);
        }
        let sender = packet.from;
        match packet.message {
            Datagram::Heartbeat(heartbeat) => {
                self.on_heartbeat(from, &sender, packet.sequence, heartbeat, now);
            }
            Datagram::CreditAsk(ask) => {
                let out = self.allot.on_ask(&sender, packet.sequence, ask, now);
                self.send_all(out).await;
            }
            Datagram::CreditGrant(grant) => self.allot.on_grant(&sender, &grant),
            Datagram::Handover(handover) => self.allot.on_handover(&handover, now),
            Datagram::CellSummary(_) => {}
        }
    }

    fn on_heartbeat(
        &mut self,
        from: SocketAddr,
        sender: &MemberId,
        sequence: u64,
        heartbeat: Heartbeat,
        now: BootTime,
    ) {
        // A peer is reached where it is listed; until then, where it sent from.
        let address = self.listed_address(&sender.name).unwrap_or(from);
        self.cell.exchange.hear(sender, sequence, now);
        let said = heartbeat.clone();
        let before = self.members.standing_of(&sender.name);
        if self.members.hear(sender, address, heartbeat, now) {
            self.on_digest(address, &said, now);
        }
        // Who owns a target must be known before its handover is taken.
        if self.members.standing_of(&sender.name) != before {
            self.publish(now);
        }
    }

    fn answer(&mut self, frame: &Frame, now: BootTime) -> Frame {
        match frame {
            Frame::RecordsAfter(after) => Frame::Records(self.spread.page_after(*after)),
            Frame::Records(page) => {
                self.spread.on_page(page);
                Frame::Done
            }
            Frame::InstancesAsk => Frame::Instances(self.instances.page(now)),
            Frame::CrashMark(mark) => {
                self.quarantine.lock().hear(mark, now);
                Frame::Done
            }
            _ => Frame::Refused("not understood".into()),
        }
    }

    async fn send_heartbeats(&mut self, now: BootTime) {
        for (name, to) in self.heartbeat_receivers(now) {
            let mut heartbeat = self.heartbeat(now);
            heartbeat.echo = name.and_then(|name| self.cell.exchange.echo_for(&name, now));
            let sequence = self.allot.next_sequence();
            self.cell.exchange.on_sent(sequence, clock::now());
            self.send_to(to, sequence, Datagram::Heartbeat(heartbeat))
                .await;
        }
    }

    fn heartbeat(&self, now: BootTime) -> Heartbeat {
        let age = |at| clock::millis(now.saturating_sub(at));
        Heartbeat {
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            caller_address: self.caller_address.clone(),
            is_draining: self.is_draining,
            can_own: self.can_own(now),
            revision: self.spread.revision(),
            newest: self.spread.newest(),
            records_hash: self.spread.hash(),
            confirmed_age_ms: self.spread.confirmed_at().map(age),
            list_age_ms: self.instances.read_at().map(age),
            leaving: self.leaving_targets(),
            silent: Vec::new(),
            instances_hash: self.instances.hash(),
            instances_age_ms: self.instances.own_age_ms(now),
            echo: None,
        }
    }

    fn publish(&mut self, now: BootTime) {
        let peers: Vec<PeerDaemon> = self.members.live(now).map(peer_daemon).collect();
        let daemons = self.daemons(now);
        self.allot.refresh(self.listed(), &daemons, now);
        let mut targets: BTreeMap<Box<str>, Vec<Arc<Target>>> = BTreeMap::new();
        for instance in self.instances.instances.values() {
            if let InstanceRole::Target { service } = &instance.role {
                let credit = self.allot.credit(&instance.name);
                let target = Arc::new(self.target(instance, credit));
                targets.entry(service.clone()).or_default().push(target);
            }
        }
        self.view.store(Arc::new(View {
            records: self.spread.records().clone(),
            snapshot: self.spread.snapshot().clone(),
            targets,
            peers,
            confirmed_at: self.current_as_of(),
            is_ready: self.can_own(now),
        }));
    }

    /// Whether this daemon is ready, and may own targets.
    fn can_own(&self, now: BootTime) -> bool {
        self.can_serve(now) && self.owns_fully(now) && !self.is_draining
    }

    /// Whether earlier owners' grants have lapsed since this daemon started.
    fn owns_fully(&self, now: BootTime) -> bool {
        let life = self.settings.timing.credit_life;
        let since = now.saturating_sub(self.started_at);
        self.settings.policy == Policy::LeastInFlight || since >= life + TAKEOVER_MARGIN
    }

    /// Live daemons that may own targets, with their regions; all live ones
    /// while none may.
    fn daemons(&self, now: BootTime) -> Daemons {
        let live = self.members.live(now);
        let lines = live.map(|m| (&m.id.name, &m.heartbeat.region, m.heartbeat.can_own));
        let me = (&self.me.name, &self.settings.region, self.can_own(now));
        let lines: Vec<_> = lines.chain([me]).collect();
        let is_shared = self.settings.policy == Policy::LeastInFlight;
        let none_may = is_shared || lines.iter().all(|(_, _, can_own)| !can_own);
        let owners = lines.into_iter().filter(|line| line.2 || none_may);
        owners
            .map(|line| (line.0.clone(), line.1.clone()))
            .collect()
    }

    fn listed(&self) -> BTreeMap<TargetName, Listed> {
        let instances = self.instances.instances.values();
        let listed = instances.filter_map(|i| Some((i.name.clone(), self.listed_target(i)?)));
        listed.collect()
    }

    fn listed_target(&self, instance: &Instance) -> Option<Listed> {
        let InstanceRole::Target { service } = &instance.role else {
            return None;
        };
        let snapshot = self.spread.snapshot();
        let service = snapshot.services.get(service)?;
        let model = service.model.as_ref().and_then(|m| snapshot.models.get(m));
        let zone = snapshot.zones.get(&instance.zone);
        Some(Listed {
            region: zone.map(|z| z.region.clone()).unwrap_or_default(),
            standing: self.standing(instance),
            capacity: service.capacity.clone(),
            first_token_band: model.map_or(Duration::MAX, |m| m.first_token_band),
            reports_load: service.kind == ServiceType::Generation,
        })
    }

    fn leaving_targets(&self) -> Vec<TargetName> {
        let leaving = self.instances.instances.values();
        let leaving = leaving.filter(|i| i.state == InstanceState::Leaving);
        let targets = leaving.filter(|i| i.role != InstanceRole::Daemon);
        targets.map(|i| i.name.clone()).collect()
    }

    fn standing(&self, instance: &Instance) -> Standing {
        let zone = self.spread.snapshot().zones.get(&instance.zone);
        let is_out = zone.is_some_and(|z| z.state == ZoneState::Out);
        // A daemon that cannot read the list learns from peers who is leaving.
        let leaves = |m: &Member| m.lists_as_leaving(&instance.name, self.instances.read_at());
        if instance.state == InstanceState::Leaving || self.members.all().any(leaves) {
            Standing::Leaving
        } else if is_out {
            Standing::ZoneOut
        } else {
            Standing::Serving
        }
    }

    fn target(&self, instance: &Instance, credit: Arc<Credit>) -> Target {
        let zone = self.spread.snapshot().zones.get(&instance.zone);
        Target {
            name: instance.name.clone(),
            zone: instance.zone.clone(),
            region: zone.map(|z| z.region.clone()).unwrap_or_default(),
            address: instance.address.clone(),
            standing: self.standing(instance),
            credit,
            load: self.allot.load(&instance.name),
            is_polled: self.allot.polls(&instance.name),
        }
    }
}

fn peer_daemon(member: &Member) -> PeerDaemon {
    PeerDaemon {
        name: member.id.name.clone(),
        region: member.heartbeat.region.clone(),
        address: member.address,
        caller_address: member.heartbeat.caller_address.clone(),
        revision: member.heartbeat.revision,
        records_hash: member.heartbeat.records_hash,
        is_draining: member.heartbeat.is_draining,
    }
}
