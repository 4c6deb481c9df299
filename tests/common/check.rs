//! Checks callers' results against targets' event histories, each check for one
//! section of docs/PROOFS.md.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, Mutex},
};

use super::{Answer, Caller, Fleet, history, wait_for};

/// Outcome of one attempt at a request, as its caller received it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Idempotency key of a booking, or `mark` directive of a generation.
    pub key: String,
    /// Status code, or 0 if the connection failed.
    pub status: u16,
    /// Value of the header `x-bluebell-ran`. `None` if the answer has none.
    pub ran: Option<String>,
}

/// Attempts of all callers, in the order in which they ended.
#[derive(Clone, Default)]
pub struct Attempts(Arc<Mutex<Vec<Attempt>>>);

impl Attempts {
    /// Sends a booking through `caller` and adds the attempt.
    pub fn book(&self, caller: &Caller, key: &str, body: &serde_json::Value) -> Answer {
        let answer = caller.call_service("POST", "/bookings", Some(key), body);
        self.record(key, answer.status, answer.header("x-bluebell-ran"));
        answer
    }

    /// Adds an attempt with its outcome.
    pub fn record(&self, key: &str, status: u16, ran: Option<&str>) {
        let attempt = Attempt {
            key: key.to_owned(),
            status,
            ran: ran.map(str::to_owned),
        };
        self.0.lock().expect("lock the attempts").push(attempt);
    }

    /// Returns all attempts so far, by key.
    pub fn by_key(&self) -> BTreeMap<String, Vec<Attempt>> {
        let mut by_key: BTreeMap<String, Vec<Attempt>> = BTreeMap::new();
        for attempt in self.0.lock().expect("lock the attempts").iter() {
            by_key
                .entry(attempt.key.clone())
                .or_default()
                .push(attempt.clone());
        }
        by_key
    }
}

/// Counts the executions of each key in several histories: the events named
/// `event`, by the value of their field `field`.
pub fn count_executions(histories: &[&Path], event: &str, field: &str) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for execution in histories
        .iter()
        .flat_map(|path| history::events_named(path, event))
    {
        let key = execution.detail[field]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        *counts.entry(key).or_insert(0) += 1;
    }
    counts
}

/// Asserts that no key was executed twice (docs/PROOFS.md, section 6).
pub fn assert_at_most_once(executed: &BTreeMap<String, usize>) {
    let repeated: Vec<_> = executed.iter().filter(|(_, n)| **n > 1).collect();
    assert!(repeated.is_empty(), "executed more than once: {repeated:?}");
}

/// Asserts that an executed key has at least one attempt whose answer is not
/// `not-run`, that a key with a successful answer was executed, and that each
/// refusal says whether the request ran (docs/PROOFS.md, section 5).
pub fn assert_answers_match_executions(attempts: &Attempts, executed: &BTreeMap<String, usize>) {
    for (key, attempts) in attempts.by_key() {
        let ran = executed.get(&key).copied().unwrap_or(0);
        let is_not_run = |a: &Attempt| a.ran.as_deref() == Some("not-run");
        let all_not_run = attempts.iter().all(is_not_run);
        assert!(
            !(all_not_run && ran > 0),
            "{key} was executed, but all answers say not-run: {attempts:?}"
        );
        let answered = attempts.iter().any(|a| (200..300).contains(&a.status));
        assert!(
            !answered || ran > 0,
            "{key} was not executed, but an answer says success: {attempts:?}"
        );
        let unclear = attempts.iter().find(|a| a.status >= 400 && a.ran.is_none());
        assert!(
            unclear.is_none(),
            "a refusal does not say whether the request ran: {unclear:?}"
        );
    }
}

/// Waits until every daemon forwards a status lookup to the plain service.
pub fn wait_until_serving(fleet: &Fleet) {
    for i in 0..fleet.daemons.len() {
        wait_for(
            "a daemon forwards a status lookup to the plain service",
            || {
                let caller = fleet.caller(i);
                let answer = caller.call_service("GET", "/status", None, &serde_json::Value::Null);
                (answer.status == 200).then_some(())
            },
        );
    }
}

/// Waits until a generation that is sent to the first daemon runs on the nearest
/// engine. The owner of an engine's credits grants none right after it became the
/// owner, nor while the engine may have restarted; until then, generations run on
/// other engines.
pub fn wait_for_nearest_engine(fleet: &Fleet, nearest: &str) {
    wait_for("the nearest engine accepts work", || {
        let generated = fleet
            .caller(0)
            .generate("[n=1]", &serde_json::json!({}), &[]);
        let is_nearest = generated
            .event_ids
            .first()
            .is_some_and(|id| id.contains(nearest));
        is_nearest.then_some(())
    });
}
