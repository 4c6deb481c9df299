//! Reader of the event histories that stand-ins write.

use std::path::Path;

use serde_json::Value;

/// One event of a history.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub name: String,
    pub detail: Value,
}

/// All events of one history; a last half line is left out.
pub fn read(path: &Path) -> Vec<Event> {
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

/// The events with this name.
pub fn named(path: &Path, name: &str) -> Vec<Event> {
    let events = read(path).into_iter();
    events.filter(|e| e.name == name).collect()
}
