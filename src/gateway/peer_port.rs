//! Datagrams and fetches between daemons, and the list of daemons.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, SystemTime},
};

use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::{Mutex, mpsc},
    time::MissedTickBehavior,
};

use super::{
    control::Control,
    feed::{Store, timed},
    model::ZoneName,
    peer_wire::{Ask, Fetch, Incarnation, Message, Packet, Running, Tell, Update},
    peers::{ASK_PERIOD, DaemonName, FAR_ASK_PERIOD, Listed, RUNNING_PERIOD},
};
use crate::{
    clock::{self, BootTime},
    peer::{Seal, ask, serve_frames},
};

/// Largest datagram, so that none is split on its way.
const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Room for what arrives: the largest datagram that there is, since work at many
/// targets is sent in pieces.
const RECEIVE_BYTES: usize = 64 * 1_024;
/// Longest wait for whole topics: a large configuration over a slow link.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an unanswered question is remembered; later, its reader counts as
/// silent anyway.
const ASKED_KEPT: Duration = Duration::from_secs(1);
/// Longest wait for the list of daemons, as for other calls to the store.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// When to read the list of daemons after the start; the store may answer with
/// one that is seconds old.
const LIST_AT: [Duration; 4] = [
    Duration::from_millis(300),
    Duration::from_millis(1_500),
    Duration::from_secs(4),
    Duration::from_secs(8),
];
/// Period of reading it later on, for daemons that nobody told of.
const LIST_PERIOD: Duration = Duration::from_secs(20);
/// Pause after a failed entry into the list: time for a few tries before the list
/// is first needed by others.
const REGISTER_PAUSE: Duration = Duration::from_millis(500);
/// Keys the check sum of messages; there is no secret among instances.
const SEAL: &str = "bluebelldrift gateway peers";

/// What identifies this daemon to others.
pub(crate) struct Identity {
    pub name: DaemonName,
    pub zone: ZoneName,
    pub address: SocketAddr,
    /// Peer addresses of some other instances; may be out of date.
    pub seeds: Vec<SocketAddr>,
}

/// A port for other daemons.
pub(crate) struct PeerPort {
    identity: Identity,
    incarnation: Incarnation,
    udp: UdpSocket,
    tcp: TcpListener,
    seal: Seal,
    control: Rc<RefCell<Control>>,
    /// When each unanswered question was asked.
    asked: RefCell<HashMap<u64, BootTime>>,
    /// A fetch is under way; one at a time, since all that is lacking comes with it.
    is_fetching: Cell<bool>,
}

impl PeerPort {
    /// Binds UDP and TCP to the peer address.
    pub async fn bind(identity: Identity, control: Rc<RefCell<Control>>) -> io::Result<Self> {
        let udp = UdpSocket::bind(identity.address).await?;
        let tcp = TcpListener::bind(identity.address).await?;
        Ok(Self {
            incarnation: incarnation(),
            identity,
            udp,
            tcp,
            seal: Seal::new(SEAL),
            control,
            asked: RefCell::default(),
            is_fetching: Cell::new(false),
        })
    }

    /// Asks and passes on, for good.
    pub async fn run(self: Rc<Self>, news: Rc<Mutex<mpsc::UnboundedReceiver<Update>>>) {
        let mut news = news.lock().await;
        let mut near = tokio::time::interval(ASK_PERIOD);
        let mut far = tokio::time::interval(FAR_ASK_PERIOD);
        let mut running = tokio::time::interval(RUNNING_PERIOD);
        running.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let changed = self.control.borrow().load_changes();
        let mut buf = vec![0; RECEIVE_BYTES];
        loop {
            tokio::select! {
                _ = near.tick() => self.tick().await,
                _ = running.tick() => self.tell_running().await,
                () = changed.notified() => {
                    self.tell_running().await;
                    running.reset();
                }
                _ = far.tick() => self.ask_far().await,
                Some(update) = news.recv() => self.push(update).await,
                received = self.udp.recv_from(&mut buf) => match received {
                    Ok((len, from)) => self.receive(&buf[..len], from).await,
                    Err(e) => log::debug!("event=receive_failed error={e:?}"),
                },
            }
        }
    }

    async fn tick(&self) {
        let now = clock::now();
        self.asked
            .borrow_mut()
            .retain(|_, at| now.saturating_sub(*at) < ASKED_KEPT);
        self.control.borrow_mut().tick();
        let mut to = self.control.borrow().peers.to_ask(now);
        if !self.control.borrow().peers.knows_any() {
            to.extend(
                self.identity
                    .seeds
                    .iter()
                    .filter(|s| **s != self.identity.address),
            );
        }
        self.ask_all(&to, false).await;
    }

