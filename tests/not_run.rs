//! Tests that a request which was refused as `not-run` did not run. They guard
//! against a refusal that wrongly says so: its caller would repeat a request that
//! ran (docs/PROOFS.md, section 5).

mod common;

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use common::{
    Answer, CUSTOMER_KEY, Fleet,
    check::{self, Attempts},
    record, wait_for,
};
use serde_json::{Value, json};

/// Starts one daemon with small limits, one engine and one target of a plain
/// service.
fn fleet() -> Fleet {
    let mut fleet = Fleet::start();
    fleet.add_service("ledger-1", common::ZONES[0].0);
    fleet.add_engine("engine-1", common::ZONES[0].0, &[]);
    let limits = json!({"max_body_bytes": 4096, "service_timeout": "1s",
                        "request_timeout": "500ms"});
    let timing = json!({"queue_timeout": "200ms"});
    fleet.add_daemon(0, &json!({"limits": limits, "timing": timing}));
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    check::wait_until_serving(&fleet);
    fleet
}

/// Checks that no booking was executed twice, and that the answers agree with what
/// the targets executed.
fn check_histories(fleet: &Fleet, attempts: &Attempts) {
    let histories: Vec<&Path> = fleet.targets.iter().map(|t| &*t.history).collect();
    let mut executed = check::count_executions(&histories, "executed", "key");
    check::assert_at_most_once(&executed);
    executed.extend(check::count_executions(&histories, "admitted", "mark"));
    check::assert_answers_match_executions(attempts, &executed);
}

/// Sends a generation request, and returns what the daemon reports about whether it
/// ran, if it was refused or failed.
fn generate(fleet: &Fleet, attempts: &Attempts, mark: &str) -> Option<String> {
    let prompt = format!("[mark={mark}] [n=3] report");
    let generated = fleet.caller(0).generate(&prompt, &json!({}), &[]);
    let in_stream = generated.error.as_ref().map(|e| e["error"]["ran"].clone());
    let in_stream = in_stream.and_then(|r| r.as_str().map(str::to_owned));
    let ran = generated.ran.or(in_stream);
    attempts.record(mark, generated.status, ran.as_deref());
    ran
}

fn ran(answer: &Answer) -> Option<&str> {
    answer.header("x-bluebell-ran")
}

#[test]
fn a_failed_claim_is_reported_as_not_run() {
    let fleet = fleet();
    let attempts = Attempts::default();
    let caller = fleet.caller(0);
    let faults = [
        ("down", json!({"is_down": true})),
        ("slow", json!({"delay_ms": 800})),
        ("lost", json!({"lose_answers": 50})),
    ];
    for (key, fault) in faults {
        fleet.set_faults(&fault);
        let refused = attempts.book(&caller, key, &json!({}));
        assert_eq!(
            (refused.status, ran(&refused)),
            (503, Some("not-run")),
            "{refused:?}"
        );
        check_histories(&fleet, &attempts);
        fleet.set_faults(&json!({}));
        let repeat = wait_for("the repeat runs", || {
            let answer = attempts.book(&caller, key, &json!({}));
            (answer.status == 201).then_some(answer)
        });
        assert_eq!(repeat.json()["executed"], 1, "{repeat:?}");
    }
    check_histories(&fleet, &attempts);
}

