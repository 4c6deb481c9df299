//! Tests of authentication and of limits on requests and connections, and that
//! the daemon keeps serving after each refused or malformed input.

mod common;

use std::{
    io::{Read, Write},
    net::{TcpStream, UdpSocket},
    time::Duration,
};

use common::{Fleet, OPERATOR_KEY, client};
use serde_json::{Value, json};

/// Maximum time to wait for a connection to be answered or closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts one daemon with low limits, and one engine.
fn limited_fleet() -> Fleet {
    let mut fleet = Fleet::start();
    fleet.add_engine("engine-1", common::ZONES[0].0, &[]);
    let limits = json!({"limits": {"max_body_bytes": 2048, "request_timeout": "1s",
                                   "max_connections_per_peer": 40}});
    fleet.add_daemon(0, &limits);
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    fleet
}

/// Sends raw bytes, and returns what is received until the peer closes the
/// connection.
fn send_raw(address: &str, bytes: &[u8]) -> String {
    let mut tcp = TcpStream::connect(address).expect("the port accepts the connection");
    tcp.set_read_timeout(Some(CLOSE_TIMEOUT))
        .expect("the read timeout is set");
    let _ = tcp.write_all(bytes);
    let mut answer = Vec::new();
    let _ = tcp.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn assert_serves(fleet: &Fleet) {
    let generated = fleet.caller(0).generate("[n=3] x", &json!({}), &[]);
    assert!(generated.is_whole, "{generated:?}");
}

#[test]
fn requests_with_a_missing_or_wrong_key_are_refused_on_both_ports() {
    let fleet = limited_fleet();
    let body = json!({"model": "drafting-desk", "prompt": "x", "stream": true});
    let keys: [&[(&str, &str)]; 2] = [&[], &[("authorization", "Bearer wrong")]];
    for headers in keys {
        let caller_address = &fleet.daemons[0].caller_address;
        let answer = client::call("POST", caller_address, "/v1/completions", headers, &body);
        assert_eq!(answer.status, 401, "{answer:?}");
        assert_eq!(answer.header("x-bluebell-ran"), Some("not-run"));
        assert_eq!(answer.json()["error"]["type"], "unauthorized");
        let operator_address = &fleet.daemons[0].operator_address;
        let answer = client::call("GET", operator_address, "/v1/status", headers, &Value::Null);
        assert_eq!(answer.status, 401, "{answer:?}");
        let answer = client::call("PUT", operator_address, "/v1/records", headers, &json!([]));
        assert_eq!(answer.status, 401, "{answer:?}");
    }
    assert_serves(&fleet);
}

#[test]
fn a_body_that_is_too_large_or_too_slow_is_refused_as_not_run() {
    let fleet = limited_fleet();
    let prompt = "x".repeat(4096);
    let generated = fleet.caller(0).generate(&prompt, &json!({}), &[]);
    assert_eq!(generated.status, 413, "{generated:?}");
    assert_eq!(generated.ran.as_deref(), Some("not-run"));
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         content-length: 100\r\n\r\n{{\"model\":",
        common::CUSTOMER_KEY
    );
    let answer = send_raw(&fleet.daemons[0].caller_address, head.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("x-bluebell-ran: not-run"), "{answer}");
    assert_serves(&fleet);
}

// A refusal while the body was still being sent did not reach the caller.
#[test]
fn a_refusal_is_lost_when_the_body_is_still_on_its_way() {
    let fleet = limited_fleet();
    let mut tcp = TcpStream::connect(&fleet.daemons[0].caller_address).expect("connect");
    tcp.set_read_timeout(Some(CLOSE_TIMEOUT))
        .expect("set the read timeout");
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer wrong\r\n\
                content-length: 2000\r\n\r\n";
    tcp.write_all(head.as_bytes()).expect("send the head");
    for part in [b'x'; 2_000].chunks(250) {
        std::thread::sleep(Duration::from_millis(50));
        tcp.write_all(part).expect("send a part of the body");
    }
    let mut answer = [0; 12];
    tcp.read_exact(&mut answer).expect("read the answer");
    assert_eq!(&answer, b"HTTP/1.1 401");
    assert_serves(&fleet);
}

#[test]
fn invalid_and_unroutable_requests_are_refused() {
    let fleet = limited_fleet();
    let invalid = fleet.caller(0).generate("x", &json!({"prompt": 7}), &[]);
    assert_eq!(invalid.status, 400, "{invalid:?}");
    let unknown = fleet
        .caller(0)
        .generate("x", &json!({"model": "nobody"}), &[]);
    assert_eq!(unknown.status, 404, "{unknown:?}");
    assert_eq!(unknown.ran.as_deref(), Some("not-run"));
    assert_serves(&fleet);
}

#[test]
fn partial_requests_and_garbage_on_each_port_are_harmless() {
    let fleet = limited_fleet();
    let daemon = &fleet.daemons[0];
    for address in [&daemon.caller_address, &daemon.operator_address] {
        let answer = send_raw(address, b"\x00\xff\x00 garbage\r\n\r\n");
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        let answer = send_raw(address, b"GET /healthz HT");
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 408"),
            "{answer}"
        );
        let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(64 * 1024));
        let answer = send_raw(address, long.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    }
    let frame_of_4_gib = [0xff, 0xff, 0xff, 0xff, 1, 2, 3];
    assert_eq!(send_raw(&daemon.peer_address, &frame_of_4_gib), "");
    assert_eq!(
        send_raw(&daemon.peer_address, &[0, 0, 0, 4, 1, 2, 3, 4]),
        ""
    );
    let udp = UdpSocket::bind("127.0.0.1:0").expect("a UDP port is bound");
    for len in [0, 1, 15, 16, 17, 1400] {
        udp.send_to(&vec![0xa5; len], &daemon.peer_address)
            .expect("the datagram is sent");
    }
    assert_serves(&fleet);
}

#[test]
fn connections_beyond_the_limit_are_refused_until_others_close() {
    let fleet = limited_fleet();
    let caller_address = &fleet.daemons[0].caller_address;
    let open: Vec<TcpStream> = (0..40)
        .map(|_| TcpStream::connect(caller_address).expect("the port accepts the connection"))
        .collect();
    common::wait_for("a connection beyond the limit is refused", || {
        let answer = send_raw(
            caller_address,
            b"GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n",
        );
        answer.starts_with("HTTP/1.1 503").then_some(())
    });
    drop(open);
    common::wait_for("a new connection is accepted", || {
        let answer = client::call("GET", caller_address, "/healthz", &[], &Value::Null);
        (answer.status == 200).then_some(())
    });
    assert_serves(&fleet);
}

#[test]
fn metrics_count_refusals_credits_and_latencies() {
    let mut fleet = limited_fleet();
    fleet.add_daemon(1, &json!({}));
    fleet.wait_ready();
    common::wait_for("the first daemon lists the other one as a peer", || {
        let status = fleet.operator(0).status();
        status["peers"]
            .as_array()
            .filter(|p| !p.is_empty())
            .map(drop)
    });
    assert_serves(&fleet);
    let unknown = fleet
        .caller(0)
        .generate("x", &json!({"model": "nobody"}), &[]);
    assert_eq!(unknown.status, 404);
    let caller_address = &fleet.daemons[0].caller_address;
    let text = client::call("GET", caller_address, "/metrics", &[], &Value::Null).body;
    for metric in [
        "bluebell_refusals{kind=\"no_service\"} 1",
        "bluebell_config_age_seconds",
        "bluebell_credits{target=\"engine-1\"}",
        "bluebell_control_bytes",
        "bluebell_control_seconds",
        "bluebell_first_token_seconds_count 1",
        "bluebell_token_gap_seconds_count 2",
    ] {
        assert!(text.contains(metric), "{metric} is missing in\n{text}");
    }
}

#[test]
fn routing_decisions_are_logged_and_can_be_explained() {
    let fleet = limited_fleet();
    let generated = fleet.caller(0).generate("[n=2] x", &json!({}), &[]);
    let request = generated.request;
    let log = std::fs::read_to_string(&fleet.daemons[0].log).expect("the log is readable");
    let mut lines = log.lines();
    let line = lines.find(|l| l.contains("event=route") && l.contains(&request));
    let line = line.expect("the decision is logged");
    for part in [
        "target=engine-1",
        "candidates=engine-1:",
        "revision=",
        "level=INFO",
    ] {
        assert!(line.contains(part), "{part} is missing in {line}");
    }
    let path = format!("/v1/explain/{request}");
    let explained = fleet.operator(0).call("GET", &path, &Value::Null);
    assert_eq!(explained.json()[0]["target"], "engine-1", "{explained:?}");
    assert!(!log.contains(OPERATOR_KEY), "keys are not logged");
}
