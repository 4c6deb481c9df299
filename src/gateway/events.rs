//! Splits a byte stream of server-sent events into complete events.
//!
//! Only complete events are forwarded to the caller, so that a stream that breaks
//! within an event can be resumed at the start of that event.

use bytes::Bytes;

use super::memory::SMALL_BYTES;

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

/// Maximum size of one event, in bytes: the default limit on callers' bodies.
pub const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;
/// Most that is read of an answer at once, in bytes.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Longest end of an event but for its last byte, in bytes.
const END_OVERLAP: usize = 3;

/// Buffer of the bytes of a stream that have not been split off as events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    /// Number of bytes at the start of `buf` that have been split off.
    start: usize,
    /// Number of bytes after `start` that hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        let len = self.buf.len() + bytes.len();
        if len > self.buf.capacity() {
            let max = len.max(MAX_EVENT_BYTES + MAX_READ_BYTES);
            let capacity = (2 * self.buf.capacity()).clamp(len, max);
            self.buf.reserve_exact(capacity - self.buf.len());
        }
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event; `None` if there is none yet.
    pub fn next_event(&mut self) -> Option<Event> {
        let Some(len) = self.find_end() else {
            self.searched = self.len().saturating_sub(END_OVERLAP);
            self.compact();
            return None;
        };
        let end = self.start + len;
        self.searched = 0;
        // An event that is split off without a copy keeps the whole buffer in memory.
        let raw = if len <= SMALL_BYTES {
            let raw = Bytes::copy_from_slice(&self.buf[self.start..end]);
            self.start = end;
            raw
        } else {
            let rest = self.buf[end..].to_vec();
            let buf = std::mem::replace(&mut self.buf, rest);
            Bytes::from(buf).slice(std::mem::take(&mut self.start)..end)
        };
        Some(Event {
            id: parse_id(&raw),
            raw,
        })
    }

    /// Returns the length of the first event with its end.
    fn find_end(&self) -> Option<usize> {
        let unsearched = &self.buf[self.start + self.searched..];
        let mut line_ends = memchr::memchr_iter(b'\n', unsearched);
        let end = line_ends.find_map(|at| {
            let (line, rest) = unsearched.split_at(at + 1);
            if rest.starts_with(b"\n") {
                return Some(at + 2);
            }
            (line.ends_with(b"\r\n") && rest.starts_with(b"\r\n")).then_some(at + 3)
        });
        end.map(|end| self.searched + end)
    }

    /// Releases the memory of what has been split off.
    fn compact(&mut self) {
        if self.len() <= SMALL_BYTES && self.buf.capacity() > SMALL_BYTES {
            self.buf = self.buf[self.start..].to_vec();
        } else {
            self.buf.drain(..self.start);
        }
        self.start = 0;
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    #[must_use]
    pub fn has_incomplete_event(&self) -> bool {
        !self.is_empty()
    }

    /// Returns the number of bytes that have not been split off.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buf.len() - self.start
    }

    /// Returns whether no bytes are left.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that the buffer takes, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.buf.capacity()
    }
}

fn parse_id(event: &[u8]) -> Option<EventId> {
    let mut lines = event.split(|b| *b == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
