//! Case 6: an engine whose streams have no length leaves as planned, and its streams end early.

#[path = "lab2.rs"]
mod lab2;

use std::{
    collections::{HashMap, HashSet},
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, ExitCode, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use lab2::*;

/// Events of each stream, as many as a report of the pages has on average, and the time from one
/// to the next: four tokens at 10 ms each.
const EVENTS: u64 = 233;
const GAP: Duration = Duration::from_millis(40);
/// One engine of six leaves: less than the largest share of `scale_in` on the site, 0.25.
const ENGINES: usize = 6;
const STREAMS: usize = 24;
/// `drain-ms` of the settings.
const DRAIN: Duration = Duration::from_millis(3_000);
/// "And a little longer".
const LITTLE_LONGER: Duration = Duration::from_millis(500);
/// Four times the objective of the route: so long a client waits for the next event.
const PATIENCE: Duration = Duration::from_millis(7_200);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    match args.get(1).map(String::as_str) {
        Some("engine") if args.len() == 4 => {
            run_engine(&args[2], args[3] == "framed");
            ExitCode::SUCCESS
        }
        Some(folder) => play(folder),
        None => ExitCode::from(2),
    }
}

// ---------------------------------------------------------------- engine

/// Copies of runs by name, and the last event of each run in progress.
#[derive(Default)]
struct Memory {
    copies: HashSet<String>,
    runs: HashMap<String, u64>,
}

/// Serves streams until it is told to exit, and prints what it does.
fn run_engine(id: &str, is_framed: bool) {
    let memory: Arc<Mutex<Memory>> = Arc::default();
    let handler: Handler = Arc::new(move |server, request, tcp| {
        let path = request.first.split(' ').nth(1).unwrap_or("").to_owned();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match path.as_str() {
            "/private/exit" => std::process::exit(0),
            "/private/copy" => {
                let name = text_of(&body, "name");
                memory.lock().unwrap().copies.insert(name);
                write_json(tcp, 200, "{}")?;
            }
            "/bluebelldrift/kv-move" => {
                let run = text_of(&body, "id");
                let made = memory.lock().unwrap().runs.get(&run).copied();
                let Some(made) = made else {
                    write_json(tcp, 404, "{}")?;
                    return Ok(true);
                };
                let handle = format!("h-{run}");
                copy_to(
                    &text_of(&body, "target"),
                    &format!("{}/{handle}", server.address),
                )?;
                println!("copied run={run} created={made}");
                let answer = format!("{{\"handle\":\"{handle}\",\"created\":{made}}}");
                write_json(tcp, 200, &answer)?;
            }
            "/bluebelldrift/report" => {
                let runs: Vec<String> = memory
                    .lock()
                    .unwrap()
                    .runs
                    .iter()
                    .map(|(run, made)| format!("[\"{run}\",400,{made},5]"))
                    .collect();
                let answer = format!(
                    "{{\"stage\":\"colocated\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"sequence\":0,\"queued\":0,\"active\":{},\"kv-used\":0,\
                     \"kv-total\":34431,\"handles\":0,\"state\":\"ready\",\"runs\":[{}]}}",
                    runs.len(),
                    runs.join(",")
                );
                write_json(tcp, 200, &answer)?;
            }
            _ => return stream(&memory, &request, tcp, is_framed),
        }
        Ok(true)
    });
    let server = Server::start(id, &Record::create("/dev/null"), handler);
    println!("address {}", server.address);
    loop {
        thread::sleep(Duration::from_secs(1));
    }
}

