//! Tests that a non-idempotent request runs at most once, also when responses are
//! lost, the platform fails, or daemons are paused or killed. They guard against a
//! second execution when a request is repeated and its first attempt ran or may
//! still run (docs/PROOFS.md, section 6).

mod common;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use common::{
    Answer, CUSTOMER_KEY, Fleet,
    check::{self, Attempts},
    client, record, wait_for,
};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

/// Starts daemons with short timeouts and a plain service with one target.
fn fleet(daemons: usize) -> Fleet {
    let mut fleet = Fleet::start();
    fleet.add_service("ledger-1", common::ZONES[0].0);
    for i in 0..daemons {
        fleet.add_daemon(i, &json!({"limits": {"service_timeout": "1500ms"}}));
    }
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    check::wait_until_serving(&fleet);
    fleet
}

/// Returns how many times the target executed the booking with this key.
fn execution_count(fleet: &Fleet, key: &str) -> usize {
    let history = [&*fleet.targets[0].history];
    let counts = check::count_executions(&history, "executed", "key");
    counts.get(key).copied().unwrap_or(0)
}

/// Sends a booking and returns its connection without reading the answer.
fn send(fleet: &Fleet, daemon: usize, key: &str, body: &Value) -> TcpStream {
    let body = body.to_string();
    let mut tcp = TcpStream::connect(&fleet.daemons[daemon].caller_address)
        .expect("the daemon accepts a connection");
    let head = format!(
        "POST /services/post-ledger/bookings HTTP/1.1\r\nhost: x\r\n\
         authorization: Bearer {CUSTOMER_KEY}\r\nidempotency-key: {key}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    tcp.write_all(head.as_bytes()).expect("the request is sent");
    tcp
}

/// Sends a booking and returns the answer.
fn book(fleet: &Fleet, daemon: usize, key: &str, body: &Value) -> Answer {
    fleet
        .caller(daemon)
        .call_service("POST", "/bookings", Some(key), body)
}

fn ran(answer: &Answer) -> Option<&str> {
    answer.header("x-bluebell-ran")
}

/// Returns the number of entries in the ledger.
fn ledger_entries(fleet: &Fleet) -> usize {
    let address = &fleet.platform_address;
    let path = "/v1/list?prefix=ledger/";
    let listed = client::call("GET", address, path, &[], &Value::Null).json();
    listed["objects"].as_array().map_or(0, Vec::len)
}

/// Waits until the platform stores `claims` claims.
fn wait_for_claims(fleet: &Fleet, claims: usize) {
    wait_for("the claim is stored", || {
        (ledger_entries(fleet) == claims).then_some(())
    });
}

#[test]
fn a_caller_that_disconnects_mid_run_gets_the_response_on_repeat() {
    let fleet = fleet(2);
    let body = json!({"delay_before_ms": 400, "truck": 1});
    let connection = send(&fleet, 0, "left", &body);
    wait_for_claims(&fleet, 1);
    drop(connection);
    let repeat = book(&fleet, 1, "left", &body);
    assert_eq!(repeat.status, 201, "{repeat:?}");
    assert_eq!(execution_count(&fleet, "left"), 1);
}

#[test]
fn a_claim_whose_response_is_lost_is_recognized_by_its_own_request() {
    let fleet = fleet(2);
    fleet.set_faults(&json!({"lose_answers": 1}));
    let first = book(&fleet, 0, "lost", &json!({}));
    assert_eq!(first.status, 201, "{first:?}");
    let second = book(&fleet, 1, "lost", &json!({}));
    assert_eq!((second.status, &second.body), (201, &first.body));
    assert_eq!(execution_count(&fleet, "lost"), 1);
}

#[test]
fn a_claim_whose_responses_are_all_lost_is_released_and_may_run_later() {
    let fleet = fleet(2);
    fleet.set_faults(&json!({"lose_answers": 3}));
    let first = book(&fleet, 0, "given-up", &json!({}));
    assert_eq!(
        (first.status, ran(&first)),
        (503, Some("not-run")),
        "{first:?}"
    );
    assert_eq!(execution_count(&fleet, "given-up"), 0);
    let second = book(&fleet, 1, "given-up", &json!({}));
    assert_eq!(second.status, 201, "{second:?}");
    assert_eq!(execution_count(&fleet, "given-up"), 1);
}

#[test]
fn a_claim_is_released_when_no_target_could_be_reached() {
    let mut fleet = fleet(2);
    fleet.targets[0].process.kill();
    // Nothing listens at the address, and no other test gets its port meanwhile.
    let address: SocketAddr = fleet.targets[0].address.parse().expect("parse the address");
    let reserved = Socket::new(Domain::IPV4, Type::STREAM, None).expect("open a socket");
    reserved.set_reuse_address(true).expect("set the option");
    reserved.bind(&address.into()).expect("bind the port");
    let refused = book(&fleet, 0, "unreached", &json!({}));
    assert_eq!(ran(&refused), Some("not-run"), "{refused:?}");
    fleet.add_service("ledger-2", common::ZONES[1].0);
    fleet.wait_ready();
    let repeat = wait_for("the repeat runs", || {
        let answer = book(&fleet, 1, "unreached", &json!({}));
        assert_ne!(ran(&answer), Some("unknown"), "{answer:?}");
        (answer.status == 201).then_some(answer)
    });
    assert_eq!(repeat.json()["executed"], 1);
}

#[test]
fn the_outcome_is_unknown_after_the_daemon_is_killed_until_a_lookup_settles_it() {
    let mut fleet = fleet(2);
    let body = json!({"delay_after_ms": 600});
    let _connection = send(&fleet, 0, "killed", &body);
    wait_for("the booking runs", || {
        (execution_count(&fleet, "killed") == 1).then_some(())
    });
    fleet.daemons[0].process.kill();
    let repeat = book(&fleet, 1, "killed", &body);
    assert_eq!(
        (repeat.status, ran(&repeat)),
        (409, Some("unknown")),
        "{repeat:?}"
    );
    let spec = json!({"type": "plain", "capacity": {"limit": 48, "cold_limit": 48},
                      "lookup": "/bookings/{key}"});
    let mut with_lookup = record("Service", "post-ledger", &spec);
    with_lookup["schema"] = json!("bluebelldrift/v2");
    let put = fleet.operator(1).put_records(&json!([with_lookup]));
    assert_eq!(put.status, 200, "{put:?}");
    let settled = wait_for("the lookup settles the key", || {
        let answer = book(&fleet, 1, "killed", &body);
        (answer.status == 200).then_some(answer)
    });
    assert_eq!(ran(&settled), Some("ran"));
    // "Not found" settles nothing: the first attempt may still be in transit.
    let slow = json!({"delay_before_ms": 60_000});
    let first = book(&fleet, 1, "unmade", &slow);
    assert_eq!(ran(&first), Some("unknown"), "{first:?}");
    let repeat = book(&fleet, 1, "unmade", &slow);
    assert_eq!(
        (repeat.status, ran(&repeat)),
        (409, Some("unknown")),
        "{repeat:?}"
    );
    assert_eq!(execution_count(&fleet, "killed"), 1);
}

#[test]
fn no_other_daemon_runs_a_request_claimed_by_a_paused_or_killed_daemon() {
    let mut fleet = fleet(3);
    // The claim is stored but the response to its write is lost, so the daemon
    // is still waiting for that response when it is paused.
    fleet.set_faults(&json!({"lose_answers": 1}));
    let _paused = send(&fleet, 0, "paused", &json!({}));
    wait_for_claims(&fleet, 1);
    fleet.daemons[0].process.pause();
    let during_pause = book(&fleet, 1, "paused", &json!({}));
    assert_eq!(ran(&during_pause), Some("unknown"), "{during_pause:?}");
    fleet.daemons[0].process.unpause();
    wait_for("the booking continues and runs once", || {
        let answer = book(&fleet, 2, "paused", &json!({}));
        (answer.status == 201).then_some(())
    });
    assert_eq!(execution_count(&fleet, "paused"), 1);

    fleet.set_faults(&json!({"lose_answers": 1}));
    let _killed = send(&fleet, 0, "killed", &json!({}));
    wait_for_claims(&fleet, 2);
    fleet.daemons[0].process.kill();
    fleet.set_faults(&json!({}));
    let after_kill = book(&fleet, 1, "killed", &json!({}));
    assert_eq!(ran(&after_kill), Some("unknown"), "{after_kill:?}");
    assert_eq!(execution_count(&fleet, "killed"), 0);
}

#[test]
fn repeats_are_answered_from_the_ledger_while_no_target_has_capacity() {
    let mut fleet = fleet(2);
    let settled = book(&fleet, 0, "settled", &json!({}));
    assert_eq!(settled.status, 201, "{settled:?}");
    let no_response = json!({"is_mute": true});
    let unanswered = book(&fleet, 0, "unanswered", &no_response);
    assert_eq!(ran(&unanswered), Some("unknown"), "{unanswered:?}");
    fleet.targets[0].process.kill();
    let address = &fleet.platform_address;
    let path = "/v1/instances/ledger-1";
    client::call("DELETE", address, path, &[], &Value::Null);
    wait_for("no target has capacity", || {
        let answer = fleet
            .caller(1)
            .call_service("GET", "/status", None, &Value::Null);
        (answer.status == 429).then_some(())
    });
    let repeat = book(&fleet, 1, "settled", &json!({}));
    assert_eq!((repeat.status, &repeat.body), (201, &settled.body));
    let other = book(&fleet, 1, "settled", &json!({"truck": 2}));
    assert_eq!((other.status, ran(&other)), (422, Some("not-run")));
    let repeat = book(&fleet, 1, "unanswered", &no_response);
    assert_eq!((repeat.status, ran(&repeat)), (409, Some("unknown")));
    let first = book(&fleet, 1, "first", &json!({}));
    assert_eq!((first.status, ran(&first)), (429, Some("not-run")));
    assert_eq!(
        ledger_entries(&fleet),
        2,
        "a request refused for lack of capacity costs no write"
    );
}

#[test]
fn an_unanswered_request_stays_unknown_and_another_payload_is_refused() {
    let fleet = fleet(2);
    let body = json!({"is_mute": true});
    let first = book(&fleet, 0, "mute", &body);
    assert_eq!(ran(&first), Some("unknown"), "{first:?}");
    let repeat = book(&fleet, 1, "mute", &body);
    assert_eq!(ran(&repeat), Some("unknown"), "{repeat:?}");
    let other = book(&fleet, 1, "mute", &json!({"truck": 2}));
    assert_eq!((other.status, ran(&other)), (422, Some("not-run")));
    let keyless = fleet
        .caller(0)
        .call_service("POST", "/bookings", None, &body);
    assert_eq!(ran(&keyless), Some("unknown"), "{keyless:?}");
    assert_eq!(execution_count(&fleet, "mute"), 1);
    assert_eq!(
        execution_count(&fleet, ""),
        1,
        "a request without a key is sent once"
    );
}

#[test]
fn concurrent_repeats_through_all_daemons_under_faults_run_at_most_once() {
    let mut fleet = fleet(3);
    let attempts = Attempts::default();
    let callers: Vec<_> = (0..3).map(|i| fleet.caller(i)).collect();
    let threads: Vec<_> = (0..24)
        .map(|n| {
            let (callers, attempts) = (callers.clone(), attempts.clone());
            thread::spawn(move || {
                for round in 0..4 {
                    // Two callers share each key.
                    let key = format!("k{}-{round}", n / 2);
                    let body = json!({"delay_before_ms": (n * 7) % 40, "delay_after_ms": 20});
                    for repeat in 0..4 {
                        attempts.book(&callers[(n + repeat) % 3], &key, &body);
                    }
                }
            })
        })
        .collect();
    for faults in [
        json!({"lose_answers": 6}),
        json!({"delay_ms": 700}),
        json!({"is_down": true}),
        json!({"lose_answers": 4}),
    ] {
        fleet.set_faults(&faults);
        fleet.daemons[1].process.pause();
        thread::sleep(Duration::from_millis(700));
        fleet.daemons[1].process.unpause();
        fleet.set_faults(&json!({}));
        thread::sleep(Duration::from_millis(200));
    }
    fleet.daemons[2].process.kill();
    for thread in threads {
        thread.join().expect("the caller's thread ends");
    }
    let executed = check::count_executions(&[&*fleet.targets[0].history], "executed", "key");
    check::assert_at_most_once(&executed);
    check::assert_answers_match_executions(&attempts, &executed);
    let without_answer = attempts.by_key().into_values();
    let without_answer = without_answer
        .filter(|a| !a.iter().any(|a| a.status == 201))
        .count();
    println!(
        "keys=48 executed={} without_answer={without_answer}",
        executed.len()
    );
    assert!(
        executed.len() > 12,
        "more than 12 of 48 keys run: {}",
        executed.len()
    );
}

/// Returns the platform calls so far, as (reads, writes).
fn platform_calls(fleet: &Fleet) -> (u64, u64) {
    let address = &fleet.platform_address;
    let counts = client::call("GET", address, "/v1/counts", &[], &Value::Null).json();
    let count = |name: &str| {
        counts[name]
            .as_u64()
            .expect("the platform reports this count")
    };
    (count("reads"), count("writes"))
}

#[test]
fn a_booking_costs_two_platform_writes_and_a_repeat_one() {
    const BOOKINGS: usize = 400;
    const THREADS: usize = 16;
    let fleet = fleet(2);
    for (round, writes) in [("first", 2), ("repeat", 1)] {
        let before = platform_calls(&fleet);
        let started = Instant::now();
        let threads: Vec<_> = (0..THREADS)
            .map(|t| {
                let caller = fleet.caller(t % 2);
                thread::spawn(move || {
                    for n in 0..BOOKINGS / THREADS {
                        let key = format!("{t}-{n}");
                        let answer =
                            caller.call_service("POST", "/bookings", Some(&key), &json!({}));
                        assert_eq!(answer.status, 201, "{answer:?}");
                    }
                })
            })
            .collect();
        for thread in threads {
            thread.join().expect("the caller's thread ends");
        }
        let elapsed = started.elapsed();
        let expected = before.1 + writes * BOOKINGS as u64;
        wait_for("all outcomes are stored", || {
            (platform_calls(&fleet).1 >= expected).then_some(())
        });
        let after = platform_calls(&fleet);
        assert_eq!(after.1, expected, "{round}");
        let bookings = u32::try_from(BOOKINGS).expect("the number of bookings fits in 32 bits");
        let per_second = f64::from(bookings) / elapsed.as_secs_f64();
        println!("round={round} bookings={BOOKINGS} per_second={per_second:.0} writes={writes}");
        // The daemons also read some objects without any bookings.
        let reads = after.0 - before.0;
        assert!(reads < BOOKINGS as u64 / 4, "{round}: {reads} reads");
    }
}

#[test]
fn a_daemon_that_stops_stores_its_outcomes_first() {
    let mut fleet = fleet(2);
    let body = json!({"delay_after_ms": 300});
    let caller = fleet.caller(0);
    let booking = {
        let body = body.clone();
        thread::spawn(move || caller.call_service("POST", "/bookings", Some("stopped"), &body))
    };
    wait_for("the booking runs", || {
        (execution_count(&fleet, "stopped") == 1).then_some(())
    });
    fleet.set_faults(&json!({"is_down": true}));
    let answer = booking.join().expect("the caller's thread ends");
    assert_eq!(answer.status, 201, "{answer:?}");
    fleet.daemons[0].process.terminate();
    // Longer than the drain lag. The outcome cannot be stored during this time.
    thread::sleep(Duration::from_millis(1200));
    fleet.set_faults(&json!({}));
    let exit_success = wait_for("the daemon ends", || {
        fleet.daemons[0].process.exit_success()
    });
    assert!(exit_success);
    let repeat = book(&fleet, 1, "stopped", &body);
    assert_eq!((repeat.status, &repeat.body), (201, &answer.body));
}

#[test]
fn an_idempotent_path_does_not_match_a_longer_segment() {
    let fleet = fleet(1);
    let spec = json!({"type": "plain", "capacity": {"limit": 48, "cold_limit": 48},
                      "idempotent": [{"method": "POST", "path": "/book"}]});
    let mut service = record("Service", "post-ledger", &spec);
    service["schema"] = json!("bluebelldrift/v2");
    let put = fleet.operator(0).put_records(&json!([service]));
    assert_eq!(put.status, 200, "{put:?}");
    for _ in 0..2 {
        assert_eq!(book(&fleet, 0, "prefix", &json!({})).status, 201);
    }
    assert_eq!(execution_count(&fleet, "prefix"), 1);
}

#[test]
fn an_unstorable_response_is_reported_as_ran_and_the_media_type_is_compared() {
    let fleet = fleet(2);
    let large = json!({"text": "x".repeat(900 * 1024)});
    let first = book(&fleet, 0, "large", &large);
    assert_eq!((first.status, first.body.len() > 900 * 1024), (201, true));
    let repeat = wait_for("the end of the first claim is stored", || {
        let answer = book(&fleet, 1, "large", &large);
        (answer.status == 409).then_some(answer)
    });
    assert_eq!(ran(&repeat), Some("ran"), "{repeat:?}");
    let authorization = format!("Bearer {CUSTOMER_KEY}");
    let book_as = |media: &str| {
        let headers = [
            ("authorization", authorization.as_str()),
            ("idempotency-key", "media"),
            ("content-type", media),
        ];
        let path = "/services/post-ledger/bookings";
        client::call(
            "POST",
            &fleet.daemons[0].caller_address,
            path,
            &headers,
            &json!({}),
        )
    };
    assert_eq!(book_as("application/json").status, 201);
    let other = book_as("application/octet-stream");
    assert_eq!(
        (other.status, ran(&other)),
        (422, Some("not-run")),
        "{other:?}"
    );
    assert_eq!(
        (
            execution_count(&fleet, "large"),
            execution_count(&fleet, "media")
        ),
        (1, 1)
    );
}
