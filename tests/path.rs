//! Tests of the whole path of a request, with the platform, daemons and targets each
//! in its own process.

mod common;

use common::Fleet;
use serde_json::json;

#[test]
fn a_streamed_answer_arrives_token_by_token_and_whole() {
    let fleet = Fleet::with_daemons(1);
    let generated = fleet
        .caller(0)
        .generate("[mark=a] [n=20] report", &json!({}), &[]);
    assert_eq!(generated.status, 200);
    assert!(
        generated.is_whole,
        "the stream is not complete: {generated:?}"
    );
    let expected: Vec<String> = (0..20).map(|i| format!("a{i} ")).collect();
    assert_eq!(generated.token_texts, expected);
}

#[test]
fn a_booking_with_one_key_is_executed_once() {
    let fleet = Fleet::with_daemons(2);
    let body = json!({"truck": 1});
    let first = fleet
        .caller(0)
        .call_service("POST", "/bookings", Some("k1"), &body);
    let second = fleet
        .caller(1)
        .call_service("POST", "/bookings", Some("k1"), &body);
    assert_eq!(first.status, 201, "the booking failed: {first:?}");
    assert_eq!(second.body, first.body);
    let history = &fleet
        .targets
        .last()
        .expect("the fleet has a plain service")
        .history;
    assert_eq!(common::history::events_named(history, "executed").len(), 1);
}