/// Runs a request and writes its events.
fn stream(
    memory: &Mutex<Memory>,
    request: &Message,
    tcp: &mut TcpStream,
    is_framed: bool,
) -> io::Result<bool> {
    let run = request
        .header("bluebelldrift-request-id")
        .unwrap_or("-")
        .to_owned();
    let mut first = 1;
    if let Some(copy) = request.header("kv-from") {
        if !memory.lock().unwrap().copies.remove(copy) {
            println!("declined run={run} copy={copy}");
            write!(
                tcp,
                "HTTP/1.1 503 X\r\nBluebelldrift-Request-Id: {run}\r\nBluebelldrift-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            )?;
            return Ok(true);
        }
        let last = request
            .header("last-event-id")
            .and_then(|id| id.parse::<u64>().ok());
        first = last.unwrap_or(0) + 1;
    }
    println!("run={run} begins at event {first}");
    if let Some(backup) = request.header("bluebelldrift-kv-backup") {
        // The copy of a run has no more news than this stand-in needs: that there is one.
        let _ = copy_to(backup, &format!("{backup}/{run}"));
    }
    memory.lock().unwrap().runs.insert(run.clone(), 0);
    let written = write_events(memory, &run, first, tcp, is_framed);
    memory.lock().unwrap().runs.remove(&run);
    match &written {
        Ok(()) => println!("run={run} has ended whole"),
        Err(e) => println!("run={run} was left by its caller: {e}"),
    }
    written.map(|()| is_framed)
}

fn write_events(
    memory: &Mutex<Memory>,
    run: &str,
    first: u64,
    tcp: &mut TcpStream,
    is_framed: bool,
) -> io::Result<()> {
    let framing = if is_framed {
        "Transfer-Encoding: chunked\r\n"
    } else {
        ""
    };
    write!(
        tcp,
        "HTTP/1.1 200 OK\r\nBluebelldrift-Request-Id: {run}\r\nBluebelldrift-Response-Seal: seal-{run}\r\n\
         Content-Type: text/event-stream\r\n{framing}\r\n"
    )?;
    for event in first..=EVENTS {
        thread::sleep(GAP);
        let text = format!("id: {event}\ndata: piece-{event}\n\n");
        if is_framed {
            write!(tcp, "{:x}\r\n{text}\r\n", text.len())?;
        } else {
            tcp.write_all(text.as_bytes())?;
        }
        println!("run={run} event={event}");
        memory.lock().unwrap().runs.insert(run.to_owned(), event);
    }
    if is_framed {
        tcp.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

fn write_json(tcp: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    write!(
        tcp,
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Brings a copy of a run to another engine.
fn copy_to(engine: &str, name: &str) -> io::Result<()> {
    let engine: SocketAddr = engine.parse().map_err(io::Error::other)?;
    let body = format!("{{\"name\":\"{name}\"}}");
    call(engine, "/private/copy", &body).map(|_| ())
}

fn call(engine: SocketAddr, path: &str, body: &str) -> io::Result<Option<Message>> {
    let mut tcp = TcpStream::connect_timeout(&engine, Duration::from_secs(1))?;
    tcp.set_read_timeout(Some(Duration::from_secs(1)))?;
    write!(
        tcp,
        "POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    read_message(&mut BufReader::new(tcp), false)
}

fn text_of(json: &str, key: &str) -> String {
    value_of(json, key)
        .unwrap_or("")
        .trim_matches('"')
        .to_owned()
}

// ---------------------------------------------------------------- play

struct Engine {
    id: String,
    address: SocketAddr,
    child: Child,
}

impl Engine {
    /// Starts the process of an engine, whose output goes to the record.
    fn spawn(
        id: &str,
        framing: &str,
        record: &Record,
        ended: &Arc<Mutex<HashSet<String>>>,
    ) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["engine", id, framing])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut output = BufReader::new(child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?);
        let mut line = String::new();
        output.read_line(&mut line)?;
        let address = line
            .trim()
            .rsplit(' ')
            .next()
            .unwrap_or("")
            .parse()
            .map_err(io::Error::other)?;
        let (record, ended, name) = (record.clone(), ended.clone(), id.to_owned());
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if let Some(run) = line.strip_suffix(" has ended whole") {
                    ended
                        .lock()
                        .unwrap()
                        .insert(run.trim_start_matches("run=").to_owned());
                }
                record.line(&format!("{name}: {line}"));
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            child,
        })
    }

    fn entry(&self, sequence: u64, state: &str) -> String {
        format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"{state}\",\"cold-remaining-ms\":0,\"stage\":\"colocated\",\"models\":[{{\"name\":\"m\",\
             \"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":1}}",
            self.address
        )
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn play(folder: &str) -> ExitCode {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let framing = std::env::var("FRAMING").unwrap_or_else(|_| "none".to_owned());
    let record = Record::create(&format!("{folder}/record.txt"));
    let temporary = Temporary::new();
    let store = Store::start();
    store.put("config", "main", &config(1));
    let ended: Arc<Mutex<HashSet<String>>> = Arc::default();
    let spawn = |i: usize| Engine::spawn(&format!("i-llm{i}"), &framing, &record, &ended);
    let Ok(engines) = (0..ENGINES).map(spawn).collect::<io::Result<Vec<Engine>>>() else {
        return could_not_run(&record, "an engine did not start");
    };
    for engine in &engines {
        store.put("servers", &engine.id, &engine.entry(1, "ready"));
    }
    let mut gateway = Gateway::new(&temporary.0, &store, &Machine::alone());
    gateway.start();
    if !gateway.wait_ready(15) {
        return could_not_run(&record, "the gateway is not ready");
    }

    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (to, record) = (gateway.callers, record.clone());
        clients.push(thread::spawn(move || {
            let id = format!("req-{number:02}");
            record.line(&format!("client sends {id}"));
            let answer = read_stream(to, &id);
            (id, answer)
        }));
        thread::sleep(Duration::from_millis(50));
    }
    let mut sequence = 1;
    let mut beat = |seconds: f64, leaving: Option<&str>, gone: usize| {
        // Each engine writes its entry every 1.2 s.
        let beats = (seconds / 1.2).ceil().max(1.0);
        for _ in 0..beats as u32 {
            sequence += 1;
            for engine in engines.iter().skip(gone) {
                let state = if leaving == Some(engine.id.as_str()) {
                    "draining"
                } else {
                    "ready"
                };
                store.put("servers", &engine.id, &engine.entry(sequence, state));
            }
            thread::sleep(Duration::from_secs_f64(seconds / beats));
        }
    };
    beat(1.0, None, 0);
    if has_trouble {
        let leaving = &engines[0];
        record.line(&format!("{} is draining", leaving.id));
        beat((DRAIN + LITTLE_LONGER).as_secs_f64(), Some(&leaving.id), 0);
        store.remove("servers", &leaving.id);
        record.line(&format!("{} exits", leaving.id));
        let _ = call(leaving.address, "/private/exit", "");
    }
    // Until all streams have ended.
    beat(7.0, None, usize::from(has_trouble));

    let mut broken = 0;
    for client in clients {
        let Ok((id, answer)) = client.join() else {
            return could_not_run(&record, "a client failed");
        };
        let expected: Vec<u64> = (1..=answer.events.len() as u64).collect();
        let is_in_order = answer.events == expected;
        let was_made_whole = ended.lock().unwrap().contains(&id);
        let is_short = answer.is_complete && (answer.events.len() as u64) < EVENTS;
        record.line(&format!(
            "client {id}: status={} complete={} events={} in_order={is_in_order} run_ended_whole={was_made_whole} {}",
            answer.status, answer.is_complete, answer.events.len(), answer.error
        ));
        if is_short || !is_in_order {
            broken += 1;
            record.say(&format!(
                "ORDER: {id} ends as complete after event {} of {EVENTS}, which no engine made",
                answer.events.len()
            ));
        }
    }
    record.say(&format!(
        "{broken} of {STREAMS} streams break the rule ORDER"
    ));
    ExitCode::from(u8::from(broken > 0))
}

