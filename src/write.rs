//! Writes of configuration records by operators. A batch is checked as a whole,
//! then its records are written one by one with conditional updates, and each
//! record is reported as written, not written or unknown.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    clock::{self, BootTime},
    platform::{Object, Platform, PlatformError, PutResult, Revision, WriteCondition},
    records::{
        Envelope, Fault, RecordKey, RecordSet, check_against_schema, check_consistency,
        client_path, decode, merge_older_write,
    },
};

/// Maximum time spent on one record while the platform fails, once a request was
/// sent that may take effect.
const UNCERTAIN_WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum time spent on one record while the platform fails, if no request was
/// sent that may take effect.
const UNSENT_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The outcome of the write of one record.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The write certainly did not take effect.
    NotWritten,
    /// The write may or may not have taken effect.
    Unknown,
}

/// The result of writing one record of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WriteResult {
    /// Platform key of the record.
    pub record: Box<str>,
    /// Outcome of the write.
    pub outcome: WriteOutcome,
    /// Revision created by the write; `None` unless the outcome is
    /// [`WriteOutcome::Written`].
    pub revision: Option<Revision>,
}

/// A write that was not confirmed.
#[derive(Debug)]
pub(crate) enum WriteError {
    /// The record is not at the expected revision; the field holds the stored
    /// object, or `None` if there is none.
    Precondition(Option<Object>),
    /// The platform failed, and the write did not take effect.
    NotWritten(PlatformError),
    /// The platform failed, or another write changed the record in the meantime,
    /// and this write may have taken effect before. The field holds the reason.
    Unknown(Box<str>),
}

impl WriteError {
    /// Returns the outcome for the record.
    pub fn outcome(&self) -> WriteOutcome {
        match self {
            Self::Precondition(_) | Self::NotWritten(_) => WriteOutcome::NotWritten,
            Self::Unknown(_) => WriteOutcome::Unknown,
        }
    }

    /// Returns the reason for the operator.
    pub fn reason(&self) -> String {
        match self {
            Self::Precondition(current) => {
                let revision = current.as_ref().map_or(0, |object| object.revision);
                format!("the record is at revision {revision}")
            }
            Self::NotWritten(e) => format!("not written: {e}"),
            Self::Unknown(reason) => format!("unknown whether written: {reason}"),
        }
    }
}

/// Parses and checks a whole batch before any record is written.
pub(crate) fn check_batch(body: &[u8], current: &RecordSet) -> Result<Vec<Envelope>, Vec<Fault>> {
    let parsed = serde_json::from_slice(body);
    let documents: Vec<Value> = parsed.map_err(|e| vec![fault("", &e.to_string())])?;
    let mut envelopes = Vec::new();
    let mut faults = Vec::new();
    let mut names = BTreeSet::new();
    for (i, document) in documents.iter().enumerate() {
        match read_envelope(document, i) {
            Ok(envelope) if !names.insert((envelope.kind, envelope.name.clone())) => {
                let reason = format!("{} {:?} stands twice", envelope.kind, envelope.name);
                faults.push(fault(&format!("/{i}/name"), &reason));
            }
            Ok(envelope) => envelopes.push(envelope),
            Err(found) => faults.extend(found),
        }
    }
    if faults.is_empty() {
        faults = check_batch_consistency(&envelopes, current);
    }
    if faults.is_empty() {
        Ok(envelopes)
    } else {
        Err(faults)
    }
}

/// Creates a fault at one path of the request.
pub(crate) fn fault(path: &str, reason: &str) -> Fault {
    Fault {
        path: path.into(),
        reason: reason.into(),
    }
}

fn read_envelope(document: &Value, index: usize) -> Result<Envelope, Vec<Fault>> {
    let at = format!("/{index}");
    check_against_schema::<Envelope>(document, &at)?;
    let parsed = serde_json::from_value(document.clone());
    let envelope: Envelope = parsed.map_err(|e| vec![fault(&at, &e.to_string())])?;
    decode(&envelope).map_err(|faults| prefixed(&at, faults))?;
    Ok(envelope)
}

