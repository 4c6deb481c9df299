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
    sync::{mpsc, oneshot},
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock::{self, BootTime},
    engine::LoadReport,
    feeds,
    follow::CellLinks,
    membership::{Member, Membership},
    owner::Owner,
    peer::{self, PeerPort, Seal},
    platform::{Instance, InstanceRole, InstanceState, Listing, Object, Platform, Revision},
    records::ZoneState,
    relay::InstanceList,
    settings::Settings,
    spread::Spread,
    supervisor::supervise,
    view::{LoadHint, PeerDaemon, SharedView, Standing, Target, View},
    wire::{Datagram, Frame, Heartbeat, InstancesPage, MemberId, Packet, RecordsPage, TargetName},
};

/// Events that wait for the control thread.
const EVENT_QUEUE: usize = 4096;
/// Longest wait for another daemon's answer over TCP.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_secs(1);
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
    /// The daemon is stopping.
    Drain,
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
    let body = async move {
        let port = match PeerPort::bind(peer_address).await {
            Ok(port) => port,
            Err(e) => return drop(bound_tx.send(Err(e))),
        };
        let _ = bound_tx.send(Ok(port.address));
        let udp = port.udp.clone();
        let control = Control::new(settings, udp, caller_address, thread_view, thread_events);
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
    })
}

pub(crate) struct Control {
    pub settings: Arc<Settings>,
    pub me: MemberId,
    caller_address: Box<str>,
    sequence: u64,
    udp: Arc<UdpSocket>,
    pub seal: Seal,
    pub platform: Platform,
    pub view: SharedView,
    pub events: Events,
    pub spread: Spread,
    pub cell: CellLinks,
    pub instances: InstanceList,
    pub members: Membership,
    owner: Owner,
    loads: BTreeMap<TargetName, LoadReport>,
    is_draining: bool,
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
        Self {
            me,
            caller_address: caller_address.to_string().into(),
            sequence: 0,
            udp,
            seal: Seal::new(&settings.keys.peer),
            platform: Platform::open(address, settings.platform.timeout),
            view,
            events,
            spread: Spread::default(),
            cell: CellLinks::default(),
            instances: InstanceList::default(),
            members: Membership::new(settings.timing.suspect_after),
            owner: Owner::new(settings.timing.credit_life),
            loads: BTreeMap::new(),
            is_draining: false,
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
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = heartbeat.tick() => self.tick().await,
                event = queue.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
            }
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
        self.members.prune(now, KEEP_DEAD);
        self.choose_role(now);
        self.publish(now);
        self.send_heartbeats(now).await;
    }

    fn handle(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Packet(from, packet) => self.on_packet(from, packet, now),
            Event::Object(object) => self.spread.on_watched(&object),
            Event::Listing(listing) => self.spread.on_listing(&listing),
            Event::Written(object) => self.on_written(&object),
            Event::Confirmed(revision, asked_at) => self.spread.on_confirmed(revision, asked_at),
            Event::Instances(list, asked_at) => self.instances.on_read(list, asked_at),
            Event::InstancesPage(page) => self.instances.on_page(&page, now),
            Event::Load(target, load) => drop(self.loads.insert(target, load)),
            Event::Page(page) => self.spread.on_page(&page),
            Event::Ask(frame, reply) => drop(reply.send(self.answer(&frame, now))),
            Event::Drain => self.is_draining = true,
        }
        self.publish(now);
    }

    fn on_packet(&mut self, from: SocketAddr, packet: Packet, now: BootTime) {
        match packet.message {
            Datagram::Heartbeat(heartbeat) => {
                if !self.cell.exchange.hear(&packet.from, packet.sequence, now) {
                    return;
                }
                let from = self.listed_address(&packet.from.name).unwrap_or(from);
                let said = heartbeat.clone();
                if self.members.hear(&packet.from, from, heartbeat, now) {
                    self.on_digest(from, &said, now);
                }
            }
            Datagram::CreditAsk(_) | Datagram::CreditGrant(_) | Datagram::CellSummary(_) => {}
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
            _ => Frame::Refused("not understood".into()),
        }
    }

    async fn send_heartbeats(&mut self, now: BootTime) {
        for (name, to) in self.heartbeat_receivers(now) {
            let mut heartbeat = self.heartbeat(now);
            heartbeat.echo = name.and_then(|name| self.cell.exchange.echo_for(&name, now));
            self.sequence += 1;
            self.cell.exchange.on_sent(self.sequence, clock::now());
            let packet = Packet {
                from: self.me.clone(),
                sequence: self.sequence,
                message: Datagram::Heartbeat(heartbeat),
            };
            peer::send_packet(&self.udp, &self.seal, to, &packet).await;
        }
    }

    fn heartbeat(&self, now: BootTime) -> Heartbeat {
        let age = |at| clock::millis(now.saturating_sub(at));
        Heartbeat {
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            caller_address: self.caller_address.clone(),
            is_draining: self.is_draining,
            revision: self.spread.revision(),
            newest: self.spread.newest(),
            records_hash: self.spread.hash(),
            confirmed_age_ms: self.spread.confirmed_at().map(age),
            silent: Vec::new(),
            instances_hash: self.instances.hash(),
            instances_age_ms: self.instances.own_age_ms(now),
            echo: None,
        }
    }

    fn publish(&mut self, now: BootTime) {
        let peers: Vec<PeerDaemon> = self.members.live(now).map(peer_daemon).collect();
        let snapshot = self.spread.snapshot();
        self.owner
            .renew(&self.instances.instances, snapshot, peers.len() + 1, now);
        let mut targets: BTreeMap<Box<str>, Vec<Arc<Target>>> = BTreeMap::new();
        for instance in self.instances.instances.values() {
            if let InstanceRole::Target { service } = &instance.role {
                let target = Arc::new(self.target(instance));
                targets.entry(service.clone()).or_default().push(target);
            }
        }
        self.view.store(Arc::new(View {
            records: self.spread.records().clone(),
            snapshot: self.spread.snapshot().clone(),
            targets,
            peers,
            confirmed_at: self.current_as_of(),
            is_ready: self.can_serve(now) && !self.is_draining,
        }));
    }

    fn target(&self, instance: &Instance) -> Target {
        let zone = self.spread.snapshot().zones.get(&instance.zone);
        let is_out = zone.is_some_and(|z| z.state == ZoneState::Out);
        let standing = if instance.state == InstanceState::Leaving {
            Standing::Leaving
        } else if is_out {
            Standing::ZoneOut
        } else {
            Standing::Serving
        };
        let load = self.loads.get(&instance.name);
        Target {
            name: instance.name.clone(),
            zone: instance.zone.clone(),
            region: zone.map(|z| z.region.clone()).unwrap_or_default(),
            address: instance.address.clone(),
            standing,
            credit: self.owner.credit(&instance.name),
            load: load.map(load_hint).unwrap_or_default(),
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

fn load_hint(load: &LoadReport) -> LoadHint {
    LoadHint {
        kv_free: load.kv_total.saturating_sub(load.kv_used),
        running: load.running,
    }
}
