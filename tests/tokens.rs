//! Tests that each token reaches the caller once, in order, and from one run only,
//! also when engines, connections or daemons fail.

mod common;

use std::{collections::BTreeSet, time::Duration};

use common::{
    Fleet, check, client::Generated, client::collect, history, link_proxy::LinkProxy, wait_for,
};
use serde_json::{Value, json};

/// Engine in the zone of the first daemon, which therefore prefers it.
const NEAREST_ENGINE: &str = "engine-kushiro-a";

/// Starts one engine in each zone and this number of daemons. Waits until a generation
/// has run on the nearest engine, so that the first one of a test runs there as well.
fn fleet(daemons: usize, overrides: &Value) -> Fleet {
    let mut fleet = Fleet::start();
    for (zone, _) in common::ZONES {
        fleet.add_engine(&format!("engine-{zone}"), zone, &[]);
    }
    for i in 0..daemons {
        fleet.add_daemon(i, overrides);
    }
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    check::wait_for_nearest_engine(&fleet, NEAREST_ENGINE);
    wait_for(
        "the generations at the nearest engine have finished",
        || {
            (count_at_nearest(&fleet, "finished") == count_at_nearest(&fleet, "admitted"))
                .then_some(())
        },
    );
    fleet
}

/// Returns settings with a short silence timeout and no hedges.
fn short_silence() -> Value {
    json!({"timing": {"silence_after": "600ms", "hedge_after": "60s"}})
}

/// Returns the tokens that a stand-in engine generates for a prompt with this mark.
fn expected_texts(mark: &str, indexes: std::ops::Range<usize>) -> Vec<String> {
    indexes.map(|i| format!("{mark}{i} ")).collect()
}

/// Returns the event id prefixes of the runs that the tokens came from.
fn run_prefixes(generated: &Generated) -> BTreeSet<&str> {
    let ids = generated.event_ids.iter();
    ids.filter_map(|id| Some(id.rsplit_once('.')?.0)).collect()
}

/// Checks that an answer is whole, in order and from one run.
fn assert_whole(generated: &Generated, mark: &str, tokens: usize) {
    assert!(generated.is_whole, "{generated:?}");
    assert_eq!(generated.error, None);
    assert_eq!(generated.token_texts, expected_texts(mark, 0..tokens));
    assert_eq!(
        run_prefixes(generated).len(),
        1,
        "{:?}",
        generated.event_ids
    );
}

/// Returns the number of events with this name in the history of the nearest engine.
fn count_at_nearest(fleet: &Fleet, event: &str) -> usize {
    history::events_named(&fleet.targets[0].history, event).len()
}

/// Starts a daemon whose only engine is reached through a proxy.
fn start_behind_proxy() -> (Fleet, LinkProxy) {
    let mut fleet = Fleet::start();
    fleet.add_engine(NEAREST_ENGINE, "kushiro-a", &[]);
    let target = &fleet.targets[0];
    let proxy = LinkProxy::start(&target.address);
    fleet.set_instance(&json!({
        "name": target.name, "zone": target.zone, "address": proxy.address.to_string(),
        "state": "live", "role": "target", "service": target.service,
    }));
    fleet.add_daemon(0, &short_silence());
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    (fleet, proxy)
}

#[test]
fn engine_killed_before_the_first_token_is_replaced() {
    let mut fleet = fleet(1, &short_silence());
    let admitted_before = count_at_nearest(&fleet, "admitted");
    let caller = fleet.caller(0);
    let prompt = format!("[late={NEAREST_ENGINE}:20000] [mark=a] [n=20]");
    let generating = std::thread::spawn(move || caller.generate(&prompt, &json!({}), &[]));
    wait_for("the nearest engine admits the generation", || {
        (count_at_nearest(&fleet, "admitted") > admitted_before).then_some(())
    });
    fleet.targets[0].process.kill();
    assert_whole(
        &generating.join().expect("the caller's thread ends"),
        "a",
        20,
    );
}

