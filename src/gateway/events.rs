//! Splits a byte stream of server-sent events into complete events.
//!
//! Only complete events are forwarded to the caller, so that a stream that breaks
//! within an event can be resumed at the start of that event.

use bytes::{Bytes, BytesMut};

/// Number that a target assigns to an event; increases along a stream.
pub type EventId = u64;

/// One complete event with its bytes unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Id of the event, if it has one.
    pub id: Option<EventId>,
    /// Bytes as the target sent them, including the empty line that ends the
    /// event.
    pub raw: Bytes,
}

/// Buffer of the bytes of a stream that have not been split off as events.
#[derive(Debug, Default)]
pub struct EventSplitter(BytesMut);

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event; `None` if there is none yet.
    pub fn next_event(&mut self) -> Option<Event> {
        let lf = memchr::memmem::find(&self.0, b"\n\n").map(|at| at + 2);
        let crlf = memchr::memmem::find(&self.0, b"\r\n\r\n").map(|at| at + 4);
        let end = match (lf, crlf) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        let raw = self.0.split_to(end).freeze();
        Some(Event {
            id: parse_id(&raw),
            raw,
        })
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    #[must_use]
    pub fn has_incomplete_event(&self) -> bool {
        !self.0.is_empty()
    }

    /// Discards all buffered bytes.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

fn parse_id(event: &[u8]) -> Option<EventId> {
    let mut lines = event.split(|b| *b == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
