//! Stand-ins for the cases 6 to 8: a store, servers and clients, and the process of the project that
//! they meet. Standard library only.
#![allow(dead_code)]
use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const KEY: &str = "key-of-a";
pub const HOST: &str = "desk.example";

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n == name);
        found.next().map(|(_, v)| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 || !line.ends_with(b"\n") {
            return Ok(None);
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if message.first.is_empty() {
            if line.is_empty() {
                continue;
            }
            message.first = line;
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            let entry = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(entry);
        }
    }
}

pub fn read_chunked(reader: &mut impl BufRead, out: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16).map_err(|_| io::Error::other("chunk size"))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        out.extend_from_slice(&chunk[..size]);
    }
}

/// Reads a message with a length or in chunks.
pub fn read_message(reader: &mut impl BufRead, until_end: bool) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message
        .header("content-length")
        .and_then(|l| l.parse::<usize>().ok());
    if message.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        read_chunked(reader, &mut body)?;
        message.body = body;
    } else if let Some(length) = length {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    } else if until_end {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Returns an address with a port that is free for TCP and UDP. Ports lie below those of outgoing
/// connections, and none is returned twice.
pub fn free_address(ip: &str) -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.subsec_nanos() as usize);
    let _ = NEXT.compare_exchange(0, 1 + nanos, Ordering::Relaxed, Ordering::Relaxed);
    loop {
        let port = 20_000 + NEXT.fetch_add(1, Ordering::Relaxed) % 12_000;
        let address: SocketAddr = format!("{ip}:{port}").parse().expect("an IP address");
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Objects {
    revision: u64,
    live: BTreeMap<(String, String), (u64, String)>,
    history: Vec<(u64, String, String, bool)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"delete-requested\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// Returns the text of the object that is the value of `key`.
pub fn value_of<'a>(json: &'a str, key: &str) -> Option<&'a str> {
    let at = json.find(&format!("\"{key}\""))? + key.len() + 2;
    let rest = json[at..].trim_start().strip_prefix(':')?.trim_start();
    let (mut depth, mut in_text, mut escaped) = (0, false, false);
    for (i, c) in rest.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' if in_text => escaped = true,
            '"' => in_text = !in_text,
            '{' | '[' if !in_text => depth += 1,
            '}' | ']' if !in_text => depth -= 1,
            _ => {}
        }
        if depth == 0 && !in_text {
            if matches!(c, '}' | ']' | '"') {
                return Some(&rest[..=i]);
            }
            if matches!(c, ',') {
                return Some(&rest[..i]);
            }
        }
    }
    None
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let store = Self {
            address: listener.local_addr().expect("read the address"),
            objects: Arc::default(),
        };
        store.objects.0.lock().unwrap().revision = 100;
        let serving = store.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ = store.serve(tcp);
                });
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut objects = self.objects.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if objects.live.get(&key).is_some_and(|(_, s)| s == spec) {
            return objects.revision;
        }
        objects.revision += 1;
        let revision = objects.revision;
        objects.live.insert(key, (revision, spec.to_owned()));
        let event = (
            revision,
            kind.to_owned(),
            object(name, revision, spec),
            false,
        );
        objects.history.push(event);
        self.objects.1.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.0.lock().unwrap();
        if let Some((_, spec)) = objects.live.remove(&(kind.to_owned(), name.to_owned())) {
            objects.revision += 1;
            let revision = objects.revision;
            let event = (
                revision,
                kind.to_owned(),
                object(name, revision, &spec),
                true,
            );
            objects.history.push(event);
            self.objects.1.notify_all();
        }
    }

    fn serve(&self, tcp: TcpStream) -> io::Result<()> {
        tcp.set_nodelay(true)?;
        let mut reader = BufReader::new(tcp.try_clone()?);
        let mut writer = tcp;
        while let Some(request) = read_message(&mut reader, false)? {
            let (status, body) = self.answer(&request);
            write!(
                writer,
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let mut words = request.first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(rest) = path.strip_prefix("/bluebelldrift/objects/") else {
            return (404, "{}".into());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (method, name) {
            ("GET", "") if query.contains_key("watch") => {
                let from: u64 = query["watch"].parse().unwrap_or(0);
                let wait = query
                    .get("wait-ms")
                    .and_then(|w| w.parse().ok())
                    .unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut objects = self.objects.0.lock().unwrap();
                loop {
                    let events = objects.history.iter().filter(|e| e.0 > from && e.1 == kind);
                    let events: Vec<String> = events
                        .map(|e| format!("{{\"object\":{},\"tombstone\":{}}}", e.2, e.3))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let at = objects.revision;
                        return (
                            200,
                            format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")),
                        );
                    }
                    objects = self.objects.1.wait_timeout(objects, left).unwrap().0;
                }
            }
            ("GET", "") => {
                let after = query.get("after").copied().unwrap_or("");
                let objects = self.objects.0.lock().unwrap();
                let items = objects
                    .live
                    .iter()
                    .filter(|((k, n), _)| k == kind && n.as_str() > after);
                let items: Vec<String> = items.map(|((_, n), (r, s))| object(n, *r, s)).collect();
                let at = objects.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"has-more\":false,\"at\":{at}}}",
                        items.join(",")
                    ),
                )
            }
            ("POST", "") | ("PUT", _) => {
                let name = value_of(&body, "name")
                    .unwrap_or("\"?\"")
                    .trim_matches('"')
                    .to_owned();
                let spec = value_of(&body, "spec").unwrap_or("{}").to_owned();
                let key = (kind.to_owned(), name.clone());
                let known = self.objects.0.lock().unwrap().live.get(&key).cloned();
                if let (Some((r, s)), "POST") = (&known, method) {
                    return (409, object(&name, *r, s));
                }
                let revision = self.put(kind, &name, &spec);
                (200, object(&name, revision, &spec))
            }
            ("GET", name) => {
                let key = (kind.to_owned(), name.to_owned());
                match self.objects.0.lock().unwrap().live.get(&key) {
                    Some((r, s)) => (200, object(name, *r, s)),
                    None => (404, "{}".into()),
                }
            }
            _ => (404, "{}".into()),
        }
    }
}

