//! Tests of the choice among targets under load: short requests are admitted
//! when long ones are not, customers get their shares, requests go where their
//! prompt prefix is cached, and long requests are limited by the memory that
//! they are expected to need.

mod common;

use std::time::Duration;

use common::{
    CUSTOMER_KEY, Fleet, ZONES,
    client::{EventStream, caller_with_key},
    default_records, history, merge, record, wait_for,
};
use serde_json::{Value, json};

/// Limit of an engine in these tests.
const LIMIT: usize = 8;
/// Credits of an engine that are reserved for short requests.
const RESERVE: usize = 1;
/// API key of a second customer.
const OTHER_KEY: &str = "key-of-the-other-customer";
/// Default of the `queue_timeout` setting in these tests.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(1500);
/// `queue_timeout` that exceeds the time for which the run of a caller that has
/// left is kept, which is 2 s.
const QUEUE_TIMEOUT_PAST_GRACE: Duration = Duration::from_secs(4);
/// Time between two arrivals, well below `QUEUE_TIMEOUT`.
const ARRIVAL_GAP: Duration = Duration::from_millis(300);
/// Prompt of a report that is still being generated when a test ends.
const LONG: &str = "[n=100000] report";

/// Starts one daemon and these engines in its zone, each with the arguments
/// `engine_args`. Each customer has a share of `share` per cent.
fn fleet(policy: &str, engines: &[&str], engine_args: &[&str], share: u32) -> Fleet {
    fleet_with_queue_timeout(policy, engines, engine_args, share, QUEUE_TIMEOUT)
}

/// Starts a fleet as [`fleet`] does, with this `queue_timeout`.
fn fleet_with_queue_timeout(
    policy: &str,
    engines: &[&str],
    engine_args: &[&str],
    share: u32,
    queue_timeout: Duration,
) -> Fleet {
    let queue_timeout = format!("{}ms", queue_timeout.as_millis());
    let mut fleet = Fleet::start();
    for name in engines {
        fleet.add_engine(name, ZONES[0].0, engine_args);
    }
    fleet.add_daemon(
        0,
        &json!({"policy": policy, "timing": {"queue_timeout": queue_timeout}}),
    );
    let mut records = default_records();
    let records_array = records.as_array_mut().expect("a list");
    for found in records_array
        .iter_mut()
        .filter(|r| r["name"] == "drafting-desk")
    {
        merge(
            found,
            &json!({"spec": {"limit": LIMIT, "cold_limit": LIMIT}}),
        );
    }
    for found in records_array.iter_mut().filter(|r| r["kind"] == "Customer") {
        merge(found, &json!({"spec": {"share_percent": share}}));
    }
    let hash = bluebelldrift::hash_key("5a18", OTHER_KEY);
    let spec = json!({"key_salt": "5a18", "key_hash": hash, "share_percent": share});
    records_array.push(record("Customer", "post", &spec));
    fleet.write_records(&records);
    fleet.wait_ready();
    fleet
}

/// Opens a stream and reads its first token, or returns the refusal.
fn start(fleet: &Fleet, key: &str, prompt: &str, fields: &Value) -> Result<EventStream, Value> {
    let caller = caller_with_key(&fleet.daemons[0].caller_address, key);
    let mut stream = caller.open_stream(prompt, fields, &[]).expect("an answer");
    if stream.answer.status == 200 {
        stream.next().expect("a first token");
        return Ok(stream);
    }
    let ran = stream.answer.header("x-bluebell-ran");
    Err(json!({"status": stream.answer.status, "ran": ran}))
}

fn refusal() -> Value {
    json!({"status": 429, "ran": "not-run"})
}

/// Starts long reports until one is refused, and returns their streams.
fn start_until_refused(fleet: &Fleet, key: &str) -> Vec<EventStream> {
    let mut streams = Vec::new();
    loop {
        match start(fleet, key, LONG, &json!({})) {
            Ok(stream) => streams.push(stream),
            Err(refused) => {
                assert_eq!(refused, refusal());
                return streams;
            }
        }
        assert!(streams.len() <= 100, "no long report was refused");
    }
}

#[test]
fn short_request_is_admitted_when_long_ones_are_refused() {
    let short = json!({"max_tokens": 8});
    let fleet = fleet("credits", &["engine-1"], &[], 100);
    let long_streams = start_until_refused(&fleet, CUSTOMER_KEY);
    assert_eq!(long_streams.len(), LIMIT - RESERVE);
    let answer = fleet.caller(0).generate("[n=8] fits?", &short, &[]);
    assert!(answer.is_whole, "{answer:?}");
}

