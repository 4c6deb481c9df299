//! Tasks that feed the control thread: platform, peers and engines.

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
    entry::Entry,
    follow::Duties,
    lease::{LeaseCall, LeaseRecord, TARGET_LEASES},
    peer::{self, Seal},
    platform::{Condition, Object, Platform, PlatformError, Revision},
    records::{RECORD_PREFIX, RecordSet, ServiceType},
    relay::Role,
    supervisor::supervise,
    view::SharedView,
    wire::{Frame, RecordsPage, TargetName},
};

/// Prefix of status objects in the platform's object API.
const STATUS_PREFIX: &str = "status/";
/// Idle time after which a peer's connection is closed.
const PEER_IDLE: Duration = Duration::from_secs(60);

/// Readings after which a relay lists all records again, in case a watch left
/// something out.
const RELIST_EVERY: u32 = 30;
/// Time for the watch to bring what a revision read already tells of.
const WATCH_GRACE: Duration = Duration::from_millis(100);

/// What the tasks that call the platform share.
#[derive(Clone)]
pub(crate) struct PlatformReader {
    pub platform: Platform,
    pub events: Events,
    pub view: SharedView,
    /// What this daemon does at the platform.
    pub duties: watch::Receiver<Duties>,
    /// The watch missed something: it is to be opened anew.
    pub resync: Arc<Notify>,
    pub seal: Seal,
    /// Peer ports from the settings.
    pub peers: Vec<SocketAddr>,
    /// Period of readings.
    pub period: Duration,
}

impl PlatformReader {
    fn revision(&self) -> Revision {
        self.view.load().records.revision
    }

