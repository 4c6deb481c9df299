//! Stand-ins for the cases of the third review: the platform's store, servers and clients, and
//! a runner of gateway processes. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    env, fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Str(s) => Some(s),
            _ => None,
        }
    }

    pub fn write(&self) -> String {
        match self {
            Json::Null => "null".into(),
            Json::Bool(b) => b.to_string(),
            Json::Num(n) => n.clone(),
            Json::Str(s) => quote(s),
            Json::List(items) => {
                let items: Vec<_> = items.iter().map(Json::write).collect();
                format!("[{}]", items.join(","))
            }
            Json::Map(fields) => {
                let fields: Vec<_> = fields
                    .iter()
                    .map(|(n, v)| format!("{}:{}", quote(n), v.write()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Str(name) = parse_value(bytes, at)? else {
                            return None;
                        };
                        skip(bytes, at);
                        *at += 1;
                        fields.push((name, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Str(String::from_utf8_lossy(&out).into_owned()));
                    }
                    b'\\' => {
                        let c = *bytes.get(*at + 1)?;
                        *at += 2;
                        match c {
                            b'n' => out.push(b'\n'),
                            b't' => out.push(b'\t'),
                            b'r' => out.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                let c = char::from_u32(code).unwrap_or('?');
                                out.extend_from_slice(c.to_string().as_bytes());
                                *at += 4;
                            }
                            c => out.push(c),
                        }
                    }
                    c => {
                        out.push(c);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while *at < bytes.len()
                && matches!(bytes[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
            {
                *at += 1;
            }
            if start == *at {
                return None;
            }
            Some(Json::Num(
                std::str::from_utf8(&bytes[start..*at]).ok()?.to_owned(),
            ))
        }
    }
}

// ---------------------------------------------------------------- HTTP

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message whose body has a length or comes in chunks.
pub fn read_message(from: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        first: line.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    if message
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"))
    {
        loop {
            line.clear();
            if from.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let len = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; len + 2];
            from.read_exact(&mut chunk)?;
            if len == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..len]);
        }
        return Ok(Some(message));
    }
    let len = message.header("content-length");
    let len: usize = len.and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body = vec![0; len];
    from.read_exact(&mut message.body)?;
    Ok(Some(message))
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let reason = if status == 200 { "OK" } else { "Other" };
    let mut out = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    out.into_bytes()
}

/// Sends one request on a new connection. Returns the answer, or what failed.
pub fn ask(address: SocketAddr, head: &str, body: &str, wait: Duration) -> Result<Message, String> {
    let mut tcp = TcpStream::connect_timeout(&address, Duration::from_secs(1))
        .map_err(|e| format!("connect: {}", e.kind()))?;
    let _ = tcp.set_nodelay(true);
    tcp.set_read_timeout(Some(wait))
        .map_err(|e| e.to_string())?;
    let text = format!(
        "{head}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    tcp.write_all(text.as_bytes())
        .map_err(|e| format!("write: {}", e.kind()))?;
    let mut from = BufReader::new(tcp);
    match read_message(&mut from) {
        Ok(Some(message)) => Ok(message),
        Ok(None) => Err("closed without an answer".into()),
        Err(e) => Err(format!("read: {}", e.kind())),
    }
}

// ---------------------------------------------------------------- addresses and the record

/// A part of the loopback range that this run uses, and ports that are free in it.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    a: u8,
    b: u8,
}

impl Net {
    pub fn new() -> Self {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let seed = (nanos.subsec_nanos() as u64) ^ (u64::from(std::process::id()) << 7);
        let a = 16 + (seed % 200) as u8;
        let b = 1 + ((seed / 200) % 250) as u8;
        Self { a, b }
    }

    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, machine)
    }

    /// Returns an address of a machine with a port that is free now.
    pub fn free(&self, machine: u8) -> SocketAddr {
        let listener = TcpListener::bind((self.ip(machine), 0)).expect("a free port");
        listener.local_addr().unwrap()
    }
}