    /// Tells the zone what this daemon has running.
    async fn tell_running(&self) {
        let (running, to) = {
            let control = self.control.borrow();
            (control.running(), control.peers.mates(clock::now()))
        };
        for peer in to {
            self.send(peer, Message::Running(running.clone())).await;
        }
    }

    async fn ask_far(&self) {
        let now = clock::now();
        let to = {
            let control = self.control.borrow();
            if control.peers.is_first(now) {
                control.peers.to_ask_far(now)
            } else {
                Vec::new()
            }
        };
        self.ask_all(&to, true).await;
    }

    async fn ask_all(&self, to: &[SocketAddr], is_far: bool) {
        for peer in to {
            let nonce = rand::random();
            let ask = self.control.borrow().ask(nonce, is_far);
            self.asked.borrow_mut().insert(nonce, clock::now());
            self.send(*peer, Message::Ask(ask)).await;
        }
    }

    /// Passes a change of the store on to all that follow this daemon.
    async fn push(&self, update: Update) {
        let to = self.control.borrow().peers.followers(clock::now());
        for peer in to {
            self.send(peer, Message::Push(vec![update.clone()])).await;
        }
    }

    /// Passes changes that another daemon told on to the own zone, where this
    /// daemon is its first.
    async fn pass_on(&self, updates: Vec<Update>) {
        let now = clock::now();
        let to = {
            let peers = &self.control.borrow().peers;
            if updates.is_empty() || !peers.is_first(now) {
                return;
            }
            peers.mates(now)
        };
        for peer in to {
            self.send(peer, Message::Push(updates.clone())).await;
        }
    }

    async fn send(&self, to: SocketAddr, message: Message) {
        let packet = Packet {
            from: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            incarnation: self.incarnation,
            message,
        };
        let Some(sealed) = self.seal_small(packet) else {
            return;
        };
        metrics::counter!("bluebell_control_bytes", "direction" => "sent")
            .increment(sealed.len() as u64);
        if let Err(e) = self.udp.send_to(&sealed, to).await {
            log::debug!("event=datagram_failed peer={to} error={e:?}");
        }
    }

    /// Encodes a packet without what makes it larger than a datagram; `None`
    /// if nothing is left of it.
    fn seal_small(&self, mut packet: Packet) -> Option<Vec<u8>> {
        loop {
            let sealed = self.seal.seal(&packet);
            if sealed.len() <= MAX_DATAGRAM_BYTES {
                return Some(sealed);
            }
            match smaller(packet.message, &self.seal) {
                Ok(Message::Push(updates)) if updates.is_empty() => return None,
                Ok(message) => packet = Packet { message, ..packet },
                // Sent in pieces; a lost one costs some knowledge of load.
                Err(_) => return Some(sealed),
            }
        }
    }

    async fn receive(self: &Rc<Self>, sealed: &[u8], from: SocketAddr) {
        let Some(packet) = self.seal.open::<Packet>(sealed) else {
            log::debug!("event=datagram_unreadable peer={from}");
            return;
        };
        let now = clock::now();
        let listed = Listed {
            address: from,
            zone: packet.zone,
        };
        let is_new = {
            let peers = &mut self.control.borrow_mut().peers;
            peers.hear(&packet.from, listed, packet.incarnation, now)
        };
        if !is_new {
            return;
        }
        match packet.message {
            Message::Ask(ask) => self.answer(&packet.from, ask, from).await,
            Message::Running(running) => {
                self.control
                    .borrow_mut()
                    .take_running(&packet.from, running);
            }
            Message::Tell(tell) => self.take_tell(&packet.from, tell, from).await,
            Message::Push(updates) => {
                let news = self.control.borrow_mut().take_updates(&updates);
                self.pass_on(news).await;
            }
        }
    }

    async fn answer(self: &Rc<Self>, name: &str, ask: Ask, to: SocketAddr) {
        if self.control.borrow().lacks_any(&ask.have) {
            self.start_fetch(to);
        }
        let tell = self.control.borrow_mut().tell(name, ask);
        self.send(to, Message::Tell(tell)).await;
    }

    async fn take_tell(self: &Rc<Self>, name: &str, tell: Tell, from: SocketAddr) {
        let asked = self.asked.borrow_mut().remove(&tell.nonce);
        let Some(asked) = asked else {
            return;
        };
        let is_partial = tell.is_partial;
        let news = self.control.borrow_mut().take_tell(name, &tell, asked);
        self.pass_on(news).await;
        if is_partial {
            self.start_fetch(from);
        }
    }