    async fn wait_duty(&mut self, wanted: impl FnMut(&Duties) -> bool) {
        if self.duties.wait_for(wanted).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// While this daemon is a relay: reads all records, then follows their changes.
pub(crate) async fn watch_records(mut reader: PlatformReader) {
    reader.wait_duty(|d| d.role == Role::Relay).await;
    let mut duty = reader.clone();
    tokio::select! {
        () = follow_records(&reader) => {}
        () = duty.wait_duty(|d| d.role != Role::Relay) => {}
        () = reader.resync.notified() => log::info!("event=watch_reopened"),
    }
}

async fn follow_records(reader: &PlatformReader) {
    let held = reader.revision();
    let after = if held > 0 {
        held
    } else {
        match list_records(reader).await {
            Some(revision) => revision,
            None => return ask_peers(reader).await,
        }
    };
    let watch = match reader.platform.watch(RECORD_PREFIX, after).await {
        Ok(watch) => watch,
        Err(e) => return log::warn!("event=watch_failed error={:?}", e.to_string()),
    };
    let mut watch = std::pin::pin!(watch);
    while let Some(Ok(object)) = watch.next().await {
        if reader.events.send(Event::Object(object)).await.is_err() {
            return;
        }
    }
}

async fn list_records(reader: &PlatformReader) -> Option<Revision> {
    match reader.platform.list(RECORD_PREFIX).await {
        Ok(listing) => {
            let revision = listing.revision;
            let sent = reader.events.send(Event::Listing(listing)).await;
            sent.is_ok().then_some(revision)
        }
        Err(e) => {
            log::warn!("event=list_failed error={:?}", e.to_string());
            None
        }
    }
}

/// Starts from what a majority of the peers in the settings hold, for the
/// platform is down. An accepted write is at the platform and at each peer
/// that its writer reached, so the highest revision of a majority counts.
async fn ask_peers(reader: &PlatformReader) {
    let ask = |frame: Frame| {
        let asks = reader
            .peers
            .iter()
            .map(move |peer| peer::ask(&reader.seal, *peer, frame.clone(), PEER_TIMEOUT));
        futures::future::join_all(asks)
    };
    let answers = ask(Frame::RecordsAfter(0)).await.into_iter();
    let whole = answers.filter_map(|answer| match answer {
        Ok(Frame::Records(page)) if page.is_whole => Some(page),
        _ => None,
    });
    let pages: Vec<RecordsPage> = whole.collect();
    if pages.len() <= reader.peers.len() / 2 {
        let asked = reader.peers.len();
        return log::warn!("event=no_majority asked={asked} answered={}", pages.len());
    }
    log::info!("event=started_from_peers answered={}", pages.len());
    for page in pages {
        let _ = reader.events.send(Event::Page(page)).await;
    }
    for answer in ask(Frame::InstancesAsk).await {
        if let Ok(Frame::Instances(page)) = answer {
            let _ = reader.events.send(Event::InstancesPage(page)).await;
        }
    }
}

/// Unless this daemon hears all from peers: confirms the revision and reads the
/// instance list, once a period.
pub(crate) async fn poll_platform(mut reader: PlatformReader) {
    let mut readings = 0_u32;
    loop {
        reader.wait_duty(|d| d.role != Role::Listener).await;
        readings = readings.wrapping_add(1);
        read_instances(&reader).await;
        confirm_revision(&reader, readings.is_multiple_of(RELIST_EVERY)).await;
        let period = reader.period;
        let changed = reader.duties.changed();
        let _ = tokio::time::timeout(period, changed).await;
    }
}

async fn read_instances(reader: &PlatformReader) {
    let asked_at = clock::now();
    match reader.platform.instances().await {
        Ok(list) => drop(reader.events.send(Event::Instances(list, asked_at)).await),
        Err(e) => log::debug!("event=instances_failed error={:?}", e.to_string()),
    }
}

async fn confirm_revision(reader: &PlatformReader, lists_anyway: bool) {
    let asked_at = clock::now();
    let revision = match reader.platform.revision(RECORD_PREFIX).await {
        Ok(revision) => revision,
        Err(e) => return log::debug!("event=revision_failed error={:?}", e.to_string()),
    };
    if revision > reader.revision() {
        tokio::time::sleep(WATCH_GRACE).await;
    }
    let is_behind = revision > reader.revision();
    if is_behind || lists_anyway {
        list_records(reader).await;
    }
    if is_behind && reader.duties.borrow().role == Role::Relay {
        log::warn!("event=watch_silent revision={revision}");
        reader.resync.notify_one();
    }
    let _ = reader
        .events
        .send(Event::Confirmed(revision, asked_at))
        .await;
}

/// While this daemon is the one to do so: keeps a status object at the platform
/// for each record whose last change is invalid.
pub(crate) async fn write_status(mut reader: PlatformReader) {
    let mut written: Option<BTreeMap<Box<str>, Value>> = None;
    loop {
        if !reader.duties.borrow().writes_status {
            written = None;
        }
        reader.wait_duty(|d| d.writes_status).await;
        let wanted = status_objects(&reader.view.load().records);
        if written.as_ref() != Some(&wanted) {
            match reconcile_status(&reader.platform, &wanted).await {
                Ok(()) => written = Some(wanted),
                Err(e) => log::debug!("event=status_failed error={:?}", e.to_string()),
            }
        }
        tokio::time::sleep(reader.period).await;
    }
}

fn status_objects(records: &RecordSet) -> BTreeMap<Box<str>, Value> {
    let invalid = records.records.iter().filter(|(_, h)| !h.faults.is_empty());
    let objects = invalid.map(|(key, held)| {
        let value = json!({
            "record": key.to_string(),
            "revision": held.revision,
            "in_force_revision": held.in_force_revision,
            "faults": held.faults,
        });
        (format!("{STATUS_PREFIX}{key}").into(), value)
    });
    objects.collect()
}

async fn reconcile_status(
    platform: &Platform,
    wanted: &BTreeMap<Box<str>, Value>,
) -> Result<(), PlatformError> {
    let listing = platform
        .list(&format!("{STATUS_PREFIX}{RECORD_PREFIX}"))
        .await?;
    let held: BTreeMap<Box<str>, Object> = listing
        .objects
        .into_iter()
        .map(|o| (o.key.clone(), o))
        .collect();
    for (key, value) in wanted {
        let object = held.get(key);
        if object.and_then(|o| o.value.as_ref()) != Some(value) {
            let condition = object.map_or(Condition::Absent, |o| Condition::At(o.revision));
            platform.put(key, value, condition).await?;
        }
    }
    for (key, object) in held.iter().filter(|(key, _)| !wanted.contains_key(*key)) {
        platform.delete(key, Condition::At(object.revision)).await?;
    }
    Ok(())
}

pub(crate) async fn receive_datagrams(udp: Arc<UdpSocket>, seal: Seal, events: Events) {
    loop {
        let (from, packet) = peer::receive_packet(&udp, &seal).await;
        if events.send(Event::Packet(from, packet)).await.is_err() {
            return;
        }
    }
}

pub(crate) async fn accept_frames(tcp: Arc<TcpListener>, seal: Seal, events: Events) {
    while let Ok((connection, from)) = tcp.accept().await {
        let (seal, events) = (seal.clone(), events.clone());
        tokio::spawn(async move {
            let answer = |frame| answer_frame(events.clone(), frame);
            let served = peer::serve_frames(connection, seal, from, PEER_IDLE, answer).await;
            if let Err(e) = served {
                log::debug!("event=frames_ended peer={from} error={:?}", e.to_string());
            }
        });
    }
}

async fn answer_frame(events: Events, frame: Frame) -> Frame {
    let (tx, rx) = oneshot::channel();
    let _ = events.send(Event::Ask(frame, tx)).await;
    rx.await.unwrap_or(Frame::Refused("stopping".into()))
}

/// Reads the load reports of all engines, once a period.
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

/// Makes one call on a target's lease.
pub(crate) async fn call_lease(
    platform: Platform,
    events: Events,
    target: TargetName,
    call: LeaseCall,
    record: LeaseRecord,
) {
    let sent_at = clock::now();
    let key = format!("{TARGET_LEASES}{target}");
    let called = match call {
        LeaseCall::Read => platform.get(&key).await.map(LeaseAnswer::Read),
        LeaseCall::Write(condition) => {
            let value = serde_json::to_value(&record).unwrap_or_default();
            let put = platform.put(&key, &value, condition).await;
            put.map(LeaseAnswer::Put)
        }
    };
    let answer = called.unwrap_or_else(|e| {
        log::warn!(
            "event=lease_failed target={target} error={:?}",
            e.to_string()
        );
        LeaseAnswer::Failed
    });
    let _ = events.send(Event::Lease(target, answer, sent_at)).await;
}

/// Asks an engine for its load report.
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

/// Follows the cache events of all engines, once a period, until `stop`.
pub(crate) fn supervise_cache_events(entry: &Arc<Entry>, stop: &CancellationToken) {
    let entry = entry.clone();
    supervise("cache_events", stop.clone(), move || {
        poll_cache_events(entry.clone())
    });
}

async fn poll_cache_events(entry: Arc<Entry>) {
    loop {
        let view = entry.view.load_full();
        for (service, targets) in &view.targets {
            let service = view.snapshot.services.get(service);
            if service.is_none_or(|s| s.kind != ServiceType::Generation) {
                continue;
            }
            for target in targets {
                let after = entry.prefixes.seen(&target.name);
                let events = entry.engines.cache_events(&target.address, after).await;
                let events = events.unwrap_or_default();
                if let Some(last) = events.last() {
                    entry.prefixes.learn(&target.name, &events);
                    let (name, sequence) = (&target.name, last.sequence);
                    log::debug!("event=cache_events target={name} sequence={sequence}");
                }
            }
        }
        tokio::time::sleep(entry.settings.timing.platform_poll).await;
    }
}
