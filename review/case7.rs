//! Case 7: a server in trouble answers part of its requests with interim responses without end.

#[path = "lab2.rs"]
mod lab2;

use std::{
    io::{self, Write},
    net::TcpStream,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use lab2::*;

/// One server of six, and 0.45 of its requests: the dose of `srv_grey` on the site.
const SERVERS: usize = 3;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const FAILING: (usize, usize) = (9, 20);
/// Length of an entry of `srv_grey` on the site, and the pause before the next one, in seconds.
const SPELL: f64 = 6.5;
const PAUSE: f64 = 3.5;
/// Bytes a second of the server: a link of 1,000 Mbit/s.
const LINK: f64 = 125e6;
/// Requests a second: those of one zone of the site.
const RATE: f64 = 15.0;
const SECONDS: f64 = 20.0;
/// `timeout-ms` of the route after a change by the operator, and how long clients wait: as on the
/// site with the longest limit, 3,000 ms.
const TIMEOUT_MS: u128 = 2_000;
const CLIENT_MS: u64 = 3_000;

/// Bytes that a link still takes.
struct Link(Mutex<(Instant, f64)>);

impl Link {
    /// Waits until the link has taken `bytes`.
    fn pass(&self, bytes: usize) {
        loop {
            let mut state = self.0.lock().unwrap();
            let room = state.1 + state.0.elapsed().as_secs_f64() * LINK;
            *state = (Instant::now(), room.min(LINK / 100.0));
            if state.1 >= bytes as f64 {
                state.1 -= bytes as f64;
                return;
            }
            drop(state);
            thread::sleep(Duration::from_micros(200));
        }
    }
}

fn main() -> ExitCode {
    let Some(folder) = std::env::args().nth(1) else {
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::create(&format!("{folder}/record.txt"));
    let temporary = Temporary::new();
    let store = Store::start();
    store.put(
        "config",
        "main",
        &config(1).replace("\"timeout-ms\":1200", "\"timeout-ms\":2000"),
    );
    let link = Arc::new(Link(Mutex::new((Instant::now(), 0.0))));
    let number = Arc::new(AtomicUsize::new(0));
    let failing: Handler = Arc::new(move |server, request, tcp| {
        if server.record.now() % (SPELL + PAUSE) >= SPELL {
            return sound(server, request, tcp);
        }
        let number = number.fetch_add(1, Ordering::Relaxed);
        if (number + 1) * FAILING.0 / FAILING.1 == number * FAILING.0 / FAILING.1 {
            return sound(server, request, tcp);
        }
        let id = request.header("bluebelldrift-request-id").unwrap_or("-");
        server.record.line(&format!(
            "{} begins interim responses without end for {id}",
            server.id
        ));
        let sent = send_without_end(tcp, &link);
        server.record.line(&format!(
            "{} was left by the caller of {id}: {sent:?}",
            server.id
        ));
        Ok(false)
    });
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        let handler = if has_trouble && i == 0 {
            failing.clone()
        } else {
            Arc::new(sound)
        };
        let server = Server::start(&format!("i-app{i}"), &record, handler);
        server.list(&store, "app", ZONES[i % ZONES.len()], 6);
        servers.push(server);
    }
    let mut gateway = Gateway::new(&temporary.0, &store, &Machine::alone());
    gateway.start();
    if !gateway.wait_ready(15) {
        return could_not_run(&record, "the gateway is not ready");
    }

    let began = Instant::now();
    let mut clients = Vec::new();
    for number in 0..(RATE * SECONDS) as usize {
        let due = began + Duration::from_secs_f64(number as f64 / RATE);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let (to, lines) = (gateway.callers, record.clone());
        clients.push(thread::spawn(move || {
            let id = format!("req-{number:03}");
            let (method, path, body) = if number % 3 == 0 {
                ("GET", "/look/a", "")
            } else {
                ("POST", "/book/a", "x")
            };
            lines.line(&format!("client sends {id} {method} {path}"));
            let answer = send(to, method, path, &id, CLIENT_MS, "", body);
            let by = String::from_utf8_lossy(&answer.body).trim().to_owned();
            lines.line(&format!(
                "client {id}: status={} after {} ms {by} {}",
                answer.status, answer.took_ms, answer.error
            ));
            answer
        }));
        if number % 15 == 0 {
            let asked = Instant::now();
            let is_ready = gateway.is_ready();
            let (memory, _, ticks) = gateway.usage();
            record.line(&format!(
                "readiness: {is_ready} after {} ms; memory {memory} kB, processor {ticks} ticks",
                asked.elapsed().as_millis()
            ));
        }
    }
    let answers: Vec<Answer> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    if let Some(status) = gateway.ended() {
        record.say(&format!("the process ended: {status}"));
        return ExitCode::from(1);
    }
    let unanswered = answers.iter().filter(|a| a.took_ms > TIMEOUT_MS).count();
    let late = answers
        .iter()
        .filter(|a| a.took_ms > TIMEOUT_MS + 500)
        .count();
    let sound_late = answers
        .iter()
        .filter(|a| a.status == 200 && a.took_ms > TIMEOUT_MS)
        .count();
    let mut served: Vec<u128> = answers
        .iter()
        .filter(|a| a.status == 200)
        .map(|a| a.took_ms)
        .collect();
    served.sort_unstable();
    record.say(&format!(
        "{} requests; served {}, half of them within {} ms, the slowest after {} ms; {sound_late} answers of sound \
         servers later than {TIMEOUT_MS} ms",
        answers.len(),
        served.len(),
        served.get(served.len() / 2).copied().unwrap_or(0),
        served.last().copied().unwrap_or(0)
    ));
    let arrived: Vec<usize> = servers
        .iter()
        .map(|s| s.arrived.load(Ordering::Relaxed))
        .collect();
    record.line(&format!("arrivals by server: {arrived:?}"));
    record.say(&format!(
        "CONFIG: {unanswered} requests were unanswered at their route's timeout-ms, {late} of them half a second later"
    ));
    // "Eight or more of them, and over a quarter."
    let is_broken = late >= 8 && 4 * late > unanswered;
    record.say(if is_broken {
        "the rule is broken"
    } else {
        "the rule holds"
    });
    ExitCode::from(u8::from(is_broken))
}

/// Writes interim responses until the caller closes; returns how many bytes.
fn send_without_end(tcp: &mut TcpStream, link: &Link) -> (usize, io::ErrorKind) {
    let head = "HTTP/1.1 100 X\r\n\r\n";
    let heads = head.repeat(64 * 1024 / head.len());
    let mut sent = 0;
    loop {
        link.pass(heads.len());
        if let Err(e) = tcp.write_all(heads.as_bytes()) {
            return (sent, e.kind());
        }
        sent += heads.len();
    }
}