#[derive(Default)]
struct StreamAnswer {
    status: u16,
    events: Vec<u64>,
    /// Whether the answer came with its end.
    is_complete: bool,
    error: String,
}

/// Sends a streamed request and reads its events.
fn read_stream(to: SocketAddr, id: &str) -> StreamAnswer {
    let mut answer = StreamAnswer::default();
    let mut body = Vec::new();
    let read = |answer: &mut StreamAnswer, body: &mut Vec<u8>| -> io::Result<()> {
        let mut tcp = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        tcp.set_read_timeout(Some(PATIENCE))?;
        let headers = "Bluebelldrift-Model: m\r\nBluebelldrift-Token-Count: 400,932\r\n\
             Bluebelldrift-Prefix-Hash: ab1:200,c:200\r\n";
        let text = request_text("POST", "/report/a", id, 39_000, headers, "prompt");
        tcp.write_all(text.as_bytes())?;
        let mut reader = BufReader::new(tcp);
        let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        answer.status = head.status();
        read_chunked(&mut reader, body)
    };
    match read(&mut answer, &mut body) {
        Ok(()) => answer.is_complete = answer.status == 200,
        Err(e) => answer.error = e.to_string(),
    }
    let text = String::from_utf8_lossy(&body);
    let ids = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    answer.events = ids.collect();
    answer
}
