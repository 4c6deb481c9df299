//! Accounts for the memory that the fields of request heads take.
//!
//! Load pattern: many requests of permitted size that consist of thousands of short fields. A
//! parsed field takes up to a hundred times its bytes on the wire, and is kept until the request
//! has been answered.

use hyper::HeaderMap;

use super::memory::{MemoryGrant, MemoryPool};

/// Size of the shortest field, in bytes: a name of one letter, a colon, and the end of the line.
const MIN_FIELD_BYTES: usize = 4;
/// Least number of fields that are accepted, whatever the size of a head.
const MIN_FIELDS: usize = 100;
/// Greatest number of fields for which the map of hyper has room.
const MAX_FIELDS: usize = 24_000;
/// Number of fields whose memory is that of the request as a whole.
const FREE_FIELDS: usize = 64;
/// Memory of a field, in bytes: an entry of the map of the request and of that which is sent, their
/// room for growth, and a name with its reference count.
const FIELD_BYTES: usize = 400;

/// Returns how many fields a head of at most `max_header_bytes` may have.
#[must_use]
pub fn max_fields(max_header_bytes: usize) -> usize {
    (max_header_bytes / MIN_FIELD_BYTES).clamp(MIN_FIELDS, MAX_FIELDS)
}

/// Returns the memory that the fields of a request take while it is in progress, in bytes, apart
/// from those that any request has.
#[must_use]
pub fn field_memory(fields: usize) -> usize {
    fields.saturating_sub(FREE_FIELDS) * FIELD_BYTES
}

/// Takes the memory for the fields of a request from `pool`; `None` if there is too little left.
/// It does not wait for memory, since the fields take theirs already.
pub(crate) fn take_field_memory(headers: &HeaderMap, pool: &MemoryPool) -> Option<MemoryGrant> {
    match field_memory(headers.len()) {
        0 => Some(MemoryGrant::default()),
        bytes => pool.try_take_first(bytes),
    }
}
