//! A relay for TCP and UDP that can stall, cut, delay and lose.

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

/// Seed of the losses.
const SEED: u64 = 0x5eed;

/// What a relay does to what passes through it.
#[derive(Default)]
struct Link {
    /// Connections open now pass nothing on; new ones work.
    silenced: AtomicU64,
    is_stalled: AtomicBool,
    is_cut: AtomicBool,
    delay_ms: AtomicU64,
    loss_percent: AtomicU64,
}

/// A relay in front of one address, for TCP and UDP on one port.
pub struct LinkProxy {
    pub address: SocketAddr,
    link: Arc<Link>,
    cut: watch::Sender<u64>,
    opened: Arc<AtomicU64>,
    _runtime: Runtime,
}

impl LinkProxy {
    /// Starts a relay in front of `to`.
    pub fn start(to: &str) -> Self {
        let to: SocketAddr = to.parse().expect("an address");
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let link = Arc::new(Link::default());
        let opened = Arc::new(AtomicU64::new(0));
        let (cut, cuts) = watch::channel(0);
        let (tcp, udp) = runtime.block_on(async {
            let tcp = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = tcp.local_addr().expect("its address");
            (tcp, UdpSocket::bind(address).await.expect("the same port"))
        });
        let address = tcp.local_addr().expect("its address");
        runtime.spawn(relay_tcp(tcp, to, link.clone(), opened.clone(), cuts));
        runtime.spawn(relay_udp(udp, to, link.clone()));
        Self {
            address,
            link,
            cut,
            opened,
            _runtime: runtime,
        }
    }

    /// Holds everything back, or lets it go on.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.link.is_stalled.store(is_stalled, Ordering::SeqCst);
    }

    /// Breaks all connections and accepts no more, or does again.
    pub fn set_cut(&self, is_cut: bool) {
        self.link.is_cut.store(is_cut, Ordering::SeqCst);
        if is_cut {
            self.cut.send_modify(|n| *n += 1);
        }
    }

    /// Makes all connections open now silent for good; new ones work.
    pub fn silence_open(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.link.silenced.store(opened, Ordering::SeqCst);
    }

    /// Delays everything, one way.
    pub fn set_delay(&self, delay: Duration) {
        let ms = u64::try_from(delay.as_millis()).expect("a short delay");
        self.link.delay_ms.store(ms, Ordering::SeqCst);
    }

    /// Loses this share of datagrams.
    pub fn set_loss_percent(&self, percent: u64) {
        self.link.loss_percent.store(percent, Ordering::SeqCst);
    }
}

async fn relay_tcp(
    listener: TcpListener,
    to: SocketAddr,
    link: Arc<Link>,
    opened: Arc<AtomicU64>,
    cuts: watch::Receiver<u64>,
) {
    while let Ok((near, _)) = listener.accept().await {
        if link.is_cut.load(Ordering::SeqCst) {
            continue;
        }
        let number = opened.fetch_add(1, Ordering::SeqCst) + 1;
        let (link, mut cuts) = (link.clone(), cuts.clone());
        cuts.mark_unchanged();
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(to).await else {
                return;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            let there = pump(near_in, far_out, link.clone(), number);
            let back = pump(far_in, near_out, link, number);
            tokio::select! {
                _ = async { tokio::join!(there, back) } => {}
                _ = cuts.changed() => {}
            }
        });
    }
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    link: Arc<Link>,
    number: u64,
) {
    let mut buf = vec![0; 64 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        let delay = link.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if is_held(&link, number).await || to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
    if !is_held(&link, number).await {
        let _ = to.shutdown().await;
    }
}

/// Waits while the link is stalled. Never returns for a silenced connection.
async fn is_held(link: &Link, number: u64) -> bool {
    loop {
        if number <= link.silenced.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        if !link.is_stalled.load(Ordering::SeqCst) {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Relays datagrams one way: daemons answer to the sender's stated address.
async fn relay_udp(udp: UdpSocket, to: SocketAddr, link: Arc<Link>) {
    let rng = Mutex::new(StdRng::seed_from_u64(SEED));
    let mut buf = vec![0; 64 * 1024];
    let udp = Arc::new(udp);
    while let Ok((len, _)) = udp.recv_from(&mut buf).await {
        let lost = rng.lock().expect("the generator").random_range(0..100)
            < link.loss_percent.load(Ordering::SeqCst);
        let is_held = link.is_cut.load(Ordering::SeqCst) || link.is_stalled.load(Ordering::SeqCst);
        if lost || is_held {
            continue;
        }
        let delay = Duration::from_millis(link.delay_ms.load(Ordering::SeqCst));
        let (udp, datagram) = (udp.clone(), buf[..len].to_vec());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = udp.send_to(&datagram, to).await;
        });
    }
}
