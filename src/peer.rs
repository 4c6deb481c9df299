//! Authenticated UDP and TCP between daemons.
//!
//! Each datagram and frame starts with a keyed BLAKE3 hash of the rest.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
};

use crate::wire::Packet;

/// Bytes of the hash in front of each message.
const MAC_BYTES: usize = 16;
/// Largest datagram sent or taken.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
/// Largest frame sent or taken.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Tries to find a port that is free for both TCP and UDP.
const BIND_TRIES: usize = 16;
/// Context of the key derived from the shared peer key.
const KEY_CONTEXT: &str = "bluebelldrift 2026-12 peer messages";

/// A message between daemons that failed, with step and peer.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// Input or output failed.
    #[snafu(display("step={step} peer={peer}: {source}"))]
    Io {
        /// Step that failed.
        step: &'static str,
        /// The other side.
        peer: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The message was not made with the shared key, or not understood.
    #[snafu(display("step={step} peer={peer}: not authentic or not understood"))]
    Garbled {
        /// Step that failed.
        step: &'static str,
        /// The other side.
        peer: SocketAddr,
    },
    /// No answer in time.
    #[snafu(display("step=timeout peer={peer}"))]
    Timeout {
        /// The other side.
        peer: SocketAddr,
    },
}

/// Seals and opens messages with the shared key.
#[derive(Clone)]
pub struct Seal([u8; 32]);

impl Seal {
    /// Derives the message key from the shared secret.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Encodes and authenticates a message.
    #[must_use]
    pub fn seal(&self, message: &impl Serialize) -> Vec<u8> {
        let sealed = postcard::to_extend(message, vec![0; MAC_BYTES]);
        let mut sealed = sealed.unwrap_or_default();
        if sealed.len() >= MAC_BYTES {
            let mac = blake3::keyed_hash(&self.0, &sealed[MAC_BYTES..]);
            sealed[..MAC_BYTES].copy_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        }
        sealed
    }

    /// Checks and decodes a message; `None` when it is not authentic.
    #[must_use]
    pub fn open<T: DeserializeOwned>(&self, sealed: &[u8]) -> Option<T> {
        let (mac, body) = sealed.split_at_checked(MAC_BYTES)?;
        let expected = blake3::keyed_hash(&self.0, body);
        let mut whole = *expected.as_bytes();
        whole[..MAC_BYTES].copy_from_slice(mac);
        // `Hash` compares in constant time.
        if expected != blake3::Hash::from_bytes(whole) {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}

/// The UDP and TCP sockets of one peer port.
pub struct PeerPort {
    /// Socket for datagrams.
    pub udp: Arc<UdpSocket>,
    /// Listener for frames.
    pub tcp: TcpListener,
    /// Address of both.
    pub address: SocketAddr,
}

impl PeerPort {
    /// Binds UDP and TCP to the same address; port 0 finds one free for both.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let mut last = io::Error::other("no port tried");
        for _ in 0..BIND_TRIES {
            let tcp = TcpListener::bind(address).await?;
            let bound = tcp.local_addr()?;
            match UdpSocket::bind(bound).await {
                Ok(udp) => {
                    let udp = Arc::new(udp);
                    return Ok(Self {
                        udp,
                        tcp,
                        address: bound,
                    });
                }
                Err(e) => last = e,
            }
        }
        Err(last)
    }
}

/// Sends one packet.
pub(crate) async fn send_packet(udp: &UdpSocket, seal: &Seal, to: SocketAddr, packet: &Packet) {
    let sealed = seal.seal(packet);
    metrics::counter!("bluebell_control_bytes", "direction" => "sent")
        .increment(sealed.len() as u64);
    if sealed.len() > MAX_DATAGRAM_BYTES {
        log::warn!("event=datagram_too_large peer={to} bytes={}", sealed.len());
    } else if let Err(e) = udp.send_to(&sealed, to).await {
        log::debug!("event=datagram_failed peer={to} error={e:?}");
    }
}

/// Receives the next authentic packet; others are counted and dropped.
pub(crate) async fn receive_packet(udp: &UdpSocket, seal: &Seal) -> (SocketAddr, Packet) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match udp.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // An ICMP error of an earlier send; the socket goes on.
                log::debug!("event=receive_failed error={e:?}");
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            }
        };
        metrics::counter!("bluebell_control_bytes", "direction" => "received")
            .increment(len as u64);
        match seal.open(&buf[..len]) {
            Some(packet) => return (from, packet),
            None => metrics::counter!("bluebell_datagrams_rejected").increment(1),
        }
    }
}