fn prefixed(at: &str, faults: Vec<Fault>) -> Vec<Fault> {
    let faults = faults.into_iter();
    faults
        .map(|f| fault(&format!("{at}{}", f.path), &f.reason))
        .collect()
}

/// Returns a fault for each invalid reference of a batch, as if the whole batch
/// were already in effect.
fn check_batch_consistency(envelopes: &[Envelope], current: &RecordSet) -> Vec<Fault> {
    let mut combined = current.clone();
    for envelope in envelopes {
        let object = Object {
            key: envelope_key(envelope).to_string().into(),
            revision: Revision::MAX,
            value: serde_json::to_value(envelope).ok(),
        };
        combined.apply(&object);
    }
    let snapshot = combined.snapshot();
    let mut faults = Vec::new();
    for (i, envelope) in envelopes.iter().enumerate() {
        if let Ok(record) = decode(envelope) {
            let found = check_consistency(&record, &snapshot).into_iter();
            let found = found.map(|f| fault(&client_path(envelope, &f.path), &f.reason));
            faults.extend(prefixed(&format!("/{i}"), found.collect()));
        }
    }
    faults
}

/// Returns the key under which a record is stored.
pub(crate) fn envelope_key(envelope: &Envelope) -> RecordKey {
    RecordKey {
        kind: envelope.kind,
        name: envelope.name.clone(),
    }
}

/// Retry state of one write.
struct Attempt {
    started: BootTime,
    /// Expected revision of the last request whose outcome is unknown; `None` if
    /// the outcome of every request is known.
    uncertain_at: Option<Revision>,
}

impl Attempt {
    fn new() -> Self {
        Self {
            started: clock::now(),
            uncertain_at: None,
        }
    }

    /// Waits before the next attempt.
    ///
    /// # Errors
    /// The time for the write is over.
    async fn wait_for_retry(&self, e: PlatformError) -> Result<(), WriteError> {
        let timeout = match self.uncertain_at {
            Some(_) => UNCERTAIN_WRITE_TIMEOUT,
            None => UNSENT_WRITE_TIMEOUT,
        };
        if clock::now().saturating_sub(self.started) >= timeout {
            return Err(match self.uncertain_at {
                Some(_) => WriteError::Unknown(e.to_string().into()),
                None => WriteError::NotWritten(e),
            });
        }
        tokio::time::sleep(RETRY_PAUSE).await;
        Ok(())
    }

    /// Checks that no other write changed the record after a request whose outcome is
    /// unknown.
    ///
    /// # Errors
    /// Another write did; this one may have taken effect before it.
    fn check_superseded(&self, current: Revision) -> Result<(), WriteError> {
        if self.uncertain_at.is_some_and(|sent| sent != current) {
            let reason = format!("another write is in force at revision {current}");
            return Err(WriteError::Unknown(reason.into()));
        }
        Ok(())
    }
}

fn revision_of(current: Option<&Object>) -> Revision {
    current.map_or(0, |current| current.revision)
}

fn check_precondition(
    current: Option<&Object>,
    expected: Option<Revision>,
) -> Result<(), WriteError> {
    if expected.is_some_and(|expected| expected != revision_of(current)) {
        return Err(WriteError::Precondition(current.cloned()));
    }
    Ok(())
}

