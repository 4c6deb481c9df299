//! Operators' writes: checked whole, written one by one by conditional update,
//! and answered exactly.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    clock::{self, BootTime},
    platform::{Condition, Object, Platform, PlatformError, Put, Revision},
    records::{
        Envelope, Fault, RecordKey, RecordSet, check_references, check_shape, client_path, decode,
        merge_older_write,
    },
};

/// Longest time spent on one record while the platform fails.
const WRITE_PATIENCE: Duration = Duration::from_secs(4);
/// Longest time spent on it when nothing was sent that may take effect.
const UNSENT_PATIENCE: Duration = Duration::from_millis(500);
/// Pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What became of one record of a batch.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WriteOutcome {
    /// It took effect.
    Written,
    /// It certainly did not take effect.
    NotWritten,
    /// The platform did not say whether it took effect.
    Unknown,
}

/// One record of a batch, and what became of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WriteResult {
    /// Platform key of the record.
    pub record: Box<str>,
    /// What became of it.
    pub outcome: WriteOutcome,
    /// Revision of the write, when it took effect.
    pub revision: Option<Revision>,
}

/// A write that was not confirmed.
#[derive(Debug)]
pub(crate) enum WriteError {
    /// The record is not at the revision that the write was meant for.
    Precondition(Option<Object>),
    /// The platform failed; nothing took effect.
    NotWritten(PlatformError),
    /// The platform failed, or another write came between, and this one may
    /// have taken effect before.
    Unknown(Box<str>),
}

impl WriteError {
    /// What became of the record.
    pub fn outcome(&self) -> WriteOutcome {
        match self {
            Self::Precondition(_) | Self::NotWritten(_) => WriteOutcome::NotWritten,
            Self::Unknown(_) => WriteOutcome::Unknown,
        }
    }

    /// Why, for the operator.
    pub fn reason(&self) -> String {
        match self {
            Self::Precondition(held) => {
                let revision = held.as_ref().map_or(0, |h| h.revision);
                format!("the record is at revision {revision}")
            }
            Self::NotWritten(e) => format!("not written: {e}"),
            Self::Unknown(reason) => format!("unknown whether written: {reason}"),
        }
    }
}

/// Checks a whole batch before anything is written.
pub(crate) fn check_batch(body: &[u8], held: &RecordSet) -> Result<Vec<Envelope>, Vec<Fault>> {
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
            Err(more) => faults.extend(more),
        }
    }
    if faults.is_empty() {
        faults = dangling(&envelopes, held);
    }
    if faults.is_empty() {
        Ok(envelopes)
    } else {
        Err(faults)
    }
}

/// A fault at one path.
pub(crate) fn fault(path: &str, reason: &str) -> Fault {
    Fault {
        path: path.into(),
        reason: reason.into(),
    }
}

