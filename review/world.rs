//! The record of a script, the daemon under test, and the stand-ins of servers and clients.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, Write},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Head},
    store::Store,
};

pub const KEY: &str = "key-of-tenant-1";
pub const HOST: &str = "kiln.example";
const ZONE: &str = "nord-tromso";

/// Writes `record.txt`: what was sent, answered and run, with the seconds since the start.
pub struct Record {
    pub began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("create the record");
        Arc::new(Self {
            began: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn note(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(
            self.file.lock().expect("lock the record"),
            "{at:8.3} {line}"
        );
    }
}

/// Processes that a script started, to be ended with it.
static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());
/// Temporary folder of the script, to be removed with it.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends the script and all processes that it started.
pub fn finish(record: &Record, code: i32, why: &str) -> ! {
    record.note(&format!("end code={code} {why}"));
    println!("{why}");
    for child in CHILDREN
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .drain(..)
    {
        end(&child);
    }
    // What a script that could not run has logged is kept.
    if code != 2
        && let Some(folder) = FOLDER.lock().unwrap_or_else(PoisonError::into_inner).take()
    {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// Kills a process, if it still runs, and waits for its end.
fn end(child: &Mutex<Child>) {
    let mut child = child.lock().unwrap_or_else(PoisonError::into_inner);
    let _ = child.kill();
    let _ = child.wait();
}

/// Returns a port that is free for TCP and UDP, below those that the system gives to outgoing
/// connections, so that it stays free while a process is down.
pub fn free_port() -> u16 {
    static TRIES: AtomicU64 = AtomicU64::new(0);
    loop {
        let number = u64::from(std::process::id()) * 131 + TRIES.fetch_add(1, Ordering::Relaxed);
        let port = 15_000 + u16::try_from(number % 15_000).unwrap_or(0);
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if is_free {
            return port;
        }
    }
}

/// One daemon, started with the command of the deploy file.
pub struct Daemon {
    child: Arc<Mutex<Child>>,
    id: u32,
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
}

impl Daemon {
    /// Starts a daemon with the settings that `deploy/settings.template.json` gives for a
    /// machine of Fjordrens, on free loopback ports.
    pub fn start(name: &str, store: &Store, dir: &Path) -> Self {
        let [front, ready, metrics, peers] = [(); 4].map(|()| free_port());
        let settings = format!(
            r#"{{"name": "{name}", "ip": "127.0.0.1", "zone": "{ZONE}",
  "zones": {{"nord-tromso":"nord","vest-bergen":"vest","ost-drammen":"ost"}},
  "seeds": [], "peer_ports": [{peers},{peers}],
  "listen": {{"callers": "127.0.0.1:{front}", "readiness": "127.0.0.1:{ready}", "metrics": "127.0.0.1:{metrics}"}},
  "store": {{"address": "{}", "reads_per_second": 2000, "heartbeat_ms": 1200}},
  "memory_mb": 110,
  "bounds": {{"stop_grace_s": 8, "drain_ms": 3000, "config_ms": 3000, "key_removal_ms": 5000,
    "evacuation_ms": 5000, "cold_factor": 1.5, "cold_extra": 5, "retry_share": 0.2,
    "retry_extra": 58, "retry_window_s": 10}}}}"#,
            store.address
        );
        let file = dir.join(format!("{name}.json"));
        fs::write(&file, settings).expect("write the settings");
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (child, id) = spawn_daemon(&file);
        Self {
            child,
            id,
            front: address(front),
            readiness: address(ready),
            settings: file,
        }
    }

    /// Starts the process again after it was killed, as the platform does.
    pub fn restart(&mut self) {
        self.kill();
        (self.child, self.id) = spawn_daemon(&self.settings);
    }

    pub fn kill(&self) {
        end(&self.child);
    }

    /// Changes a value of the settings and sends SIGHUP.
    pub fn change_settings(&self, from: &str, to: &str) {
        let text = fs::read_to_string(&self.settings).expect("read the settings");
        fs::write(&self.settings, text.replace(from, to)).expect("write the settings");
        let id = self.id.to_string();
        let sent = Command::new("kill").args(["-HUP", &id]).status();
        assert!(sent.is_ok_and(|s| s.success()), "send SIGHUP");
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            thread::sleep(Duration::from_millis(100));
            let Ok(mut conn) = Conn::open(self.readiness) else {
                continue;
            };
            let _ = conn.write(b"GET /bluebelldrift/readyz HTTP/1.1\r\nhost: x\r\n\r\n");
            let head = conn.read_head(Instant::now() + Duration::from_secs(1));
            if head.is_ok_and(|h| h.status() == 200) {
                return true;
            }
        }
        false
    }

