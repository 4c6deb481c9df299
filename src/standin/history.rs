//! Writes the event history of a target, one JSON object per line. Tests compare it
//! with the results of callers.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
};

use serde::Serialize;
use serde_json::{Value, json};

use super::StandinError;
use crate::clock;

/// Event history of a target. `None` if no file was given: events are not written.
#[derive(Clone, Default)]
pub(crate) struct History(Option<Arc<Mutex<File>>>);

impl History {
    /// Opens the history file, and creates it if it does not exist.
    pub fn open(path: Option<&Path>) -> Result<Self, StandinError> {
        let Some(path) = path else {
            return Ok(Self(None));
        };
        let opened = OpenOptions::new().create(true).append(true).open(path);
        let file = opened.map_err(|source| StandinError::Io {
            step: "open_history",
            peer: path.display().to_string().into(),
            source,
        })?;
        Ok(Self(Some(Arc::new(Mutex::new(file)))))
    }

    /// Appends an event, with the time since boot in milliseconds and the fields of
    /// `detail`.
    pub fn append(&self, event: &str, detail: &impl Serialize) {
        let Some(file) = &self.0 else { return };
        let mut line = json!({"at_ms": clock::millis(clock::now()), "event": event});
        if let (Some(line), Ok(Value::Object(detail))) =
            (line.as_object_mut(), serde_json::to_value(detail))
        {
            line.extend(detail);
        }
        let text = format!("{line}\n");
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(text.as_bytes());
    }
}
