//! Background tasks that call the platform, peers and engines. Most of them send
//! what they read to the control thread as events.
//!
//! Calls to the platform and to engines can be slow or fail. They run here, so
//! that the control thread never waits for them.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{Notify, oneshot, watch},
};
use tokio_util::sync::CancellationToken;

use crate::{
    allot::LeaseAnswer,
    clock,
    control::{Event, Events, PEER_TIMEOUT},
    engine::EngineClient,
    entry::ServerState,
    follow::PlatformDuties,
    lease::{LeaseCall, LeaseRecord, TARGET_LEASE_PREFIX},
    peer::{self, MessageKey},
    platform::{Object, Platform, PlatformError, Revision, WriteCondition},
    records::{RECORD_PREFIX, RecordSet, ServiceType},
    relay::Role,
    supervisor::supervise,
    view::SharedView,
    wire::{Frame, RecordsPage, TargetName},
};

/// Key prefix of status objects in the platform's object store.
const STATUS_PREFIX: &str = "status/";
/// Idle time after which a connection from a peer is closed.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of platform polls between two full listings of the records, which
/// recover changes that a watch left out.
const POLLS_PER_LISTING: u32 = 30;
/// Time that the watch gets to deliver a change whose revision was already read,
/// before it counts as behind.
const WATCH_LAG_TOLERANCE: Duration = Duration::from_millis(100);

/// State shared by the tasks that call the platform.
#[derive(Clone)]
pub(crate) struct PlatformContext {
    /// Client of the platform.
    pub platform: Platform,
    /// Sender of events to the control thread.
    pub events: Events,
    /// View published by the control thread.
    pub view: SharedView,
    /// Platform calls that this daemon is responsible for.
    pub duties: watch::Receiver<PlatformDuties>,
    /// Notified when the watch missed a change and must be reopened.
    pub watch_reopen: Arc<Notify>,
    /// Key that authenticates messages between daemons.
    pub message_key: MessageKey,
    /// Peer ports of the peers listed in the settings.
    pub peers: Vec<SocketAddr>,
    /// Polling period.
    pub period: Duration,
}

impl PlatformContext {
    /// Returns the revision of the records in effect.
    fn revision(&self) -> Revision {
        self.view.load().records.revision
    }

