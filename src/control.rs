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
    membership::{Member, Membership},
    owner::Owner,
    peer::{self, PeerPort, Seal},
    platform::{
        Instance, InstanceRole, InstanceState, Instances, Listing, Object, Platform, Revision,
    },
    records::ZoneState,
    settings::Settings,
    spread::Spread,
    supervisor::supervise,
    view::{LoadHint, PeerDaemon, SharedView, Standing, Target, View},
    wire::{Datagram, Frame, Heartbeat, MemberId, Packet, RecordsPage, TargetName},
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
    /// One changed object.
    Object(Object),
    /// All records at one revision.
    Listing(Listing),
    /// The platform answered with its revision.
    Confirmed(Revision),
    /// The platform's instance list.
    Instances(Vec<Instance>),
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

struct Control {
    settings: Arc<Settings>,
    me: MemberId,
    caller_address: Box<str>,
    sequence: u64,
    udp: Arc<UdpSocket>,
    seal: Seal,
    platform: Platform,
    view: SharedView,
    events: Events,
    spread: Spread,
    instances: Instances,
    members: Membership,
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
            instances: Instances::new(),
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
        let (platform, events) = (self.platform.clone(), self.events.clone());
        supervise("watch", stop.clone(), move || {
            feeds::watch_records(platform.clone(), events.clone())
        });
        let (platform, events) = (self.platform.clone(), self.events.clone());
        let period = self.settings.timing.platform_poll;
        supervise("poll", stop.clone(), move || {
            feeds::poll_platform(platform.clone(), events.clone(), period)
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
        self.publish(now);
        self.send_heartbeats(now).await;
    }

    fn handle(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Packet(from, packet) => self.on_packet(from, packet, now),
            Event::Object(object) => self.spread.on_object(&object),
            Event::Listing(listing) => self.spread.on_listing(&listing),
            Event::Confirmed(revision) => self.spread.on_confirmed(revision, now),
            Event::Instances(instances) => {
                let named = instances.into_iter().map(|i| (i.name.clone(), i));
                self.instances = named.collect();
            }
            Event::Load(target, load) => drop(self.loads.insert(target, load)),
            Event::Page(page) => self.spread.on_page(&page),
            Event::Ask(frame, reply) => drop(reply.send(self.answer(&frame))),
            Event::Drain => self.is_draining = true,
        }
        self.publish(now);
    }

    fn on_packet(&mut self, from: SocketAddr, packet: Packet, now: BootTime) {
        match packet.message {
            Datagram::Heartbeat(heartbeat) => {
                let revision = heartbeat.revision;
                let is_news = self.members.hear(&packet.from, from, heartbeat, now);
                if is_news && revision > self.spread.revision() {
                    self.fetch_records(from);
                }
            }
            Datagram::CreditAsk(_) | Datagram::CreditGrant(_) | Datagram::CellSummary(_) => {}
        }
    }

    fn fetch_records(&self, from: SocketAddr) {
        let (seal, events) = (self.seal.clone(), self.events.clone());
        let ask = Frame::RecordsAfter(self.spread.revision());
        tokio::spawn(async move {
            match peer::ask(&seal, from, ask, PEER_TIMEOUT).await {
                Ok(Frame::Records(page)) => drop(events.send(Event::Page(page)).await),
                Ok(_) => log::debug!("event=fetch_refused peer={from}"),
                Err(e) => log::debug!("event=fetch_failed peer={from} error={:?}", e.to_string()),
            }
        });
    }

    fn answer(&self, frame: &Frame) -> Frame {
        match frame {
            Frame::RecordsAfter(after) => Frame::Records(self.spread.page_after(*after)),
            _ => Frame::Refused("not understood".into()),
        }
    }

    async fn send_heartbeats(&mut self, now: BootTime) {
        let message = Datagram::Heartbeat(self.heartbeat(now));
        let daemons: Vec<SocketAddr> = self
            .instances
            .values()
            .filter(|i| i.role == InstanceRole::Daemon && i.name != self.me.name)
            .filter_map(|i| i.address.parse().ok())
            .collect();
        for to in daemons {
            self.sequence += 1;
            let packet = Packet {
                from: self.me.clone(),
                sequence: self.sequence,
                message: message.clone(),
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
            records_hash: 0,
            confirmed_age_ms: self.spread.confirmed_at().map(age),
            silent: Vec::new(),
        }
    }

    fn publish(&mut self, now: BootTime) {
        let peers: Vec<PeerDaemon> = self.members.live(now).map(peer_daemon).collect();
        let snapshot = self.spread.snapshot();
        self.owner
            .renew(&self.instances, snapshot, peers.len() + 1, now);
        let mut targets: BTreeMap<Box<str>, Vec<Arc<Target>>> = BTreeMap::new();
        for instance in self.instances.values() {
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
            confirmed_at: self.spread.confirmed_at(),
            is_ready: self.spread.has_whole_set() && !self.is_draining,
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
        is_draining: member.heartbeat.is_draining,
    }
}

fn load_hint(load: &LoadReport) -> LoadHint {
    LoadHint {
        kv_free: load.kv_total.saturating_sub(load.kv_used),
        kv_total: load.kv_total,
        running: load.running,
        waiting: load.waiting,
    }
}
