//! Passes a marked request that this daemon cannot run on to the trial daemon of a
//! target.
//!
//! Each target has one trial daemon, so a daemon may be the trial daemon of none.
//! The daemon that receives the request decides like any other whether and where
//! it runs; this one only relays the response. A request is passed on once.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use http_body_util::{BodyDataStream, BodyExt, Full, Limited};
use hyper::{
    Method, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderName, HeaderValue},
};
use tokio::time::Instant;
use viz::{Request, RequestExt, Response};

use crate::{
    clock::{self, BootTime, millis},
    entry::{ActiveRequest, ServerState},
    http::{self, CallError},
    peer::MessageKey,
    quarantine::{self, Fingerprint},
    refusal::{RAN_HEADER, Ran, Refusal, RefusalKind},
    trial,
    view::{PeerDaemon, Target, TargetState},
    wire::{CrashNotice, Frame},
};

/// Header of a request that another daemon passed on: the time for which it waited
/// there, in milliseconds.
const WAITED_HEADER: HeaderName = HeaderName::from_static("x-bluebell-waited-ms");
/// Maximum number of daemons to which one request is offered.
const MAX_OFFERS: usize = 3;
/// Interval between checks whether the daemon that runs a request is alive.
const ALIVE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Size of a response beside the text of its answer, in bytes.
const MAX_OVERHEAD_BYTES: usize = 64 * 1024;
/// Reason given when the daemon that runs a request is no longer alive.
const DEAD: &str = "the daemon is taken for dead";
/// Begin of the event of a token.
const TOKEN_BEGIN: &[u8] = b"id: ";
/// End of a server-sent event.
const EVENT_END: &[u8] = b"\n\n";

/// A request as it arrived, with what is needed to pass it on.
pub(crate) struct Original {
    /// Body, which also identifies the request in the quarantine.
    pub body: Bytes,
    authorization: Option<HeaderValue>,
    /// Time for which it waited at the daemon that passed it on; `None` if it came
    /// from its caller.
    waited: Option<Duration>,
}

impl Original {
    pub fn new(req: &Request, body: Bytes) -> Self {
        let waited: Option<u64> = req.header(WAITED_HEADER);
        Self {
            body,
            authorization: req.headers().get(AUTHORIZATION).cloned(),
            waited: waited.map(Duration::from_millis),
        }
    }

    /// Returns the time for which the request waited at another daemon.
    pub fn waited(&self) -> Duration {
        self.waited.unwrap_or_default()
    }
}

/// A request that may have to be passed on.
pub(crate) struct TrialRequest {
    pub original: Original,
    /// Request id at this daemon, for the log.
    pub request_id: Box<str>,
    /// Time at which the whole body had been read.
    pub arrived_at: BootTime,
    pub service: Box<str>,
    pub fingerprint: Fingerprint,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Option<Instant>,
}

/// Result of an offer to another daemon.
enum Offer {
    /// The daemon answered the request.
    Answered(Response),
    /// The request did not run there.
    NotRun,
    /// The request is quarantined there, and did not run.
    Quarantined,
}

/// Passes a request that was refused here on, if it is marked and found no room;
/// otherwise returns `refusal`.
///
/// # Errors
/// Returns `refusal` if the request ran at none of the daemons to which it was
/// offered, and another refusal if one of them has it in quarantine or if it may have
/// run at the last one.
pub(crate) async fn forward_or_refuse(
    state: &Arc<ServerState>,
    request: &TrialRequest,
    refusal: Refusal,
) -> Result<Response, Refusal> {
    let is_from_caller = request.original.waited.is_none();
    if refusal.kind != RefusalKind::NoRoom || !is_from_caller {
        return Err(refusal);
    }
    let fingerprint = &request.fingerprint;
    let mark = state.quarantine.lock().notice_of(fingerprint, clock::now());
    let Some(mark) = mark else {
        return Err(refusal);
    };
    let last_offer_at = clock::now() + state.settings.timing.queue_timeout;
    let peers = trial_peers(state, &request.service);
    for peer in peers.into_iter().take(MAX_OFFERS) {
        let is_late = request.deadline.is_some_and(|at| Instant::now() >= at);
        if is_late || clock::now() > last_offer_at {
            break;
        }
        let offered = offer(state, request, mark.clone(), &peer).await;
        let offered = offered.map_err(|e| Refusal {
            ran: refusal.ran.combine(e.ran),
            ..e
        })?;
        match offered {
            Offer::Answered(response) => return Ok(response),
            Offer::Quarantined => {
                return Err(Refusal {
                    ran: refusal.ran,
                    ..trial::quarantined_refusal()
                });
            }
            Offer::NotRun => {}
        }
    }
    Err(refusal)
}