#[test]
fn invalid_and_incomplete_requests_are_reported_as_not_run() {
    let fleet = fleet();
    let attempts = Attempts::default();
    let caller = fleet.caller(0);
    let large = attempts.book(&caller, "large", &json!({"text": "x".repeat(8192)}));
    assert_eq!(
        (large.status, ran(&large)),
        (413, Some("not-run")),
        "{large:?}"
    );
    let long_key = "k".repeat(300);
    let long = attempts.book(&caller, &long_key, &json!({}));
    assert_eq!(
        (long.status, ran(&long)),
        (400, Some("not-run")),
        "{long:?}"
    );
    let head = |key: &str, length: usize| {
        format!(
            "POST /services/post-ledger/bookings HTTP/1.1\r\nhost: x\r\n\
             authorization: Bearer {CUSTOMER_KEY}\r\nidempotency-key: {key}\r\n\
             content-length: {length}\r\n\r\n"
        )
    };
    let send = |text: &[u8], closes_write: bool| {
        let mut tcp = TcpStream::connect(&fleet.daemons[0].caller_address)
            .expect("the daemon accepts a connection");
        tcp.write_all(text).expect("the request is sent");
        if closes_write {
            tcp.shutdown(Shutdown::Write)
                .expect("the connection is closed for writing");
        }
        let mut answer = String::new();
        let _ = tcp.set_read_timeout(Some(Duration::from_secs(2)));
        let mut buf = [0; 4096];
        if let Ok(n) = tcp.read(&mut buf) {
            answer.push_str(&String::from_utf8_lossy(&buf[..n]));
        }
        answer
    };
    // Half a body: once the connection is closed for writing, once it stays open
    // and the body is never completed.
    for (key, closes_write) in [("cut", true), ("stalled", false)] {
        let answer = send(format!("{}{{", head(key, 50)).as_bytes(), closes_write);
        attempts.record(key, 400, Some("not-run"));
        assert!(
            answer.is_empty() || answer.contains("x-bluebell-ran: not-run"),
            "{answer}"
        );
    }
    // A key that is not ASCII must not be treated as a missing key.
    let non_ascii = send(format!("{}{{}}", head("nøkkel", 2)).as_bytes(), false);
    assert!(non_ascii.starts_with("HTTP/1.1 400"), "{non_ascii}");
    assert!(non_ascii.contains("x-bluebell-ran: not-run"), "{non_ascii}");
    attempts.record("", 400, Some("not-run"));
    check_histories(&fleet, &attempts);
}

#[test]
fn missing_capacity_and_dead_targets_are_reported_as_not_run() {
    let mut fleet = fleet();
    let attempts = Attempts::default();
    let spec = json!({"type": "plain", "limit": 1, "cold_limit": 1});
    fleet.write_records(&json!([record("Service", "post-ledger", &spec)]));
    let caller = fleet.caller(0);
    let refused = wait_for("a long booking uses all capacity", || {
        let (key, thread_attempts) = (
            format!("a{:?}", std::time::Instant::now()),
            attempts.clone(),
        );
        let busy = {
            let caller = caller.clone();
            thread::spawn(move || {
                thread_attempts.book(&caller, &key, &json!({"delay_after_ms": 700}))
            })
        };
        thread::sleep(Duration::from_millis(100));
        let answer = attempts.book(&caller, "no-room", &json!({}));
        busy.join().expect("the caller's thread ends");
        (answer.status == 429).then_some(answer)
    });
    assert_eq!(ran(&refused), Some("not-run"), "{refused:?}");
    for target in &mut fleet.targets {
        target.process.kill();
    }
    let gone = attempts.book(&caller, "gone", &json!({}));
    assert_eq!(ran(&gone), Some("not-run"), "{gone:?}");
    assert_eq!(
        generate(&fleet, &attempts, "gone-engine").as_deref(),
        Some("not-run")
    );
    check_histories(&fleet, &attempts);
}

/// Ways in which a fake target fails a request; see [`fail`].
const FAILURES: [&str; 3] = ["closed", "taken", "half"];

/// Number of connections on which a fake target received a request.
type RequestCount = Arc<AtomicUsize>;

/// Calls `handle` for each connection to a new port; returns its address.
fn fake_target(handle: impl Fn(TcpStream) + Send + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener
        .local_addr()
        .expect("the listener has an address")
        .to_string();
    thread::spawn(move || {
        for tcp in listener.incoming() {
            handle(tcp.expect("a connection is accepted"));
        }
    });
    address
}

/// Fails a request: closes the connection without reading, after reading the
/// request, or in the middle of a response that starts with `head`.
fn fail(mut tcp: TcpStream, failure: &str, head: &str) {
    if failure != "closed" {
        let _ = tcp.read(&mut [0; 4096]);
    }
    if failure == "half" {
        let _ = tcp.write_all(head.as_bytes());
    }
}

