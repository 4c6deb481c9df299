//! Connects to targets, through another daemon where the direct way is cut, and opens such
//! connections for other daemons.
//!
//! The other daemon passes bytes on as they are, and keeps no request: what a request may do,
//! its budget, its deadline and the judgement of its answer stay with the daemon that its caller
//! is connected to. A connection for another daemon is always a direct one, so that there is one
//! hop at most. It goes to a target that this daemon knows and that takes work, and ends with either
//! of its two connections.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use hyper::{
    Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
};

use super::{
    Gateway,
    exchange::{ExchangeError, connect, enable_dead_peer_detection, is_refused, log_socket_error},
    job::Admitted,
    model::Target,
    peer_wire::target_key,
    reach::{Sibling, Way},
};
use crate::{
    clock::{self, BootTime},
    log::shown,
    peer::{MessageKey, PeerError, read_frame, write_frame},
};

/// Time after which a connection is also tried through another daemon: more than two round trips
/// between regions.
const DETOUR_AFTER: Duration = Duration::from_millis(150);
/// Time after which one more daemon is asked for the same connection.
const NEXT_SIBLING_AFTER: Duration = Duration::from_millis(100);
/// Time limit for a connection through another daemon, and for both ways together.
const DETOUR_TIMEOUT: Duration = Duration::from_millis(450);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(550);
/// Time limit for the request of another daemon once it is connected.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the acknowledgement of bytes sent to another daemon.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between direct connections to targets while the links to them are cut.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Maximum number of connections that are open for other daemons.
pub(crate) const MAX_TUNNELS: usize = 128;
/// Size of the buffer for each direction of such a connection, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;
/// Size up to which the head of a response is looked at, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Delay after a failed accept, so that the loop does not spin while there is no free descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Key of the checksum of the first messages. It is public, because instances share no secret.
const CHECKSUM_KEY: &str = "bluebelldrift gateway tunnels";

/// Request of a daemon for a connection to a target.
#[derive(Debug, Serialize, Deserialize)]
struct TunnelRequest {
    /// Id of the target.
    target: Box<str>,
}

/// Answer to a [`TunnelRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
enum TunnelAnswer {
    /// The connection is open; what follows are its bytes.
    Open,
    /// The daemon does not know the target, or the target takes no work.
    Closed,
    /// No process listens at the target's address.
    Refused,
    /// The daemon does not reach the target either.
    Unreachable,
    /// The daemon has no room for another connection, or stops.
    Full,
}

/// Why no connection was opened through another daemon.
#[derive(Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum DetourError {
    /// A daemon that reaches targets found that no process listens there.
    Refused,
    /// No other reason is known.
    Failed,
}

impl Gateway {
    /// Connects to a target, directly or through another daemon, before anything is sent.
    pub(super) async fn connect_target(
        &self,
        id: &str,
        admitted: &Admitted,
        target: &Target,
    ) -> Result<TcpStream, ExchangeError> {
        let way = self.way_to(target);
        let is_allowed = |zone: &str| {
            let region = self.settings().region_of(zone).to_owned();
            let customer = admitted.customer.as_deref();
            admitted.route.allows_region(customer, &region)
        };
        if way == Way::Sibling
            && let Ok(tcp) = self.open_detour(id, target, &is_allowed).await
        {
            self.record_detour(target);
            return Ok(tcp);
        }
        let connecting = self.connect_both_ways(id, target, &is_allowed);
        let timeout = tokio::time::timeout(CONNECT_TIMEOUT, connecting);
        timeout.await.unwrap_or_else(|_| {
            Err(ExchangeError::Connect {
                peer: target.address,
                reason: "timeout".into(),
                is_refused: false,
            })
        })
    }

    /// Connects directly, and through another daemon as well once that takes long or the links
    /// seem to be cut.
    async fn connect_both_ways(
        &self,
        id: &str,
        target: &Target,
        is_allowed: &impl Fn(&str) -> bool,
    ) -> Result<TcpStream, ExchangeError> {
        let direct = connect(&self.engines.dial, target.address);
        let mut direct = std::pin::pin!(direct);
        let first = tokio::time::timeout(DETOUR_AFTER, direct.as_mut()).await;
        if let Ok(connected) = first {
            self.record_direct(target, connected.is_ok());
            let is_final = connected.is_ok() || !self.is_cut_suspected(target);
            if is_final {
                return connected;
            }
            let detour = self.open_detour(id, target, is_allowed).await;
            return detour.inspect(|_| self.record_detour(target)).or(connected);
        }
        let mut detour = std::pin::pin!(self.open_detour(id, target, is_allowed));
        tokio::select! {
            connected = direct.as_mut() => {
                self.record_direct(target, connected.is_ok());
                if connected.is_ok() {
                    return connected;
                }
                detour.await.inspect(|_| self.record_detour(target)).or(connected)
            }
            detour = detour.as_mut() => {
                if let Ok(tcp) = detour {
                    self.record_direct(target, false);
                    self.record_detour(target);
                    return Ok(tcp);
                }
                let connected = direct.await;
                self.record_direct(target, connected.is_ok());
                connected
            }
        }
    }

