//! Calls to the platform, made one by one against a server with a fixed answer.

use std::{
    io::{BufRead, BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::mpsc::{self, Receiver},
    thread,
    time::Duration,
};

use bluebelldrift::Platform;
use serde_json::json;

/// Longest wait for a request.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers one request with `body`; returns the address, and the request line once it has.
fn answer_one(body: String) -> (String, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the address").to_string();
    let (tx, rx) = mpsc::channel();
    let serve = move || {
        let (mut tcp, _): (TcpStream, _) = listener.accept().expect("a connection");
        let mut lines = BufReader::new(tcp.try_clone().expect("a reader")).lines();
        let line = lines.next().expect("a line").expect("a request");
        let is_end = |line: &std::io::Result<String>| line.as_ref().is_ok_and(String::is_empty);
        lines
            .find(is_end)
            .expect("the end of the head")
            .expect("a request");
        let length = body.len();
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
        tcp.write_all(text.as_bytes()).expect("send the answer");
        tx.send(line).expect("the test waits");
    };
    thread::spawn(serve);
    (address, rx)
}

/// The key led to another object, or the call failed.
#[tokio::test]
async fn an_odd_key_leads_to_another_object() {
    let (address, line) = answer_one("null".to_owned());
    let platform = Platform::new(address, WAIT_TIMEOUT);
    let _ = platform.get("records/Model/a b?c#d%41&+ø").await;
    let line = line.recv_timeout(WAIT_TIMEOUT).expect("the request line");
    let path = "/v1/objects/records/Model/a%20b%3Fc%23d%2541%26%2B%C3%B8";
    assert_eq!(line, format!("GET {path} HTTP/1.1"));
    let (address, line) = answer_one("3".to_owned());
    let platform = Platform::new(address, WAIT_TIMEOUT);
    let revision = platform.revision("a&prefix=b").await;
    assert_eq!(revision.expect("a revision"), 3);
    let line = line.recv_timeout(WAIT_TIMEOUT).expect("the request line");
    assert_eq!(line, "GET /v1/revision?prefix=a%26prefix%3Db HTTP/1.1");
}

/// One entry of another writer hid all instances.
#[tokio::test]
async fn an_odd_instance_hides_the_other_instances() {
    let sound = |name: &str| {
        json!({"name": name, "zone": "z", "address": "127.0.0.1:1", "state": "live",
            "role": "daemon"})
    };
    let mut other_role = sound("role");
    other_role["role"] = json!("printer");
    let mut other_state = sound("state");
    other_state["state"] = json!(7);
    let list = json!([
        other_role,
        sound("a"),
        null,
        "text",
        other_state,
        {},
        sound("b")
    ]);
    let (address, line) = answer_one(list.to_string());
    let platform = Platform::new(address, WAIT_TIMEOUT);
    let instances = platform.instances().await.expect("a list");
    let names: Vec<_> = instances.iter().map(|i| &*i.name).collect();
    assert_eq!(names, ["a", "b"]);
    line.recv_timeout(WAIT_TIMEOUT).expect("the request");
}