fn read_envelope(document: &Value, place: usize) -> Result<Envelope, Vec<Fault>> {
    let at = format!("/{place}");
    check_shape::<Envelope>(document, &at)?;
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

/// Faults of references, judged as if the whole batch were in force.
fn dangling(envelopes: &[Envelope], held: &RecordSet) -> Vec<Fault> {
    let mut after = held.clone();
    for envelope in envelopes {
        let object = Object {
            key: key_of(envelope).to_string().into(),
            revision: Revision::MAX,
            value: serde_json::to_value(envelope).ok(),
        };
        after.apply(&object);
    }
    let snapshot = after.snapshot();
    let mut faults = Vec::new();
    for (i, envelope) in envelopes.iter().enumerate() {
        if let Ok(record) = decode(envelope) {
            let found = check_references(&record, &snapshot).into_iter();
            let found = found.map(|f| fault(&client_path(envelope, &f.path), &f.reason));
            faults.extend(prefixed(&format!("/{i}"), found.collect()));
        }
    }
    faults
}

/// The key under which a record is stored.
pub(crate) fn key_of(envelope: &Envelope) -> RecordKey {
    RecordKey {
        kind: envelope.kind,
        name: envelope.name.clone(),
    }
}

/// What one write has tried so far.
struct Attempt {
    began: BootTime,
    /// Revision under which a try was sent whose end is not known.
    sent_at: Option<Revision>,
}

impl Attempt {
    fn new() -> Self {
        Self {
            began: clock::now(),
            sent_at: None,
        }
    }

    /// Waits before the next try, or ends the write.
    async fn retry_after(&self, e: PlatformError) -> Result<(), WriteError> {
        let patience = match self.sent_at {
            Some(_) => WRITE_PATIENCE,
            None => UNSENT_PATIENCE,
        };
        if clock::now().saturating_sub(self.began) >= patience {
            return Err(match self.sent_at {
                Some(_) => WriteError::Unknown(e.to_string().into()),
                None => WriteError::NotWritten(e),
            });
        }
        tokio::time::sleep(RETRY_PAUSE).await;
        Ok(())
    }

    /// Another write changed the record: ours may have come before it.
    fn check_overtaken(&self, held: Revision) -> Result<(), WriteError> {
        if self.sent_at.is_some_and(|sent| sent != held) {
            let reason = format!("another write is in force at revision {held}");
            return Err(WriteError::Unknown(reason.into()));
        }
        Ok(())
    }
}

fn revision_of(held: Option<&Object>) -> Revision {
    held.map_or(0, |held| held.revision)
}

fn check_precondition(held: Option<&Object>, expected: Option<Revision>) -> Result<(), WriteError> {
    if expected.is_some_and(|expected| expected != revision_of(held)) {
        return Err(WriteError::Precondition(held.cloned()));
    }
    Ok(())
}

/// Writes a record by conditional updates with an operation id, so that a
/// write whose answer was lost is found again and not made twice.
pub(crate) async fn write_record(
    platform: &Platform,
    write: &Envelope,
    if_revision: Option<Revision>,
) -> Result<Object, WriteError> {
    let operation: Box<str> = format!("{:032x}", rand::random::<u128>()).into();
    let key = key_of(write).to_string();
    let mut attempt = Attempt::new();
    loop {
        let held = match platform.get(&key).await {
            Ok(held) => held,
            Err(e) => {
                attempt.retry_after(e).await?;
                continue;
            }
        };
        if let Some(held) = &held
            && operation_of(held) == Some(&operation)
        {
            return Ok(held.clone());
        }
        let at = revision_of(held.as_ref());
        attempt.check_overtaken(at)?;
        check_precondition(held.as_ref(), if_revision)?;
        let value = merged(held.as_ref(), write, &operation);
        match platform.put(&key, &value, condition_of(at)).await {
            Ok(Put::Written(revision)) => {
                return Ok(Object {
                    key: key.into(),
                    revision,
                    value: Some(value),
                });
            }
            Ok(Put::Conflict(_)) => {}
            Err(e) => {
                if !e.is_without_effect() {
                    attempt.sent_at = Some(at);
                }
                attempt.retry_after(e).await?;
            }
        }
    }
}

fn condition_of(revision: Revision) -> Condition {
    match revision {
        0 => Condition::Absent,
        revision => Condition::At(revision),
    }
}

fn operation_of(object: &Object) -> Option<&str> {
    object.value.as_ref()?.get("operation")?.as_str()
}

fn merged(held: Option<&Object>, write: &Envelope, operation: &str) -> Value {
    let stored = held.and_then(|h| h.value.clone());
    let stored = stored.and_then(|v| serde_json::from_value::<Envelope>(v).ok());
    let mut merged = match &stored {
        Some(stored) => merge_older_write(stored, write),
        None => write.clone(),
    };
    merged.operation = Some(operation.into());
    serde_json::to_value(&merged).unwrap_or(Value::Null)
}

/// Withdraws a record; `None` when there is none. The revision of a withdrawal
/// whose answer was lost is not known: the watch brings it.
pub(crate) async fn delete_record(
    platform: &Platform,
    key: &RecordKey,
    if_revision: Option<Revision>,
) -> Result<Option<Object>, WriteError> {
    let key = key.to_string();
    let mut attempt = Attempt::new();
    loop {
        let held = match platform.get(&key).await {
            Ok(held) => held,
            Err(e) => {
                attempt.retry_after(e).await?;
                continue;
            }
        };
        let at = revision_of(held.as_ref());
        if held.is_none() {
            return match attempt.sent_at {
                // It is gone as asked, above the revision it had.
                Some(before) => withdrawn_after(platform, key, before, &attempt)
                    .await
                    .map(Some),
                None => Ok(None),
            };
        }
        attempt.check_overtaken(at)?;
        check_precondition(held.as_ref(), if_revision)?;
        match platform.delete(&key, Condition::At(at)).await {
            Ok(Put::Written(revision)) => return Ok(Some(gone(key, revision))),
            Ok(Put::Conflict(_)) => {}
            Err(e) => {
                if !e.is_without_effect() {
                    attempt.sent_at = Some(at);
                }
                attempt.retry_after(e).await?;
            }
        }
    }
}

fn gone(key: String, revision: Revision) -> Object {
    Object {
        key: key.into(),
        revision,
        value: None,
    }
}

/// The withdrawal of `key`, as of the platform's revision now: no later write
/// of it can be below that.
async fn withdrawn_after(
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
            Ok(listing) => return Ok(gone(key, listing.revision.max(before + 1))),
            Err(e) => attempt.retry_after(e).await?,
        }
    }
}
