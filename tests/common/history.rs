//! Reads the event histories that stand-ins write.

use std::path::Path;

use serde_json::Value;

/// Event of a history.
#[derive(Clone, Debug)]
pub struct Event {
    /// Time since boot, in milliseconds.
    pub at_ms: u64,
    pub name: String,
    /// All fields of the event, `at_ms` and `event` included.
    pub detail: Value,
}

/// Returns all events of a history. Lines that are not JSON are skipped, such as a
/// last line that is only half written.
pub fn read_events(path: &Path) -> Vec<Event> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let lines = text
        .lines()
        .filter_map(|l| serde_json::from_str::<Value>(l).ok());
    let events = lines.map(|detail| Event {
        at_ms: detail["at_ms"].as_u64().unwrap_or(0),
        name: detail["event"].as_str().unwrap_or_default().to_owned(),
        detail,
    });
    events.collect()
}

/// Returns the events named `name`.
pub fn events_named(path: &Path, name: &str) -> Vec<Event> {
    let events = read_events(path).into_iter();
    events.filter(|e| e.name == name).collect()
}