/// Returns the start of a request without consuming it. For a generation, it
/// contains the mark.
fn peek_request(tcp: &TcpStream) -> String {
    let mut buf = [0; 4096];
    for _ in 0..200 {
        let n = tcp.peek(&mut buf).unwrap_or(0);
        let seen = String::from_utf8_lossy(&buf[..n]).into_owned();
        if !seen.starts_with("POST") || seen.contains("[mark=") {
            return seen;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("a generation request arrived without a mark");
}

/// Starts a target of a plain service that fails its requests in each way in
/// turn.
fn fake_service(sent: RequestCount) -> String {
    fake_target(move |tcp| {
        let n = sent.fetch_add(1, Ordering::AcqRel);
        let head = "HTTP/1.1 201 Created\r\ncontent-length: 100\r\n\r\n{";
        fail(tcp, FAILURES[n % FAILURES.len()], head);
    })
}

/// Starts an engine that reports its load, so that daemons send it requests, and
/// fails each generation in the way that its prompt names.
fn fake_engine(sent: RequestCount) -> String {
    let load = json!({"boot_id": "boot-1", "running": 0, "waiting": 0, "kv_used": 0,
                      "kv_total": 60_000, "preemptions": 0, "tokens": 0, "is_cold": false});
    let load = load.to_string();
    let load = format!(
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{load}",
        load.len()
    );
    fake_target(move |mut tcp| {
        let seen = peek_request(&tcp);
        if seen.starts_with("GET /v1/load") {
            let _ = tcp.read(&mut [0; 4096]);
            let _ = tcp.write_all(load.as_bytes());
        }
        if !seen.starts_with("POST /v1/completions") {
            return;
        }
        sent.fetch_add(1, Ordering::AcqRel);
        let named = |failure: &&str| seen.contains(&format!("[mark={failure}]"));
        let failure = FAILURES
            .into_iter()
            .find(named)
            .expect("the mark names a failure");
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\ndata: {";
        fail(tcp, failure, head);
    })
}

/// Repeats a call until the target receives a request. Earlier calls may be
/// refused as `not-run` because there is no credit yet; such a call must not have
/// sent a request to the target.
fn call_until_sent<T>(
    sent: &RequestCount,
    call: impl Fn() -> (T, Option<String>),
) -> (T, Option<String>) {
    wait_for("a request is sent", || {
        let before = sent.load(Ordering::Acquire);
        let (answer, ran) = call();
        let is_sent = sent.load(Ordering::Acquire) > before;
        let is_not_run = ran.as_deref() == Some("not-run");
        assert!(
            !is_sent || !is_not_run,
            "the request was sent, but reported as not run"
        );
        is_sent.then_some((answer, ran))
    })
}

#[test]
fn a_request_sent_to_a_target_that_fails_is_never_reported_as_not_run() {
    let mut fleet = fleet();
    for target in &mut fleet.targets {
        target.process.kill();
    }
    let (booked, generated) = (RequestCount::default(), RequestCount::default());
    let fakes = [
        ("fake-1", "post-ledger", fake_service(booked.clone())),
        ("fake-2", "drafting-desk", fake_engine(generated.clone())),
    ];
    for (name, service, address) in &fakes {
        fleet.set_instance(
            &json!({"name": name, "zone": common::ZONES[0].0, "state": "live",
            "address": address, "role": "target", "service": service}),
        );
    }
    for name in ["ledger-1", "engine-1"] {
        let path = format!("/v1/instances/{name}");
        let platform = &fleet.platform_address;
        common::client::call("DELETE", platform, &path, &[], &Value::Null);
    }
    wait_for("the daemon lists only the new targets", || {
        let status = fleet.operator(0).status();
        let targets = status["targets"].as_array()?;
        let is_new = |t: &Value| t["target"].as_str().is_some_and(|n| n.starts_with("fake"));
        (targets.len() == 2 && targets.iter().all(is_new)).then_some(())
    });
    let caller = fleet.caller(0);
    for (n, key) in FAILURES.into_iter().enumerate() {
        let book = || caller.call_service("POST", "/bookings", Some(key), &json!({}));
        let (answer, _) = call_until_sent(&booked, || {
            let answer = book();
            let ran = ran(&answer).map(str::to_owned);
            (answer, ran)
        });
        assert!(answer.status >= 400, "{key}: {answer:?}");
        assert_ne!(ran(&answer), Some("not-run"), "{key}: {answer:?}");
        let repeat = book();
        assert_eq!(
            (repeat.status, ran(&repeat)),
            (409, ran(&answer)),
            "{key}: {repeat:?}"
        );
        assert_eq!(
            booked.load(Ordering::Acquire),
            n + 1,
            "{key}: the request is sent once"
        );
    }
    let attempts = Attempts::default();
    for mark in FAILURES {
        let call = || ((), generate(&fleet, &attempts, mark));
        let ((), outcome) = call_until_sent(&generated, call);
        assert!(outcome.is_some(), "{mark}");
    }
}