#[test]
fn least_in_flight_reserves_no_credits_for_short_requests() {
    let fleet = fleet("least_in_flight", &["engine-1"], &[], 100);
    let long_streams = start_until_refused(&fleet, CUSTOMER_KEY);
    assert_eq!(long_streams.len(), LIMIT);
    let short = start(
        &fleet,
        CUSTOMER_KEY,
        "[n=8] fits?",
        &json!({"max_tokens": 8}),
    );
    assert_eq!(short.err(), Some(refusal()));
}

#[test]
fn customer_over_its_share_yields_to_a_waiting_customer() {
    let wait = QUEUE_TIMEOUT_PAST_GRACE;
    let fleet = fleet_with_queue_timeout("credits", &["engine-1"], &[], 50, wait);
    let mut over_share_streams = start_until_refused(&fleet, CUSTOMER_KEY);
    assert_eq!(
        over_share_streams.len(),
        LIMIT - RESERVE,
        "without other customers it may use all credits"
    );
    // The waiting requests poll for a free credit, and the first to poll gets it,
    // so in one round the other customer could get it by chance. Several rounds
    // make that unlikely.
    let mut other_streams = Vec::new();
    while over_share_streams.len() > LIMIT / 2 {
        std::thread::scope(|scope| {
            let over_share = scope.spawn(|| start(&fleet, CUSTOMER_KEY, LONG, &json!({})).err());
            std::thread::sleep(ARRIVAL_GAP);
            let other = scope.spawn(|| start(&fleet, OTHER_KEY, LONG, &json!({})));
            std::thread::sleep(ARRIVAL_GAP);
            over_share_streams.pop();
            other_streams.push(
                other
                    .join()
                    .expect("the thread did not panic")
                    .expect("the other customer gets the credit"),
            );
            assert_eq!(
                over_share.join().expect("the thread did not panic"),
                Some(refusal())
            );
        });
    }
}

#[test]
fn long_requests_are_limited_by_expected_memory() {
    let memory = ["--kv-tokens", "1000", "--step-us", "50000"];
    let fleet = fleet("token_credits", &["engine-1"], &memory, 100);
    wait_for("the engine has reported", || {
        let status = fleet.operator(0).status();
        (status["targets"][0]["kv_free"].as_u64() > Some(0)).then_some(())
    });
    let long_streams = start_until_refused(&fleet, CUSTOMER_KEY);
    // 125 % of the engine's memory, at 256 tokens for a run of unknown length.
    let max_streams = 1000 * 5 / 4 / 256;
    assert_eq!(
        long_streams.len(),
        max_streams,
        "each long report counts with the tokens of a run of unknown length"
    );
    let short = start(
        &fleet,
        CUSTOMER_KEY,
        "[n=8] fits?",
        &json!({"max_tokens": 8}),
    );
    assert!(short.is_ok(), "{:?}", short.err());
}

#[test]
fn prompt_goes_to_the_engine_that_has_its_prefix_cached() {
    let fleet = fleet("credits", &["engine-1", "engine-2"], &[], 100);
    let prefix = "word ".repeat(256);
    let prompt = format!("{prefix} [n=2]");
    let first = fleet.caller(0).generate(&prompt, &json!({}), &[]);
    assert!(first.is_whole, "{first:?}");
    let is_admitted =
        |i: usize| !history::events_named(&fleet.targets[i].history, "admitted").is_empty();
    let (cached, uncached) = if is_admitted(0) { (0, 1) } else { (1, 0) };
    // Long reports make the engine with the cached prefix the busier one.
    let mut busy = Vec::new();
    while history::events_named(&fleet.targets[cached].history, "admitted").len() < 2 {
        busy.push(start(&fleet, CUSTOMER_KEY, LONG, &json!({})).expect("the report is admitted"));
    }
    let uncached_admitted =
        history::events_named(&fleet.targets[uncached].history, "admitted").len();
    let log = &fleet.daemons[0].log;
    let logged = format!("event=cache_events target={}", fleet.targets[cached].name);
    wait_for("the daemon has received the cache events", || {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        text.contains(&logged).then_some(())
    });
    let again = fleet.caller(0).generate(&prompt, &json!({}), &[]);
    assert!(again.is_whole, "{again:?}");
    let admitted = |i: usize| history::events_named(&fleet.targets[i].history, "admitted").len();
    assert_eq!(
        (admitted(cached), admitted(uncached)),
        (3, uncached_admitted)
    );
}
