//! Opens connections to targets for other daemons whose links are cut; see `detour`.
//!
//! Bytes are passed on as they are, and no request is kept; the answer is in pieces for daemons that
//! read them (see `tunnel_stream`). Such a connection is always a direct one, so that there is one hop
//! at most. It goes to a target that this daemon knows and that takes work, and ends with either of its
//! two connections.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{
    Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use serde::{Deserialize, Deserializer, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
};

use super::{
    Gateway,
    exchange::{connect, enable_dead_peer_detection, is_refused, log_socket_error},
    model::Target,
    reach::Way,
    tunnel_stream::{MAX_PIECE_BYTES, PIECE_HEAD_BYTES, TunnelStream, piece_head},
};
use crate::{
    clock::{self, BootTime},
    log::shown,
    peer::{MessageKey, PeerError, read_frame, write_frame},
};

/// Time limit for the request of another daemon once it is connected.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the acknowledgement of bytes sent to another daemon.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of connections that are open for other daemons.
pub(crate) const MAX_TUNNELS: usize = 128;
/// Size of the buffer for each direction of such a connection, in bytes.
const BUFFER_BYTES: usize = MAX_PIECE_BYTES;
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
    /// Whether the asking daemon reads answers in pieces. Daemons before this field neither send nor
    /// read it.
    #[serde(deserialize_with = "is_sent_and_true")]
    reads_pieces: bool,
}

fn is_sent_and_true<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    bool::deserialize(deserializer).or(Ok(false))
}

/// Answer to a [`TunnelRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum TunnelAnswer {
    /// The connection is open; what follows are its bytes alone.
    Open,
    /// The daemon does not know the target, or the target takes no work.
    Closed,
    /// No process listens at the target's address.
    Refused,
    /// The daemon does not reach the target either.
    Unreachable,
    /// The daemon has no room for another connection, or stops.
    Full,
    /// The connection is open; what follows are its bytes in pieces. Only for daemons that read them.
    OpenInPieces,
}

/// Asks another daemon for a connection to a target. Fails with its answer, `None` if there is
/// none.
pub(crate) async fn ask_for_tunnel(
    peer: SocketAddr,
    target: &str,
) -> Result<TunnelStream<TcpStream>, Option<TunnelAnswer>> {
    let request = TunnelRequest {
        target: target.into(),
        reads_pieces: true,
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
    match exchange.await {
        Ok((tcp, TunnelAnswer::OpenInPieces)) => Ok(TunnelStream::in_pieces(tcp)),
        Ok((tcp, TunnelAnswer::Open)) => Ok(TunnelStream::without_end(tcp)),
        Ok((_, answer)) => Err(Some(answer)),
        Err(e) => {
            log::debug!("event=tunnel_failed error={:?}", e.to_string());
            Err(None)
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
    let answer = match &opened {
        Ok(_) if request.reads_pieces => TunnelAnswer::OpenInPieces,
        Ok(_) => TunnelAnswer::Open,
        Err(answer) => *answer,
    };
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
    pass_on(origin, tcp, request.reads_pieces, |head| {
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
async fn pass_on(
    mut origin: TcpStream,
    mut target: TcpStream,
    in_pieces: bool,
    on_head: impl FnOnce(&[u8]),
) {
    let is_reset = {
        let (mut from_origin, mut to_origin) = origin.split();
        let (mut from_target, mut to_target) = target.split();
        let answering = pass_answer(&mut from_target, &mut to_origin, in_pieces, on_head);
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
    in_pieces: bool,
    on_head: impl FnOnce(&[u8]),
) -> io::Result<()> {
    let mut buf = vec![0; PIECE_HEAD_BYTES + BUFFER_BYTES];
    let start = if in_pieces { 0 } else { PIECE_HEAD_BYTES };
    let mut head = Vec::new();
    let mut on_head = Some(on_head);
    loop {
        let len = from.read(&mut buf[PIECE_HEAD_BYTES..]).await?;
        let end = PIECE_HEAD_BYTES + len;
        buf[..PIECE_HEAD_BYTES].copy_from_slice(&piece_head(len));
        if len == 0 {
            to.write_all(&buf[start..end]).await?;
            return to.shutdown().await;
        }
        if on_head.is_some() {
            head.extend_from_slice(&buf[PIECE_HEAD_BYTES..end]);
            let head_end = head.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(head_end) = head_end
                && let Some(on_head) = on_head.take()
            {
                on_head(&head[..head_end]);
            }
            if head.len() > MAX_HEAD_BYTES || on_head.is_none() {
                on_head = None;
                head = Vec::new();
            }
        }
        to.write_all(&buf[start..end]).await?;
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