    /// Memory of the process that is in use, in bytes; `None` once it is gone.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id)).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some(kib * 1024)
    }
}

/// Starts the command of `deploy/system.toml`. Its output is added to a file beside the
/// settings.
fn spawn_daemon(settings: &Path) -> (Arc<Mutex<Child>>, u32) {
    let log = File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"));
    let log = log.expect("create the log");
    let errors = log.try_clone().expect("clone the log");
    let child = Command::new("target/release/bluebelldrift-entry")
        .arg("run")
        .env("BLUEBELLDRIFT_NODE_FILE", settings)
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("start the daemon");
    let id = child.id();
    let child = Arc::new(Mutex::new(child));
    let mut children = CHILDREN.lock().expect("lock the processes");
    children.push(child.clone());
    (child, id)
}

/// What a server does with one of its runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Sound,
    /// Writes the head of its answer, then bytes that are no event, until the caller closes.
    BytesWithoutEnd {
        per_second: usize,
    },
    /// Runs the request to its end, and its answer is lost: the channel closes without one.
    AnswerLost,
}

/// One run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub server: String,
    pub fate: Fate,
    pub began: Instant,
    pub ended: Option<Instant>,
    /// Whether the server went on from a copy of the run of another server.
    pub is_resumed: bool,
}

/// Requests that reached servers, their runs, and the copies of runs.
#[derive(Default)]
pub struct Seen {
    pub arrivals: Mutex<Vec<(String, String, Fate)>>,
    pub runs: Mutex<Vec<Run>>,
    /// Events of a run that a server keeps as a copy, by the server and the request.
    copies: Mutex<HashMap<(SocketAddr, String), u64>>,
}

/// Work of a server.
#[derive(Clone, Copy)]
pub enum Work {
    /// A plain answer after some time.
    Plain { ms: u64 },
    /// A stream of events: time to the first one, their number and the time between them.
    Stream {
        first_ms: (u64, u64),
        events: u64,
        gap_ms: u64,
    },
}

type Decide = dyn Fn() -> Fate + Send + Sync;

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    work: Work,
    /// Decides what becomes of a new run.
    decide: Box<Decide>,
    /// Whether it answers before it reads a body, and reads the body before the end of its
    /// answer.
    reads_late: bool,
    seen: Arc<Seen>,
    record: Arc<Record>,
}

impl Server {
    pub fn open(
        id: &str,
        work: Work,
        seen: &Arc<Seen>,
        record: &Arc<Record>,
        decide: impl Fn() -> Fate + Send + Sync + 'static,
    ) -> Arc<Self> {
        Self::start(id, work, false, seen, record, decide)
    }

    /// Starts a sound server that answers before it has read the body, if `reads_late`.
    pub fn open_sound(
        id: &str,
        work: Work,
        reads_late: bool,
        seen: &Arc<Seen>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        Self::start(id, work, reads_late, seen, record, || Fate::Sound)
    }