    /// Returns whether no process listens at a target's address, as far as another daemon finds
    /// out; `None` if this daemon reaches targets directly.
    pub(super) async fn is_closed_for_others(&self, id: &str, target: &Target) -> Option<bool> {
        if self.way_to(target) == Way::Direct && !self.is_cut_suspected(target) {
            return None;
        }
        let detour = self.open_detour(id, target, &|_: &str| true).await;
        Some(matches!(detour, Err(DetourError::Refused)))
    }

    fn way_to(&self, target: &Target) -> Way {
        let key = target_key(&target.id);
        self.reach.lock().way(&target.service, key, clock::now())
    }

    fn is_cut_suspected(&self, target: &Target) -> bool {
        let targets = self.available_count(&target.service);
        let reach = self.reach.lock();
        reach.is_suspected(&target.service, targets, clock::now())
    }

    fn available_count(&self, service: &str) -> usize {
        self.shared.fleet().available_targets(service).count()
    }

    fn record_direct(&self, target: &Target, succeeded: bool) {
        let (key, now) = (target_key(&target.id), clock::now());
        let mut reach = self.reach.lock();
        if !succeeded {
            reach.record_failure(&target.service, key, now);
        } else if reach.record_success(&target.service, key, now) {
            log::info!(
                "event=links_back service={} target={}",
                shown(&target.service),
                shown(&target.id)
            );
        }
    }

    fn record_detour(&self, target: &Target) {
        let targets = self.available_count(&target.service);
        let (key, now) = (target_key(&target.id), clock::now());
        let mut reach = self.reach.lock();
        if reach.record_detour(&target.service, key, targets, now) {
            log::warn!(
                "event=links_cut service={} target={} targets={targets}",
                shown(&target.service),
                shown(&target.id)
            );
        }
    }

    /// Returns whether this daemon reaches no target directly, so that callers are served better
    /// by others.
    pub(super) fn is_cut_off(&self) -> bool {
        self.reach.lock().is_cut_off(clock::now())
    }

    /// Asks other daemons for a connection to a target, one more at a time, until one opens it.
    async fn open_detour(
        &self,
        id: &str,
        target: &Target,
        is_allowed: &impl Fn(&str) -> bool,
    ) -> Result<TcpStream, DetourError> {
        let began = clock::now();
        let siblings = self.shared.siblings();
        let mut candidates = {
            let table = self.siblings.lock();
            let drawn = table.candidates(&siblings, &target.zone, is_allowed, began, rand::random);
            drawn.into_iter()
        };
        let mut asked = FuturesUnordered::new();
        let mut error = DetourError::Failed;
        let asking = async {
            loop {
                match candidates.next() {
                    Some(sibling) => asked.push(self.ask(sibling, target)),
                    None if asked.is_empty() => return None,
                    None => {}
                }
                let next = tokio::time::sleep(NEXT_SIBLING_AFTER);
                let answer = tokio::select! {
                    Some(answer) = asked.next() => answer,
                    () = next => continue,
                };
                match answer {
                    (sibling, Ok(tcp)) => return Some((sibling, tcp)),
                    (_, Err(Some(TunnelAnswer::Refused))) => error = DetourError::Refused,
                    (_, Err(_)) => {}
                }
            }
        };
        let opened = tokio::time::timeout(DETOUR_TIMEOUT, asking).await;
        let opened = opened.ok().flatten();
        let outcome = if opened.is_some() { "open" } else { "failed" };
        log::info!(
            "event=detour request={id} target={target} through={:?} outcome={outcome} took_ms={}",
            opened.as_ref().map(|(sibling, _)| &sibling.name),
            clock::millis(clock::now().saturating_sub(began)),
            id = shown(&id),
            target = shown(&target.id)
        );
        metrics::counter!("bluebell_gateway_detours", "outcome" => outcome).increment(1);
        opened.map(|(_, tcp)| tcp).ok_or(error)
    }