// ---------------------------------------------------------------- record

/// Lines of the record, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = fs::File::create(path).expect("create the record");
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------- servers

pub type Handler = Arc<dyn Fn(&Server, Message, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// A server of a service. Its handler returns whether the connection stays open.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub arrived: Arc<AtomicUsize>,
    pub runs: Arc<AtomicUsize>,
    pub record: Record,
}

impl Server {
    pub fn start(id: &str, record: &Record, handler: Handler) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a server");
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("read the address"),
            arrived: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let (server, handler) = (serving.clone(), handler.clone());
                thread::spawn(move || {
                    let _ = server.serve(tcp, &handler);
                });
            }
        });
        server
    }

    fn serve(&self, tcp: TcpStream, handler: &Handler) -> io::Result<()> {
        tcp.set_nodelay(true)?;
        let mut reader = BufReader::new(tcp.try_clone()?);
        let mut writer = tcp;
        while let Some(request) = read_message(&mut reader, false)? {
            self.arrived.fetch_add(1, Ordering::Relaxed);
            let expected = request.header("bluebelldrift-expect-instance");
            if expected.is_some_and(|e| e != self.id) {
                write!(
                    writer,
                    "HTTP/1.1 421 Misdirected Request\r\nBluebelldrift-Instance-Id: {}\r\ncontent-length: 0\r\n\r\n",
                    self.id
                )?;
                continue;
            }
            if !handler(self, request, &mut writer)? {
                return Ok(());
            }
        }
        Ok(())
    }

    pub fn entry(
        &self,
        service: &str,
        zone: &str,
        slots: u32,
        sequence: u64,
        state: &str,
    ) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":1}}",
            self.address
        )
    }

    /// Writes the entry of the server every 1.2 s.
    pub fn list(&self, store: &Store, service: &'static str, zone: &'static str, slots: u32) {
        let (server, store) = (self.clone(), store.clone());
        store.put(
            "servers",
            &server.id,
            &server.entry(service, zone, slots, 1, "ready"),
        );
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                let entry = server.entry(service, zone, slots, sequence, "ready");
                store.put("servers", &server.id, &entry);
            }
        });
    }
}

