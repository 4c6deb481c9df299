//! Tasks that feed the control thread: platform, peers and engines.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::oneshot,
};
use tokio_util::sync::CancellationToken;

use crate::{
    control::{Event, Events, PEER_TIMEOUT},
    engine::EngineClient,
    entry::Entry,
    peer::{self, Seal},
    platform::Platform,
    records::{RECORD_PREFIX, ServiceType},
    supervisor::supervise,
    view::SharedView,
    wire::Frame,
};

/// Idle time after which a peer's connection is closed.
const PEER_IDLE: Duration = Duration::from_secs(60);

/// Reads all records, then follows their changes until the watch ends.
pub(crate) async fn watch_records(platform: Platform, events: Events) {
    let listing = match platform.list(RECORD_PREFIX).await {
        Ok(listing) => listing,
        Err(e) => return log::warn!("event=list_failed error={:?}", e.to_string()),
    };
    let after = listing.revision;
    if events.send(Event::Listing(listing)).await.is_err() {
        return;
    }
    let watch = match platform.watch(RECORD_PREFIX, after).await {
        Ok(watch) => watch,
        Err(e) => return log::warn!("event=watch_failed error={:?}", e.to_string()),
    };
    let mut watch = std::pin::pin!(watch);
    while let Some(Ok(object)) = watch.next().await {
        if events.send(Event::Object(object)).await.is_err() {
            return;
        }
    }
}

/// Confirms the revision and reads the instance list, once a period.
pub(crate) async fn poll_platform(platform: Platform, events: Events, period: Duration) {
    loop {
        match platform.instances().await {
            Ok(instances) => drop(events.send(Event::Instances(instances)).await),
            Err(e) => log::debug!("event=instances_failed error={:?}", e.to_string()),
        }
        match platform.revision(RECORD_PREFIX).await {
            Ok(revision) => drop(events.send(Event::Confirmed(revision)).await),
            Err(e) => log::debug!("event=revision_failed error={:?}", e.to_string()),
        }
        tokio::time::sleep(period).await;
    }
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
            for target in targets {
                if let Ok(load) = engines.load(&target.address).await {
                    let _ = events.send(Event::Load(target.name.clone(), load)).await;
                }
            }
        }
        tokio::time::sleep(period).await;
    }
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
