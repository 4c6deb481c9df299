//! The servers of a service are brittle and say so, and many users come at once.

#[path = "lab3.rs"]
mod lab3;

use std::{
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use lab3::{
    Brittle, Net, Record, RouteSpec, Server, ServerSpec, Site, Store, ask, config, has_trouble,
    new_id,
};

/// `contact-ms` of the sheet of the grown deployment of `dosanko-dental`, from which the servers of
/// the service, their slots, the work of a request and the usual traffic are taken as well.
const CONTACT: Duration = Duration::from_secs(5);
const SERVERS: usize = 6;
const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(60);
/// Requests that wait at a server, and those that still wait at a brittle one.
const QUEUE: usize = 24;
const BRITTLE_QUEUE: usize = 0;
/// `Server-Brittle`: rejections in a second beyond which a server falls over.
const MOST_REJECTIONS: usize = 5;
/// Time after which a server that fell over is back.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Orders and status checks a second on a usual day of that sheet, and how many times as many orders
/// come at once (`burst` of one kind of request, `x = 2.5` for 10 s). With it, 299 requests a second
/// come to servers that can do 600.
const ORDERS: f64 = 103.0;
const CHECKS: f64 = 41.3;
const BURST: f64 = 2.5;
const BURST_FOR: Duration = Duration::from_secs(10);
/// Times since the processes are ready.
const BRITTLE_AT: Duration = Duration::from_secs(3);
const BURST_AT: Duration = Duration::from_secs(13);
const END_AT: Duration = Duration::from_secs(28);
const DEADLINE_MS: u64 = 2_500;
const KEY: &str = "wsjnbanfqasnmgkcuyj8";

#[derive(Default)]
struct Outcomes {
    ok: u64,
    refused: u64,
    other: u64,
}

fn main() {
    let folder = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "review/11".into());
    let record = Record::new(&folder);
    let code = play(&record);
    record.say(format!("exit code {code}"));
    record.save();
    exit(code);
}