/// Returns the trial daemons of the targets of a service, starting with that of a
/// random target, so that marked requests spread. If the service must stay in this
/// region, the target and its trial daemon must be there too.
fn trial_peers(state: &ServerState, service: &str) -> Vec<PeerDaemon> {
    let view = state.view.load();
    let region = &state.settings.region;
    let intent = view.snapshot.intent_of(service);
    let is_usable = |other: &str| intent.is_none_or(|i| i.cross_region) || *other == **region;
    let targets = view.targets_of(service).iter();
    let serving = targets.filter(|t| t.state == TargetState::Serving && is_usable(&t.region));
    let mut serving: Vec<&Arc<Target>> = serving.collect();
    let first = rand::random::<u32>() as usize % serving.len().max(1);
    serving.rotate_left(first);
    let peers = view.peers.iter().map(|p| &*p.name);
    let daemons: Vec<&str> = peers.chain([&*state.settings.name]).collect();
    let names = quarantine::trial_daemons(serving.iter().map(|t| &*t.name), &daemons);
    let found = names
        .into_iter()
        .filter_map(|name| view.peers.iter().find(|p| *p.name == *name));
    let ready = found.filter(|p| !p.is_draining && is_usable(&p.region));
    ready.cloned().collect()
}

/// Offers a request to one daemon and waits for its answer.
///
/// # Errors
/// Returns a refusal if the request may have run there and its answer was lost.
async fn offer(
    state: &Arc<ServerState>,
    request: &TrialRequest,
    mark: CrashNotice,
    peer: &PeerDaemon,
) -> Result<Offer, Refusal> {
    let (request_id, daemon) = (&request.request_id, &peer.name);
    // A daemon that did not hear of the crash would run the request beside others.
    let message_key = MessageKey::new(&state.settings.keys.peer);
    let told = quarantine::notify_peer(&message_key, peer.address, mark).await;
    if !matches!(told, Ok(Frame::Acknowledged)) {
        log::info!("event=trial_not_forwarded request={request_id} daemon={daemon}");
        return Ok(Offer::NotRun);
    }
    log::info!("event=trial_forwarded request={request_id} daemon={daemon}");
    let sending = async { http::send(&state.services, request_to(request, peer)?).await };
    let sent = tokio::select! {
        sent = sending => sent,
        () = wait_until_dead(state, daemon) => Err(CallError::NoAnswer {
            step: "answer",
            peer: peer.caller_address.clone(),
            reason: DEAD.into(),
        }),
    };
    match sent {
        Ok(res) if is_quarantined(&res) => Ok(Offer::Quarantined),
        Ok(res) if has_not_run(&res) => Ok(Offer::NotRun),
        Ok(res) => relay(state, request, peer, res).await.map(Offer::Answered),
        Err(e) if e.is_unsent() => Ok(Offer::NotRun),
        Err(e) => Err(lost(Ran::Unknown, &e)),
    }
}

/// Returns the request to another daemon.
fn request_to(
    request: &TrialRequest,
    peer: &PeerDaemon,
) -> Result<hyper::Request<Full<Bytes>>, CallError> {
    let original = &request.original;
    let waited = clock::now().saturating_sub(request.arrived_at);
    let address = caller_address(&peer.caller_address, peer.address);
    let body = original.body.clone();
    let mut req = http::json_request(&Method::POST, &address, "/v1/completions", body)?;
    let headers = req.headers_mut();
    headers.insert(WAITED_HEADER, millis(waited).into());
    if let Some(authorization) = &original.authorization {
        headers.insert(AUTHORIZATION, authorization.clone());
    }
    Ok(req)
}

/// Returns the address of a daemon's caller port. A daemon that listens on all
/// addresses is reached at that of its peer port.
fn caller_address(caller: &str, peer: SocketAddr) -> Box<str> {
    match caller.parse::<SocketAddr>() {
        Ok(address) if address.ip().is_unspecified() => {
            let reachable = SocketAddr::new(peer.ip(), address.port());
            reachable.to_string().into()
        }
        _ => caller.into(),
    }
}

/// Returns whether a response is a refusal of a request that did not run.
fn has_not_run(res: &hyper::Response<Incoming>) -> bool {
    let not_run: &'static str = Ran::NotRun.into();
    res.headers().get(RAN_HEADER).is_some_and(|r| r == not_run)
}

/// Returns whether a response refuses a request because it is quarantined. Nothing
/// else gives this status to a generation.
fn is_quarantined(res: &hyper::Response<Incoming>) -> bool {
    has_not_run(res) && res.status() == StatusCode::UNPROCESSABLE_ENTITY
}

