//! Many clients send bodies of the size that the configuration allows. The daemon keeps the body
//! of each request until its answer begins, without regard to its memory, and its end takes all
//! requests along.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    store::Store,
    world::{
        Client, Daemon, End, Fate, Record, Seen, Server, Stop, Work, configure, engine_headers,
        finish, temporary_folder,
    },
};

/// Clients on an ordinary day, each with one request at a time, and in a burst.
const CLIENTS: usize = 16;
const BURST: usize = 27;
/// Time from the start of traffic to each burst, and its length.
const BURSTS_AT: [Duration; 3] = [
    Duration::from_secs(10),
    Duration::from_secs(22),
    Duration::from_secs(34),
];
const BURST_FOR: Duration = Duration::from_secs(3);
const END_AT: Duration = Duration::from_secs(45);
/// Size of a body: `max-body-bytes` of the configuration.
const BODY: usize = 4_194_304;
/// `memory-mb` of the machine. A process that exceeds it is killed.
const MEMORY: u64 = 110 * 1024 * 1024;
/// Time after which the platform starts a killed process again.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// The rule allows three.
const ALLOWED: usize = 3;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> ! {
    let dir = temporary_folder();
    let seen: Arc<Seen> = Arc::default();
    let store = Store::open();
    configure(&store);
    let work = Work::Stream {
        first_ms: (800, 1400),
        events: 10,
        gap_ms: 40,
    };
    for number in 1..=4 {
        let name = format!("engine-{number}");
        let engine = Server::open(&name, work, &seen, record, || Fate::Sound);
        engine.register(&store, "rensmodell", 64);
    }
    let mut daemon = Daemon::start("edge-nord-tromso-1", &store, &dir);
    if !daemon.wait_until_ready() {
        finish(record, 2, "the daemon did not become ready");
    }
    let stop = Stop::default();
    let asked = Arc::new(Mutex::new(Vec::new()));
    let began = Instant::now();
    let is_burst = move || {
        let at = began.elapsed();
        has_trouble && BURSTS_AT.iter().any(|b| at >= *b && at < *b + BURST_FOR)
    };
    let clients: Vec<_> = (0..BURST)
        .map(|number| {
            let (stop, asked, record) = (stop.clone(), asked.clone(), record.clone());
            let front = daemon.front;
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(90 * number as u64));
                let mut client = Client::new(format!("c{number}"), front, &record);
                let body = vec![b'p'; BODY];
                while !stop.is_set() {
                    if number >= CLIENTS && !is_burst() {
                        thread::sleep(Duration::from_millis(20));
                        continue;
                    }
                    let headers = engine_headers(3000, 40, &format!("{number:x}"));
                    let (limit, gap) = (Duration::from_secs(39), Duration::from_millis(7200));
                    let report = client.ask("POST", "/report/a", &headers, &body, limit, gap);
                    asked.lock().expect("lock").extend(report);
                    thread::sleep(Duration::from_millis(400));
                }
            })
        })
        .collect();
    let (mut most, mut highest, mut kills) = (0, 0, 0);
    while began.elapsed() < END_AT {
        thread::sleep(Duration::from_millis(10));
        let memory = daemon.memory().unwrap_or(0);
        if memory > most + 4_000_000 {
            most = memory;
            record.note(&format!("daemon memory={memory}"));
        }
        highest = highest.max(memory);
        if memory > MEMORY {
            (kills, most) = (kills + 1, 0);
            record.note(&format!("daemon killed: memory={memory} limit={MEMORY}"));
            daemon.kill();
            thread::sleep(RESTART_AFTER);
            daemon.restart();
            daemon.wait_until_ready();
        }
    }
    stop.set();
    for client in clients {
        let _ = client.join();
    }
    daemon.kill();
    let arrivals = seen.arrivals.lock().expect("lock").clone();
    let asked = asked.lock().expect("lock").clone();
    let lost = asked.iter().filter(|a| {
        let has_arrived = arrivals.iter().any(|(id, ..)| *id == a.request);
        a.is_kept && a.end == End::ClosedWithoutAnswer && has_arrived
    });
    let lost = lost.count();
    let answered = asked.iter().filter(|a| a.end == End::Answered(200)).count();
    let summary = format!(
        "asked={} answered={answered} highest_memory={highest} kills={kills} \
         kept_closed_without_answer={lost} allowed={ALLOWED}",
        asked.len()
    );
    if answered < 20 {
        finish(record, 2, &format!("too few answers: {summary}"));
    }
    finish(record, i32::from(lost > ALLOWED), &summary)
}