fn play(record: &Record) -> i32 {
    let net = Net::new();
    let store = Store::start(net.free(200), false);
    let route = |prefix, kind, attempts| RouteSpec {
        prefix,
        kind,
        service: "post-ledger",
        timeout_ms: 2_500,
        target_ms: 400,
        attempts,
    };
    let routes = [
        route("/pule252/", "non_idempotent", 1),
        route("/puxa403/", "idempotent", 2),
    ];
    store.put(
        "config",
        "main",
        &config(7, &routes, &[("huka270", &[KEY])]),
    );
    let zones = ["kushiro-a", "asahikawa-a", "hakodate-a"];
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        let spec = ServerSpec {
            service: "post-ledger",
            zone: zones[i % 3],
            slots: SLOTS,
            queue: QUEUE,
            work: WORK,
        };
        let address = net.free(100 + i as u8);
        servers.push(Server::start(
            spec,
            address,
            &format!("i-{i}a"),
            &store,
            record,
        ));
    }
    let mut site = Site::new(net, store.address, &[1, 2, 3]);
    site.zones = zones.into_iter().zip(["doto", "dohoku", "donan"]).collect();
    let mut gateways = Vec::new();
    for machine in 1..=9_u8 {
        let zone = zones[usize::from(machine - 1) % 3];
        let name = format!("edge-{zone}-{}", (machine - 1) / 3 + 1);
        gateways.push(site.gateway(&name, zone, machine));
    }
    for gateway in &mut gateways {
        gateway.start();
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(15)) {
            record.say(format!("{} is not ready", gateway.name));
            return 2;
        }
    }
    record.say("all processes are ready");
    let began = record.now();
    if has_trouble() {
        let brittle = Brittle {
            from: began + BRITTLE_AT,
            until: began + END_AT,
            most: MOST_REJECTIONS,
            queue: BRITTLE_QUEUE,
            contact: CONTACT,
            back_after: BACK_AFTER,
        };
        for server in &servers {
            *server.brittle.lock().unwrap() = Some(brittle);
        }
        record.say(format!(
            "from {:.1} s on the servers say Server-Brittle: {MOST_REJECTIONS}",
            (began + BRITTLE_AT).as_secs_f64()
        ));
    }
    record.say(format!(
        "{ORDERS} orders and {CHECKS} checks a second; {BURST} times as many orders from \
         {:.1} s for {} s",
        (began + BURST_AT).as_secs_f64(),
        BURST_FOR.as_secs()
    ));
    let outcomes = Arc::new(Mutex::new(Outcomes::default()));
    let lost = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let mut random = 88_172_645_463_325_252_u64;
    let mut draw = move || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        (random >> 11) as f64 / (1_u64 << 53) as f64
    };
    let mut next = Duration::ZERO;
    let mut clients = Vec::new();
    loop {
        let in_burst = next >= BURST_AT && next < BURST_AT + BURST_FOR;
        let orders = if in_burst { ORDERS * BURST } else { ORDERS };
        let rate = orders + CHECKS;
        next += Duration::from_secs_f64(-(1.0 - draw()).ln() / rate);
        if next >= END_AT {
            break;
        }
        thread::sleep(next.saturating_sub(start.elapsed()));
        let gateway = &gateways[(draw() * gateways.len() as f64) as usize];
        let other = &gateways[(draw() * gateways.len() as f64) as usize];
        let addresses = [gateway.callers, other.callers];
        let is_order = draw() < orders / rate;
        let (record, outcomes, lost) = (record.clone(), outcomes.clone(), lost.clone());
        clients.push(thread::spawn(move || {
            client(&record, addresses, is_order, &outcomes, &lost);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    for gateway in &mut gateways {
        gateway.kill();
    }
    let falls: usize = servers.iter().map(|s| s.falls.lock().unwrap().len()).sum();
    let rejected: u64 = servers
        .iter()
        .map(|s| s.rejected.load(Ordering::Relaxed))
        .sum();
    let broken: usize = servers
        .iter()
        .map(|s| {
            s.runs
                .lock()
                .unwrap()
                .iter()
                .filter(|r| !r.is_answered)
                .count()
        })
        .sum();
    let outcomes = outcomes.lock().unwrap();
    record.say(format!(
        "attempts: {} answered 200, {} refused (429, 503), {} ended otherwise",
        outcomes.ok, outcomes.refused, outcomes.other
    ));
    record.say(format!(
        "{rejected} requests rejected by servers; {broken} runs lost with their servers; {} orders \
         without an answer to tell whether they ran",
        lost.load(Ordering::Relaxed)
    ));
    let bound = 2.0 + 0.1 * SERVERS as f64;
    record.say(format!(
        "the servers fell over {falls} times; LIMIT allows {bound:.1}"
    ));
    if outcomes.ok < 1_000 {
        return 2;
    }
    i32::from(falls as f64 > bound)
}

/// A client with its one retry: after a refusal it waits as it is told, up to a third of its time.
fn client(
    record: &Record,
    addresses: [std::net::SocketAddr; 2],
    is_order: bool,
    outcomes: &Mutex<Outcomes>,
    lost: &AtomicU64,
) {
    let began = Instant::now();
    for address in addresses {
        let left = DEADLINE_MS.saturating_sub(began.elapsed().as_millis() as u64);
        if left == 0 {
            return;
        }
        let id = new_id();
        let first = if is_order {
            "POST /pule252/2f"
        } else {
            "GET /puxa403/2f"
        };
        let head = format!(
            "{first} HTTP/1.1\r\nHost: filter.example\r\nBluebelldrift-Request-Id: {id}\r\n\
             Bluebelldrift-Deadline-Ms: {left}\r\nApi-Key: {KEY}\r\n"
        );
        let body = if is_order { "{\"pallets\":1}" } else { "" };
        let answer = ask(address, &head, body, Duration::from_millis(left));
        let mut outcomes = outcomes.lock().unwrap();
        match answer {
            Ok(m) if m.status() == 200 => {
                outcomes.ok += 1;
                drop(outcomes);
                record.line(format!("client {id}: 200"));
                return;
            }
            Ok(m) if m.status() == 503 || m.status() == 429 => {
                outcomes.refused += 1;
                drop(outcomes);
                record.line(format!(
                    "client {id}: {} Retry-After {:?}",
                    m.status(),
                    m.header("retry-after")
                ));
                let after = m.header("retry-after").and_then(|a| a.parse().ok());
                let after = Duration::from_secs_f64(after.unwrap_or(0.0));
                thread::sleep(after.min(Duration::from_millis(left / 3)));
            }
            other => {
                outcomes.other += 1;
                drop(outcomes);
                let text = match other {
                    Ok(m) => m.status().to_string(),
                    Err(e) => e,
                };
                record.line(format!("client {id}: {text}"));
                if is_order {
                    lost.fetch_add(1, Ordering::Relaxed);
                    return;
                }
            }
        }
    }
}