    /// Asks another daemon for a connection to a target.
    async fn ask<'a>(
        &self,
        sibling: &'a Sibling,
        target: &Target,
    ) -> (&'a Sibling, Result<TcpStream, Option<TunnelAnswer>>) {
        let peer = sibling.address;
        let request = TunnelRequest {
            target: target.id.clone(),
        };
        let exchange = async {
            let key = MessageKey::new(CHECKSUM_KEY);
            let step = "connect";
            let connected = TcpStream::connect(peer).await;
            let mut tcp = connected.map_err(|source| PeerError::Io { step, peer, source })?;
            let set = enable_dead_peer_detection(&tcp, UNACKNOWLEDGED_TIMEOUT);
            log_socket_error(peer, set);
            write_frame(&mut tcp, &key, peer, &request).await?;
            let answer: TunnelAnswer = read_frame(&mut tcp, &key, peer).await?;
            Ok::<_, PeerError>((tcp, answer))
        };
        let outcome = match exchange.await {
            Ok((tcp, TunnelAnswer::Open)) => Ok(tcp),
            Ok((_, answer)) => Err(Some(answer)),
            Err(e) => {
                log::debug!("event=tunnel_failed error={:?}", e.to_string());
                Err(None)
            }
        };
        // A target that refuses everybody says nothing of the daemon.
        if !matches!(outcome, Err(Some(TunnelAnswer::Refused))) {
            let mut table = self.siblings.lock();
            table.record(&sibling.name, outcome.is_ok(), clock::now());
        }
        (sibling, outcome)
    }
}

/// Tries targets directly while the links to them are cut; never returns.
pub(crate) async fn probe_links(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(PROBE_PERIOD).await;
        let cut: Vec<Box<str>> = {
            let reach = gateway.reach.lock();
            reach.cut_services().map(Box::from).collect()
        };
        if cut.is_empty() {
            continue;
        }
        let fleet = gateway.shared.fleet();
        // One target of any service shows whether all links are cut.
        let any = fleet.targets.values().choose(&mut rand::rng());
        let of_cut = cut.iter().filter_map(|service| {
            let targets = fleet.available_targets(service);
            targets.choose(&mut rand::rng())
        });
        let probes = of_cut.chain(any).map(|entry| {
            let target = &entry.target;
            let dial = &gateway.engines.dial;
            async move { (target, connect(dial, target.address).await) }
        });
        let mut probes: FuturesUnordered<_> = probes.collect();
        while let Some((target, connected)) = probes.next().await {
            if connected.is_ok() {
                gateway.record_direct(target, true);
            }
        }
    }
}

