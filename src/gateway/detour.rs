//! Connects to targets, through another daemon where the direct way is cut.
//!
//! Nothing has been sent before a connection is open, so that a request is tried on two ways and
//! sent on one. What it may do, its budget, its deadline and the judgement of its answer stay with
//! this daemon, to which its caller is connected.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, TryFutureExt, stream::FuturesUnordered};
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;

use super::{
    Gateway,
    exchange::{ExchangeError, connect},
    job::Admitted,
    model::Target,
    peer_wire::target_key,
    reach::{Sibling, Way},
    target_connection::TargetConnection,
    tunnel::{TunnelAnswer, ask_for_tunnel},
    tunnel_stream::TunnelStream,
};
use crate::{clock, log::shown};

/// Time after which a connection is also tried through another daemon: more than two round trips
/// between regions.
const DETOUR_AFTER: Duration = Duration::from_millis(150);
/// Time after which one more daemon is asked for the same connection.
const NEXT_SIBLING_AFTER: Duration = Duration::from_millis(100);
/// Time limit for a connection through another daemon, and for both ways together.
const DETOUR_TIMEOUT: Duration = Duration::from_millis(450);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(550);
/// Interval between direct connections to targets while the links to them are cut.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

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
    ) -> Result<TargetConnection, ExchangeError> {
        let is_allowed = |zone: &str| {
            let region = self.settings().region_of(zone).to_owned();
            let customer = admitted.customer.as_deref();
            admitted.route.allows_region(customer, &region)
        };
        self.connect_through(id, target, &is_allowed).await
    }

    /// Connects to a target to ask it something; nothing of a caller's request is sent.
    pub(super) async fn connect_to_ask(
        &self,
        id: &str,
        target: &Target,
    ) -> Result<TargetConnection, ExchangeError> {
        self.connect_through(id, target, &|_: &str| true).await
    }

    /// Connects to a target, directly or through a daemon of an allowed zone.
    async fn connect_through(
        &self,
        id: &str,
        target: &Target,
        is_allowed: &impl Fn(&str) -> bool,
    ) -> Result<TargetConnection, ExchangeError> {
        let way = self.way_to(target);
        let failed = |reason: &str, is_refused| ExchangeError::Connect {
            peer: target.address,
            reason: reason.into(),
            is_refused,
        };
        if way == Way::Direct {
            let connecting = self.connect_both_ways(id, target, is_allowed);
            let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
            return connected.unwrap_or_else(|_| Err(failed("timeout", false)));
        }
        match self.open_detour(id, target, is_allowed).await {
            Ok(tcp) => Ok(tcp),
            Err(DetourError::Refused) => Err(failed("refused to another daemon", true)),
            // The links may be back.
            Err(DetourError::Failed) => {
                let connected = connect(&self.engines.dial, target.address).await;
                self.record_direct(target, connected.is_ok());
                connected.map(TargetConnection::Direct)
            }
        }
    }

    /// Connects directly, and through another daemon as well once that takes long or the links
    /// seem to be cut.
    async fn connect_both_ways(
        &self,
        id: &str,
        target: &Target,
        is_allowed: &impl Fn(&str) -> bool,
    ) -> Result<TargetConnection, ExchangeError> {
        let direct = connect(&self.engines.dial, target.address);
        let direct = direct.map_ok(TargetConnection::Direct);
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

    pub(super) fn way_to(&self, target: &Target) -> Way {
        let key = target_key(&target.id);
        self.reach.lock().way(&target.service, key, clock::now())
    }

    pub(super) fn is_cut_suspected(&self, target: &Target) -> bool {
        let targets = self.available_count(&target.service);
        let reach = self.reach.lock();
        reach.is_suspected(&target.service, targets, clock::now())
    }

    fn available_count(&self, service: &str) -> usize {
        self.shared.fleet().available_targets(service).count()
    }

    pub(super) fn record_direct(&self, target: &Target, succeeded: bool) {
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
    ) -> Result<TargetConnection, DetourError> {
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
                    (sibling, Ok(tunnel)) => return Some((sibling, tunnel)),
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
        let opened = opened.map(|(_, tunnel)| TargetConnection::Sibling(tunnel));
        opened.ok_or(error)
    }

    /// Asks another daemon for a connection to a target.
    async fn ask<'a>(
        &self,
        sibling: &'a Sibling,
        target: &Target,
    ) -> (
        &'a Sibling,
        Result<TunnelStream<TcpStream>, Option<TunnelAnswer>>,
    ) {
        let outcome = ask_for_tunnel(sibling.address, &target.id).await;
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