#[test]
fn engine_killed_after_the_first_token_ends_with_an_error_and_the_token_count() {
    let mut fleet = fleet(1, &short_silence());
    let prompt = "[mark=a] [n=500]";
    let stream = fleet.caller(0).open_stream(prompt, &json!({}), &[]);
    let mut stream = stream.expect("the stream opens");
    let early: Vec<String> = stream.by_ref().take(5).map(|e| e.text()).collect();
    fleet.targets[0].process.kill();
    let generated = collect(stream);
    let error = generated
        .error
        .expect("the stream ends with an error event");
    assert!(!generated.is_whole);
    let all = [early, generated.token_texts].concat();
    assert_eq!(all, expected_texts("a", 0..all.len()));
    assert_eq!(error["error"]["tokens_delivered"], json!(all.len()));
    assert_eq!(error["error"]["ran"], json!("ran"));
}

#[test]
fn silent_and_stalled_connections_lose_no_token() {
    let (fleet, proxy) = start_behind_proxy();
    let muted = fleet
        .caller(0)
        .generate("[mute=5] [mark=a] [n=20]", &json!({}), &[]);
    assert_whole(&muted, "a", 20);
    let muted = fleet
        .caller(0)
        .generate("[mute=0] [mark=b] [n=20]", &json!({}), &[]);
    assert_whole(&muted, "b", 20);

    let assert_survives = |inject_fault: &dyn Fn()| {
        let prompt = "[mark=c] [n=80]";
        let stream = fleet.caller(0).open_stream(prompt, &json!({}), &[]);
        let mut stream = stream.expect("the stream opens");
        let mut early: Vec<_> = stream.by_ref().take(5).collect();
        assert!(
            early[0]
                .id
                .as_ref()
                .is_some_and(|id| id.contains(NEAREST_ENGINE))
        );
        inject_fault();
        let mut generated = collect(stream);
        let ids: Vec<String> = early.iter().filter_map(|e| e.id.clone()).collect();
        let texts: Vec<String> = early.drain(..).map(|e| e.text()).collect();
        generated.event_ids.splice(0..0, ids);
        generated.token_texts.splice(0..0, texts);
        assert_whole(&generated, "c", 80);
    };
    // The open connections go silent for good, while new ones work.
    assert_survives(&|| proxy.silence_open_connections());
    // The link stalls for longer than the silence timeout and then resumes: tokens
    // that arrive late on the abandoned connections are not delivered.
    assert_survives(&|| {
        proxy.set_stalled(true);
        std::thread::sleep(Duration::from_millis(1500));
        proxy.set_stalled(false);
    });
}

#[test]
fn run_that_loses_to_its_hedge_delivers_no_token() {
    let hedging = json!({"timing": {"hedge_after": "200ms"}});
    let fleet = fleet(1, &hedging);
    let count = |event: &str| count_at_nearest(&fleet, event);
    let (admitted_before, finished_before) = (count("admitted"), count("finished"));
    // The losing run ignores its cancellation and sends tokens while those of the
    // winner are delivered.
    let prompt = format!("[late={NEAREST_ENGINE}:700] [deaf] [mark=a] [n=80]");
    let generated = fleet.caller(0).generate(&prompt, &json!({}), &[]);
    assert_whole(&generated, "a", 80);
    assert!(
        count("admitted") > admitted_before,
        "the nearest engine had the first run"
    );
    assert!(
        !generated.event_ids[0].contains(NEAREST_ENGINE),
        "{}",
        generated.event_ids[0]
    );
    wait_for("the losing run finished", || {
        (count("finished") > finished_before).then_some(())
    });
    let cancelled_before = count("cancelled");
    let prompt = format!("[late={NEAREST_ENGINE}:700] [mark=b] [n=20]");
    assert_whole(&fleet.caller(0).generate(&prompt, &json!({}), &[]), "b", 20);
    wait_for("the losing run is cancelled", || {
        (count("cancelled") > cancelled_before).then_some(())
    });
}