    /// Fetches beside all else, so that questions are answered meanwhile.
    fn start_fetch(self: &Rc<Self>, from: SocketAddr) {
        if !self.is_fetching.replace(true) {
            tokio::task::spawn_local(self.clone().fetch(from));
        }
    }

    /// Fetches what datagrams are too small for, and applies it.
    async fn fetch(self: Rc<Self>, from: SocketAddr) {
        let fetch = self.control.borrow().fetch();
        let fetched = ask::<Fetch, Vec<Update>>(&self.seal, from, fetch, FETCH_TIMEOUT).await;
        self.is_fetching.set(false);
        match fetched {
            Ok(updates) => {
                log::info!("event=fetched peer={from} topics={}", updates.len());
                let news = self.control.borrow_mut().take_updates(&updates);
                self.pass_on(news).await;
            }
            Err(e) => log::warn!("event=fetch_failed error={:?}", e.to_string()),
        }
    }

    /// Answers fetches, for good.
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
        let control = self.control.clone();
        let answer = move |fetch: Fetch| std::future::ready(control.borrow().fetched(&fetch));
        let served = serve_frames(tcp, self.seal.clone(), peer, FETCH_TIMEOUT, answer).await;
        if let Err(e) = served {
            log::debug!("event=fetch_connection_ended error={:?}", e.to_string());
        }
    }

    /// Enters this daemon into the list of daemons and reads it, for good.
    pub async fn keep_listed(self: Rc<Self>, store: Store) {
        self.register(&store).await;
        let mut waited = Duration::ZERO;
        for at in LIST_AT {
            tokio::time::sleep(at.saturating_sub(waited)).await;
            waited = at;
            self.list(&store).await;
        }
        loop {
            tokio::time::sleep(LIST_PERIOD).await;
            self.list(&store).await;
        }
    }

    async fn register(&self, store: &Store) {
        let own = Listed {
            address: self.identity.address,
            zone: self.identity.zone.clone(),
        };
        loop {
            let call = (store.register)(self.identity.name.clone(), own.clone());
            match timed(call, LIST_TIMEOUT).await {
                Ok(()) => return,
                Err(e) => log::warn!("event=register_failed error={:?}", e.to_string()),
            }
            tokio::time::sleep(REGISTER_PAUSE).await;
        }
    }

    async fn list(&self, store: &Store) {
        match timed((store.daemons)(), LIST_TIMEOUT).await {
            Ok(daemons) => self.control.borrow_mut().peers.list(daemons),
            Err(e) => log::warn!("event=list_daemons_failed error={:?}", e.to_string()),
        }
    }
}

/// Tells this run from earlier ones by the time of its start.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    clock::millis(since_epoch.unwrap_or_else(|e| {
        // Others take a run that seems older once the one before is silent.
        log::warn!("event=clock_before_1970 error={:?}", e.to_string());
        Duration::ZERO
    }))
}

/// A message that is too large for a datagram, without its longest part; the
/// receiver fetches that, or learns of it by asking. `Err` where no part can be
/// left out.
fn smaller(message: Message, seal: &Seal) -> Result<Message, Message> {
    match message {
        Message::Tell(tell) if !tell.updates.is_empty() => Ok(Message::Tell(Tell {
            updates: without_longest(tell.updates, seal),
            is_partial: true,
            ..tell
        })),
        Message::Push(updates) if !updates.is_empty() => {
            Ok(Message::Push(without_longest(updates, seal)))
        }
        Message::Running(running) if running.far.is_some() => Ok(Message::Running(Running {
            far: None,
            ..running
        })),
        _ => Err(message),
    }
}

fn without_longest(mut updates: Vec<Update>, seal: &Seal) -> Vec<Update> {
    let lengths = updates.iter().map(|u| seal.seal(u).len());
    if let Some((longest, _)) = lengths.enumerate().max_by_key(|(_, len)| *len) {
        updates.remove(longest);
    }
    updates
}

/// The peer address of an instance, given any of its addresses.
pub(crate) fn peer_address(address: &str, port: u16) -> Option<SocketAddr> {
    let ip: IpAddr = match address.parse::<SocketAddr>() {
        Ok(address) => address.ip(),
        Err(_) => address.parse().ok()?,
    };
    Some(SocketAddr::new(ip, port))
}
