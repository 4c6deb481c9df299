//! Clients that nobody controls send bodies and heads of legal size, many at once, and stop
//! half-way. The process has to stay within the memory of its machine.

#[path = "lab3.rs"]
mod lab3;

use std::{
    collections::HashSet,
    fs,
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use lab3::{
    Net, Record, RouteSpec, Server, ServerSpec, Site, Store, config, has_trouble, new_id,
    read_message,
};

/// `memory-mb` of a machine of the site.
const MEMORY_MB: u64 = 110;
/// `link-mbps` of a machine of the site, in bytes a second.
const LINK_BYTES_PER_S: f64 = 125e6;
/// How long the crowd goes on.
const CROWD: Duration = Duration::from_secs(100);
/// Connections that the crowd keeps open.
const MOST_HELD: usize = 900;
/// Sound clients, and the work of their requests.
const CLIENTS: usize = 16;
const WORK: Duration = Duration::from_millis(600);
const MAX_BODY: usize = 4 * 1024 * 1024;

/// One answer, or its loss, of a sound client on a channel that has had an answer before: the id,
/// the time, and whether it came whole.
type Outcome = (String, Duration, bool);

fn main() {
    let folder = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "review/13".into());
    let record = Record::new(&folder);
    let code = play(&record);
    record.say(format!("exit code {code}"));
    record.save();
    exit(code);
}