/// Writes a record with conditional updates that carry an operation id, so that
/// a write whose response was lost is recognized and not repeated.
pub(crate) async fn write_record(
    platform: &Platform,
    write: &Envelope,
    if_revision: Option<Revision>,
) -> Result<Object, WriteError> {
    let operation: Box<str> = format!("{:032x}", rand::random::<u128>()).into();
    let key = envelope_key(write).to_string();
    let mut attempt = Attempt::new();
    loop {
        let current = match platform.get(&key).await {
            Ok(current) => current,
            Err(e) => {
                attempt.wait_for_retry(e).await?;
                continue;
            }
        };
        if let Some(current) = &current
            && operation_of(current) == Some(&operation)
        {
            return Ok(current.clone());
        }
        let at = revision_of(current.as_ref());
        attempt.check_superseded(at)?;
        check_precondition(current.as_ref(), if_revision)?;
        let value = merge_write(current.as_ref(), write, &operation);
        match platform.put(&key, &value, condition_of(at)).await {
            Ok(PutResult::Written(revision)) => {
                return Ok(Object {
                    key: key.into(),
                    revision,
                    value: Some(value),
                });
            }
            Ok(PutResult::Conflict(_)) => {}
            Err(e) => {
                if !e.had_no_effect() {
                    attempt.uncertain_at = Some(at);
                }
                attempt.wait_for_retry(e).await?;
            }
        }
    }
}

fn condition_of(revision: Revision) -> WriteCondition {
    match revision {
        0 => WriteCondition::Absent,
        revision => WriteCondition::AtRevision(revision),
    }
}

fn operation_of(object: &Object) -> Option<&str> {
    object.value.as_ref()?.get("operation")?.as_str()
}

fn merge_write(current: Option<&Object>, write: &Envelope, operation: &str) -> Value {
    let stored = current.and_then(|object| object.value.clone());
    let stored = stored.and_then(|v| serde_json::from_value::<Envelope>(v).ok());
    let mut merged = match &stored {
        Some(stored) => merge_older_write(stored, write),
        None => write.clone(),
    };
    merged.operation = Some(operation.into());
    serde_json::to_value(&merged).unwrap_or(Value::Null)
}

/// Withdraws a record; returns `None` if it does not exist.
///
/// If the response to the withdrawal was lost, the exact revision is unknown until
/// the watch reports it; the returned object then has a revision that the platform
/// reported afterwards.
pub(crate) async fn delete_record(
    platform: &Platform,
    key: &RecordKey,
    if_revision: Option<Revision>,
) -> Result<Option<Object>, WriteError> {
    let key = key.to_string();
    let mut attempt = Attempt::new();
    loop {
        let current = match platform.get(&key).await {
            Ok(current) => current,
            Err(e) => {
                attempt.wait_for_retry(e).await?;
                continue;
            }
        };
        let at = revision_of(current.as_ref());
        if current.is_none() {
            return match attempt.uncertain_at {
                // The record was withdrawn, at a later revision than it had.
                Some(before) => find_withdrawal(platform, key, before, &attempt)
                    .await
                    .map(Some),
                None => Ok(None),
            };
        }
        attempt.check_superseded(at)?;
        check_precondition(current.as_ref(), if_revision)?;
        match platform.delete(&key, WriteCondition::AtRevision(at)).await {
            Ok(PutResult::Written(revision)) => return Ok(Some(withdrawn(key, revision))),
            Ok(PutResult::Conflict(_)) => {}
            Err(e) => {
                if !e.had_no_effect() {
                    attempt.uncertain_at = Some(at);
                }
                attempt.wait_for_retry(e).await?;
            }
        }
    }
}

fn withdrawn(key: String, revision: Revision) -> Object {
    Object {
        key: key.into(),
        revision,
        value: None,
    }
}

/// Returns the withdrawal of `key` at the current revision of the platform, since
/// no later write of the key can have a lower one.
async fn find_withdrawal(
    platform: &Platform,
    key: String,
    before: Revision,
    attempt: &Attempt,
) -> Result<Object, WriteError> {
    loop {
        match platform.list(&key).await {
            Ok(listing) if listing.objects.iter().any(|o| *o.key == *key) => {
                let reason = "withdrawn, then written again by another";
                return Err(WriteError::Unknown(reason.into()));
            }
            Ok(listing) => return Ok(withdrawn(key, listing.revision.max(before + 1))),
            Err(e) => attempt.wait_for_retry(e).await?,
        }
    }
}
