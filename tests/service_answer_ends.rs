//! Ends of the answers of plain services: a part of an answer is not passed on as a whole one, and
//! is not stored as the outcome of a request that runs at most once.

mod common;

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use common::{Answer, Fleet, check, wait_for};
use serde_json::{Value, json};

/// Body of a whole answer.
const BODY: &str = "{\"booking\":1}";

/// How a service ends the answer to a booking.
#[derive(Clone, Copy, Debug)]
enum Cut {
    Length,
    Chunks,
    /// The answer has neither, and its connection ends in order.
    Close,
    Http10,
}

/// Starts a service that writes the beginning of each answer to a booking, and answers everything
/// else whole. Returns its address and the number of bookings that it ran.
fn serve(cut: Cut) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("read the address");
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let counted = counted.clone();
            // Fails if the daemon has closed the connection.
            thread::spawn(move || answer(tcp, cut, &counted));
        }
    });
    (address.to_string(), runs)
}

fn answer(tcp: TcpStream, cut: Cut, runs: &AtomicUsize) -> std::io::Result<()> {
    let mut reader = BufReader::new(tcp);
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        if line == "\r\n" {
            break;
        }
        lines.push(line.to_lowercase());
    }
    let length = lines
        .iter()
        .find_map(|l| l.strip_prefix("content-length: "));
    let length = length.and_then(|l| l.trim().parse().ok()).unwrap_or(0);
    reader.read_exact(&mut vec![0; length])?;
    let part = &BODY[..BODY.len() / 2];
    let (len, part_len) = (BODY.len(), part.len());
    let text = if lines[0].starts_with("post /bookings") {
        runs.fetch_add(1, Ordering::SeqCst);
        match cut {
            Cut::Length => format!("HTTP/1.1 201 X\r\ncontent-length: {len}\r\n\r\n{part}"),
            Cut::Chunks => format!(
                "HTTP/1.1 201 X\r\ntransfer-encoding: chunked\r\n\r\n{part_len:x}\r\n{part}\r\n"
            ),
            Cut::Close => format!("HTTP/1.1 201 X\r\nconnection: close\r\n\r\n{part}"),
            Cut::Http10 => format!("HTTP/1.0 201 X\r\n\r\n{part}"),
        }
    } else {
        format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\nconnection: close\r\n\r\n{BODY}")
    };
    reader.get_mut().write_all(text.as_bytes())
}

fn fleet(address: &str) -> Fleet {
    let mut fleet = Fleet::start();
    for i in 0..2 {
        fleet.add_daemon(i, &json!({}));
    }
    let instance = json!({"name": "ledger-1", "zone": common::ZONES[0].0, "address": address,
        "state": "live", "role": "target", "service": "post-ledger"});
    fleet.set_instance(&instance);
    fleet.write_records(&common::default_records());
    for i in 0..2 {
        wait_for("a daemon is ready", || {
            let status = fleet.operator(i).status();
            let listed = status["targets"].as_array().map_or(0, Vec::len);
            (status["is_ready"] == json!(true) && listed == 1).then_some(())
        });
    }
    check::wait_until_serving(&fleet);
    fleet
}

fn check_cut(cut: Cut) {
    let (address, runs) = serve(cut);
    let fleet = fleet(&address);
    let book = |daemon: usize, key: Option<&str>| -> Answer {
        fleet
            .caller(daemon)
            .call_service("POST", "/bookings", key, &json!({"truck": 1}))
    };
    let answers = [book(0, None), book(0, Some("k")), book(1, Some("k"))];
    let is_part = |a: &&Answer| (200..300).contains(&a.status) && a.json() == Value::Null;
    let parts: Vec<_> = answers.iter().filter(is_part).collect();
    assert!(parts.is_empty(), "{cut:?}: {parts:?}");
    for answer in &answers {
        let ran = answer.header("x-bluebell-ran");
        assert!(ran != Some("not-run"), "{cut:?}: {answer:?}");
    }
    assert_eq!(runs.load(Ordering::SeqCst), 2, "{cut:?}");
}

#[test]
fn a_part_of_an_answer_with_a_length_or_chunks_becomes_the_outcome() {
    check_cut(Cut::Length);
    check_cut(Cut::Chunks);
}

/// The end of the connection was taken for the end of the answer.
#[test]
fn a_part_of_an_answer_without_a_length_becomes_the_outcome() {
    check_cut(Cut::Close);
    check_cut(Cut::Http10);
}