/// Resident memory of a process without that of files, such as its program, in KiB.
fn resident(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("RssAnon:"));
    let number = line.and_then(|l| l.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn play(record: &Record) -> i32 {
    let net = Net::new();
    let store = Store::start(net.free(200), false);
    let routes = [RouteSpec {
        prefix: "/puxa403/",
        kind: "idempotent",
        service: "ordrebok",
        timeout_ms: 6_000,
        target_ms: 1_500,
        attempts: 1,
    }];
    let text = config(7, &routes, &[("huka270", &["wsjnbanfqasnmgkcuyj8"])]);
    // The crowd has no key.
    let text = text.replace("\"public\":false", "\"public\":true");
    store.put("config", "main", &text);
    let mut servers = Vec::new();
    for i in 0..2_u8 {
        let spec = ServerSpec {
            service: "ordrebok",
            zone: "nord-tromso",
            slots: 600,
            queue: 600,
            work: WORK,
        };
        let address = net.free(100 + i);
        servers.push(Server::start(
            spec,
            address,
            &format!("i-{i}a"),
            &store,
            record,
        ));
    }
    let mut site = Site::new(net, store.address, &[1]);
    site.memory_mb = MEMORY_MB as u32;
    let mut gateway = site.gateway("edge-nord-tromso-1", "nord-tromso", 1);
    gateway.start();
    if !gateway.wait_ready(Duration::from_secs(15)) {
        record.say("the process is not ready");
        return 2;
    }
    record.say(format!(
        "the process is ready, with {} KiB of {} KiB",
        resident(gateway.pid()),
        MEMORY_MB * 1_000_000 / 1024
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(Vec::<Outcome>::new()));
    let address = gateway.callers;
    let mut threads = Vec::new();
    for _ in 0..CLIENTS {
        let (stop, outcomes, record) = (stop.clone(), outcomes.clone(), record.clone());
        threads.push(thread::spawn(move || {
            client(address, &stop, &outcomes, &record)
        }));
    }
    if has_trouble() {
        let (stop, record) = (stop.clone(), record.clone());
        threads.push(thread::spawn(move || crowd(address, &stop, &record)));
    }
    let began = Instant::now();
    let mut peak = 0;
    let mut kills = Vec::new();
    while began.elapsed() < CROWD && kills.is_empty() {
        thread::sleep(Duration::from_millis(10));
        let now = resident(gateway.pid());
        peak = peak.max(now);
        if now > MEMORY_MB * 1_000_000 / 1024 {
            kills.push(record.now());
            gateway.kill();
            record.say(format!(
                "the process has {now} KiB, more than memory-mb, and is killed as the platform does"
            ));
            thread::sleep(Duration::from_millis(500));
            gateway.start();
        } else if gateway.has_ended() {
            kills.push(record.now());
            record.say("the process has ended by itself");
            gateway.kill();
            gateway.start();
        }
    }
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    gateway.kill();
    for thread in threads {
        let _ = thread.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let mut reached = HashSet::new();
    for server in &servers {
        for run in server.runs.lock().unwrap().iter() {
            reached.insert(run.id.clone());
        }
    }
    // The process is ended by the script at the end as well, so only the time of the kills counts.
    let is_cut = |(id, at, is_whole): &&Outcome| {
        let by_kill = kills
            .iter()
            .any(|kill| *at >= *kill && *at < *kill + Duration::from_millis(400));
        !is_whole && by_kill && reached.contains(id)
    };
    let cut = outcomes.iter().filter(is_cut).count();
    let whole = outcomes.iter().filter(|(.., is_whole)| *is_whole).count();
    record.say(format!(
        "peak {peak} KiB of {} KiB; {} kills; {whole} sound requests answered; {cut} of kept channels, \
         at work at a sound server, were closed without an answer by the kills (LOST allows 3)",
        MEMORY_MB * 1_000_000 / 1024,
        kills.len()
    ));
    if whole < 50 {
        return 2;
    }
    i32::from(cut > 3)
}

/// A sound client: one request at a time on a kept channel.
fn client(address: SocketAddr, stop: &AtomicBool, outcomes: &Mutex<Vec<Outcome>>, record: &Record) {
    let mut channel: Option<BufReader<TcpStream>> = None;
    // Whether the channel has been kept for this request.
    let mut is_kept = false;
    while !stop.load(Ordering::SeqCst) {
        let Some(from) = channel.as_mut() else {
            if let Ok(tcp) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
                let _ = tcp.set_read_timeout(Some(Duration::from_secs(6)));
                channel = Some(BufReader::new(tcp));
                is_kept = false;
            } else {
                thread::sleep(Duration::from_millis(100));
            }
            continue;
        };
        let id = new_id();
        let head = format!(
            "GET /puxa403/2f HTTP/1.1\r\nHost: filter.example\r\n\
             Bluebelldrift-Request-Id: {id}\r\nBluebelldrift-Deadline-Ms: 6000\r\n\r\n"
        );
        let sent = from.get_mut().write_all(head.as_bytes());
        let answer = sent.and_then(|()| read_message(from));
        let status = answer
            .as_ref()
            .ok()
            .and_then(|m| m.as_ref().map(|m| m.status()));
        let text = status.map_or("closed without an answer".to_owned(), |s| s.to_string());
        record.line(format!("sound client {id}: {text}"));
        if is_kept || status.is_some() {
            let outcome = (id, record.now(), status.is_some());
            outcomes.lock().unwrap().push(outcome);
        }
        is_kept = true;
        let closes = matches!(&answer, Ok(Some(m)) if m.header("connection") == Some("close"));
        if status.is_none() || closes {
            channel = None;
        }
        if status.is_some_and(|s| s != 200) {
            thread::sleep(Duration::from_millis(200));
        }
    }
}

/// What a client of the crowd sends.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// A body with its length, all but the last byte.
    Body,
    /// The same in chunks, without the last one.
    Chunks,
    /// A head of legal size with thousands of short fields.
    Fields,
    /// Requests sent ahead, whose answers are not read.
    Ahead,
}

/// Sends within the bandwidth of the machine's link.
struct Link {
    began: Instant,
    sent: AtomicU64,
}

impl Link {
    fn send(&self, tcp: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
        for part in bytes.chunks(32 * 1024) {
            let total = self.sent.fetch_add(part.len() as u64, Ordering::Relaxed) as f64;
            let due = Duration::from_secs_f64(total / LINK_BYTES_PER_S);
            thread::sleep(due.saturating_sub(self.began.elapsed()));
            tcp.write_all(part)?;
        }
        Ok(())
    }
}

fn crowd(address: SocketAddr, stop: &AtomicBool, record: &Record) {
    let mut random = 0x9E37_79B9_7F4A_7C15_u64 ^ u64::from(std::process::id());
    let mut draw = move |below: usize| {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        (random >> 20) as usize % below
    };
    let link = Arc::new(Link {
        began: Instant::now(),
        sent: AtomicU64::new(0),
    });
    let held: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let sizes = [
        9_000, 20_000, 70_000, 130_000, 400_000, 1_000_000, 2_000_000, MAX_BODY,
    ];
    while !stop.load(Ordering::SeqCst) {
        let mut threads = Vec::new();
        for _ in 0..3 {
            let (kind, clients) = match draw(9) {
                0 => (Kind::Body, 120),
                1..=4 => (Kind::Chunks, 200),
                5..=7 => (Kind::Fields, 200),
                _ => (Kind::Ahead, 120),
            };
            let size = sizes[draw(sizes.len())];
            record.line(format!("crowd: {clients} clients, {kind:?}, {size} bytes"));
            for _ in 0..8 {
                let (held, link) = (held.clone(), link.clone());
                let path = if draw(4) == 0 {
                    "/none/x"
                } else {
                    "/puxa403/x"
                };
                threads.push(thread::spawn(move || {
                    for _ in 0..clients / 8 {
                        if let Ok(tcp) = send_one(address, kind, size, path, &link) {
                            held.lock().unwrap().push(tcp);
                        }
                    }
                }));
            }
        }
        for thread in threads {
            let _ = thread.join();
        }
        let mut held = held.lock().unwrap();
        // Some leave at once, others stay.
        if draw(3) == 0 {
            held.clear();
        }
        let excess = held.len().saturating_sub(MOST_HELD);
        held.drain(..excess);
    }
}

fn send_one(
    address: SocketAddr,
    kind: Kind,
    size: usize,
    path: &str,
    link: &Link,
) -> std::io::Result<TcpStream> {
    let mut tcp = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
    tcp.set_write_timeout(Some(Duration::from_millis(150)))?;
    let id = new_id();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: filter.example\r\nBluebelldrift-Request-Id: {id}\r\n\
         Bluebelldrift-Deadline-Ms: 6000\r\n"
    );
    // A write that finds no room in time ends what this client sends; it stays connected.
    let _ = match kind {
        Kind::Body => {
            let text = format!("{head}Content-Length: {size}\r\n\r\n");
            let sent = link.send(&mut tcp, text.as_bytes());
            sent.and_then(|()| link.send(&mut tcp, &vec![b'x'; size - 1]))
        }
        Kind::Chunks => {
            let text = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
            let mut sent = link.send(&mut tcp, text.as_bytes());
            let len = size.min(16_000);
            let chunk = format!("{len:x}\r\n{}\r\n", "y".repeat(len));
            for _ in 0..(size / len).max(1) {
                sent = sent.and_then(|()| link.send(&mut tcp, chunk.as_bytes()));
            }
            sent
        }
        Kind::Fields => {
            let text = format!("{head}{}\r\n", "a:\r\n".repeat(3_900));
            link.send(&mut tcp, text.as_bytes())
        }
        Kind::Ahead => {
            let text = format!("{head}Content-Length: 3\r\n\r\nabc").repeat(40);
            link.send(&mut tcp, text.as_bytes())
        }
    };
    Ok(tcp)
}