    fn start(
        id: &str,
        work: Work,
        reads_late: bool,
        seen: &Arc<Seen>,
        record: &Arc<Record>,
        decide: impl Fn() -> Fate + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a server");
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("address of a server"),
            work,
            decide: Box::new(decide),
            reads_late,
            seen: seen.clone(),
            record: record.clone(),
        });
        let served = server.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let server = served.clone();
                thread::spawn(move || server.serve(Conn::new(tcp)));
            }
        });
        server
    }

    pub fn register(&self, store: &Store, service: &str, slots: u32) {
        let spec = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold-remaining-ms\":0,\"stage\":\"colocated\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":4,\"born\":1}}",
            self.address
        );
        store.put("servers", &self.id, &spec);
    }

    fn serve(&self, mut conn: Conn) {
        let limit = Duration::from_secs(30);
        while let Ok(head) = conn.read_head(Instant::now() + limit) {
            if !self.reads_late && conn.read_whole_body(&head, Instant::now() + limit).is_err() {
                return;
            }
            if self.answer(&mut conn, &head).is_err() {
                return;
            }
        }
    }

    /// Answers without running the request.
    fn decline(&self, conn: &mut Conn, status: u16) -> io::Result<()> {
        let answer = format!(
            "HTTP/1.1 {status} X\r\nbluebelldrift-instance-id: {}\r\nbluebelldrift-not-executed: 1\r\n\
             content-length: 0\r\n\r\n",
            self.id
        );
        conn.write(answer.as_bytes())
    }

    fn answer(&self, conn: &mut Conn, head: &Head) -> io::Result<()> {
        let (_, path) = head.target();
        if path.starts_with("/bluebelldrift/") {
            return self.decline(conn, 503);
        }
        let Some(id) = head.get("bluebelldrift-request-id").map(str::to_owned) else {
            return self.decline(conn, 400);
        };
        if head
            .get("bluebelldrift-expect-instance")
            .is_some_and(|e| e != self.id)
        {
            return self.decline(conn, 421);
        }
        let copy = head.get("kv-from").map(|from| {
            let key = (self.address, id.clone());
            (
                from.to_owned(),
                self.seen.copies.lock().expect("lock").get(&key).copied(),
            )
        });
        let fate = if copy.is_some() {
            Fate::Sound
        } else {
            (self.decide)()
        };
        self.seen
            .arrivals
            .lock()
            .expect("lock")
            .push((id.clone(), self.id.clone(), fate));
        let deadline = head.get("bluebelldrift-deadline-ms").unwrap_or("?");
        self.record.note(&format!(
            "server {} gets {id} deadline_ms={deadline} copy={copy:?} fate={fate:?}",
            self.id
        ));
        if matches!(copy, Some((_, None))) {
            return self.decline(conn, 503);
        }
        let number = {
            let mut runs = self.seen.runs.lock().expect("lock");
            runs.push(Run {
                request: id.clone(),
                server: self.id.clone(),
                fate,
                began: Instant::now(),
                ended: None,
                is_resumed: copy.is_some(),
            });
            runs.len() - 1
        };
        let done = match self.work {
            Work::Plain { ms } => self.run_plain(conn, &id, ms, fate),
            Work::Stream { .. } => self.run_stream(conn, head, &id, fate, copy.is_some()),
        };
        self.seen.runs.lock().expect("lock")[number].ended = Some(Instant::now());
        let end = if done.is_ok() {
            "to its end"
        } else {
            "until its channel closed"
        };
        self.record
            .note(&format!("server {} ran {id} {end}", self.id));
        done
    }

    fn head_of(&self, id: &str, more: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nbluebelldrift-request-id: {id}\r\n\
             bluebelldrift-response-seal: seal-{id}\r\nbluebelldrift-instance-id: {}\r\n{more}\r\n",
            self.id
        )
    }

    fn run_plain(&self, conn: &mut Conn, id: &str, ms: u64, fate: Fate) -> io::Result<()> {
        thread::sleep(Duration::from_millis(ms));
        if fate == Fate::AnswerLost {
            return conn.tcp.shutdown(std::net::Shutdown::Both);
        }
        let answer = self.head_of(id, "content-length: 2\r\n") + "ok";
        conn.write(answer.as_bytes())
    }

    fn run_stream(
        &self,
        conn: &mut Conn,
        head: &Head,
        id: &str,
        fate: Fate,
        is_resumed: bool,
    ) -> io::Result<()> {
        let Work::Stream {
            first_ms,
            events,
            gap_ms,
        } = self.work
        else {
            return Ok(());
        };
        let backup = head
            .get("bluebelldrift-kv-backup")
            .and_then(|b| b.parse().ok());
        let backup: Option<(SocketAddr, String)> = backup.map(|b| (b, id.to_owned()));
        let keep_copy = |made: u64| {
            if let Some(key) = &backup {
                self.seen
                    .copies
                    .lock()
                    .expect("lock")
                    .insert(key.clone(), made);
            }
        };
        let last = head
            .get("last-event-id")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        let spread = id.bytes().map(u64::from).sum::<u64>() % (first_ms.1 - first_ms.0 + 1);
        let first_ms = if is_resumed { 50 } else { first_ms.0 + spread };
        // A sound server drops a request when its channel closes, also before its first token.
        let begin = Instant::now() + Duration::from_millis(first_ms);
        while Instant::now() < begin {
            if conn.is_closed() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            thread::sleep(Duration::from_millis(10));
        }
        keep_copy(0);
        if fate == Fate::AnswerLost {
            conn.tcp.shutdown(std::net::Shutdown::Both)?;
            self.record.note(&format!(
                "server {} loses its answer to {id} and runs on",
                self.id
            ));
            for made in 1..=events {
                thread::sleep(Duration::from_millis(gap_ms));
                keep_copy(made);
            }
            return Ok(());
        }
        let more = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
        conn.write(self.head_of(id, more).as_bytes())?;
        if let Fate::BytesWithoutEnd { per_second } = fate {
            return write_without_end(conn, per_second);
        }
        for made in last + 1..=events {
            let event = format!("id: {made}\ndata: piece {made} of {id}\n\n");
            conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            keep_copy(made);
            let next = Instant::now() + Duration::from_millis(gap_ms);
            while Instant::now() < next {
                if conn.is_closed() {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                thread::sleep(Duration::from_millis(10));
            }
        }
        if self.reads_late {
            conn.read_whole_body(head, Instant::now() + Duration::from_secs(5))?;
            self.record
                .note(&format!("server {} has read the body of {id}", self.id));
        }
        conn.write(b"0\r\n\r\n")?;
        if let Some(key) = &backup {
            self.seen.copies.lock().expect("lock").remove(key);
        }
        Ok(())
    }
}