/// A sound answer with a body of 800 bytes after 15 ms.
pub fn sound(server: &Server, request: Message, tcp: &mut TcpStream) -> io::Result<bool> {
    server.runs.fetch_add(1, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(15));
    let id = request
        .header("bluebelldrift-request-id")
        .unwrap_or("-")
        .to_owned();
    let body = format!("{:<800}", format!("{id} by {}", server.id));
    write!(
        tcp,
        "HTTP/1.1 200 OK\r\nBluebelldrift-Request-Id: {id}\r\nBluebelldrift-Response-Seal: seal-{id}\r\n\
         Bluebelldrift-Instance-Load: 1,0,6\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )?;
    Ok(true)
}

// ---------------------------------------------------------------- gateway

/// A process of the deploy file's role.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub child: Option<Child>,
    pub settings: String,
    pub log: String,
}

pub struct Machine<'a> {
    pub name: &'a str,
    pub ip: &'a str,
    pub zone: &'a str,
    pub memory_mb: u64,
    pub seeds: &'a [&'a str],
    pub peer_port: u16,
}

pub const ZONES: &str = r#"{"zone-a":"north","zone-b":"west","zone-c":"east"}"#;

impl Machine<'_> {
    /// One machine without others.
    pub fn alone() -> Self {
        let peer_port = free_address("127.0.0.1").port();
        Self {
            name: "entry-1",
            ip: "127.0.0.1",
            zone: "zone-a",
            memory_mb: 110,
            seeds: &[],
            peer_port,
        }
    }
}

/// A temporary folder, removed on drop.
pub struct Temporary(pub String);

