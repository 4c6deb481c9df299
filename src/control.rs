//! The control thread: owns the control state of the daemon and publishes it
//! as immutable views.
//!
//! Background tasks, peers and operators send events to one queue. A single
//! thread applies them, and request handlers read the view that was published
//! last.

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
    allot::{Action, CreditAllocator, Daemons, LeaseAnswer, ListedTarget},
    clock::{self, BootTime},
    credits::Credit,
    engine::{EngineClient, LoadReport},
    feeds,
    follow::FollowState,
    membership::{Member, Membership},
    owner::TAKEOVER_MARGIN,
    peer::{self, MessageKey, PeerPort},
    platform::{Instance, InstanceRole, InstanceState, Listing, Object, Platform, Revision},
    quarantine::SharedQuarantine,
    records::{ServiceType, ZoneState},
    relay::InstanceList,
    settings::{Policy, Settings},
    spread::RecordReplica,
    supervisor::supervise,
    view::{PeerDaemon, SharedView, Target, TargetState, View},
    wire::{Datagram, Frame, Heartbeat, InstancesPage, MemberId, Packet, RecordsPage, TargetName},
};

/// Capacity of the queue of events for the control thread.
const EVENT_QUEUE_CAPACITY: usize = 4096;
/// Timeout of a TCP request to another daemon, and of a load report request to
/// an engine.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of events in a batch, apart from one that has already been
/// received when the limit is reached. At most one view is published for each
/// batch.
const EVENT_BATCH: usize = 256;
/// Time for which a dead member is kept in the member list.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(300);

/// An input to the control thread.
pub(crate) enum Event {
    /// A datagram from another daemon, with the address that sent it.
    Packet(SocketAddr, Packet),
    /// The next record change delivered by the platform watch.
    WatchedObject(Object),
    /// A record change that an operator wrote through this daemon.
    RecordWritten(Object),
    /// A full listing of the records at one revision.
    Listing(Listing),
    /// The newest record revision at the platform, with the time at which the
    /// request was sent.
    Confirmed(Revision, BootTime),
    /// The platform's instance list, with the time at which the request was sent.
    Instances(Vec<Instance>, BootTime),
    /// A copy of the instance list from another daemon.
    InstancesPage(InstancesPage),
    /// A periodic load report from an engine.
    Load(TargetName, LoadReport),
    /// Records sent by another daemon.
    RecordsPage(RecordsPage),
    /// A TCP request from another daemon, with the channel for the response.
    PeerRequest(Frame, oneshot::Sender<Frame>),
    /// The outcome of a platform call on a target's lease, with the time at which
    /// the call was sent.
    LeaseCallEnded(TargetName, LeaseAnswer, BootTime),
    /// The response of a target to a load report request, with the time at which
    /// the request was sent; `None` when the request failed.
    Probed(TargetName, Option<LoadReport>, BootTime),
    /// A request to drain, because the daemon is stopping.
    Drain,
}

impl Event {
    /// Returns whether request handlers must see the effect of this event before
    /// the next heartbeat period.
    fn is_urgent(&self) -> bool {
        !matches!(
            self,
            Self::Packet(..) | Self::Load(..) | Self::Probed(..) | Self::LeaseCallEnded(..)
        )
    }
}

/// Sender of events to the control thread.
pub(crate) type Events = mpsc::Sender<Event>;

/// A handle to a running control thread.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    /// Sender side of the event queue.
    pub events: Events,
    /// The published view.
    pub view: SharedView,
    /// Bound address of the peer port.
    pub peer_address: SocketAddr,
    /// Requests suspected of crashing targets.
    pub quarantine: SharedQuarantine,
}