/// Writes the beginning of an event and then bytes without end.
fn write_without_end(conn: &mut Conn, per_second: usize) -> io::Result<()> {
    let part = vec![b'x'; 64 * 1024];
    // One chunk of 16 GiB, of which no caller sees the end.
    conn.write(b"400000000\r\nid: 1\ndata: ")?;
    let (began, mut written) = (Instant::now(), 0);
    loop {
        conn.write(&part)?;
        written += part.len();
        let due = Duration::from_secs_f64(written as f64 / per_second as f64);
        thread::sleep(due.saturating_sub(began.elapsed()));
    }
}

/// How a request of a client ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// A complete answer with this status.
    Answered(u16),
    /// The daemon closed the channel before the first byte of an answer.
    ClosedWithoutAnswer,
    /// The daemon closed the channel within the answer.
    ClosedWithin,
    /// The client left, as the pages say: at its time limit, or after a gap.
    Left,
}

/// A request of a client and its end.
#[derive(Clone, Debug)]
pub struct Asked {
    pub request: String,
    pub sent: Instant,
    /// Whether the channel had carried a request before.
    pub is_kept: bool,
    pub end: End,
}

/// A client with one channel, which it keeps open.
pub struct Client {
    pub name: String,
    front: SocketAddr,
    conn: Option<Conn>,
    sent_on_channel: u64,
    count: u64,
    record: Arc<Record>,
}

impl Client {
    pub fn new(name: String, front: SocketAddr, record: &Arc<Record>) -> Self {
        Self {
            name,
            front,
            conn: None,
            sent_on_channel: 0,
            count: 0,
            record: record.clone(),
        }
    }

    /// Sends a request and reads its answer. `limit` is the client's time limit; `gap` is the
    /// longest time without an event of a stream.
    pub fn ask(
        &mut self,
        method: &str,
        path: &str,
        more: &str,
        body: &[u8],
        limit: Duration,
        gap: Duration,
    ) -> Option<Asked> {
        self.count += 1;
        let id = format!("{}-{}", self.name, self.count);
        if self.conn.is_none() {
            self.sent_on_channel = 0;
            self.conn = Some(Conn::open(self.front).ok()?);
        }
        let is_kept = self.sent_on_channel > 0;
        self.sent_on_channel += 1;
        let conn = self.conn.as_mut()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nBluebelldrift-Request-Id: {id}\r\n\
             Bluebelldrift-Deadline-Ms: {}\r\nApi-Key: {KEY}\r\n{more}Content-Length: {}\r\n\r\n",
            limit.as_millis(),
            body.len()
        );
        let sent = Instant::now();
        let deadline = sent + limit;
        let next = |now: Instant| deadline.min(now + gap);
        let mut status = None;
        let result = (|| {
            conn.write(head.as_bytes())?;
            conn.write(body)?;
            let head = conn.read_head(next(Instant::now()))?;
            status = Some(head.status());
            conn.read_body(&head, next(Instant::now()), |_| next(Instant::now()))?;
            Ok::<_, io::Error>(head)
        })();
        let end = match (&result, status) {
            (Ok(head), _) => End::Answered(head.status()),
            (Err(e), _) if e.kind() == io::ErrorKind::TimedOut => End::Left,
            (Err(_), None) => End::ClosedWithoutAnswer,
            (Err(_), Some(_)) => End::ClosedWithin,
        };
        let closes = result
            .as_ref()
            .ok()
            .and_then(|h| h.get("connection").map(str::to_owned));
        if result.is_err() || closes.is_some_and(|c| c.contains("close")) {
            self.conn = None;
        }
        self.record.note(&format!(
            "client sent {id} {method} {path} bytes={} kept={is_kept} took_ms={} {end:?}",
            body.len(),
            sent.elapsed().as_millis()
        ));
        Some(Asked {
            request: id,
            sent,
            is_kept,
            end,
        })
    }
}