impl Temporary {
    pub fn new() -> Self {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_nanos());
        let path = std::env::temp_dir().join(format!("review-2-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&path).expect("create a temporary folder");
        Self(path.to_string_lossy().into_owned())
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Notes that a case could not run; its exit code.
pub fn could_not_run(record: &Record, reason: &str) -> std::process::ExitCode {
    record.say(&format!("could not run: {reason}"));
    std::process::ExitCode::from(2)
}

impl Gateway {
    pub fn new(folder: &str, store: &Store, machine: &Machine) -> Self {
        let listen = |_: u16| free_address(machine.ip);
        let (callers, readiness, metrics) = (listen(1), listen(2), listen(3));
        let seeds: Vec<String> = machine
            .seeds
            .iter()
            .map(|s| format!("\"{s}:8748\""))
            .collect();
        let text = format!(
            r#"{{"name":"{}","ip":"{}","zone":"{}","zones":{ZONES},"seeds":[{}],"peer_ports":[{},{}],
"listen":{{"callers":"{callers}","readiness":"{readiness}","metrics":"{metrics}"}},
"store":{{"address":"{}","reads_per_second":2000,"heartbeat_ms":1200}},"memory_mb":{},
"bounds":{{"stop_grace_s":8,"drain_ms":3000,"config_ms":3000,"key_removal_ms":5000,"evacuation_ms":5000,
"cold_factor":1.5,"cold_extra":5,"retry_share":0.2,"retry_extra":58,"retry_window_s":10}}}}"#,
            machine.name,
            machine.ip,
            machine.zone,
            seeds.join(","),
            machine.peer_port,
            machine.peer_port,
            store.address,
            machine.memory_mb
        );
        let settings = format!("{folder}/{}.json", machine.name);
        fs::write(&settings, text).expect("write the settings");
        Self {
            name: machine.name.to_owned(),
            callers,
            readiness,
            child: None,
            settings,
            log: format!("{folder}/{}.log", machine.name),
        }
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("open the log");
        let child = Command::new("target/release/bluebelldrift-entry")
            .arg("run")
            .env("BLUEBELLDRIFT_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn();
        self.child = child.ok();
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(child.id().to_string())
                .status();
        }
    }

    pub fn is_ready(&self) -> bool {
        let ready = || -> io::Result<u16> {
            let mut tcp = TcpStream::connect_timeout(&self.readiness, Duration::from_secs(1))?;
            tcp.set_read_timeout(Some(Duration::from_secs(1)))?;
            write!(
                tcp,
                "GET /bluebelldrift/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )?;
            let head = read_head(&mut BufReader::new(tcp))?;
            Ok(head.map_or(0, |h| h.status()))
        };
        ready().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self, seconds: u64) -> bool {
        let until = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten().map(|s| s.to_string())
    }

    /// Returns the resident memory and its peak, in kB, and the processor time in ticks.
    pub fn usage(&self) -> (u64, u64, u64) {
        let Some(child) = &self.child else {
            return (0, 0, 0);
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find(|l| l.starts_with(name));
            line.and_then(|l| l.split_whitespace().nth(1))
                .and_then(|v| v.parse().ok())
                .unwrap_or(0)
        };
        let stat = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or("").to_owned();
        let words: Vec<&str> = after.split_whitespace().collect();
        let ticks = |i: usize| {
            words
                .get(i)
                .and_then(|w| w.parse::<u64>().ok())
                .unwrap_or(0)
        };
        (field("VmRSS"), field("VmHWM"), ticks(11) + ticks(12))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

// ---------------------------------------------------------------- clients

#[derive(Debug, Clone)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
    pub took_ms: u128,
    pub error: String,
}

pub fn request_text(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    extra: &str,
    body: &str,
) -> String {
    let length = if method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nBluebelldrift-Request-Id: {id}\r\n\
         Bluebelldrift-Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\n{extra}{length}\r\n{body}"
    )
}

/// Sends a request on a new connection and waits for its answer until the time limit of the
/// client.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    extra: &str,
    body: &str,
) -> Answer {
    let began = Instant::now();
    let attempt = || -> io::Result<Message> {
        let mut tcp = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        tcp.set_nodelay(true)?;
        tcp.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
        tcp.write_all(request_text(method, path, id, deadline_ms, extra, body).as_bytes())?;
        let answer = read_message(&mut BufReader::new(tcp), true)?;
        answer.ok_or_else(|| io::Error::other("closed"))
    };
    let answer = attempt();
    let took_ms = began.elapsed().as_millis();
    match answer {
        Ok(m) => Answer {
            status: m.status(),
            body: m.body,
            headers: m.headers,
            took_ms,
            error: String::new(),
        },
        Err(e) => Answer {
            status: 0,
            body: Vec::new(),
            headers: Vec::new(),
            took_ms,
            error: e.to_string(),
        },
    }
}

/// The configuration with a route of each kind.
pub fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-look","host":"{HOST}","path-prefix":"/look/","kind":"idempotent","timeout-ms":1200,"target-latency-ms":200,"priority":2,"service":"app","max-attempts":2,"public":false,"sticky":false,"resumable":false,"allowed-regions":[]}},
{{"name":"r-book","host":"{HOST}","path-prefix":"/book/","kind":"non_idempotent","timeout-ms":1200,"target-latency-ms":200,"priority":2,"service":"app","max-attempts":1,"public":false,"sticky":false,"resumable":false,"allowed-regions":[]}},
{{"name":"r-report","host":"{HOST}","path-prefix":"/report/","kind":"streaming","timeout-ms":39000,"target-latency-ms":1800,"priority":1,"service":"llm","max-attempts":1,"public":false,"sticky":true,"resumable":false,"gap-target-ms":180,"allowed-regions":[]}},
{{"name":"r-verdict","host":"{HOST}","path-prefix":"/verdict/","kind":"streaming","timeout-ms":6000,"target-latency-ms":1500,"priority":0,"service":"llm","max-attempts":1,"public":false,"sticky":true,"resumable":false,"gap-target-ms":180,"allowed-regions":[]}}],
"services":[{{"name":"llm","health-path":"/healthz","max-connections":442,"protocol":"h1","tls":false,"cold-s":1.0,"cold-per-s":30.0,"engine":{{"slots":64,"kv-capacity":34431,"kv-token-bytes":18432,"link-mbps":2700.0,"moves":true,"backups":true,"stride":4,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{{"name":"m"}}]}}}},
{{"name":"app","health-path":"/healthz","max-connections":110,"protocol":"h1","tls":false,"cold-s":0.0,"cold-per-s":0.0}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},
"tenants":[{{"name":"customer-a","api-keys":["{KEY}"],"priority":1,"allowed-regions":[]}}]}}"#
    )
}