/// Starts the control thread, which runs its own single-threaded runtime and
/// binds the peer port. The thread ends when `stop` is cancelled.
///
/// # Errors
/// Returns an error if the thread cannot be started or the peer port cannot be
/// bound.
pub(crate) async fn spawn(
    settings: Arc<Settings>,
    peer_address: SocketAddr,
    caller_address: SocketAddr,
    stop: CancellationToken,
) -> io::Result<ControlHandle> {
    let (events, queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let view: SharedView = Arc::new(ArcSwap::from_pointee(View::default()));
    let (bound_tx, bound_rx) = oneshot::channel();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (thread_view, thread_events) = (view.clone(), events.clone());
    let quarantine = SharedQuarantine::default();
    let thread_quarantine = quarantine.clone();
    let control_loop = async move {
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
        .spawn(move || runtime.block_on(control_loop))?;
    let bound = bound_rx.await;
    let peer_address = bound.unwrap_or_else(|_| Err(io::Error::other("control thread ended")))?;
    Ok(ControlHandle {
        events,
        view,
        peer_address,
        quarantine,
    })
}

/// All state of the control thread.
pub(crate) struct Control {
    pub settings: Arc<Settings>,
    pub own_id: MemberId,
    caller_address: Box<str>,
    udp: Arc<UdpSocket>,
    pub message_key: MessageKey,
    pub platform: Platform,
    pub view: SharedView,
    pub events: Events,
    pub replica: RecordReplica,
    pub follow_state: FollowState,
    pub instances: InstanceList,
    pub members: Membership,
    allocator: CreditAllocator,
    engine_client: EngineClient,
    /// Notified when a request finds no free credit.
    credit_shortage: Arc<Notify>,
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
        let elapsed_since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let incarnation = elapsed_since_epoch.unwrap_or_default().as_nanos();
        let own_id = MemberId {
            name: settings.name.clone(),
            incarnation: u64::try_from(incarnation).unwrap_or(u64::MAX),
        };
        let address = settings.platform.address.clone();
        let (credit_shortage, started_at) = (Arc::new(Notify::new()), clock::now());
        let (policy, credit_life) = (settings.policy, settings.timing.credit_life);
        let allocator = CreditAllocator::new(
            own_id.clone(),
            policy,
            credit_life,
            credit_shortage.clone(),
            started_at,
        );
        Self {
            own_id,
            caller_address: caller_address.to_string().into(),
            udp,
            message_key: MessageKey::new(&settings.keys.peer),
            platform: Platform::new(address, settings.platform.timeout),
            view,
            events,
            replica: RecordReplica::default(),
            follow_state: FollowState::default(),
            instances: InstanceList::default(),
            members: Membership::new(settings.timing.suspect_after),
            allocator,
            engine_client: EngineClient::open(PEER_TIMEOUT),
            credit_shortage,
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
        let mut heartbeat_timer = tokio::time::interval(self.settings.timing.heartbeat);
        heartbeat_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let credit_shortage = self.credit_shortage.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = heartbeat_timer.tick() => self.tick().await,
                () = credit_shortage.notified() => {
                    let actions = self.allocator.request_urgent(clock::now());
                    self.send_all(actions).await;
                }
                event = queue.recv() => {
                    let Some(event) = event else { return };
                    self.process_batch(event, &mut queue).await;
                }
            }
        }
    }

    /// Processes `first` and the events queued behind it. Publishes one view for
    /// the whole batch, and only if one of the events is urgent; the effects of
    /// the others are published with the next heartbeat period.
    async fn process_batch(&mut self, first: Event, queue: &mut mpsc::Receiver<Event>) {
        let mut is_urgent = false;
        let mut next = Some(first);
        for _ in 0..EVENT_BATCH {
            let Some(event) = next else { break };
            is_urgent |= event.is_urgent();
            self.process_event(event).await;
            next = queue.try_recv().ok();
        }
        if let Some(event) = next {
            is_urgent |= event.is_urgent();
            self.process_event(event).await;
        }
        if is_urgent {
            self.publish(clock::now());
        }
    }

    async fn process_event(&mut self, event: Event) {
        match event {
            Event::Packet(from, packet) => self.on_packet(from, packet).await,
            Event::Probed(target, load, sent_at) => {
                let now = clock::now();
                let actions = self
                    .allocator
                    .on_probe(&target, load.as_ref(), sent_at, now);
                self.send_all(actions).await;
            }
            event => self.apply(event),
        }
    }

    /// Starts the background tasks: those that send events to this thread, and
    /// the one that writes the status objects.
    fn supervise_tasks(&self, port: PeerPort, stop: &CancellationToken) {
        let period = self.settings.timing.platform_poll;
        let context = self.platform_context();
        supervise("watch", stop.clone(), {
            let context = context.clone();
            move || feeds::watch_records(context.clone())
        });
        supervise("poll", stop.clone(), {
            let context = context.clone();
            move || feeds::poll_platform(context.clone())
        });
        supervise("status", stop.clone(), move || {
            feeds::write_status(context.clone())
        });
        let (udp, message_key, events) = (
            self.udp.clone(),
            self.message_key.clone(),
            self.events.clone(),
        );
        supervise("datagrams", stop.clone(), move || {
            feeds::receive_datagrams(udp.clone(), message_key.clone(), events.clone())
        });
        let (message_key, events) = (self.message_key.clone(), self.events.clone());
        let tcp = Arc::new(port.tcp);
        supervise("frames", stop.clone(), move || {
            feeds::accept_frames(tcp.clone(), message_key.clone(), events.clone())
        });
        let (view, events) = (self.view.clone(), self.events.clone());
        supervise("loads", stop.clone(), move || {
            feeds::poll_loads(view.clone(), events.clone(), period)
        });
    }

    /// Runs the work of one heartbeat period.
    async fn tick(&mut self) {
        let now = clock::now();
        metrics::gauge!("bluebell_control_seconds").set(clock::thread_time());
        self.members.prune(now, DEAD_MEMBER_RETENTION);
        self.update_platform_role(now);
        self.publish(now);
        self.send_heartbeats(now).await;
        let actions = self.allocator.tick(now);
        self.send_all(actions).await;
    }

    /// Sends datagrams, and spawns lease calls and probes.
    async fn send_all(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, sequence, message) => self.send(&to, sequence, message).await,
                Action::Lease(target, call, record) => {
                    let (platform, events) = (self.platform.clone(), self.events.clone());
                    tokio::spawn(feeds::call_lease(platform, events, target, call, record));
                }
                Action::Probe(target) => {
                    let Some(instance) = self.instances.instances.get(&target) else {
                        continue;
                    };
                    let (engine_client, events) = (self.engine_client.clone(), self.events.clone());
                    let address = instance.address.clone();
                    tokio::spawn(feeds::probe(engine_client, events, target, address));
                }
            }
        }
    }

    async fn send(&self, to: &str, sequence: u64, message: Datagram) {
        let Some(address) = self.peer_address_of(to, clock::now()) else {
            return;
        };
        self.send_to(address, sequence, message).await;
    }

    async fn send_to(&self, address: SocketAddr, sequence: u64, message: Datagram) {
        let kind: &'static str = (&message).into();
        metrics::counter!("bluebell_datagrams", "kind" => kind).increment(1);
        let packet = Packet {
            from: self.own_id.clone(),
            sequence,
            message,
        };
        peer::send_packet(&self.udp, &self.message_key, address, &packet).await;
    }

    fn apply(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Packet(..) | Event::Probed(..) => {}
            Event::WatchedObject(object) => self.replica.on_watched(&object),
            Event::Listing(listing) => self.replica.on_listing(&listing),
            Event::RecordWritten(object) => self.on_written(&object),
            Event::Confirmed(revision, asked_at) => self.replica.on_confirmed(revision, asked_at),
            Event::Instances(list, asked_at) => self.instances.on_read(list, asked_at),
            Event::InstancesPage(page) => self.instances.on_page(&page, now),
            Event::Load(target, load) => {
                self.allocator.on_load(&target, &load, now);
            }
            Event::LeaseCallEnded(target, answer, sent_at) => {
                self.allocator.on_lease(&target, &answer, sent_at, now);
            }
            Event::RecordsPage(page) => self.replica.on_page(&page),
            Event::PeerRequest(frame, reply) => drop(reply.send(self.answer(&frame, now))),
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
            Datagram::CreditRequest(request) => {
                let actions = self
                    .allocator
                    .on_request(&sender, packet.sequence, request, now);
                self.send_all(actions).await;
            }
            Datagram::CreditGrant(grant) => self.allocator.on_grant(&sender, &grant),
            Datagram::Handover(handover) => self.allocator.on_handover(&handover, now),
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
        // A peer is reached at its address in the instance list. A peer that is
        // not listed yet is reached at the address that sent the datagram.
        let address = self.listed_address(&sender.name).unwrap_or(from);
        self.follow_state
            .echoes
            .record_received(sender, sequence, now);
        let received = heartbeat.clone();
        let ownership_before = self.members.ownership_state(&sender.name);
        if self.members.on_heartbeat(sender, address, heartbeat, now) {
            self.sync_from_heartbeat(address, &received, now);
        }
        // A handover is only accepted by the current owner of the target, so
        // ownership is recomputed before the next datagram is processed.
        if self.members.ownership_state(&sender.name) != ownership_before {
            self.publish(now);
        }
    }

    fn answer(&mut self, frame: &Frame, now: BootTime) -> Frame {
        match frame {
            Frame::RecordsRequest(after) => Frame::Records(self.replica.page_after(*after)),
            Frame::Records(page) => {
                self.replica.on_page(page);
                Frame::Acknowledged
            }
            Frame::InstancesRequest => Frame::Instances(self.instances.page(now)),
            Frame::CrashNotice(notice) => {
                self.quarantine.lock().apply_notice(notice, now);
                Frame::Acknowledged
            }
            _ => Frame::Rejected("not understood".into()),
        }
    }

    async fn send_heartbeats(&mut self, now: BootTime) {
        for (name, to) in self.heartbeat_receivers(now) {
            let mut heartbeat = self.heartbeat(now);
            heartbeat.echo = name.and_then(|name| self.follow_state.echoes.echo_for(&name, now));
            let sequence = self.allocator.next_sequence();
            self.follow_state.echoes.on_sent(sequence, clock::now());
            self.send_to(to, sequence, Datagram::Heartbeat(heartbeat))
                .await;
        }
    }

    fn heartbeat(&self, now: BootTime) -> Heartbeat {
        let age_ms = |at| clock::millis(now.saturating_sub(at));
        Heartbeat {
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            caller_address: self.caller_address.clone(),
            is_draining: self.is_draining,
            can_own_targets: self.can_own(now),
            revision: self.replica.revision(),
            newest_revision: self.replica.newest_revision(),
            records_hash: self.replica.hash(),
            confirmed_age_ms: self.replica.confirmed_at().map(age_ms),
            instance_list_age_ms: self.instances.read_at().map(age_ms),
            leaving_targets: self.leaving_targets(),
            suspects: Vec::new(),
            instance_list_hash: self.instances.hash(),
            own_list_read_age_ms: self.instances.own_age_ms(now),
            echo: None,
        }
    }

    /// Refreshes the credit allocation, and publishes a view of the current state.
    fn publish(&mut self, now: BootTime) {
        let peers: Vec<PeerDaemon> = self.members.live(now).map(peer_daemon).collect();
        let owner_candidates = self.owner_candidates(now);
        self.allocator
            .refresh(self.listed_targets(), &owner_candidates, now);
        let mut targets: BTreeMap<Box<str>, Vec<Arc<Target>>> = BTreeMap::new();
        for instance in self.instances.instances.values() {
            if let InstanceRole::Target { service } = &instance.role {
                let credit = self.allocator.credit(&instance.name);
                let target = Arc::new(self.target(instance, credit));
                targets.entry(service.clone()).or_default().push(target);
            }
        }
        self.view.store(Arc::new(View {
            records: self.replica.records().clone(),
            snapshot: self.replica.snapshot().clone(),
            targets,
            peers,
            confirmed_at: self.confirmed_current_at(),
            is_ready: self.can_own(now),
        }));
    }

    /// Returns whether this daemon is ready and may own targets.
    fn can_own(&self, now: BootTime) -> bool {
        self.can_serve(now) && self.have_earlier_grants_expired(now) && !self.is_draining
    }

    /// Returns whether all credits that earlier owners granted before this daemon
    /// started have expired. This is always so under the baseline policy
    /// ([`Policy::LeastInFlight`]), which has no owners.
    fn have_earlier_grants_expired(&self, now: BootTime) -> bool {
        let credit_life = self.settings.timing.credit_life;
        let uptime = now.saturating_sub(self.started_at);
        self.settings.policy == Policy::LeastInFlight || uptime >= credit_life + TAKEOVER_MARGIN
    }

    /// Returns the live daemons that may own targets, with their regions. Returns
    /// all live daemons while none may own targets, and under the baseline
    /// policy, which gives every daemon a share of each target.
    fn owner_candidates(&self, now: BootTime) -> Daemons {
        let live = self.members.live(now);
        let peers = live.map(|m| (&m.id.name, &m.heartbeat.region, m.heartbeat.can_own_targets));
        let me = (&self.own_id.name, &self.settings.region, self.can_own(now));
        let all: Vec<_> = peers.chain([me]).collect();
        let is_baseline = self.settings.policy == Policy::LeastInFlight;
        let includes_all = is_baseline || all.iter().all(|(_, _, can_own)| !can_own);
        let candidates = all.into_iter().filter(|daemon| daemon.2 || includes_all);
        candidates
            .map(|daemon| (daemon.0.clone(), daemon.1.clone()))
            .collect()
    }

    /// Returns the targets in the instance list whose service has a record in
    /// effect.
    fn listed_targets(&self) -> BTreeMap<TargetName, ListedTarget> {
        let instances = self.instances.instances.values();
        let targets = instances.filter_map(|i| Some((i.name.clone(), self.listed_target(i)?)));
        targets.collect()
    }

    fn listed_target(&self, instance: &Instance) -> Option<ListedTarget> {
        let InstanceRole::Target { service } = &instance.role else {
            return None;
        };
        let snapshot = self.replica.snapshot();
        let service = snapshot.services.get(service)?;
        let model = service.model.as_ref().and_then(|m| snapshot.models.get(m));
        let zone = snapshot.zones.get(&instance.zone);
        Some(ListedTarget {
            region: zone.map(|z| z.region.clone()).unwrap_or_default(),
            state: self.target_state(instance),
            capacity: service.capacity.clone(),
            first_token_band: model.map_or(Duration::MAX, |m| m.first_token_band),
            reports_load: service.kind == ServiceType::Generation,
        })
    }

    fn leaving_targets(&self) -> Vec<TargetName> {
        let instances = self.instances.instances.values();
        let leaving = instances.filter(|i| i.state == InstanceState::Leaving);
        let targets = leaving.filter(|i| i.role != InstanceRole::Daemon);
        targets.map(|i| i.name.clone()).collect()
    }

    fn target_state(&self, instance: &Instance) -> TargetState {
        let zone = self.replica.snapshot().zones.get(&instance.zone);
        let is_out = zone.is_some_and(|z| z.state == ZoneState::Out);
        // A daemon that cannot read the instance list learns from the heartbeats
        // of its peers which targets are leaving.
        let lists_as_leaving =
            |m: &Member| m.lists_as_leaving(&instance.name, self.instances.read_at());
        if instance.state == InstanceState::Leaving || self.members.all().any(lists_as_leaving) {
            TargetState::Leaving
        } else if is_out {
            TargetState::ZoneOut
        } else {
            TargetState::Serving
        }
    }

    fn target(&self, instance: &Instance, credit: Arc<Credit>) -> Target {
        let zone = self.replica.snapshot().zones.get(&instance.zone);
        Target {
            name: instance.name.clone(),
            zone: instance.zone.clone(),
            region: zone.map(|z| z.region.clone()).unwrap_or_default(),
            address: instance.address.clone(),
            state: self.target_state(instance),
            credit,
            load: self.allocator.last_load(&instance.name),
            is_polled: self.allocator.reads_load_reports(&instance.name),
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