/// Returns the response of another daemon as one to the caller.
///
/// # Errors
/// A response that is not a stream broke off.
async fn relay(
    state: &Arc<ServerState>,
    request: &TrialRequest,
    peer: &PeerDaemon,
    res: hyper::Response<Incoming>,
) -> Result<Response, Refusal> {
    let (head, body) = res.into_parts();
    let media = head.headers.get(CONTENT_TYPE).cloned();
    if media.as_ref().is_some_and(|m| m == "text/event-stream") {
        let relayed = EventRelay {
            state: Arc::clone(state),
            request_id: request.request_id.clone(),
            daemon: peer.name.clone(),
            body: BodyDataStream::new(body),
            partial: BytesMut::new(),
            has_ended: false,
            ran: Ran::Unknown,
            _active: ActiveRequest::new(state),
        };
        let events = stream::unfold(relayed, |mut relayed| async move {
            let events = relayed.next().await?;
            Some((Ok(events), relayed))
        });
        return Ok(http::event_stream(events));
    }
    let body = Limited::new(body, max_response_bytes(state));
    let body = tokio::select! {
        body = body.collect() => body.map_err(|e| lost(Ran::Unknown, &e))?,
        () = wait_until_dead(state, &peer.name) =>
            return Err(lost(Ran::Unknown, &DEAD)),
    };
    let mut res = http::with_body(head.status, "application/json", body.to_bytes());
    for (name, value) in &head.headers {
        if *name == RAN_HEADER || *name == hyper::header::RETRY_AFTER {
            res.headers_mut().insert(name, value.clone());
        }
    }
    Ok(res)
}

/// A stream of another daemon, which is passed on in whole events.
struct EventRelay {
    state: Arc<ServerState>,
    request_id: Box<str>,
    daemon: Box<str>,
    body: BodyDataStream<Incoming>,
    /// Begin of an event whose rest has not arrived yet.
    partial: BytesMut,
    has_ended: bool,
    /// Whether the request ran; it did once a token has arrived.
    ran: Ran,
    /// Counts the request as active until the stream is dropped.
    _active: ActiveRequest,
}

impl EventRelay {
    /// Returns the next events, or an error event if the stream broke off.
    async fn next(&mut self) -> Option<Bytes> {
        while !self.has_ended {
            let next = tokio::select! {
                next = self.body.next() => next?.map_err(|e| lost(self.ran, &e)),
                () = wait_until_dead(&self.state, &self.daemon) =>
                    Err(lost(self.ran, &DEAD)),
            };
            match next.and_then(|bytes| self.add(&bytes)) {
                Ok(None) => {}
                Ok(Some(events)) => return Some(events),
                Err(refusal) => {
                    self.has_ended = true;
                    return Some(error_event(&refusal, &self.request_id));
                }
            }
        }
        None
    }

    /// Adds bytes of the body and returns the events that are whole, if there are any.
    fn add(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, Refusal> {
        self.partial.extend_from_slice(bytes);
        let events = split_whole_events(&mut self.partial);
        if events.as_ref().is_some_and(|e| e.starts_with(TOKEN_BEGIN)) {
            self.ran = Ran::Ran;
        }
        if self.partial.len() > max_response_bytes(&self.state) {
            return Err(lost(self.ran, &"an event is too large"));
        }
        Ok(events)
    }
}

/// Returns the maximum size of a response that is not streamed, and of one event.
/// Escapes may double the size of the answer.
fn max_response_bytes(state: &ServerState) -> usize {
    let answer = state.settings.limits.max_buffer_bytes.saturating_mul(2);
    answer.saturating_add(MAX_OVERHEAD_BYTES)
}

/// Removes the events that are whole and returns them, if there are any.
fn split_whole_events(received: &mut BytesMut) -> Option<Bytes> {
    let mut ends = received.windows(EVENT_END.len());
    let end = ends.rposition(|bytes| bytes == EVENT_END)? + EVENT_END.len();
    Some(received.split_to(end).freeze())
}

/// Returns the last event of a stream that broke off.
fn error_event(refusal: &Refusal, request_id: &str) -> Bytes {
    refusal.record(request_id);
    let json = refusal.to_json(request_id, None);
    [b"event: error\ndata: ".as_slice(), &json, EVENT_END]
        .concat()
        .into()
}

/// Returns the refusal of a request whose answer was lost between two daemons.
fn lost(ran: Ran, error: &dyn std::fmt::Display) -> Refusal {
    let message = format!("the answer of the trial daemon was lost: {error}");
    Refusal::new(RefusalKind::TargetFailed, ran, message)
}

/// Waits until a daemon is no longer taken to be alive.
async fn wait_until_dead(state: &ServerState, daemon: &str) {
    while state.view.load().peers.iter().any(|p| *p.name == *daemon) {
        tokio::time::sleep(ALIVE_CHECK_INTERVAL).await;
    }
}
