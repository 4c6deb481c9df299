//! Targets whose responses have no valid status, through the product's own interface: a
//! caller never receives such a response.

mod common;

use std::{
    io::{Read, Write},
    net::TcpListener,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use bluebelldrift::{CallError, json_request, new_client, send_request};
use common::{Fleet, wait_for};
use hyper::Method;
use serde_json::json;

/// Statuses that are not 200 to 599, as written in a status line.
const STATUSES: [&str; 12] = [
    "000", "001", "099", "100", "101", "102", "103", "199", "600", "700", "999", "1000",
];

/// A server that answers each request with the status that is set.
struct FakeServer {
    address: String,
    status: Arc<Mutex<&'static str>>,
    received: Arc<Mutex<Vec<String>>>,
}

impl FakeServer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let server = Self {
            address: address.to_string(),
            status: Arc::new(Mutex::new("200")),
            received: Arc::default(),
        };
        let (status, received) = (server.status.clone(), server.received.clone());
        thread::spawn(move || {
            for tcp in listener.incoming() {
                let mut tcp = tcp.expect("a connection is accepted");
                let mut buf = [0; 4096];
                let length = tcp.read(&mut buf).unwrap_or(0);
                let request = String::from_utf8_lossy(&buf[..length]).into_owned();
                received.lock().expect("lock the requests").push(request);
                let status = *status.lock().expect("lock the status");
                let head = "content-type: application/json\r\ncontent-length: 2";
                let text =
                    format!("HTTP/1.1 {status} X\r\n{head}\r\nconnection: close\r\n\r\n{{}}");
                let _ = tcp.write_all(text.as_bytes());
            }
        });
        server
    }

    fn set(&self, status: &'static str) {
        *self.status.lock().expect("lock the status") = status;
    }

    /// Returns the number of requests received whose text contains `text`.
    fn count(&self, text: &str) -> usize {
        let received = self.received.lock().expect("lock the requests");
        received.iter().filter(|r| r.contains(text)).count()
    }
}

/// Guards against a response that a call of the client takes for the answer of a target, of
/// another daemon or of the platform: all of them use this client.
#[tokio::test]
async fn a_response_without_a_valid_status_is_no_answer() {
    let server = FakeServer::start();
    let client = new_client(Duration::from_secs(5), None);
    for status in STATUSES {
        server.set(status);
        let req = json_request(&Method::GET, &server.address, "/", "").expect("a request");
        let result = send_request(&client, req, Duration::from_secs(5), 1024).await;
        let is_no_answer = matches!(result, Err(CallError::NoAnswer { .. }));
        assert!(is_no_answer, "{status}: {result:?}");
    }
    for status in ["200", "204", "304", "404", "599"] {
        server.set(status);
        let req = json_request(&Method::GET, &server.address, "/", "").expect("a request");
        let result = send_request(&client, req, Duration::from_secs(5), 1024).await;
        let res = result.expect("the call is answered");
        assert_eq!(res.status().as_str(), status);
    }
}

/// Guards against a status that the caller receives, a booking that is sent twice, and one
/// that counts as not run or as settled.
#[test]
fn a_service_without_a_valid_status_is_answered_502() {
    let mut fleet = Fleet::start();
    fleet.add_daemon(0, &json!({}));
    fleet.write_records(&common::default_records());
    let server = FakeServer::start();
    fleet.set_instance(
        &json!({"name": "fake-1", "zone": common::ZONES[0].0, "state": "live",
            "address": server.address, "role": "target", "service": "post-ledger"}),
    );
    let caller = fleet.caller(0);
    wait_for("the target serves", || {
        let probe = caller.call_service("GET", "/probe", None, &json!({}));
        (probe.status == 200).then_some(())
    });
    let mut received = vec![];
    for status in STATUSES {
        server.set(status);
        let key = format!("key-{status}");
        let booked = wait_for("the booking is sent", || {
            let booked = caller.call_service("POST", "/bookings", Some(&key), &json!({}));
            (server.count(&key) > 0).then_some(booked)
        });
        received.push((
            status,
            booked.status,
            booked.header("x-bluebell-ran") == Some("unknown"),
        ));
        server.set("200");
        let again = caller.call_service("POST", "/bookings", Some(&key), &json!({}));
        assert_ne!(again.status, 200, "{status}: the outcome is not known");
        assert_eq!(
            server.count(&key),
            1,
            "{status}: the booking was sent again"
        );
        server.set(status);
        let got = caller.call_service("GET", "/bookings", None, &json!({}));
        received.push((
            status,
            got.status,
            got.header("x-bluebell-ran") == Some("unknown"),
        ));
    }
    let expected = STATUSES.into_iter().flat_map(|s| [(s, 502, true); 2]);
    assert_eq!(received, expected.collect::<Vec<_>>());
}