/// Opens connections to targets for other daemons; never returns.
pub(crate) async fn serve_tunnels(listener: Arc<TcpListener>, gateway: Arc<Gateway>) {
    loop {
        match listener.accept().await {
            Ok((tcp, peer)) => {
                tokio::spawn(serve_tunnel(tcp, peer, gateway.clone()));
            }
            Err(e) => {
                log::warn!("event=accept_failed port=tunnels error={e:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_tunnel(mut origin: TcpStream, peer: SocketAddr, gateway: Arc<Gateway>) {
    let key = MessageKey::new(CHECKSUM_KEY);
    let permit = gateway.tunnels.clone().try_acquire_owned();
    let set = enable_dead_peer_detection(&origin, UNACKNOWLEDGED_TIMEOUT);
    log_socket_error(peer, set);
    let reading = read_frame::<TunnelRequest>(&mut origin, &key, peer);
    let Ok(Ok(request)) = tokio::time::timeout(REQUEST_TIMEOUT, reading).await else {
        return;
    };
    let opened = match permit {
        Ok(_) if !gateway.shared.is_stopping() => gateway.open_for_other(&request.target).await,
        _ => Err(TunnelAnswer::Full),
    };
    let answer = opened.as_ref().err().copied().unwrap_or(TunnelAnswer::Open);
    log::info!(
        "event=tunnel peer={peer} target={target} answer={answer}",
        target = shown(&request.target)
    );
    metrics::counter!("bluebell_gateway_tunnels", "answer" => answer.to_string()).increment(1);
    if write_frame(&mut origin, &key, peer, &answer).await.is_err() {
        return;
    }
    let Ok((target, tcp)) = opened else {
        return;
    };
    // The process does not exit before the connection has ended.
    let _open = gateway.connections.start();
    let sent_at = clock::now();
    pass_on(origin, tcp, |head| {
        gateway.record_passed_on(&target, head, sent_at);
    })
    .await;
}

impl Gateway {
    /// Opens a direct connection to a target that takes work.
    async fn open_for_other(&self, id: &str) -> Result<(Arc<Target>, TcpStream), TunnelAnswer> {
        let now = clock::now();
        let fleet = self.shared.fleet();
        let known = fleet.targets.get(id).ok_or(TunnelAnswer::Closed)?;
        let target = known.target.clone();
        let drain_time = Duration::from_millis(self.settings().bounds.drain_ms);
        let is_waiting = self
            .statements
            .table()
            .waits_until(known.key, now)
            .is_some();
        if is_waiting || !fleet.accepts_resumed_runs(&target, drain_time, now) {
            return Err(TunnelAnswer::Closed);
        }
        if self.way_to(&target) == Way::Sibling {
            return Err(TunnelAnswer::Unreachable);
        }
        let connected = connect(&self.engines.dial, target.address).await;
        self.record_direct(&target, connected.is_ok());
        match connected {
            Ok(tcp) => Ok((target, tcp)),
            // This daemon may be cut off itself.
            Err(e) if is_refused(&e) && !self.is_cut_suspected(&target) => {
                Err(TunnelAnswer::Refused)
            }
            Err(_) => Err(TunnelAnswer::Unreachable),
        }
    }

    /// Records what a target states in an answer that is passed on to another daemon.
    fn record_passed_on(&self, target: &Target, head: &[u8], sent_at: BootTime) {
        if let Some(res) = parse_head(head) {
            self.record_target_statements(target, &res, sent_at);
        }
    }
}

/// Passes bytes on between another daemon and a target until one of them ends its connection.
/// Calls `on_head` with the head of the target's first response.
async fn pass_on(mut origin: TcpStream, mut target: TcpStream, on_head: impl FnOnce(&[u8])) {
    let is_reset = {
        let (mut from_origin, mut to_origin) = origin.split();
        let (mut from_target, mut to_target) = target.split();
        let answering = pass_answer(&mut from_target, &mut to_origin, on_head);
        tokio::select! {
            answered = answering => answered.is_err(),
            // The target is to notice at once if a caller leaves.
            () = pass_request(&mut from_origin, &mut to_target) => true,
        }
    };
    if is_reset {
        // An answer that broke off must not look complete.
        for tcp in [&origin, &target] {
            if let Err(e) = tcp.set_zero_linger() {
                log::debug!("event=socket_option_failed error={e:?}");
            }
        }
    }
}

/// Passes a request on until the other daemon ends its connection.
async fn pass_request(from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>) {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut is_open = true;
    while let Ok(len) = from.read(&mut buf).await {
        if len == 0 {
            return;
        }
        // A target may answer and read no further.
        is_open = is_open && to.write_all(&buf[..len]).await.is_ok();
    }
}

/// Passes an answer on to its end; fails if the target's connection fails.
async fn pass_answer(
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    on_head: impl FnOnce(&[u8]),
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut head = Vec::new();
    let mut on_head = Some(on_head);
    loop {
        let len = from.read(&mut buf).await?;
        if len == 0 {
            return to.shutdown().await;
        }
        if on_head.is_some() {
            head.extend_from_slice(&buf[..len]);
            let end = head.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(end) = end
                && let Some(on_head) = on_head.take()
            {
                on_head(&head[..end]);
            }
            if head.len() > MAX_HEAD_BYTES || on_head.is_none() {
                on_head = None;
                head = Vec::new();
            }
        }
        to.write_all(&buf[..len]).await?;
    }
}

/// Parses the head of a response as far as it is readable.
fn parse_head(head: &[u8]) -> Option<Response<()>> {
    let text = String::from_utf8_lossy(head);
    let mut lines = text.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?;
    let mut res = Response::new(());
    *res.status_mut() = StatusCode::from_bytes(status.as_bytes()).ok()?;
    let fields = lines.filter_map(|line| line.split_once(':'));
    for (name, value) in fields {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_str(value.trim());
        if let (Ok(name), Ok(value)) = (name, value) {
            res.headers_mut().append(name, value);
        }
    }
    Some(res)
}