    /// Waits until the duties satisfy `wanted`. Never returns if the control
    /// thread has ended.
    async fn wait_for_duties(&mut self, wanted: impl FnMut(&PlatformDuties) -> bool) {
        if self.duties.wait_for(wanted).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Lists all records and then watches their changes, while this daemon is a
/// relay.
pub(crate) async fn watch_records(mut context: PlatformContext) {
    context.wait_for_duties(|d| d.role == Role::Relay).await;
    let mut role_context = context.clone();
    tokio::select! {
        () = follow_records(&context) => {}
        () = role_context.wait_for_duties(|d| d.role != Role::Relay) => {}
        () = context.watch_reopen.notified() => log::info!("event=watch_reopened"),
    }
}

/// Watches changes after the revision in effect. Without records, lists them at
/// the platform first. If that fails, loads them from peers and returns; the
/// supervisor then runs the task again.
async fn follow_records(context: &PlatformContext) {
    let revision_in_force = context.revision();
    let after = if revision_in_force > 0 {
        revision_in_force
    } else {
        match list_records(context).await {
            Some(revision) => revision,
            None => return load_from_peers(context).await,
        }
    };
    let watch = match context.platform.watch(RECORD_PREFIX, after).await {
        Ok(watch) => watch,
        Err(e) => return log::warn!("event=watch_failed error={:?}", e.to_string()),
    };
    let mut watch = std::pin::pin!(watch);
    while let Some(Ok(object)) = watch.next().await {
        if context
            .events
            .send(Event::WatchedObject(object))
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Lists all records; returns the revision of the listing, or `None` when the
/// listing failed or the control thread has ended.
async fn list_records(context: &PlatformContext) -> Option<Revision> {
    match context.platform.list(RECORD_PREFIX).await {
        Ok(listing) => {
            let revision = listing.revision;
            let delivered = context.events.send(Event::Listing(listing)).await;
            delivered.is_ok().then_some(revision)
        }
        Err(e) => {
            log::warn!("event=list_failed error={:?}", e.to_string());
            None
        }
    }
}

/// Loads records and the instance list from the peers listed in the settings,
/// because the platform is down.
///
/// Needs complete copies of the records from a majority of these peers, and
/// uses the copy with the highest revision: an accepted write is stored at the
/// platform and at each peer that the writing daemon reached, so a single peer
/// may lack it.
async fn load_from_peers(context: &PlatformContext) {
    let call_all = |frame: Frame| {
        let requests = context.peers.iter().map(move |peer| {
            peer::call_peer(&context.message_key, *peer, frame.clone(), PEER_TIMEOUT)
        });
        futures::future::join_all(requests)
    };
    let answers = call_all(Frame::RecordsRequest(0)).await.into_iter();
    let complete_pages = answers.filter_map(|answer| match answer {
        Ok(Frame::Records(page)) if page.has_all_live_records => Some(page),
        _ => None,
    });
    let pages: Vec<RecordsPage> = complete_pages.collect();
    if pages.len() <= context.peers.len() / 2 {
        let asked = context.peers.len();
        return log::warn!("event=no_majority asked={asked} answered={}", pages.len());
    }
    log::info!("event=started_from_peers answered={}", pages.len());
    for page in pages {
        let _ = context.events.send(Event::RecordsPage(page)).await;
    }
    for answer in call_all(Frame::InstancesRequest).await {
        if let Ok(Frame::Instances(page)) = answer {
            let _ = context.events.send(Event::InstancesPage(page)).await;
        }
    }
}

/// Reads the instance list and the newest revision once per period, unless this
/// daemon is a listener, which learns both from peers.
pub(crate) async fn poll_platform(mut context: PlatformContext) {
    let mut polls = 0_u32;
    loop {
        context.wait_for_duties(|d| d.role != Role::Listener).await;
        polls = polls.wrapping_add(1);
        read_instances(&context).await;
        confirm_revision(&context, polls.is_multiple_of(POLLS_PER_LISTING)).await;
        let period = context.period;
        let changed = context.duties.changed();
        let _ = tokio::time::timeout(period, changed).await;
    }
}

async fn read_instances(context: &PlatformContext) {
    let asked_at = clock::now();
    match context.platform.instances().await {
        Ok(list) => drop(context.events.send(Event::Instances(list, asked_at)).await),
        Err(e) => log::debug!("event=instances_failed error={:?}", e.to_string()),
    }
}

/// Reads the newest revision at the platform, and lists all records if those in
/// effect are older or `forces_listing` is set. If they are older and this daemon
/// is a relay, also reopens its watch, which did not deliver the newer changes.
async fn confirm_revision(context: &PlatformContext, forces_listing: bool) {
    let asked_at = clock::now();
    let revision = match context.platform.revision(RECORD_PREFIX).await {
        Ok(revision) => revision,
        Err(e) => return log::debug!("event=revision_failed error={:?}", e.to_string()),
    };
    if revision > context.revision() {
        tokio::time::sleep(WATCH_LAG_TOLERANCE).await;
    }
    let is_behind = revision > context.revision();
    if is_behind || forces_listing {
        list_records(context).await;
    }
    if is_behind && context.duties.borrow().role == Role::Relay {
        log::warn!("event=watch_silent revision={revision}");
        context.watch_reopen.notify_one();
    }
    let _ = context
        .events
        .send(Event::Confirmed(revision, asked_at))
        .await;
}

/// Keeps a status object at the platform for each record whose last change is
/// invalid, while this daemon is the one chosen to write these objects.
pub(crate) async fn write_status(mut context: PlatformContext) {
    let mut written: Option<BTreeMap<Box<str>, Value>> = None;
    loop {
        if !context.duties.borrow().writes_status {
            written = None;
        }
        context.wait_for_duties(|d| d.writes_status).await;
        let wanted = status_objects(&context.view.load().records);
        if written.as_ref() != Some(&wanted) {
            match reconcile_status(&context.platform, &wanted).await {
                Ok(()) => written = Some(wanted),
                Err(e) => log::debug!("event=status_failed error={:?}", e.to_string()),
            }
        }
        tokio::time::sleep(context.period).await;
    }
}

/// Returns the status object of each record whose last change is invalid, by key.
fn status_objects(records: &RecordSet) -> BTreeMap<Box<str>, Value> {
    let invalid = records.records.iter().filter(|(_, r)| !r.faults.is_empty());
    let objects = invalid.map(|(key, record)| {
        let value = json!({
            "record": key.to_string(),
            "revision": record.revision,
            "in_force_revision": record.in_force_revision,
            "faults": record.faults,
        });
        (format!("{STATUS_PREFIX}{key}").into(), value)
    });
    objects.collect()
}

/// Writes the status objects in `wanted` that are absent or differ at the
/// platform, and deletes all others.
async fn reconcile_status(
    platform: &Platform,
    wanted: &BTreeMap<Box<str>, Value>,
) -> Result<(), PlatformError> {
    let listing = platform
        .list(&format!("{STATUS_PREFIX}{RECORD_PREFIX}"))
        .await?;
    let stored: BTreeMap<Box<str>, Object> = listing
        .objects
        .into_iter()
        .map(|o| (o.key.clone(), o))
        .collect();
    for (key, value) in wanted {
        let object = stored.get(key);
        if object.and_then(|o| o.value.as_ref()) != Some(value) {
            let condition = object.map_or(WriteCondition::Absent, |o| {
                WriteCondition::AtRevision(o.revision)
            });
            platform.put(key, value, condition).await?;
        }
    }
    for (key, object) in stored.iter().filter(|(key, _)| !wanted.contains_key(*key)) {
        platform
            .delete(key, WriteCondition::AtRevision(object.revision))
            .await?;
    }
    Ok(())
}

/// Receives authenticated datagrams from other daemons.
pub(crate) async fn receive_datagrams(
    udp: Arc<UdpSocket>,
    message_key: MessageKey,
    events: Events,
) {
    loop {
        let (from, packet) = peer::receive_packet(&udp, &message_key).await;
        if events.send(Event::Packet(from, packet)).await.is_err() {
            return;
        }
    }
}

/// Serves the TCP requests of other daemons.
pub(crate) async fn accept_frames(tcp: Arc<TcpListener>, message_key: MessageKey, events: Events) {
    while let Ok((connection, from)) = tcp.accept().await {
        let (message_key, events) = (message_key.clone(), events.clone());
        tokio::spawn(async move {
            let answer = |frame| answer_frame(events.clone(), frame);
            let result =
                peer::serve_frames(connection, message_key, from, PEER_IDLE_TIMEOUT, answer).await;
            if let Err(e) = result {
                log::debug!("event=frames_ended peer={from} error={:?}", e.to_string());
            }
        });
    }
}

/// Passes a request to the control thread and returns its response.
async fn answer_frame(events: Events, frame: Frame) -> Frame {
    let (response_tx, response_rx) = oneshot::channel();
    let _ = events.send(Event::PeerRequest(frame, response_tx)).await;
    response_rx
        .await
        .unwrap_or(Frame::Rejected("stopping".into()))
}

/// Reads the load reports of all engines that this daemon polls, once per period.
pub(crate) async fn poll_loads(view: SharedView, events: Events, period: Duration) {
    let engines = EngineClient::open(PEER_TIMEOUT);
    loop {
        let view = view.load_full();
        for (service, targets) in &view.targets {
            let service = view.snapshot.services.get(service);
            if service.is_none_or(|s| s.kind != ServiceType::Generation) {
                continue;
            }
            for target in targets.iter().filter(|t| t.is_polled) {
                let (sent_at, name) = (clock::now(), target.name.clone());
                let event = match engines.load(&target.address).await {
                    Ok(load) => Event::Load(name, load),
                    Err(_) => Event::Probed(name, None, sent_at),
                };
                let _ = events.send(event).await;
            }
        }
        tokio::time::sleep(period).await;
    }
}

/// Reads or writes a target's lease at the platform, and reports the outcome.
pub(crate) async fn call_lease(
    platform: Platform,
    events: Events,
    target: TargetName,
    call: LeaseCall,
    record: LeaseRecord,
) {
    let sent_at = clock::now();
    let key = format!("{TARGET_LEASE_PREFIX}{target}");
    let result = match call {
        LeaseCall::Read => platform.get(&key).await.map(LeaseAnswer::Read),
        LeaseCall::Write(condition) => {
            let value = serde_json::to_value(&record).unwrap_or_default();
            let written = platform.put(&key, &value, condition).await;
            written.map(LeaseAnswer::Write)
        }
    };
    let answer = result.unwrap_or_else(|e| {
        log::warn!(
            "event=lease_failed target={target} error={:?}",
            e.to_string()
        );
        LeaseAnswer::Failed
    });
    let _ = events
        .send(Event::LeaseCallEnded(target, answer, sent_at))
        .await;
}

/// Requests the load report of one engine, and reports the outcome.
pub(crate) async fn probe(
    engines: EngineClient,
    events: Events,
    target: TargetName,
    address: Box<str>,
) {
    let sent_at = clock::now();
    let load = engines.load(&address).await.ok();
    let _ = events.send(Event::Probed(target, load, sent_at)).await;
}

/// Starts a task that reads the cache events of all engines once per period,
/// until `stop` is cancelled.
pub(crate) fn supervise_cache_events(state: &Arc<ServerState>, stop: &CancellationToken) {
    let state = state.clone();
    supervise("cache_events", stop.clone(), move || {
        poll_cache_events(state.clone())
    });
}

async fn poll_cache_events(state: Arc<ServerState>) {
    loop {
        let view = state.view.load_full();
        for (service, targets) in &view.targets {
            let service = view.snapshot.services.get(service);
            if service.is_none_or(|s| s.kind != ServiceType::Generation) {
                continue;
            }
            for target in targets {
                let after = state.prefixes.last_sequence(&target.name);
                let events = state.engines.cache_events(&target.address, after).await;
                let events = events.unwrap_or_default();
                if let Some(last) = events.last() {
                    state.prefixes.apply(&target.name, &events);
                    let (name, sequence) = (&target.name, last.sequence);
                    log::debug!("event=cache_events target={name} sequence={sequence}");
                }
            }
        }
        tokio::time::sleep(state.settings.timing.platform_poll).await;
    }
}