/// The file `record.txt`, with the time since the start on each line.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(folder: &str) -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
            path: PathBuf::from(folder).join("record.txt"),
        }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap();
        lines.push((self.began.elapsed(), text.into()));
    }

    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8.3} {text}", self.began.elapsed().as_secs_f64());
        self.line(text);
    }

    pub fn save(&self) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{:8.3} {text}\n", at.as_secs_f64()))
            .collect();
        fs::write(&self.path, text).expect("record.txt can be written");
    }
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

#[derive(Clone, Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, and the event as JSON.
    history: Vec<(u64, String, String)>,
}

#[derive(Default)]
struct StoreState {
    now: Objects,
    copy: Option<Objects>,
    era: u64,
    is_down: bool,
}

/// The platform's store, as PROTOCOL.md and the news describe it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    has_eras: bool,
}

fn object_json(name: &str, o: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"delete-requested\":false}},\"spec\":{},\"status\":{}}}",
        quote(name),
        o.revision,
        o.created,
        o.spec.write(),
        o.status.write()
    )
}

impl Store {
    pub fn start(address: SocketAddr, has_eras: bool) -> Self {
        let listener = TcpListener::bind(address).expect("the store's port is free");
        let store = Self {
            address,
            state: Arc::default(),
            has_eras,
        };
        store.state.0.lock().unwrap().now.revision = 100;
        let accepting = store.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(tcp));
            }
        });
        store
    }

    /// Writes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("valid JSON");
        let mut state = self.state.0.lock().unwrap();
        write_object(&mut state.now, kind, name, spec);
        self.state.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().unwrap();
        remove_object(&mut state.now, kind, name);
        self.state.1.notify_all();
    }

    pub fn holds(&self, kind: &str, name: &str) -> bool {
        let state = self.state.0.lock().unwrap();
        state.now.objects.contains_key(&(kind.into(), name.into()))
    }

    /// Keeps a copy of all objects, for a later restore.
    pub fn keep_copy(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.copy = Some(state.now.clone());
    }

    pub fn set_down(&self, is_down: bool) {
        self.state.0.lock().unwrap().is_down = is_down;
        self.state.1.notify_all();
    }

    /// Comes back from the copy, in a new era.
    pub fn restore(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.now = state.copy.clone().expect("a copy");
        state.era += 1;
        state.is_down = false;
        self.state.1.notify_all();
    }

    fn serve(&self, tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let Ok(mut to) = tcp.try_clone() else { return };
        let mut from = BufReader::new(tcp);
        while let Ok(Some(req)) = read_message(&mut from) {
            let Some((status, body)) = self.answer(&req) else {
                return;
            };
            let era = self.state.0.lock().unwrap().era.to_string();
            let mut headers = vec![("Content-Type", "application/json")];
            if self.has_eras {
                headers.push(("Store-Era", &era));
            }
            if to.write_all(&response(status, &headers, &body)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> Option<(u16, String)> {
        // A store that is away closes the channel without an answer.
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.is_down {
            return None;
        }
        let mut words = req.first.split(' ');
        let (method, target) = (words.next()?, words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(n, v)| (n, unescape(v)))
            .collect();
        let rest = path.strip_prefix("/bluebelldrift/objects/")?;
        let mut parts = rest.split('/');
        let kind = unescape(parts.next()?);
        let name = parts.next().map(unescape);
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        match (method, name) {
            ("GET", None) => {
                if let Some(from) = query.get("watch").and_then(|w| w.parse::<u64>().ok()) {
                    let wait = query.get("wait-ms").and_then(|w| w.parse().ok());
                    let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
                    let era = state.era;
                    loop {
                        if state.is_down || state.era != era {
                            return None;
                        }
                        if from > state.now.revision {
                            return Some((410, "{}".into()));
                        }
                        let events: Vec<&str> = state
                            .now
                            .history
                            .iter()
                            .filter(|(at, k, _)| *at > from && *k == kind)
                            .map(|(.., event)| event.as_str())
                            .collect();
                        let left = until.saturating_duration_since(Instant::now());
                        if !events.is_empty() || left.is_zero() {
                            let at = state.now.revision;
                            let text = format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
                            return Some((200, text));
                        }
                        state = changed.wait_timeout(state, left).unwrap().0;
                    }
                }
                let after = query.get("after").cloned().unwrap_or_default();
                let items: Vec<String> = state
                    .now
                    .objects
                    .iter()
                    .filter(|((k, n), _)| *k == kind && *n > after)
                    .map(|((_, n), o)| object_json(n, o))
                    .collect();
                let at = state.now.revision;
                let text = format!(
                    "{{\"items\":[{}],\"has-more\":false,\"at\":{at}}}",
                    items.join(",")
                );
                Some((200, text))
            }
            ("GET", Some(name)) => Some(match state.now.objects.get(&(kind, name.clone())) {
                Some(object) => (200, object_json(&name, object)),
                None => (404, "{}".into()),
            }),
            ("POST", None) => {
                let name = body.get("metadata")?.get("name")?.text()?.to_owned();
                if let Some(known) = state.now.objects.get(&(kind.clone(), name.clone())) {
                    return Some((409, object_json(&name, known)));
                }
                let spec = body.get("spec").cloned().unwrap_or(Json::Null);
                let text = write_object(&mut state.now, &kind, &name, spec);
                changed.notify_all();
                Some((200, text))
            }
            ("PUT", Some(name)) => {
                if !state
                    .now
                    .objects
                    .contains_key(&(kind.clone(), name.clone()))
                {
                    return Some((404, "{}".into()));
                }
                let spec = body.get("spec").cloned().unwrap_or(Json::Null);
                let text = write_object(&mut state.now, &kind, &name, spec);
                changed.notify_all();
                Some((200, text))
            }
            ("DELETE", Some(name)) => {
                remove_object(&mut state.now, &kind, &name);
                changed.notify_all();
                Some((200, "{}".into()))
            }
            _ => Some((404, "{}".into())),
        }
    }
}

fn write_object(objects: &mut Objects, kind: &str, name: &str, spec: Json) -> String {
    let key = (kind.to_owned(), name.to_owned());
    if let Some(known) = objects.objects.get(&key)
        && known.spec == spec
    {
        return object_json(name, known);
    }
    objects.revision += 1;
    let revision = objects.revision;
    let created = objects.objects.get(&key).map_or(revision, |o| o.created);
    let object = Object {
        revision,
        created,
        spec,
        status: Json::Null,
    };
    let text = object_json(name, &object);
    let event = format!("{{\"object\":{text},\"tombstone\":false}}");
    objects.history.push((revision, kind.to_owned(), event));
    objects.objects.insert(key, object);
    text
}

fn remove_object(objects: &mut Objects, kind: &str, name: &str) {
    let key = (kind.to_owned(), name.to_owned());
    if let Some(object) = objects.objects.remove(&key) {
        objects.revision += 1;
        let text = object_json(name, &object);
        let event = format!("{{\"object\":{text},\"tombstone\":true}}");
        objects
            .history
            .push((objects.revision, kind.to_owned(), event));
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match hex {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- gateways

/// One process of the project, with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What the settings of all machines have in common.
pub struct Site {
    pub net: Net,
    pub store: SocketAddr,
    pub zones: Vec<(&'static str, &'static str)>,
    pub folder: PathBuf,
    pub peer_port: u16,
    pub seeds: Vec<String>,
    pub grace_s: u32,
    pub memory_mb: u32,
}

impl Site {
    pub fn new(net: Net, store: SocketAddr, seeds: &[u8]) -> Self {
        let folder = env::temp_dir().join(format!("review3-{}-{}", std::process::id(), net.b));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let udp = UdpSocket::bind((net.ip(250), 0)).expect("a free port");
        let peer_port = udp.local_addr().unwrap().port().clamp(1024, 60_000);
        Self {
            net,
            store,
            zones: vec![
                ("nord-tromso", "nord"),
                ("vest-bergen", "vest"),
                ("ost-drammen", "ost"),
            ],
            folder,
            peer_port,
            seeds: seeds
                .iter()
                .map(|m| format!("{}:8748", net.ip(*m)))
                .collect(),
            grace_s: 8,
            memory_mb: 110,
        }
    }

    /// Writes the settings as the template of the deploy file does.
    pub fn gateway(&self, name: &str, zone: &str, machine: u8) -> Gateway {
        let (callers, readiness) = (self.net.free(machine), self.net.free(machine));
        let metrics = self.net.free(machine);
        let zones: Vec<_> = self
            .zones
            .iter()
            .map(|(z, r)| format!("{}:{}", quote(z), quote(r)))
            .collect();
        let seeds: Vec<_> = self.seeds.iter().map(|s| quote(s)).collect();
        let text = format!(
            "{{\"name\":{},\"ip\":\"{}\",\"zone\":{},\"zones\":{{{}}},\"seeds\":[{}],\
             \"peer_ports\":[{},{}],\
             \"listen\":{{\"callers\":\"{callers}\",\"readiness\":\"{readiness}\",\"metrics\":\"{metrics}\"}},\
             \"store\":{{\"address\":\"{}\",\"reads_per_second\":2000,\"heartbeat_ms\":1200}},\
             \"memory_mb\":{},\
             \"bounds\":{{\"stop_grace_s\":{},\"drain_ms\":3000,\"config_ms\":3000,\
             \"key_removal_ms\":5000,\"evacuation_ms\":5000,\"cold_factor\":1.5,\"cold_extra\":5,\
             \"retry_share\":0.2,\"retry_extra\":58,\"retry_window_s\":10}}}}",
            quote(name),
            self.net.ip(machine),
            quote(zone),
            zones.join(","),
            seeds.join(","),
            self.peer_port,
            self.peer_port + 15,
            self.store,
            self.memory_mb,
            self.grace_s,
        );
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("settings can be written");
        Gateway {
            name: name.to_owned(),
            callers,
            readiness,
            settings,
            log: self.folder.join(format!("{name}.log")),
            child: None,
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // The logs of the processes stay if KEEP is set.
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Gateway {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let child = Command::new("target/release/bluebelldrift-entry")
            .arg("run")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("BLUEBELLDRIFT_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("target/release/bluebelldrift-entry is built"));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().and_then(|c| c.try_wait().ok());
        ended.flatten().is_some()
    }

    pub fn is_ready(&self) -> bool {
        let head = format!(
            "GET /bluebelldrift/readyz HTTP/1.1\r\nHost: {}\r\n",
            self.readiness
        );
        let answer = ask(self.readiness, &head, "", Duration::from_secs(1));
        answer.is_ok_and(|m| m.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- servers

/// One run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub first: String,
    pub tenant: String,
    pub key_passed: bool,
    pub at: Duration,
    /// Whether it was answered; a server that falls over answers nothing.
    pub is_answered: bool,
}

pub struct ServerSpec {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
}

/// Brittleness, as the news describe it.
#[derive(Clone, Copy, Debug)]
pub struct Brittle {
    pub from: Duration,
    pub until: Duration,
    /// Rejections in a second beyond which the server falls over.
    pub most: usize,
    /// Requests that wait, from `contact` after `from`.
    pub queue: usize,
    pub contact: Duration,
    /// Time for which it is gone.
    pub back_after: Duration,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
    rejections: Vec<Duration>,
    /// Open connections by number.
    open: HashMap<u64, TcpStream>,
    accepted: u64,
}

pub struct Server {
    pub spec: ServerSpec,
    pub address: SocketAddr,
    id: Mutex<String>,
    store: Store,
    record: Record,
    load: Mutex<Load>,
    freed: Condvar,
    is_down: AtomicBool,
    lifetime: AtomicU64,
    pub brittle: Mutex<Option<Brittle>>,
    /// Whether it says in its answers that it leaves.
    pub is_leaving: AtomicBool,
    /// Events of a streamed answer, the time to the first one, and the pause between two.
    pub stream: (u32, Duration, Duration),
    pub runs: Mutex<Vec<Run>>,
    pub falls: Mutex<Vec<(Duration, usize)>>,
    pub rejected: AtomicU64,
}

impl Server {
    pub fn start(
        spec: ServerSpec,
        address: SocketAddr,
        id: &str,
        store: &Store,
        record: &Record,
    ) -> Arc<Self> {
        let server = Arc::new(Self {
            spec,
            address,
            id: Mutex::new(id.to_owned()),
            store: store.clone(),
            record: record.clone(),
            load: Mutex::default(),
            freed: Condvar::new(),
            is_down: AtomicBool::new(false),
            lifetime: AtomicU64::new(0),
            brittle: Mutex::new(None),
            is_leaving: AtomicBool::new(false),
            stream: (233, Duration::from_millis(400), Duration::from_millis(30)),
            runs: Mutex::default(),
            falls: Mutex::default(),
            rejected: AtomicU64::new(0),
        });
        server.listen();
        server.beat("ready");
        server
    }

    pub fn id(&self) -> String {
        self.id.lock().unwrap().clone()
    }

    /// Writes the server's entry.
    pub fn beat(&self, state: &str) {
        let spec = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":{},\
             \"state\":{},\"cold-remaining-ms\":0,\"sequence\":1}}",
            quote(self.spec.service),
            self.address,
            quote(self.spec.zone),
            self.spec.slots,
            quote(state)
        );
        self.store.put("servers", &self.id(), &spec);
    }

    fn listen(self: &Arc<Self>) {
        let until = Instant::now() + Duration::from_secs(2);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) if Instant::now() < until => thread::sleep(Duration::from_millis(20)),
                Err(e) => panic!("a server's port: {e}"),
            }
        };
        listener.set_nonblocking(true).unwrap();
        let server = self.clone();
        let lifetime = self.lifetime.load(Ordering::SeqCst);
        thread::spawn(move || {
            while server.lifetime.load(Ordering::SeqCst) == lifetime {
                match listener.accept() {
                    Ok((tcp, _)) => {
                        let _ = tcp.set_nonblocking(false);
                        let _ = tcp.set_nodelay(true);
                        let number = {
                            let mut load = server.load.lock().unwrap();
                            load.accepted += 1;
                            let number = load.accepted;
                            if let Ok(other) = tcp.try_clone() {
                                load.open.insert(number, other);
                            }
                            number
                        };
                        let server = server.clone();
                        thread::spawn(move || {
                            server.serve(tcp, lifetime);
                            server.load.lock().unwrap().open.remove(&number);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_micros(300)),
                }
            }
        });
    }

    fn is_of(&self, lifetime: u64) -> bool {
        self.lifetime.load(Ordering::SeqCst) == lifetime
    }

    fn brittle_now(&self) -> Option<Brittle> {
        let brittle = *self.brittle.lock().unwrap();
        let now = self.record.now();
        brittle.filter(|b| now >= b.from && now < b.until)
    }

    fn serve(self: &Arc<Self>, tcp: TcpStream, lifetime: u64) {
        let Ok(mut to) = tcp.try_clone() else { return };
        let mut from = BufReader::new(tcp);
        while let Ok(Some(req)) = read_message(&mut from) {
            let Some(bytes) = self.answer(&req, lifetime, &mut to) else {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            };
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// Returns the answer, or `None` if the connection ends without one. Writes a stream itself.
    fn answer(
        self: &Arc<Self>,
        req: &Message,
        lifetime: u64,
        to: &mut TcpStream,
    ) -> Option<Vec<u8>> {
        let own = self.id();
        let rid = req
            .header("bluebelldrift-request-id")
            .unwrap_or("")
            .to_owned();
        let brittle = self.brittle_now();
        let most = brittle.map(|b| b.most.to_string());
        let mut headers: Vec<(&str, &str)> = vec![("Bluebelldrift-Instance-Id", &own)];
        if let Some(most) = &most {
            headers.push(("Server-Brittle", most));
        }
        if self.is_leaving.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1"));
        }
        if req
            .header("bluebelldrift-expect-instance")
            .is_some_and(|id| id != own)
        {
            return Some(response(421, &headers, ""));
        }
        headers.push(("Bluebelldrift-Request-Id", &rid));
        if rid.is_empty() {
            headers.push(("Bluebelldrift-Not-Executed", "1"));
            return Some(response(400, &headers, ""));
        }
        let queue = match brittle {
            Some(b) if self.record.now() >= b.from + b.contact => b.queue,
            _ => self.spec.queue,
        };
        {
            let mut load = self.load.lock().unwrap();
            if load.running >= self.spec.slots {
                if load.waiting >= queue {
                    let stated = format!("{},{},{}", load.running, load.waiting, self.spec.slots);
                    let now = self.record.now();
                    load.rejections.push(now);
                    load.rejections
                        .retain(|at| now.saturating_sub(*at) < Duration::from_secs(1));
                    let count = load.rejections.len();
                    drop(load);
                    self.rejected.fetch_add(1, Ordering::Relaxed);
                    self.record.line(format!("server {own} rejects {rid}"));
                    if brittle.is_some_and(|b| count > b.most) && self.is_of(lifetime) {
                        self.fall(brittle.unwrap(), count);
                        return None;
                    }
                    headers.push(("Bluebelldrift-Not-Executed", "1"));
                    headers.push(("Bluebelldrift-Instance-Load", &stated));
                    return Some(response(503, &headers, ""));
                }
                load.waiting += 1;
                while load.running >= self.spec.slots && self.is_of(lifetime) {
                    load = self.freed.wait(load).unwrap();
                }
                load.waiting = load.waiting.saturating_sub(1);
                if !self.is_of(lifetime) {
                    return None;
                }
            }
            load.running += 1;
        }
        let at = self.record.now();
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                id: rid.clone(),
                server: own.clone(),
                first: req.first.clone(),
                tenant: req.header("bluebelldrift-tenant").unwrap_or("").to_owned(),
                key_passed: req.header("api-key").is_some(),
                at,
                is_answered: false,
            });
            runs.len() - 1
        };
        self.record.line(format!("server {own} runs {rid}"));
        let is_stream = req.first.contains("/lohu930/");
        let is_whole = if is_stream {
            self.write_stream(to, &headers, lifetime).is_ok()
        } else {
            thread::sleep(self.spec.work);
            true
        };
        let stated = {
            let mut load = self.load.lock().unwrap();
            if !self.is_of(lifetime) {
                return None;
            }
            load.running = load.running.saturating_sub(1);
            self.freed.notify_one();
            format!("{},{},{}", load.running, load.waiting, self.spec.slots)
        };
        self.runs.lock().unwrap()[number].is_answered = is_whole;
        if is_stream {
            let end = if is_whole { "ends" } else { "is broken off" };
            self.record
                .line(format!("server {own}: the stream of {rid} {end}"));
            return is_whole.then(Vec::new);
        }
        headers.push(("Bluebelldrift-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"));
        headers.push(("Bluebelldrift-Instance-Load", &stated));
        Some(response(200, &headers, &format!("done {rid}")))
    }

    /// Writes a stream of events with increasing ids, in chunks.
    fn write_stream(
        &self,
        to: &mut TcpStream,
        headers: &[(&str, &str)],
        lifetime: u64,
    ) -> std::io::Result<()> {
        let (events, first, pause) = self.stream;
        thread::sleep(first);
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                        Transfer-Encoding: chunked\r\n\
                        Bluebelldrift-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
            .to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        to.write_all(format!("{head}\r\n").as_bytes())?;
        for id in 1..=events {
            if !self.is_of(lifetime) {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {id}\ndata: token token token token\n\n");
            to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(pause);
        }
        to.write_all(b"0\r\n\r\n")
    }

    /// Ends the process: its port and its connections close.
    pub fn exit(&self) {
        self.lifetime.fetch_add(1, Ordering::SeqCst);
        let mut load = self.load.lock().unwrap();
        for (_, tcp) in load.open.drain() {
            let _ = tcp.shutdown(std::net::Shutdown::Both);
        }
        self.freed.notify_all();
    }

    /// Falls over: all connections and runs are lost, and it is back after some seconds as a
    /// new lifetime.
    fn fall(self: &Arc<Self>, brittle: Brittle, count: usize) {
        let now = self.record.now();
        let (running, waiting);
        {
            let mut load = self.load.lock().unwrap();
            if self.is_down.swap(true, Ordering::SeqCst) {
                return;
            }
            self.lifetime.fetch_add(1, Ordering::SeqCst);
            (running, waiting) = (load.running, load.waiting);
            for (_, tcp) in load.open.drain() {
                let _ = tcp.shutdown(std::net::Shutdown::Both);
            }
            load.running = 0;
            load.waiting = 0;
            load.rejections.clear();
            self.freed.notify_all();
        }
        self.falls.lock().unwrap().push((now, running + waiting));
        self.record.say(format!(
            "server {} falls over: {count} rejections in a second, {running} runs and {waiting} \
             waiting requests lost",
            self.id()
        ));
        let server = self.clone();
        let old = self.id();
        thread::spawn(move || {
            // The entry lapses after three check-in intervals of silence, if the server is not
            // back before.
            thread::sleep(brittle.back_after);
            server.store.remove("servers", &old);
            let lifetime = server.lifetime.load(Ordering::SeqCst);
            let base = old.split('.').next().unwrap_or(&old).to_owned();
            *server.id.lock().unwrap() = format!("{base}.{lifetime}");
            server.listen();
            server.is_down.store(false, Ordering::SeqCst);
            server.beat("ready");
            server
                .record
                .line(format!("server {} is back", server.id()));
        });
    }
}

// ---------------------------------------------------------------- configurations

/// A route of a configuration.
pub struct RouteSpec {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub target_ms: u32,
    pub attempts: u32,
}

/// Returns a configuration, with the fields that `fleetbench wire` shows.
pub fn config(version: u32, routes: &[RouteSpec], tenants: &[(&str, &[&str])]) -> String {
    let route = |r: &RouteSpec| {
        format!(
            "{{\"name\":\"r{}\",\"host\":\"filter.example\",\"path-prefix\":\"{}\",\"kind\":\"{}\",\
             \"timeout-ms\":{},\"target-latency-ms\":{},\"priority\":2,\"service\":\"{}\",\
             \"max-attempts\":{},\"public\":false,\"sticky\":false,\"resumable\":false,\
             \"allowed-regions\":[]}}",
            r.prefix.replace('/', "-"),
            r.prefix,
            r.kind,
            r.timeout_ms,
            r.target_ms,
            r.service,
            r.attempts
        )
    };
    let routes_text: Vec<_> = routes.iter().map(route).collect();
    let mut names: Vec<&str> = routes.iter().map(|r| r.service).collect();
    names.sort_unstable();
    names.dedup();
    let services: Vec<_> = names
        .iter()
        .map(|n| {
            format!(
                "{{\"name\":\"{n}\",\"health-path\":\"/healthz\",\"max-connections\":400,\
                 \"protocol\":\"h1\",\"tls\":false,\"cold-s\":0.0,\"cold-per-s\":0.0}}"
            )
        })
        .collect();
    let tenants: Vec<_> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<_> = keys.iter().map(|k| quote(k)).collect();
            format!(
                "{{\"name\":{},\"api-keys\":[{}],\"priority\":1,\"allowed-regions\":[]}}",
                quote(name),
                keys.join(",")
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{}]}}",
        routes_text.join(","),
        services.join(","),
        tenants.join(",")
    )
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// Returns a new id for a client's attempt.
pub fn new_id() -> String {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    format!("{number:08x}{:08x}", std::process::id())
}
