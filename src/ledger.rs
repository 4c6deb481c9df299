//! Claims that make non-idempotent requests run at most once.
//!
//! This is the pure part: what a claimant writes, and what it makes of each
//! answer of the platform. One object holds one idempotency key. Conditional
//! writes of that object are the only arbiter; there is no lease, so a paused
//! claimant can never be overtaken by a second run.
//!
//! An object goes from absent or [`State::Released`] to [`State::Claimed`],
//! and from there once to any other state. Only the claimant releases its own
//! claim, and only when it will never dispatch.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{
    platform::{Condition, Object, Put, Revision},
    refusal::Ran,
};

/// Prefix of ledger entries in the platform's object API.
const LEDGER_PREFIX: &str = "ledger/";
/// Largest answer stored, in bytes: in base64 it stays below the megabyte that
/// an object holds.
const MAX_STORED_BYTES: usize = 700 * 1024;

/// Id of one try to claim, made anew for each request that reaches a daemon.
pub type ClaimantId = Box<str>;

/// One request with an idempotency key, as the ledger holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Hash of method, path, media type and body; a repeat must have the same.
    pub payload: Box<str>,
    /// Who wrote the claim.
    pub claimant: ClaimantId,
    /// How far it is.
    #[serde(flatten)]
    pub state: State,
}

/// How far a request is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// It runs, or its claimant is gone.
    Claimed,
    /// Its claimant never dispatched it and never will: it may be claimed
    /// again, at this revision only.
    Released,
    /// It ran; its answer.
    Settled(Outcome),
    /// It was dispatched, and no answer can be given to a repeat.
    Unanswered {
        /// Whether it ran.
        ran: Ran,
    },
}

/// A stored answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status of the target's answer.
    pub status: u16,
    /// Media type of the answer.
    pub media: Box<str>,
    /// Body of the answer; base64 in the object.
    #[serde(with = "base64_bytes")]
    pub body: Vec<u8>,
}

impl Outcome {
    /// The status, or 502 when the stored one is not valid.
    #[must_use]
    pub fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY)
    }
}

impl From<Outcome> for State {
    /// An answer too large to be kept is told as such.
    fn from(outcome: Outcome) -> Self {
        if outcome.body.len() > MAX_STORED_BYTES {
            return Self::Unanswered { ran: Ran::Ran };
        }
        Self::Settled(outcome)
    }
}

/// What a claimant does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Write the claim under this condition.
    Write(Condition),
    /// The request is this claimant's to run, once; its claim stands at this
    /// revision.
    Run(Revision),
    /// Somebody else claimed it and has stored no outcome yet.
    Wait(LedgerEntry, Revision),
    /// It ran before; its stored answer.
    Settled(Outcome),
    /// It was dispatched before, and its answer is not kept.
    Unanswered(Ran),
    /// The key was used with another payload.
    PayloadMismatch,
    /// The object cannot be read, so that nothing is known of the request.
    Unreadable,
}

/// Key of the ledger entry for a customer's request.
#[must_use]
pub fn entry_key(customer: &str, service: &str, idempotency_key: &str) -> Box<str> {
    let hash = blake3::hash(idempotency_key.as_bytes()).to_hex();
    format!("{LEDGER_PREFIX}{service}/{customer}/{}", &hash[..32]).into()
}

impl LedgerEntry {
    /// A claim by a claimant whose id nobody else ever uses.
    #[must_use]
    pub fn claimed(payload: impl Into<Box<str>>, claimant: impl Into<ClaimantId>) -> Self {
        Self {
            payload: payload.into(),
            claimant: claimant.into(),
            state: State::Claimed,
        }
    }

    /// The same entry in another state.
    #[must_use]
    pub fn with_state(&self, state: State) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// What the answer to a claim means. After a lost answer the same claim is
    /// written again: if the first took effect, the conflict shows our own id.
    #[must_use]
    pub fn after_claim(&self, put: &Put) -> Step {
        match put {
            Put::Written(revision) => Step::Run(*revision),
            Put::Conflict(None) => Step::Write(Condition::Absent),
            Put::Conflict(Some(held)) => self.after_read(held),
        }
    }

    /// What an object that was read means for this claim.
    #[must_use]
    pub fn after_read(&self, object: &Object) -> Step {
        let Some(held) = Self::read(object) else {
            return Step::Unreadable;
        };
        if held.payload != self.payload {
            return Step::PayloadMismatch;
        }
        match held.state {
            State::Claimed if held.claimant == self.claimant => Step::Run(object.revision),
            State::Claimed => Step::Wait(held, object.revision),
            State::Released => Step::Write(Condition::At(object.revision)),
            State::Settled(outcome) => Step::Settled(outcome),
            State::Unanswered { ran } => Step::Unanswered(ran),
        }
    }

    /// After a write that ends our claim conflicted: the condition to write it
    /// again under, or `None` when the claim does not stand any more.
    ///
    /// A claim whose answers were all lost may still arrive late. Its release
    /// is therefore written even where no object stands, so that the late claim
    /// then finds one and conflicts.
    #[must_use]
    pub fn end_retry_condition(&self, put: &Put) -> Option<Condition> {
        let Put::Conflict(held) = put else {
            return None;
        };
        let Some(held) = held else {
            return Some(Condition::Absent);
        };
        let entry = Self::read(held)?;
        let is_ours = entry.claimant == self.claimant && entry.state == State::Claimed;
        is_ours.then_some(Condition::At(held.revision))
    }

    fn read(object: &Object) -> Option<Self> {
        let value = object.value.clone()?;
        serde_json::from_value(value).ok()
    }
}

/// Bytes as base64 text.
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
