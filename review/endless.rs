//! Engines answer some streams with bytes without end. The daemon keeps all of them, exceeds its
//! memory, and its end takes the requests along that sound servers work on.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    store::Store,
    world::{
        Client, Daemon, End, Fate, Record, Seen, Server, Stop, Trouble, Work, configure,
        engine_headers, finish, temporary_folder,
    },
};

/// Clients, each with one request at a time.
const CLIENTS: usize = 16;
/// Time from the start of traffic to that of the trouble, and to the end.
const TROUBLE_AT: Duration = Duration::from_secs(4);
const END_AT: Duration = Duration::from_secs(60);
/// Length of each time with trouble, and of the pause after it.
const TROUBLE: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(3));
/// Bytes a second on one channel: 240 Mbit/s; the link of a machine has 1,000 Mbit/s.
const PER_SECOND: usize = 30_000_000;
/// Of the requests of the two engines in trouble, one in so many is answered with such bytes.
const ONE_IN: u64 = 20;
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
    let trouble = Trouble::new(ONE_IN, TROUBLE.0, TROUBLE.1);
    let work = Work::Stream {
        first_ms: (1000, 1600),
        events: 10,
        gap_ms: 40,
    };
    for number in 1..=4 {
        let trouble = trouble.clone();
        let engine = Server::open(
            &format!("engine-{number}"),
            work,
            &seen,
            record,
            move || {
                if number <= 2 && trouble.strikes() {
                    Fate::BytesWithoutEnd {
                        per_second: PER_SECOND,
                    }
                } else {
                    Fate::Sound
                }
            },
        );
        engine.register(&store, "rensmodell", 64);
    }
    let plain = Server::open("plain-1", Work::Plain { ms: 15 }, &seen, record, || {
        Fate::Sound
    });
    plain.register(&store, "ordrebok", 6);
    let mut daemon = Daemon::start("edge-nord-tromso-1", &store, &dir);
    if !daemon.wait_until_ready() {
        finish(record, 2, "the daemon did not become ready");
    }
    let stop = Stop::default();
    let asked = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, asked, record) = (stop.clone(), asked.clone(), record.clone());
            let front = daemon.front;
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(60 * number as u64));
                let mut client = Client::new(format!("c{number}"), front, &record);
                while !stop.is_set() {
                    let second = Duration::from_millis(1200);
                    let lookup = client.ask("GET", "/status/a", "", b"", second, second);
                    // The client leaves after a gap of four times the objective.
                    let headers = engine_headers(3000, 40, &format!("{number:x}"));
                    let (limit, gap) = (Duration::from_secs(39), Duration::from_millis(7200));
                    let body = [b'p'; 2600];
                    let report = client.ask("POST", "/report/a", &headers, &body, limit, gap);
                    let sent = [lookup, report].into_iter().flatten();
                    let mut asked = asked.lock().expect("lock");
                    asked.extend(sent);
                    let think = 100 + 97 * ((asked.len() + 5 * number) % 8);
                    drop(asked);
                    thread::sleep(Duration::from_millis(think as u64));
                }
            })
        })
        .collect();
    let (mut most, mut highest, mut kills) = (0, 0, 0);
    let began = Instant::now();
    while began.elapsed() < END_AT {
        thread::sleep(Duration::from_millis(20));
        if has_trouble && began.elapsed() > TROUBLE_AT {
            trouble.follow(began.elapsed() - TROUBLE_AT, record);
        }
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
    let is_at_sound = |request: &str| {
        arrivals
            .iter()
            .any(|(id, _, fate)| id == request && *fate == Fate::Sound)
    };
    let lost = |end: End| {
        let lost = asked
            .iter()
            .filter(|a| a.is_kept && a.end == end && is_at_sound(&a.request));
        lost.map(|a| a.request.clone()).collect::<Vec<_>>()
    };
    let (without, within) = (lost(End::ClosedWithoutAnswer), lost(End::ClosedWithin));
    let answered = asked.iter().filter(|a| a.end == End::Answered(200)).count();
    record.note(&format!(
        "closed without an answer: {without:?}; within one: {within:?}"
    ));
    let summary = format!(
        "asked={} answered={answered} highest_memory={highest} kills={kills} \
         sound_kept_closed_without_answer={} allowed={ALLOWED}",
        asked.len(),
        without.len()
    );
    if answered < 20 {
        finish(record, 2, &format!("too few answers: {summary}"));
    }
    finish(record, i32::from(without.len() > ALLOWED), &summary)
}
