//! Exchanges authenticated messages between daemons over UDP and TCP.
//!
//! Each datagram and each frame starts with a keyed BLAKE3 hash of the rest, so
//! only messages made with the shared secret are accepted. Messages are not
//! encrypted. The daemons of a gateway share no secret and derive the key from a
//! constant, so between them the hash is only a checksum.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
};

use crate::wire::Packet;

/// Length of the hash at the start of each message.
const MAC_BYTES: usize = 16;
/// Largest datagram that is sent or received.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
/// Largest frame that is accepted.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const MAX_BIND_ATTEMPTS: usize = 16;
/// Context string for the derivation of the message key from the shared secret.
const KEY_CONTEXT: &str = "bluebelldrift 2026-12 peer messages";

/// Error of an exchange with another daemon, with the failed step and the peer.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// Connecting, reading or writing failed.
    #[snafu(display("step={step} peer={peer}: {source}"))]
    Io {
        /// Name of the failed step.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// The received message is too large, not authentic, cannot be decoded or
    /// answers another request.
    #[snafu(display("step={step} peer={peer}: the message is invalid or not authentic"))]
    InvalidMessage {
        /// Name of the failed step.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// The exchange did not complete within its timeout.
    #[snafu(display("step=timeout peer={peer}"))]
    Timeout {
        /// Address of the peer.
        peer: SocketAddr,
    },
}

/// Key that authenticates messages, derived from the shared secret.
#[derive(Clone)]
pub struct MessageKey([u8; 32]);

impl MessageKey {
    /// Derives the key from the shared secret.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Encodes a message and puts its hash in front of it.
    #[must_use]
    pub fn encode(&self, message: &impl Serialize) -> Vec<u8> {
        let encoded = postcard::to_extend(message, vec![0; MAC_BYTES]);
        let mut encoded = encoded.unwrap_or_default();
        if encoded.len() >= MAC_BYTES {
            let mac = blake3::keyed_hash(&self.0, &encoded[MAC_BYTES..]);
            encoded[..MAC_BYTES].copy_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        }
        encoded
    }

    /// Verifies and decodes a message. Returns `None` if it is not authentic or
    /// cannot be decoded.
    #[must_use]
    pub fn verify_and_decode<T: DeserializeOwned>(&self, encoded: &[u8]) -> Option<T> {
        let (mac, body) = encoded.split_at_checked(MAC_BYTES)?;
        let expected = blake3::keyed_hash(&self.0, body);
        let mut received = *expected.as_bytes();
        received[..MAC_BYTES].copy_from_slice(mac);
        // Bytes after the first `MAC_BYTES` are copied from the expected hash, so
        // they always match. Two `Hash` values are compared in constant time.
        if expected != blake3::Hash::from_bytes(received) {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}

/// UDP and TCP sockets of the peer port, bound to the same address.
pub struct PeerPort {
    /// Socket for datagrams.
    pub udp: Arc<UdpSocket>,
    /// Listener for frames.
    pub tcp: TcpListener,
    /// Bound address of both sockets.
    pub address: SocketAddr,
}

impl PeerPort {
    /// Binds UDP and TCP to the same address. With port 0, finds a port that is
    /// free for both.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let mut last_error = io::Error::other("no port tried");
        for _ in 0..MAX_BIND_ATTEMPTS {
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
                Err(e) => last_error = e,
            }
        }
        Err(last_error)
    }
}

/// Sends one packet; failures are only logged.
pub(crate) async fn send_packet(
    udp: &UdpSocket,
    message_key: &MessageKey,
    to: SocketAddr,
    packet: &Packet,
) {
    let encoded = message_key.encode(packet);
    metrics::counter!("bluebell_control_bytes", "direction" => "sent")
        .increment(encoded.len() as u64);
    if encoded.len() > MAX_DATAGRAM_BYTES {
        log::warn!("event=datagram_too_large peer={to} bytes={}", encoded.len());
    } else if let Err(e) = udp.send_to(&encoded, to).await {
        log::debug!("event=datagram_failed peer={to} error={e:?}");
    }
}

/// Receives the next authentic packet. Counts and drops all others.
pub(crate) async fn receive_packet(
    udp: &UdpSocket,
    message_key: &MessageKey,
) -> (SocketAddr, Packet) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match udp.recv_from(&mut buf).await {
            Ok(datagram) => datagram,
            Err(e) => {
                // An ICMP error caused by an earlier send; the socket stays usable.
                log::debug!("event=receive_failed error={e:?}");
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            }
        };
        metrics::counter!("bluebell_control_bytes", "direction" => "received")
            .increment(len as u64);
        match message_key.verify_and_decode(&buf[..len]) {
            Some(packet) => return (from, packet),
            None => metrics::counter!("bluebell_datagrams_rejected").increment(1),
        }
    }
}

