//! Callers of the daemon that exceed the limits or stop half-way: they may not take the process
//! over a bound on its memory, nor keep ordinary callers out for good.

mod common;

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use common::{CUSTOMER_KEY, Fleet, ZONES, default_records, wait_for};
use serde_json::json;

/// Size of a body of the largest permitted size, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Number of callers.
const CALLERS: usize = 40;
/// Bound on the memory of the process, in KiB: twice the setting, and what an idle one has.
const MAX_RESIDENT_KIB: u64 = 80 * 1024;
/// Memory for bodies by the settings, in bytes: for a tenth of the callers.
const MAX_BODIES_BYTES: usize = 16 * 1024 * 1024;
/// Longest time that the callers are given to send.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Bodies of permitted size were kept, any number at once, for as long as they took to arrive.
#[test]
fn bodies_that_stop_before_their_end() {
    run(false);
}

/// The same without a length that is known before.
#[test]
fn chunked_bodies_that_stop_before_their_end() {
    run(true);
}

/// Sends bodies that stop a byte before their end, and checks the memory and an ordinary request.
fn run(is_chunked: bool) {
    let mut fleet = Fleet::start();
    fleet.add_service("ledger-1", ZONES[0].0);
    let limits = json!({"limits": {"max_body_bytes": MAX_BODY_BYTES,
        "max_bodies_bytes": MAX_BODIES_BYTES}});
    fleet.add_daemon(0, &limits);
    fleet.write_records(&default_records());
    fleet.wait_ready();
    let address = fleet.daemons[0].caller_address.clone();
    let framing = if is_chunked {
        format!("transfer-encoding: chunked\r\n\r\n{MAX_BODY_BYTES:x}\r\n")
    } else {
        format!("content-length: {MAX_BODY_BYTES}\r\n\r\n")
    };
    let head = format!(
        "POST /services/post-ledger/bookings HTTP/1.1\r\nhost: x\r\nauthorization: Bearer \
         {CUSTOMER_KEY}\r\n{framing}"
    );
    let senders: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (address, head) = (address.clone(), head.clone());
            thread::spawn(move || {
                let mut tcp = TcpStream::connect(address).expect("connect");
                tcp.set_write_timeout(Some(SEND_TIMEOUT))
                    .expect("set a timeout");
                tcp.write_all(head.as_bytes()).expect("send the head");
                // Fails if the request is refused meanwhile.
                let _ = tcp.write_all(&vec![b'b'; MAX_BODY_BYTES - 1]);
                tcp
            })
        })
        .collect();
    let began = Instant::now();
    let mut peak = 0;
    while began.elapsed() < SEND_TIMEOUT {
        peak = peak.max(fleet.daemons[0].process.resident_kib());
        thread::sleep(Duration::from_millis(20));
    }
    println!("{peak} KiB");
    wait_for("an ordinary request is answered", || {
        let caller = fleet.caller(0);
        let answer = caller.call_service("POST", "/bookings", Some("own"), &json!({"a": 1}));
        (answer.status == 201).then_some(())
    });
    peak = peak.max(fleet.daemons[0].process.resident_kib());
    assert!(peak < MAX_RESIDENT_KIB, "{peak} KiB");
    drop(senders);
}
