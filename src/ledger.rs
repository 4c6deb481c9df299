//! State machine of the claims that make non-idempotent requests run at most
//! once.
//!
//! It does no I/O: it defines the entry that a claimant writes and its next step
//! after each response of the platform. One object holds one idempotency key.
//! Conditional writes of that object alone decide who runs the request. There
//! is no lease that could expire, so no second run can start while a claimant
//! is paused.
//!
//! An object changes from absent or [`State::Released`] to [`State::Claimed`],
//! and from there once to any other state. Only the claimant releases its own
//! claim, and only when it will never dispatch.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{
    http,
    platform::{Object, PutResult, Revision, WriteCondition},
    refusal::Ran,
};

/// Prefix of ledger entries in the platform's object API.
const LEDGER_PREFIX: &str = "ledger/";
/// Maximum size of a stored response body, in bytes. Encoded in base64, it stays
/// below the megabyte that an object can hold.
const MAX_STORED_BYTES: usize = 700 * 1024;

/// Id of one attempt to claim, newly generated for each request that reaches a
/// daemon.
pub type ClaimantId = Box<str>;

/// The ledger entry of a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Hash of method, path, media type and body; a repeat must have the same
    /// hash.
    pub payload: Box<str>,
    /// Id of the attempt that wrote the claim.
    pub claimant: ClaimantId,
    /// Progress of the request.
    #[serde(flatten)]
    pub state: State,
}

/// Progress of a request, as stored in the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// The request is running, or its claimant stopped without storing an
    /// outcome.
    Claimed,
    /// The claimant has not dispatched the request and never will. The request
    /// may be claimed again, but only at this revision.
    Released,
    /// The request ran; this is its response.
    Settled(Outcome),
    /// The request was dispatched, but there is no response to return to a
    /// repeat.
    Unanswered {
        /// Whether the request ran.
        ran: Ran,
    },
}

/// The response of a target, as stored for repeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status of the response.
    pub status: u16,
    /// Media type of the response.
    pub media: Box<str>,
    /// Response body; encoded in base64 in the stored object.
    #[serde(with = "base64_bytes")]
    pub body: Vec<u8>,
}

impl Outcome {
    /// Returns the status, or 502 if the stored one is not that of a final response.
    #[must_use]
    pub fn status_code(&self) -> StatusCode {
        let status = StatusCode::from_u16(self.status).ok();
        let valid = status.filter(|status| http::is_valid_status(*status));
        valid.unwrap_or(StatusCode::BAD_GATEWAY)
    }
}

impl From<Outcome> for State {
    /// Converts a response that is too large to store to
    /// [`State::Unanswered`].
    fn from(outcome: Outcome) -> Self {
        if outcome.body.len() > MAX_STORED_BYTES {
            return Self::Unanswered { ran: Ran::Ran };
        }
        Self::Settled(outcome)
    }
}

/// The next step of a claimant.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Write the claim under this condition.
    Write(WriteCondition),
    /// Run the request, once; the claim is stored at this revision.
    Run(Revision),
    /// Wait: another claimant holds the claim and has stored no outcome yet.
    Wait(LedgerEntry, Revision),
    /// Return this stored response; the request ran before.
    Settled(Outcome),
    /// Run nothing: the request was dispatched before, and its response is not
    /// stored.
    Unanswered(Ran),
    /// Refuse: the key was used with another payload.
    PayloadMismatch,
    /// Run nothing: the object cannot be decoded, so the outcome is unknown.
    Unreadable,
}

/// Returns the platform key of the ledger entry for a customer's request.
#[must_use]
pub fn entry_key(customer: &str, service: &str, idempotency_key: &str) -> Box<str> {
    let hash = blake3::hash(idempotency_key.as_bytes()).to_hex();
    format!("{LEDGER_PREFIX}{service}/{customer}/{}", &hash[..32]).into()
}

impl LedgerEntry {
    /// Creates a claim. No other claimant may ever use the same id.
    #[must_use]
    pub fn claimed(payload: impl Into<Box<str>>, claimant: impl Into<ClaimantId>) -> Self {
        Self {
            payload: payload.into(),
            claimant: claimant.into(),
            state: State::Claimed,
        }
    }

    /// Returns the same entry with another state.
    #[must_use]
    pub fn with_state(&self, state: State) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// Returns the next step after the write of this claim. When the response
    /// to a write was lost, the same claim is written again; if the first write
    /// took effect, the conflict returns an entry with this claimant's own id.
    #[must_use]
    pub fn after_claim(&self, result: &PutResult) -> Step {
        match result {
            PutResult::Written(revision) => Step::Run(*revision),
            PutResult::Conflict(None) => Step::Write(WriteCondition::Absent),
            PutResult::Conflict(Some(stored)) => self.after_read(stored),
        }
    }

    /// Returns the next step of this claim, given the stored object.
    #[must_use]
    pub fn after_read(&self, object: &Object) -> Step {
        let Some(stored) = Self::decode(object) else {
            return Step::Unreadable;
        };
        if stored.payload != self.payload {
            return Step::PayloadMismatch;
        }
        match stored.state {
            State::Claimed if stored.claimant == self.claimant => Step::Run(object.revision),
            State::Claimed => Step::Wait(stored, object.revision),
            State::Released => Step::Write(WriteCondition::AtRevision(object.revision)),
            State::Settled(outcome) => Step::Settled(outcome),
            State::Unanswered { ran } => Step::Unanswered(ran),
        }
    }

    /// Returns the condition under which to repeat a write that ends this claim
    /// after a conflict, or `None` if the write succeeded or the claim is no
    /// longer stored.
    ///
    /// A claim whose responses were all lost may still reach the platform late.
    /// Its release is therefore written even if no object exists, so that the
    /// late claim finds one and conflicts.
    #[must_use]
    pub fn end_retry_condition(&self, result: &PutResult) -> Option<WriteCondition> {
        let PutResult::Conflict(stored) = result else {
            return None;
        };
        let Some(object) = stored else {
            return Some(WriteCondition::Absent);
        };
        let entry = Self::decode(object)?;
        let is_own = entry.claimant == self.claimant && entry.state == State::Claimed;
        is_own.then_some(WriteCondition::AtRevision(object.revision))
    }

    fn decode(object: &Object) -> Option<Self> {
        let value = object.value.clone()?;
        serde_json::from_value(value).ok()
    }
}

/// Serializes bytes as base64 text.
mod base64_bytes {
    use base64::{Engine, prelude::BASE64_STANDARD};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&BASE64_STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(from)?;
        BASE64_STANDARD.decode(text).map_err(D::Error::custom)
    }
}
