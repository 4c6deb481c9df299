//! A server runs a stream and its answer is lost. The daemon has the stream go on from the
//! backup at another engine, though the first one still works on it.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    store::Store,
    world::{
        Client, Daemon, Fate, Record, Seen, Server, Stop, Trouble, Work, configure, engine_headers,
        finish, temporary_folder,
    },
};

/// Clients, each with one report at a time.
const CLIENTS: usize = 8;
/// Of the requests of half of the engines, one in so many loses its answer.
const ONE_IN: u64 = 34;
/// Length of each time with trouble, and of the pause after it.
const TROUBLE: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(1));
/// Time from the start of traffic to its end.
const END_AT: Duration = Duration::from_secs(75);
/// Time for which the rule lets the engine before go on.
const ALLOWED: Duration = Duration::from_millis(400);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> ! {
    let dir = temporary_folder();
    let seen: Arc<Seen> = Arc::default();
    let store = Store::open();
    configure(&store);
    let work = Work::Stream {
        first_ms: (300, 600),
        events: 40,
        gap_ms: 40,
    };
    let trouble = Trouble::new(ONE_IN, TROUBLE.0, TROUBLE.1);
    for number in 1..=4 {
        let trouble = trouble.clone();
        let engine = Server::open(
            &format!("engine-{number}"),
            work,
            &seen,
            record,
            move || {
                if number <= 2 && trouble.strikes() {
                    Fate::AnswerLost
                } else {
                    Fate::Sound
                }
            },
        );
        engine.register(&store, "rensmodell", 64);
    }
    let daemon = Daemon::start("edge-nord-tromso-1", &store, &dir);
    if !daemon.wait_until_ready() {
        finish(record, 2, "the daemon did not become ready");
    }
    let stop = Stop::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, record, front) = (stop.clone(), record.clone(), daemon.front);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(250 * number as u64));
                let mut client = Client::new(format!("c{number}"), front, &record);
                let mut asked = Vec::new();
                while !stop.is_set() {
                    let headers = engine_headers(2200, 160, &format!("{number:x}"));
                    let (limit, gap) = (Duration::from_secs(39), Duration::from_millis(7200));
                    let body = [b'p'; 2600];
                    asked.extend(client.ask("POST", "/report/a", &headers, &body, limit, gap));
                    thread::sleep(Duration::from_millis(200));
                }
                asked
            })
        })
        .collect();
    let began = Instant::now();
    while began.elapsed() < END_AT {
        thread::sleep(Duration::from_millis(100));
        if has_trouble {
            trouble.follow(began.elapsed(), record);
        }
    }
    stop.set();
    let asked: Vec<_> = clients
        .into_iter()
        .filter_map(|c| c.join().ok())
        .flatten()
        .collect();
    // Runs whose answers were lost go on to their end.
    thread::sleep(Duration::from_secs(4));
    daemon.kill();
    let runs = seen.runs.lock().expect("lock").clone();
    let mut twice = 0;
    for later in runs.iter().filter(|r| r.is_resumed) {
        let before = runs
            .iter()
            .filter(|r| r.request == later.request && r.server != later.server);
        for before in before.filter(|r| !r.is_resumed) {
            let ended = before.ended.unwrap_or_else(Instant::now);
            let over = ended.saturating_duration_since(later.began);
            record.note(&format!(
                "request {} goes on at {} while {} works on it for {} ms more",
                later.request,
                later.server,
                before.server,
                over.as_millis()
            ));
            twice += usize::from(over > ALLOWED);
        }
    }
    let lost = runs.iter().filter(|r| r.fate == Fate::AnswerLost).count();
    let summary = format!(
        "asked={} runs={} answers_lost={lost} twice={twice}",
        asked.len(),
        runs.len()
    );
    if asked.len() < 50 || (has_trouble && lost == 0) {
        finish(record, 2, &format!("too little traffic: {summary}"));
    }
    finish(record, i32::from(twice > 0), &summary)
}