/// A frame with the nonce of its request, which the answer repeats, so that an
/// answer to another request is not accepted.
#[derive(Serialize, serde::Deserialize)]
struct FrameWithNonce<F> {
    nonce: u64,
    frame: F,
}

/// Sends one frame on a new connection and returns the answer.
///
/// # Errors
/// Returns an error if the connection fails, the answer is invalid or not
/// authentic, or there is none within `timeout`.
pub async fn call_peer<Q: Serialize, A: DeserializeOwned>(
    message_key: &MessageKey,
    peer: SocketAddr,
    frame: Q,
    timeout: Duration,
) -> Result<A, PeerError> {
    let exchange = async {
        let step = "connect";
        let connected = TcpStream::connect(peer).await;
        let mut tcp = connected.map_err(|source| PeerError::Io { step, peer, source })?;
        let nonce = rand::random();
        write_frame(
            &mut tcp,
            message_key,
            peer,
            &FrameWithNonce { nonce, frame },
        )
        .await?;
        let answer: FrameWithNonce<A> = read_frame(&mut tcp, message_key, peer).await?;
        if answer.nonce == nonce {
            Ok(answer.frame)
        } else {
            Err(PeerError::InvalidMessage {
                step: "answer",
                peer,
            })
        }
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or(Err(PeerError::Timeout { peer }))
}

/// Answers each frame of one connection with the result of `answer`, until the
/// connection fails or no complete frame arrives within `idle_timeout`.
pub(crate) async fn serve_frames<Q, F, Fut>(
    mut tcp: TcpStream,
    message_key: MessageKey,
    peer: SocketAddr,
    idle_timeout: Duration,
    answer: F,
) -> Result<(), PeerError>
where
    Q: DeserializeOwned,
    F: Fn(Q) -> Fut,
    Fut: Future<Output: Serialize>,
{
    loop {
        let reading = read_frame::<FrameWithNonce<Q>>(&mut tcp, &message_key, peer);
        let read = tokio::time::timeout(idle_timeout, reading).await;
        let FrameWithNonce { nonce, frame } = read.unwrap_or(Err(PeerError::Timeout { peer }))?;
        let frame = answer(frame).await;
        write_frame(
            &mut tcp,
            &message_key,
            peer,
            &FrameWithNonce { nonce, frame },
        )
        .await?;
    }
}

pub(crate) async fn write_frame(
    tcp: &mut TcpStream,
    message_key: &MessageKey,
    peer: SocketAddr,
    message: &impl Serialize,
) -> Result<(), PeerError> {
    let step = "write";
    let encoded = message_key.encode(message);
    let len = u32::try_from(encoded.len())
        .unwrap_or(u32::MAX)
        .to_be_bytes();
    metrics::counter!("bluebell_control_bytes", "direction" => "sent")
        .increment(encoded.len() as u64);
    let written = async {
        tcp.write_all(&len).await?;
        tcp.write_all(&encoded).await
    };
    written
        .await
        .map_err(|source| PeerError::Io { step, peer, source })
}

pub(crate) async fn read_frame<T: DeserializeOwned>(
    tcp: &mut TcpStream,
    message_key: &MessageKey,
    peer: SocketAddr,
) -> Result<T, PeerError> {
    let step = "read";
    let io = |source| PeerError::Io { step, peer, source };
    let len = tcp.read_u32().await.map_err(io)? as usize;
    if len > MAX_FRAME_BYTES {
        return Err(PeerError::InvalidMessage { step, peer });
    }
    // The buffer grows as bytes arrive, so a false length allocates no memory.
    let mut encoded = Vec::new();
    let mut limited = tcp.take(len as u64);
    limited.read_to_end(&mut encoded).await.map_err(io)?;
    metrics::counter!("bluebell_control_bytes", "direction" => "received")
        .increment(encoded.len() as u64);
    message_key
        .verify_and_decode(&encoded)
        .ok_or(PeerError::InvalidMessage { step, peer })
}