#[test]
fn caller_resumes_at_another_daemon_when_its_own_is_killed() {
    let mut fleet = fleet(2, &short_silence());
    let prompt = "[mark=a] [n=150]";
    let stream = fleet.caller(0).open_stream(prompt, &json!({}), &[]);
    let mut stream = stream.expect("the stream opens");
    assert_eq!(stream.answer.status, 200, "{:?}", stream.answer);
    let early: Vec<_> = stream.by_ref().take(10).collect();
    fleet.daemons[0].process.kill();
    let events: Vec<_> = early.into_iter().chain(stream).collect();
    let token = events
        .last()
        .and_then(|e| e.id.clone())
        .expect("the last event has an id");
    let received = events.len();
    assert!(received < 150, "the daemon was killed in mid-stream");

    let rest = fleet
        .caller(1)
        .generate(prompt, &json!({}), &[("last-event-id", &token)]);
    assert!(rest.is_whole, "{rest:?}");
    assert_eq!(rest.token_texts, expected_texts("a", received..150));
    let prefix = token
        .rsplit_once('.')
        .expect("the event id ends with an index")
        .0;
    assert_eq!(run_prefixes(&rest), BTreeSet::from([prefix]));

    let status_with = |token: &str| {
        let headers = [("last-event-id", token)];
        fleet
            .caller(1)
            .generate(prompt, &json!({}), &headers)
            .status
    };
    assert_eq!(status_with("no token at all"), 400);
    assert_eq!(status_with(&token.replacen('~', "0~", 1)), 401);
    fleet.targets[0].process.kill();
    let gone = fleet
        .caller(1)
        .generate(prompt, &json!({}), &[("last-event-id", &token)]);
    assert_eq!((gone.status, gone.ran.as_deref()), (502, Some("ran")));
}

#[test]
fn daemon_stops_reading_for_a_slow_caller_and_loses_no_token() {
    let mut fleet = Fleet::start();
    fleet.add_engine(
        NEAREST_ENGINE,
        "kushiro-a",
        &["--step-us", "50", "--kv-tokens", "1000000"],
    );
    fleet.add_daemon(0, &json!({"limits": {"max_buffer_bytes": 65536}}));
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    // More than the socket buffers between daemon and caller hold.
    let (mark, tokens) = ("a".repeat(8192), 2000);
    let prompt = format!("[mark={mark}] [n={tokens}]");
    let stream = fleet.caller(0).open_stream(&prompt, &json!({}), &[]);
    let mut stream = stream.expect("the stream opens");
    assert!(stream.next().is_some());
    wait_for("the daemon stops reading", || {
        let log = std::fs::read_to_string(&fleet.daemons[0].log).unwrap_or_default();
        log.contains("event=caller_slow").then_some(())
    });
    let generated = collect(stream);
    assert!(generated.is_whole, "{:?}", generated.error);
    assert_eq!(generated.token_texts.len(), tokens - 1);
    let expected = expected_texts(&mark, 1..tokens);
    assert!(generated.token_texts == expected, "tokens out of order");
}

#[test]
fn engine_stops_when_the_deadline_passes_or_the_caller_leaves() {
    let fleet = fleet(1, &short_silence());
    let cancelled = || count_at_nearest(&fleet, "cancelled");
    let cancelled_before = cancelled();
    let late = fleet
        .caller(0)
        .generate("[n=2000]", &json!({"deadline_ms": 500}), &[]);
    let log = std::fs::read_to_string(&fleet.daemons[0].log).unwrap_or_default();
    let refused: Vec<&str> = log
        .lines()
        .filter(|l| l.contains("event=refused"))
        .collect();
    assert_eq!(late.status, 200, "{refused:?}");
    let error = late.error.expect("the stream ends with an error event");
    assert_eq!(error["error"]["type"], json!("deadline_passed"));
    assert_eq!(
        error["error"]["tokens_delivered"],
        json!(late.token_texts.len())
    );
    assert!(!late.is_whole);
    wait_for("cancelled at the deadline", || {
        (cancelled() == cancelled_before + 1).then_some(())
    });
    let stream = fleet.caller(0).open_stream("[n=2000]", &json!({}), &[]);
    drop(stream.expect("the stream opens").next());
    wait_for("cancelled for a caller that left", || {
        (cancelled() == cancelled_before + 2).then_some(())
    });
}
