//! Each caller receives the whole answer to its own request, or an explicit
//! error; what is not whole never looks so.

mod common;

use std::{thread, time::Duration};

use common::{Answer, CUSTOMER_KEY, Fleet, Process, client, history, wait_for};
use serde_json::{Value, json};

const NEAR: &str = "engine-kushiro-a";

fn quick() -> Value {
    json!({"timing": {"silence_after": "600ms", "hedge_after": "60s"},
           "limits": {"max_buffer_bytes": 65536}})
}

fn fleet(daemons: usize) -> Fleet {
    let mut fleet = Fleet::start();
    for (zone, _) in common::ZONES {
        fleet.add_engine(&format!("engine-{zone}"), zone, &[]);
    }
    for i in 0..daemons {
        fleet.add_daemon(i, &quick());
    }
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    fleet
}

/// A completion as one JSON body.
fn whole_body(address: &str, prompt: &str) -> Answer {
    let key = format!("Bearer {CUSTOMER_KEY}");
    let headers = [("authorization", key.as_str())];
    let body = json!({"model": "drafting-desk", "prompt": prompt});
    client::call("POST", address, "/v1/completions", &headers, &body)
}

fn text(mark: &str, tokens: usize) -> String {
    let texts: Vec<String> = (0..tokens).map(|i| format!("{mark}{i} ")).collect();
    texts.concat()
}

#[test]
fn each_of_many_callers_gets_its_own_answer() {
    let fleet = fleet(2);
    // Some connections go silent and some answers come late, so that answers
    // cross; every caller has a mark of its own.
    let callers: Vec<_> = (0..24)
        .map(|i| {
            let caller = fleet.caller(i % 2);
            let fault = match i % 3 {
                0 => format!("[mute={}]", i / 3),
                1 => format!("[late={NEAR}:{}]", 50 * i),
                _ => String::new(),
            };
            let prompt = format!("[mark=m{i}x] [n={}] {fault}", 10 + i);
            thread::spawn(move || caller.generate(&prompt, &json!({}), &[]))
        })
        .collect();
    for (i, caller) in callers.into_iter().enumerate() {
        let generated = caller.join().expect("a caller");
        assert!(generated.is_whole, "{generated:?}");
        assert_eq!(generated.texts.concat(), text(&format!("m{i}x"), 10 + i));
    }
}

/// Waits until the near engine takes work: its credits come from its owner, which
/// gives none right after its start and while it may have started anew.
fn wait_near(fleet: &Fleet) {
    wait_for("the near engine takes work", || {
        let generated = fleet.caller(0).generate("[n=1]", &json!({}), &[]);
        let is_near = generated.ids.first().is_some_and(|id| id.contains(NEAR));
        is_near.then_some(())
    });
}

/// Two whole answers, as events and as a body; the near engine is struck when it
/// has made a part of both.
fn assert_survives(fleet: &mut Fleet, strike: impl Fn(&mut Process)) {
    let admitted = |fleet: &Fleet| history::named(&fleet.targets[0].history, "admitted").len();
    wait_near(fleet);
    let before = admitted(fleet);
    let (caller, whole) = (fleet.caller(0), json!({"delivery": "whole"}));
    let events = thread::spawn(move || caller.generate("[mark=a] [n=150]", &whole, &[]));
    let address = fleet.daemons[0].caller.clone();
    let body = thread::spawn(move || whole_body(&address, "[mark=b] [n=150]"));
    wait_for("the near engine runs both", || {
        (admitted(fleet) == before + 2).then_some(())
    });
    thread::sleep(Duration::from_millis(500));
    strike(&mut fleet.targets[0].process);
    let (events, body) = (
        events.join().expect("a caller"),
        body.join().expect("a caller"),
    );
    assert!(events.is_whole, "{events:?}");
    assert_eq!(events.texts.concat(), text("a", 150));
    assert!(!events.ids[0].contains(NEAR), "made elsewhere");
    assert_eq!(body.status, 200, "{body:?}");
    let choice = &body.json()["choices"][0];
    assert_eq!(choice["text"], json!(text("b", 150)));
    assert_eq!(choice["finish_reason"], json!("stop"));
}

#[test]
fn whole_delivery_survives_the_silence_and_the_death_of_its_engine() {
    let mut fleet = fleet(1);
    assert_survives(&mut fleet, |engine| engine.pause());
    fleet.targets[0].process.unpause();
    assert_survives(&mut fleet, Process::kill);
}

#[test]
fn what_cannot_be_finished_ends_with_an_explicit_error() {
    let mut fleet = fleet(1);
    // Over the cap of the buffer.
    let prompt = format!("[mark={}] [n=80]", "a".repeat(1024));
    let over = whole_body(&fleet.daemons[0].caller, &prompt);
    assert_eq!(over.status, 413, "{over:?}");
    assert_eq!(over.header("x-bluebell-ran"), Some("ran"));
    // No engine left to start again at.
    let (caller, whole) = (fleet.caller(0), json!({"delivery": "whole"}));
    let generating = thread::spawn(move || caller.generate("[mark=a] [n=400]", &whole, &[]));
    wait_for("admitted", || {
        let admitted = history::named(&fleet.targets[0].history, "admitted");
        (admitted.len() == 2).then_some(())
    });
    for target in &mut fleet.targets {
        target.process.kill();
    }
    let broken = generating.join().expect("a caller");
    assert!(!broken.is_whole);
    assert_eq!(broken.texts, Vec::<String>::new());
    let error = broken.error.expect("an explicit error");
    assert_eq!(error["error"]["ran"], json!("ran"));
    assert_eq!(error["error"]["tokens_delivered"], json!(0));
    // Nothing listens any more: nothing ran.
    let refused = whole_body(&fleet.daemons[0].caller, "[n=3]");
    assert_eq!(
        refused.header("x-bluebell-ran"),
        Some("not-run"),
        "{refused:?}"
    );
}
