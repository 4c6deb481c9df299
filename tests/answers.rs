//! Each caller receives either the whole answer to its own request or an explicit
//! error; an incomplete answer is never marked as whole.

mod common;

use std::{thread, time::Duration};

use common::{Answer, CUSTOMER_KEY, Fleet, Process, check, client, history, wait_for};
use serde_json::{Value, json};

/// Engine in the zone of the first daemon, which therefore prefers it.
const NEAREST_ENGINE: &str = "engine-kushiro-a";

/// Returns settings with a short silence timeout, a small buffer and no hedges.
fn test_settings() -> Value {
    json!({"timing": {"silence_after": "600ms", "hedge_after": "60s"},
           "limits": {"max_buffer_bytes": 65536}})
}

/// Starts one engine in each zone and this number of daemons.
fn fleet(daemons: usize) -> Fleet {
    let mut fleet = Fleet::start();
    for (zone, _) in common::ZONES {
        fleet.add_engine(&format!("engine-{zone}"), zone, &[]);
    }
    for i in 0..daemons {
        fleet.add_daemon(i, &test_settings());
    }
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    fleet
}

/// Requests a completion as one JSON body.
fn whole_body(address: &str, prompt: &str) -> Answer {
    let key = format!("Bearer {CUSTOMER_KEY}");
    let headers = [("authorization", key.as_str())];
    let body = json!({"model": "drafting-desk", "prompt": prompt});
    client::call("POST", address, "/v1/completions", &headers, &body)
}

/// Returns the text that a stand-in engine generates for a prompt with this mark.
fn expected_text(mark: &str, tokens: usize) -> String {
    let texts: Vec<String> = (0..tokens).map(|i| format!("{mark}{i} ")).collect();
    texts.concat()
}

#[test]
fn each_of_many_callers_gets_its_own_answer() {
    let fleet = fleet(2);
    // Some connections go silent and some first tokens are late, so that answers
    // arrive in another order than their requests; the mark in each prompt shows
    // which answer belongs to which caller.
    let callers: Vec<_> = (0..24)
        .map(|i| {
            let caller = fleet.caller(i % 2);
            let fault = match i % 3 {
                0 => format!("[mute={}]", i / 3),
                1 => format!("[late={NEAREST_ENGINE}:{}]", 50 * i),
                _ => String::new(),
            };
            let prompt = format!("[mark=m{i}x] [n={}] {fault}", 10 + i);
            thread::spawn(move || caller.generate(&prompt, &json!({}), &[]))
        })
        .collect();
    for (i, caller) in callers.into_iter().enumerate() {
        let generated = caller.join().expect("the caller thread succeeds");
        assert!(generated.is_whole, "{generated:?}");
        assert_eq!(
            generated.token_texts.concat(),
            expected_text(&format!("m{i}x"), 10 + i)
        );
    }
}

/// Requests two answers with whole delivery, one as events and one as a JSON body,
/// disrupts the nearest engine once it has generated a part of both, and checks that
/// both answers are whole.
fn assert_answers_survive(fleet: &mut Fleet, disrupt: impl Fn(&mut Process)) {
    let admitted =
        |fleet: &Fleet| history::events_named(&fleet.targets[0].history, "admitted").len();
    check::wait_for_nearest_engine(fleet, NEAREST_ENGINE);
    let before = admitted(fleet);
    let (caller, whole) = (fleet.caller(0), json!({"delivery": "whole"}));
    let events = thread::spawn(move || caller.generate("[mark=a] [n=150]", &whole, &[]));
    let address = fleet.daemons[0].caller_address.clone();
    let body = thread::spawn(move || whole_body(&address, "[mark=b] [n=150]"));
    wait_for("the nearest engine runs both generations", || {
        (admitted(fleet) == before + 2).then_some(())
    });
    thread::sleep(Duration::from_millis(500));
    disrupt(&mut fleet.targets[0].process);
    let (events, body) = (
        events.join().expect("the caller thread succeeds"),
        body.join().expect("the caller thread succeeds"),
    );
    assert!(events.is_whole, "{events:?}");
    assert_eq!(events.token_texts.concat(), expected_text("a", 150));
    assert!(
        !events.event_ids[0].contains(NEAREST_ENGINE),
        "another engine generated it"
    );
    assert_eq!(body.status, 200, "{body:?}");
    let choice = &body.json()["choices"][0];
    assert_eq!(choice["text"], json!(expected_text("b", 150)));
    assert_eq!(choice["finish_reason"], json!("stop"));
}

#[test]
fn whole_delivery_survives_a_silent_and_a_killed_engine() {
    let mut fleet = fleet(1);
    assert_answers_survive(&mut fleet, |engine| engine.pause());
    fleet.targets[0].process.unpause();
    assert_answers_survive(&mut fleet, Process::kill);
}

/// Returns the number of generations that all engines have admitted. The first one
/// may run on any of them, since right after the start the daemon may have no credits
/// of the nearest engine yet.
fn admitted_by_all(fleet: &Fleet) -> usize {
    let targets = fleet.targets.iter();
    targets
        .map(|target| history::events_named(&target.history, "admitted").len())
        .sum()
}

#[test]
fn unfinishable_answer_ends_with_an_explicit_error() {
    let mut fleet = fleet(1);
    // The answer is larger than the buffer.
    let prompt = format!("[mark={}] [n=80]", "a".repeat(1024));
    let over = whole_body(&fleet.daemons[0].caller_address, &prompt);
    assert_eq!(over.status, 413, "{over:?}");
    assert_eq!(over.header("x-bluebell-ran"), Some("ran"));
    assert_eq!(
        admitted_by_all(&fleet),
        1,
        "an answer that is too large is not generated again"
    );
    // No engine is left to run the generation again.
    let (caller, whole) = (fleet.caller(0), json!({"delivery": "whole"}));
    let generating = thread::spawn(move || caller.generate("[mark=a] [n=400]", &whole, &[]));
    wait_for("an engine admits the generation", || {
        (admitted_by_all(&fleet) == 2).then_some(())
    });
    for target in &mut fleet.targets {
        target.process.kill();
    }
    let broken = generating.join().expect("the caller thread succeeds");
    assert!(!broken.is_whole);
    assert_eq!(broken.token_texts, Vec::<String>::new());
    let error = broken.error.expect("an explicit error");
    assert_eq!(error["error"]["ran"], json!("ran"));
    assert_eq!(error["error"]["tokens_delivered"], json!(0));
    // No engine accepts connections any more, so nothing ran.
    let refused = whole_body(&fleet.daemons[0].caller_address, "[n=3]");
    assert_eq!(
        refused.header("x-bluebell-ran"),
        Some("not-run"),
        "{refused:?}"
    );
}
