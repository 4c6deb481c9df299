//! Claims that make non-idempotent requests run at most once.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::platform::{Condition, Object, Platform, PlatformError, Put, Revision};

/// Prefix of ledger entries in the platform's object API.
const LEDGER_PREFIX: &str = "ledger/";

/// One request with an idempotency key, as the ledger holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Hash of method, path and body; a repeat must have the same.
    pub payload: Box<str>,
    /// Who made the claim: a fresh id for each try to claim.
    pub claimant: Box<str>,
    /// The answer, once it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// A stored answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status of the target's answer.
    pub status: u16,
    /// Media type of the answer.
    pub media: Box<str>,
    /// Body of the answer, as text.
    pub body: Box<str>,
}

impl Outcome {
    /// The status, or 502 when the stored one is not valid.
    #[must_use]
    pub fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY)
    }
}

/// What a claim found.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// The request is this caller's to run, once.
    Won(Won),
    /// It ran before; its stored answer.
    Settled(Outcome),
    /// Somebody else claimed it and has stored no answer yet.
    Running,
    /// The key was used with another payload.
    OtherPayload,
}

/// A claim that was won.
#[derive(Clone, Debug, PartialEq)]
pub struct Won {
    key: Box<str>,
    entry: Entry,
    revision: Revision,
}

/// Key of the ledger entry for a customer's request.
#[must_use]
pub fn entry_key(customer: &str, service: &str, idempotency_key: &str) -> Box<str> {
    let hash = blake3::hash(idempotency_key.as_bytes()).to_hex();
    format!("{LEDGER_PREFIX}{service}/{customer}/{}", &hash[..32]).into()
}

/// Claims a request: create-if-absent at the platform is the only arbiter, so
/// a paused holder can never be overtaken by a second run.
///
/// # Errors
/// The platform did not answer. Nothing was dispatched, so the request did
/// not run; the claim may stand, and then belongs to nobody.
pub async fn claim(
    platform: &Platform,
    key: Box<str>,
    payload: &str,
) -> Result<Claim, PlatformError> {
    let entry = Entry {
        payload: payload.into(),
        claimant: format!("{:032x}", rand::random::<u128>()).into(),
        outcome: None,
    };
    let value = serde_json::to_value(&entry).unwrap_or(Value::Null);
    match platform.put(&key, &value, Condition::Absent).await? {
        Put::Written(revision) => Ok(Claim::Won(Won {
            key,
            entry,
            revision,
        })),
        Put::Conflict(held) => Ok(read_claim(&entry, held.as_ref())),
    }
}

fn read_claim(ours: &Entry, held: Option<&Object>) -> Claim {
    let value = held.and_then(|object| object.value.clone());
    let Some(entry) = value.and_then(|v| serde_json::from_value::<Entry>(v).ok()) else {
        return Claim::Running;
    };
    if entry.payload != ours.payload {
        return Claim::OtherPayload;
    }
    entry.outcome.map_or(Claim::Running, Claim::Settled)
}

/// Stores the outcome of a claim that was won.
///
/// # Errors
/// The platform did not answer; the outcome may not be stored.
pub async fn settle(platform: &Platform, won: &Won, outcome: Outcome) -> Result<(), PlatformError> {
    let entry = Entry {
        outcome: Some(outcome),
        ..won.entry.clone()
    };
    let value = serde_json::to_value(&entry).unwrap_or(Value::Null);
    platform
        .put(&won.key, &value, Condition::At(won.revision))
        .await
        .map(drop)
}
