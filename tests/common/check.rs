//! Checks over callers' results and targets' histories, promise by promise.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, Mutex},
};

use super::{Answer, Caller, Fleet, history, wait_for};

/// What one attempt at a request told its caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Idempotency key of a booking, or mark of a generation.
    pub key: String,
    /// Status, or 0 when the connection failed.
    pub status: u16,
    /// The `ran` header of a refusal.
    pub ran: Option<String>,
}

/// Attempts of all callers, in the order in which they ended.
#[derive(Clone, Default)]
pub struct Attempts(Arc<Mutex<Vec<Attempt>>>);

impl Attempts {
    /// Books through `caller` and notes what came of it.
    pub fn book(&self, caller: &Caller, key: &str, body: &serde_json::Value) -> Answer {
        let answer = caller.service("POST", "/bookings", Some(key), body);
        self.note(key, answer.status, answer.header("x-bluebell-ran"));
        answer
    }

    /// Notes what came of an attempt.
    pub fn note(&self, key: &str, status: u16, ran: Option<&str>) {
        let attempt = Attempt {
            key: key.to_owned(),
            status,
            ran: ran.map(str::to_owned),
        };
        self.0.lock().expect("no panic").push(attempt);
    }

    /// All attempts so far, by key.
    pub fn by_key(&self) -> BTreeMap<String, Vec<Attempt>> {
        let mut by_key: BTreeMap<String, Vec<Attempt>> = BTreeMap::new();
        for attempt in self.0.lock().expect("no panic").iter() {
            by_key
                .entry(attempt.key.clone())
                .or_default()
                .push(attempt.clone());
        }
        by_key
    }
}

/// How often each key was executed, over several histories. Generations are
/// found by `field` of `event`, bookings by key.
pub fn executions(histories: &[&Path], event: &str, field: &str) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for found in histories
        .iter()
        .flat_map(|path| history::named(path, event))
    {
        let key = found.detail[field].as_str().unwrap_or_default().to_owned();
        *counts.entry(key).or_insert(0) += 1;
    }
    counts
}

/// Promise 6: no key was executed twice.
pub fn assert_at_most_once(executed: &BTreeMap<String, usize>) {
    let doubled: Vec<_> = executed.iter().filter(|(_, n)| **n > 1).collect();
    assert!(doubled.is_empty(), "executed more than once: {doubled:?}");
}

/// Promise 5: what was executed has an attempt that was not told `not-run`;
/// what was answered was executed; and each refusal says whether it ran.
pub fn assert_truthful(attempts: &Attempts, executed: &BTreeMap<String, usize>) {
    for (key, attempts) in attempts.by_key() {
        let ran = executed.get(&key).copied().unwrap_or(0);
        let told = |a: &Attempt| a.ran.as_deref() == Some("not-run");
        let all_not_run = attempts.iter().all(told);
        assert!(!(all_not_run && ran > 0), "{key} ran, but: {attempts:?}");
        let answered = attempts.iter().any(|a| (200..300).contains(&a.status));
        assert!(!answered || ran > 0, "{key} never ran, but: {attempts:?}");
        let mute = attempts.iter().find(|a| a.status >= 400 && a.ran.is_none());
        assert!(
            mute.is_none(),
            "a refusal does not say whether it ran: {mute:?}"
        );
    }
}

/// Waits until every daemon passes a lookup on.
pub fn wait_serving(fleet: &Fleet) {
    for i in 0..fleet.daemons.len() {
        wait_for("a daemon passes a lookup on", || {
            let caller = fleet.caller(i);
            let answer = caller.service("GET", "/status", None, &serde_json::Value::Null);
            (answer.status == 200).then_some(())
        });
    }
}
