//! The store comes back from a copy that still holds the entry of a server that has left.

#[path = "lab3.rs"]
mod lab3;

use std::{
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use lab3::{
    Net, Record, RouteSpec, Server, ServerSpec, Site, Store, ask, config, has_trouble, new_id,
};

/// `drain-ms` of the sheet.
const DRAIN: Duration = Duration::from_secs(3);
/// Times since the processes are ready: the copy is made, the entry of the leaving server is
/// removed, the store is away, it is back, and what the copy lacks has been written again.
const COPY_AT: Duration = Duration::from_millis(5_000);
const LEAVES_AT: Duration = Duration::from_millis(6_000);
const AWAY_AT: Duration = Duration::from_millis(9_000);
const BACK_AT: Duration = Duration::from_millis(9_500);
const WRITTEN_AGAIN_AT: Duration = Duration::from_millis(11_000);
/// The leaving server exits: `drain-ms` after its removal and some seconds more.
const EXITS_AT: Duration = Duration::from_millis(15_500);
const END_AT: Duration = Duration::from_millis(25_000);
/// Generations a second, as on the sheet (4.62 + 6.45).
const PER_SECOND: f64 = 11.07;
/// Time from the removal after which each machine has stopped to send to the leaving server.
const KNOWN_AFTER: Duration = Duration::from_secs(1);
const KEY: &str = "wsjnbanfqasnmgkcuyj8";

fn main() {
    let folder = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "review/12".into());
    let record = Record::new(&folder);
    let code = play(&record);
    record.say(format!("exit code {code}"));
    record.save();
    exit(code);
}

fn play(record: &Record) -> i32 {
    let net = Net::new();
    let store = Store::start(net.free(200), true);
    let routes = [RouteSpec {
        prefix: "/lohu930/",
        kind: "streaming",
        service: "rensmodell",
        timeout_ms: 39_000,
        target_ms: 1_800,
        attempts: 1,
    }];
    store.put(
        "config",
        "main",
        &config(7, &routes, &[("huka270", &[KEY])]),
    );
    let zones = ["nord-tromso", "vest-bergen", "ost-drammen"];
    let mut servers = Vec::new();
    for i in 0..6_usize {
        let spec = ServerSpec {
            service: "rensmodell",
            zone: zones[i % 3],
            slots: 64,
            queue: 192,
            work: Duration::ZERO,
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
    let site = Site::new(net, store.address, &[1, 2, 3]);
    let mut gateways = Vec::new();
    for machine in 1..=6_u8 {
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
    let leaver = servers[0].clone();
    let id = leaver.id();
    let results = Arc::new(Mutex::new(Vec::<(String, String)>::new()));
    let callers: Vec<_> = gateways.iter().map(|g| g.callers).collect();
    let traffic = {
        let (results, record) = (results.clone(), record.clone());
        thread::spawn(move || send_traffic(&record, &callers, &results))
    };
    let start = Instant::now();
    let wait = |until: Duration| thread::sleep(until.saturating_sub(start.elapsed()));
    wait(COPY_AT);
    store.keep_copy();
    record.say("the store's copy is made");
    wait(LEAVES_AT);
    leaver
        .is_leaving
        .store(true, std::sync::atomic::Ordering::SeqCst);
    store.remove("servers", &id);
    let removed = record.now();
    record.say(format!(
        "the entry of {id} is removed; it says Server-Leaving in its answers and serves on until \
         {:.1} s",
        (began + EXITS_AT).as_secs_f64()
    ));
    wait(AWAY_AT);
    if has_trouble() {
        store.set_down(true);
        record.say("the store is away");
        wait(BACK_AT);
        store.restore();
        record.say("the store is back from its copy, in a new era");
        wait(WRITTEN_AGAIN_AT);
        for server in &servers[1..] {
            server.beat("ready");
        }
        store.remove("servers", &id);
        record.say(format!(
            "what the copy lacked is written again: the entry of {id} is removed"
        ));
    }
    wait(EXITS_AT);
    leaver.exit();
    record.say(format!("{id} exits"));
    let _ = traffic.join();
    for gateway in &mut gateways {
        gateway.kill();
    }
    let results = results.lock().unwrap();
    let mut reached = 0;
    let mut lost = 0;
    let mut early = 0;
    for run in leaver.runs.lock().unwrap().iter() {
        if run.at <= removed + DRAIN {
            early += i32::from(run.at > removed + KNOWN_AFTER);
            continue;
        }
        reached += 1;
        let outcome = results.iter().find(|(id, _)| *id == run.id);
        let outcome = outcome.map_or("no outcome", |(_, text)| text.as_str());
        lost += i32::from(outcome != "whole");
        record.say(format!(
            "request {} reached {id} {:.3} s after its removal was confirmed; its client got: {outcome}",
            run.id,
            run.at.saturating_sub(removed).as_secs_f64()
        ));
    }
    record.say(format!(
        "{early} requests reached {id} from {:.0} s to {:.0} s after the removal: the machines had \
         acknowledged it",
        KNOWN_AFTER.as_secs_f64(),
        DRAIN.as_secs_f64()
    ));
    let whole = results.iter().filter(|(_, text)| text == "whole").count();
    record.say(format!(
        "{} requests, {whole} answered whole; {reached} reached {id} later than drain-ms after the \
         removal of its entry, and {lost} of these were broken off when it exited",
        results.len()
    ));
    if whole < 30 {
        return 2;
    }
    i32::from(reached > 0)
}

fn send_traffic(
    record: &Record,
    callers: &[std::net::SocketAddr],
    results: &Arc<Mutex<Vec<(String, String)>>>,
) {
    let start = Instant::now();
    let mut random = 88_172_645_463_325_252_u64 ^ u64::from(std::process::id());
    let mut draw = move || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        (random >> 11) as f64 / (1_u64 << 53) as f64
    };
    let mut next = Duration::ZERO;
    let mut clients = Vec::new();
    loop {
        next += Duration::from_secs_f64(-(1.0 - draw()).ln() / PER_SECOND);
        if next >= END_AT.saturating_sub(Duration::from_secs(9)) {
            break;
        }
        thread::sleep(next.saturating_sub(start.elapsed()));
        let address = callers[(draw() * callers.len() as f64) as usize];
        let (record, results) = (record.clone(), results.clone());
        clients.push(thread::spawn(move || {
            let id = new_id();
            let head = format!(
                "POST /lohu930/2f HTTP/1.1\r\nHost: filter.example\r\n\
                 Bluebelldrift-Request-Id: {id}\r\nBluebelldrift-Model: m\r\n\
                 Bluebelldrift-Token-Count: 3079,932\r\n\
                 Bluebelldrift-Prefix-Hash: 5c1e07a2:79,{id}:3000\r\n\
                 Bluebelldrift-Deadline-Ms: 39000\r\nApi-Key: {KEY}\r\n"
            );
            let answer = ask(address, &head, "{\"report\":1}", Duration::from_secs(39));
            let text = match answer {
                Ok(m) if m.status() == 200 => "whole".to_owned(),
                Ok(m) => m.status().to_string(),
                Err(e) => format!("broken off ({e})"),
            };
            record.line(format!("client {id}: {text}"));
            results.lock().unwrap().push((id, text));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
}