/// The configuration: streams of long reports and short verdicts from engines, bookings that
/// run at most once and status lookups at a plain service.
pub fn configure(store: &Store) {
    let route = |name: &str,
                 kind: &str,
                 service: &str,
                 timeout: u64,
                 target: u64,
                 attempts: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout-ms\":{timeout},\"target-latency-ms\":{target},\"priority\":1,\
             \"service\":\"{service}\",\"max-attempts\":{attempts},\"public\":false,\"sticky\":false,\
             \"resumable\":false,\"gap-target-ms\":180,\"allowed-regions\":[]}}"
        )
    };
    let routes = [
        route("report", "streaming", "rensmodell", 39000, 1800, 1),
        route("verdict", "streaming", "rensmodell", 6000, 1500, 1),
        route("booking", "non_idempotent", "ordrebok", 1200, 200, 1),
        route("status", "idempotent", "ordrebok", 1200, 200, 2),
    ];
    let spec = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[\
         {{\"name\":\"rensmodell\",\"health-path\":\"/healthz\",\"max-connections\":442,\
         \"protocol\":\"h1\",\"tls\":false,\"cold-s\":1.0,\"cold-per-s\":30.0,\"engine\":{{\"slots\":64,\
         \"kv-capacity\":34431,\"kv-token-bytes\":18432,\"link-mbps\":2700.0,\"moves\":true,\
         \"backups\":true,\"stride\":4,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\
         \"handle-s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"ordrebok\",\"health-path\":\"/healthz\",\"max-connections\":110,\
         \"protocol\":\"h1\",\"tls\":false,\"cold-s\":0.0,\"cold-per-s\":0.0}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api-keys\":[\"{KEY}\"],\"priority\":1,\
         \"allowed-regions\":[]}}]}}",
        routes.join(",")
    );
    store.put("config", "main", &spec);
}

/// Headers of a request to an engine.
pub fn engine_headers(prompt: u64, output: u64, part: &str) -> String {
    format!(
        "Bluebelldrift-Model: m\r\nBluebelldrift-Token-Count: {prompt},{output}\r\n\
         Bluebelldrift-Prefix-Hash: 5c1e07a2:48,{part}:{}\r\n",
        prompt - 48
    )
}

/// A temporary folder for the settings and logs of one script.
pub fn temporary_folder() -> PathBuf {
    let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("create a temporary folder");
    *FOLDER.lock().expect("lock the folder") = Some(dir.clone());
    dir
}

/// A disruption that comes again and again, and strikes one in so many of the requests that
/// reach the servers in trouble meanwhile.
pub struct Trouble {
    one_in: u64,
    /// Length of each time with trouble, and of the pause after it.
    lasts: Duration,
    pauses: Duration,
    is_on: AtomicBool,
    count: AtomicU64,
}

impl Trouble {
    pub fn new(one_in: u64, lasts: Duration, pauses: Duration) -> Arc<Self> {
        let (is_on, count) = (AtomicBool::new(false), AtomicU64::new(0));
        Arc::new(Self {
            one_in,
            lasts,
            pauses,
            is_on,
            count,
        })
    }

    /// Switches the trouble on or off, by the time since its first beginning.
    pub fn follow(&self, elapsed: Duration, record: &Record) {
        let into = elapsed.as_secs_f64() % (self.lasts + self.pauses).as_secs_f64();
        let is_on = into < self.lasts.as_secs_f64();
        if self.is_on.swap(is_on, Ordering::Relaxed) != is_on {
            record.note(if is_on {
                "trouble begins"
            } else {
                "trouble ends"
            });
        }
    }

    /// Returns whether it strikes the request that has just come.
    pub fn strikes(&self) -> bool {
        self.is_on.load(Ordering::Relaxed)
            && (self.count.fetch_add(1, Ordering::Relaxed) + 1) % self.one_in == 0
    }
}

/// Tells clients to send nothing more.
#[derive(Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
