//! Forwards TCP connections and datagrams, and stalls, cuts, delays or loses them.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    runtime::Runtime,
    sync::watch,
};

/// Seed of the random choice of datagrams to lose.
const LOSS_SEED: u64 = 0x5eed;

/// Faults of a link.
#[derive(Default)]
struct LinkFaults {
    /// Number of the last silenced connection: it and all earlier ones pass nothing
    /// on, later ones work. Numbers start at 1.
    last_silenced: AtomicU64,
    /// Whether connections pass nothing on for now, and datagrams are lost.
    is_stalled: AtomicBool,
    /// Whether new connections are closed at once, and datagrams are lost.
    is_cut: AtomicBool,
    delay_ms: AtomicU64,
    loss_percent: AtomicU64,
}

/// Proxy in front of one address, for TCP and UDP on the same port.
pub struct LinkProxy {
    pub address: SocketAddr,
    faults: Arc<LinkFaults>,
    /// Number of cuts so far; a change closes all open connections.
    cuts: watch::Sender<u64>,
    /// Number of connections accepted so far.
    accepted: Arc<AtomicU64>,
    _runtime: Runtime,
}

impl LinkProxy {
    /// Starts a proxy in front of the address `to`.
    pub fn start(to: &str) -> Self {
        let to: SocketAddr = to.parse().expect("parse the address to forward to");
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("start the runtime of the proxy");
        let faults = Arc::new(LinkFaults::default());
        let accepted = Arc::new(AtomicU64::new(0));
        let (cuts, cuts_receiver) = watch::channel(0);
        let (tcp, udp) = runtime.block_on(async {
            let tcp = TcpListener::bind("127.0.0.1:0")
                .await
                .expect("bind a TCP port");
            let address = tcp.local_addr().expect("read the bound address");
            (
                tcp,
                UdpSocket::bind(address)
                    .await
                    .expect("bind the same port for UDP"),
            )
        });
        let address = tcp.local_addr().expect("read the bound address");
        runtime.spawn(forward_tcp(
            tcp,
            to,
            faults.clone(),
            accepted.clone(),
            cuts_receiver,
        ));
        runtime.spawn(forward_udp(udp, to, faults.clone()));
        Self {
            address,
            faults,
            cuts,
            accepted,
            _runtime: runtime,
        }
    }

    /// Stalls the link or ends the stall. Data on connections is delayed until the
    /// end of the stall; datagrams are lost.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.faults.is_stalled.store(is_stalled, Ordering::SeqCst);
    }

    /// Cuts the link or restores it. A cut closes all connections and all new ones,
    /// and loses all datagrams.
    pub fn set_cut(&self, is_cut: bool) {
        self.faults.is_cut.store(is_cut, Ordering::SeqCst);
        if is_cut {
            self.cuts.send_modify(|n| *n += 1);
        }
    }

    /// Makes the connections that are open now pass nothing on, for good. New ones
    /// work.
    pub fn silence_open_connections(&self) {
        let accepted = self.accepted.load(Ordering::SeqCst);
        self.faults.last_silenced.store(accepted, Ordering::SeqCst);
    }

    /// Delays data, in each direction, and datagrams.
    pub fn set_delay(&self, delay: Duration) {
        let ms = u64::try_from(delay.as_millis()).expect("the delay fits in a u64");
        self.faults.delay_ms.store(ms, Ordering::SeqCst);
    }

    /// Loses a random share of datagrams, in percent.
    pub fn set_loss_percent(&self, percent: u64) {
        self.faults.loss_percent.store(percent, Ordering::SeqCst);
    }
}

async fn forward_tcp(
    listener: TcpListener,
    to: SocketAddr,
    faults: Arc<LinkFaults>,
    accepted: Arc<AtomicU64>,
    cuts: watch::Receiver<u64>,
) {
    while let Ok((client, _)) = listener.accept().await {
        if faults.is_cut.load(Ordering::SeqCst) {
            continue;
        }
        let number = accepted.fetch_add(1, Ordering::SeqCst) + 1;
        let (faults, mut cuts) = (faults.clone(), cuts.clone());
        cuts.mark_unchanged();
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(to).await else {
                return;
            };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let to_server = copy(client_read, server_write, faults.clone(), number);
            let to_client = copy(server_read, client_write, faults, number);
            tokio::select! {
                _ = async { tokio::join!(to_server, to_client) } => {}
                _ = cuts.changed() => {}
            }
        });
    }
}

/// Copies one direction of a connection, under the faults of the link.
async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    faults: Arc<LinkFaults>,
    number: u64,
) {
    let mut buf = vec![0; 64 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        let delay = faults.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if wait_while_stalled(&faults, number).await || to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
    if !wait_while_stalled(&faults, number).await {
        let _ = to.shutdown().await;
    }
}

/// Waits while the link is stalled, then returns `false`. Never returns for a
/// silenced connection.
async fn wait_while_stalled(faults: &LinkFaults, number: u64) -> bool {
    loop {
        if number <= faults.last_silenced.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        if !faults.is_stalled.load(Ordering::SeqCst) {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Forwards datagrams to `to`. No way back is needed, because daemons answer to the
/// address that the sender states in its datagram.
async fn forward_udp(udp: UdpSocket, to: SocketAddr, faults: Arc<LinkFaults>) {
    let rng = Mutex::new(StdRng::seed_from_u64(LOSS_SEED));
    let mut buf = vec![0; 64 * 1024];
    let udp = Arc::new(udp);
    while let Ok((len, _)) = udp.recv_from(&mut buf).await {
        let is_lost = rng
            .lock()
            .expect("lock the random number generator")
            .random_range(0..100)
            < faults.loss_percent.load(Ordering::SeqCst);
        let is_blocked =
            faults.is_cut.load(Ordering::SeqCst) || faults.is_stalled.load(Ordering::SeqCst);
        if is_lost || is_blocked {
            continue;
        }
        let delay = Duration::from_millis(faults.delay_ms.load(Ordering::SeqCst));
        let (udp, datagram) = (udp.clone(), buf[..len].to_vec());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = udp.send_to(&datagram, to).await;
        });
    }
}
