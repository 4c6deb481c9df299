//! Splits a stream of server-sent events into whole events.
//!
//! Only whole events go to the caller, so that a stream that breaks in the
//! middle of one can go on at its start.

use bytes::{Bytes, BytesMut};

/// Number that a target gives to an event; rises along a stream.
pub type EventId = u64;

/// One whole event, bytes unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<EventId>,
    /// As the target sent it, with the empty line at its end.
    pub raw: Bytes,
}

/// Bytes of a stream that do not make a whole event yet.
#[derive(Debug, Default)]
pub struct EventSplitter(BytesMut);

impl EventSplitter {
    /// Adds bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn split(&mut self) -> Option<Event> {
        let lf = memchr::memmem::find(&self.0, b"\n\n").map(|at| at + 2);
        let crlf = memchr::memmem::find(&self.0, b"\r\n\r\n").map(|at| at + 4);
        let end = match (lf, crlf) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        let raw = self.0.split_to(end).freeze();
        Some(Event {
            id: id_of(&raw),
            raw,
        })
    }

    /// Whether bytes of an event that has not ended are left.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        !self.0.is_empty()
    }

    /// Drops those bytes.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

fn id_of(event: &[u8]) -> Option<EventId> {
    let mut lines = event.split(|b| *b == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