/// A frame with a nonce, so that an answer belongs to its request alone.
#[derive(Serialize, serde::Deserialize)]
struct Numbered<F> {
    nonce: u64,
    frame: F,
}

/// Sends one frame on a connection of its own and waits for the answer.
///
/// # Errors
/// No connection, no authentic answer, or none within `timeout`.
pub async fn ask<Q: Serialize, A: DeserializeOwned>(
    seal: &Seal,
    peer: SocketAddr,
    frame: Q,
    timeout: Duration,
) -> Result<A, PeerError> {
    let exchange = async {
        let step = "connect";
        let connected = TcpStream::connect(peer).await;
        let mut tcp = connected.map_err(|source| PeerError::Io { step, peer, source })?;
        let nonce = rand::random();
        write_frame(&mut tcp, seal, peer, &Numbered { nonce, frame }).await?;
        let answer: Numbered<A> = read_frame(&mut tcp, seal, peer).await?;
        if answer.nonce == nonce {
            Ok(answer.frame)
        } else {
            Err(PeerError::Garbled {
                step: "answer",
                peer,
            })
        }
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or(Err(PeerError::Timeout { peer }))
}

/// Serves one connection: each frame is answered by `answer`.
pub(crate) async fn serve_frames<Q, F, Fut>(
    mut tcp: TcpStream,
    seal: Seal,
    peer: SocketAddr,
    idle: Duration,
    answer: F,
) -> Result<(), PeerError>
where
    Q: DeserializeOwned,
    F: Fn(Q) -> Fut,
    Fut: Future<Output: Serialize>,
{
    loop {
        let reading = read_frame::<Numbered<Q>>(&mut tcp, &seal, peer);
        let read = tokio::time::timeout(idle, reading).await;
        let Numbered { nonce, frame } = read.unwrap_or(Err(PeerError::Timeout { peer }))?;
        let frame = answer(frame).await;
        write_frame(&mut tcp, &seal, peer, &Numbered { nonce, frame }).await?;
    }
}

async fn write_frame(
    tcp: &mut TcpStream,
    seal: &Seal,
    peer: SocketAddr,
    message: &impl Serialize,
) -> Result<(), PeerError> {
    let step = "write";
    let sealed = seal.seal(message);
    let len = u32::try_from(sealed.len())
        .unwrap_or(u32::MAX)
        .to_be_bytes();
    metrics::counter!("bluebell_control_bytes", "direction" => "sent")
        .increment(sealed.len() as u64);
    let written = async {
        tcp.write_all(&len).await?;
        tcp.write_all(&sealed).await
    };
    written
        .await
        .map_err(|source| PeerError::Io { step, peer, source })
}

async fn read_frame<T: DeserializeOwned>(
    tcp: &mut TcpStream,
    seal: &Seal,
    peer: SocketAddr,
) -> Result<T, PeerError> {
    let step = "read";
    let io = |source| PeerError::Io { step, peer, source };
    let len = tcp.read_u32().await.map_err(io)? as usize;
    if len > MAX_FRAME_BYTES {
        return Err(PeerError::Garbled { step, peer });
    }
    // Grows with what arrives, so that a false length claims no memory.
    let mut sealed = Vec::new();
    let mut limited = tcp.take(len as u64);
    limited.read_to_end(&mut sealed).await.map_err(io)?;
    metrics::counter!("bluebell_control_bytes", "direction" => "received")
        .increment(sealed.len() as u64);
    seal.open(&sealed).ok_or(PeerError::Garbled { step, peer })
}
