//! The operators' port: records in and out, status, and explanations.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use viz::{Request, RequestExt, Response, Router, StatusCode};

use crate::{
    admission, clock,
    control::{ControlHandle, Event},
    entry::Entry,
    http,
    platform::{Condition, Object, Platform, PlatformError, Put, Revision},
    records::{
        Envelope, Fault, Kind, RecordKey, RecordSet, check_references, check_shape, decode,
        down_convert, merge_older_write, referrers,
    },
};

/// Tries of one write against racing operators and lost answers.
const WRITE_TRIES: usize = 8;
/// Longest wait for the other daemons to have a write in force.
const SPREAD_WAIT: Duration = Duration::from_secs(3);
/// Pause between looks at the other daemons.
const SPREAD_POLL: Duration = Duration::from_millis(50);

/// Answer to a write that was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision of the last record written.
    pub revision: Revision,
    /// Records written.
    pub records: usize,
    /// Daemons that have it in force, this one included.
    pub in_force: usize,
    /// Daemons that are live, this one included.
    pub daemons: usize,
}

/// Answer to a write that was not accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rejected {
    /// What is wrong; paths start with the record's place in the list.
    pub errors: Vec<Fault>,
}

/// Status of a daemon, as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the daemon's instance.
    pub daemon: Box<str>,
    /// Whether it serves.
    pub is_ready: bool,
    /// Revision of the records in force.
    pub revision: Revision,
    /// Age of the last confirmation, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Records whose last change is invalid, with the reasons.
    pub invalid: Vec<InvalidRecord>,
    /// The other daemons that are live.
    pub peers: Vec<PeerStatus>,
    /// All targets.
    pub targets: Vec<TargetStatus>,
}

/// A record whose last change is not in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InvalidRecord {
    /// Platform key.
    pub key: Box<str>,
    /// Revision that stays in force instead; 0 for none.
    pub in_force_revision: Revision,
    /// What is wrong.
    pub faults: Vec<Fault>,
}

/// Another daemon, as this one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of its instance.
    pub daemon: Box<str>,
    /// Region it stands in.
    pub region: Box<str>,
    /// Peer port.
    pub address: Box<str>,
    /// Caller port.
    pub caller_address: Box<str>,
    /// Revision of its records in force.
    pub revision: Revision,
    /// Whether it is stopping.
    pub is_draining: bool,
}

/// A target, as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of its instance.
    pub target: Box<str>,
    /// Service it serves.
    pub service: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// Whether it may take new work.
    pub standing: Box<str>,
    /// Credits that this daemon holds.
    pub credits: u32,
    /// Requests that this daemon has in flight there.
    pub in_flight: u32,
    /// Requests that its engine last reported as running.
    pub running: u32,
    /// Tokens of engine memory that were last reported as free.
    pub kv_free: u64,
}

/// What the handlers of the operators' port share.
struct Operator {
    entry: Arc<Entry>,
    control: ControlHandle,
}

/// Routes of the operators' port.
pub(crate) fn router(entry: &Arc<Entry>, control: &ControlHandle) -> Router {
    let shared = Arc::new(Operator {
        entry: entry.clone(),
        control: control.clone(),
    });
    let (list, one, put, delete, status, explain) = (
        shared.clone(),
        shared.clone(),
        shared.clone(),
        shared.clone(),
        shared.clone(),
        shared,
    );
    Router::new()
        .get("/v1/records", move |req: Request| {
            let op = list.clone();
            async move { Ok(guard(&op, &req).unwrap_or_else(|| list_records(&op, &req))) }
        })
        .get("/v1/records/:kind/:name", move |req: Request| {
            let op = one.clone();
            async move { Ok(guard(&op, &req).unwrap_or_else(|| get_record(&op, &req))) }
        })
        .put("/v1/records", move |req: Request| {
            let op = put.clone();
            async move { Ok(put_records(&op, req).await) }
        })
        .delete("/v1/records/:kind/:name", move |req: Request| {
            let op = delete.clone();
            async move { Ok(withdraw_record(&op, req).await) }
        })
        .get("/v1/status", move |req: Request| {
            let op = status.clone();
            async move { Ok(guard(&op, &req).unwrap_or_else(|| show_status(&op))) }
        })
        .get("/v1/explain/:request", move |req: Request| {
            let op = explain.clone();
            async move { Ok(guard(&op, &req).unwrap_or_else(|| show_decisions(&op, &req))) }
        })
}

/// Refuses requests without the operators' key.
fn guard(op: &Operator, req: &Request) -> Option<Response> {
    let key = &op.entry.settings.keys.operator;
    if admission::is_operator(req, key) {
        return None;
    }
    let status = StatusCode::UNAUTHORIZED;
    Some(reject(status, vec![fault("", "no valid operator key")]))
}

fn fault(path: &str, reason: &str) -> Fault {
    Fault {
        path: path.into(),
        reason: reason.into(),
    }
}

fn reject(status: StatusCode, errors: Vec<Fault>) -> Response {
    http::json(status, &Rejected { errors })
}

fn list_records(op: &Operator, req: &Request) -> Response {
    let view = op.entry.view.load();
    let kind = query(req, "kind").and_then(|k| k.parse::<Kind>().ok());
    let records = view.records.records.iter();
    let wanted = records.filter(|(key, _)| kind.is_none_or(|k| k == key.kind));
    let documents: Vec<&Value> = wanted.filter_map(|(_, h)| h.document.as_ref()).collect();
    http::json(StatusCode::OK, &documents)
}

fn get_record(op: &Operator, req: &Request) -> Response {
    let view = op.entry.view.load();
    let Some(key) = record_key(req) else {
        let errors = vec![fault("/kind", "unknown kind")];
        return reject(StatusCode::UNPROCESSABLE_ENTITY, errors);
    };
    let held = view.records.records.get(&key);
    let Some(document) = held.and_then(|h| h.document.as_ref()) else {
        return reject(StatusCode::NOT_FOUND, vec![fault("", "no such record")]);
    };
    let Some(schema) = query(req, "schema") else {
        return http::json(StatusCode::OK, document);
    };
    let envelope = serde_json::from_value(document.clone()).ok();
    match envelope.and_then(|e: Envelope| down_convert(&e, &schema)) {
        Some(converted) => http::json(StatusCode::OK, &converted),
        None => reject(
            StatusCode::UNPROCESSABLE_ENTITY,
            vec![fault("/schema", "this record has no such schema version")],
        ),
    }
}

fn query(req: &Request, name: &str) -> Option<String> {
    let pairs: Vec<(String, String)> = req.query().unwrap_or_default();
    pairs.into_iter().find(|(n, _)| n == name).map(|(_, v)| v)
}

fn record_key(req: &Request) -> Option<RecordKey> {
    let kind: String = req.param("kind").ok()?;
    let name: String = req.param("name").ok()?;
    Some(RecordKey {
        kind: kind.parse().ok()?,
        name: name.into(),
    })
}

async fn put_records(op: &Operator, mut req: Request) -> Response {
    if let Some(refused) = guard(op, &req) {
        return refused;
    }
    let limits = &op.entry.settings.limits;
    let body = http::read_body(&mut req, limits.max_body_bytes, limits.request_timeout).await;
    let body = match body {
        Ok(body) => body,
        Err(e) => return reject(e.status(), vec![fault("", &e.to_string())]),
    };
    let view = op.entry.view.load_full();
    let envelopes = match check_batch(&body, &view.records) {
        Ok(envelopes) => envelopes,
        Err(errors) => return reject(StatusCode::UNPROCESSABLE_ENTITY, errors),
    };
    let mut revision = 0;
    for envelope in &envelopes {
        match write_record(&op.entry.platform, envelope).await {
            Ok(object) => {
                revision = revision.max(object.revision);
                let _ = op.control.events.send(Event::Object(object)).await;
            }
            Err(e) => return failed(&e),
        }
    }
    accepted(op, revision, envelopes.len()).await
}

async fn withdraw_record(op: &Operator, req: Request) -> Response {
    if let Some(refused) = guard(op, &req) {
        return refused;
    }
    let Some(key) = record_key(&req) else {
        let errors = vec![fault("/kind", "unknown kind")];
        return reject(StatusCode::UNPROCESSABLE_ENTITY, errors);
    };
    let users = referrers(&key, &op.entry.view.load().snapshot);
    if !users.is_empty() {
        let reason = format!("still named by {}", users.join(", "));
        let errors = vec![fault("", &reason)];
        return reject(StatusCode::UNPROCESSABLE_ENTITY, errors);
    }
    match delete_record(&op.entry.platform, &key).await {
        Ok(None) => reject(StatusCode::NOT_FOUND, vec![fault("", "no such record")]),
        Ok(Some(object)) => {
            let revision = object.revision;
            let _ = op.control.events.send(Event::Object(object)).await;
            accepted(op, revision, 1).await
        }
        Err(e) => failed(&e),
    }
}

fn failed(error: &PlatformError) -> Response {
    let errors = vec![fault("", &error.to_string())];
    reject(StatusCode::SERVICE_UNAVAILABLE, errors)
}

/// Waits a while for the other daemons, then tells how many have the write.
async fn accepted(op: &Operator, revision: Revision, records: usize) -> Response {
    let deadline = clock::now() + SPREAD_WAIT;
    loop {
        let view = op.entry.view.load_full();
        let own = usize::from(view.snapshot.revision >= revision);
        let others = view.peers.iter().filter(|p| p.revision >= revision);
        let answer = Accepted {
            revision,
            records,
            in_force: own + others.count(),
            daemons: view.peers.len() + 1,
        };
        if answer.in_force == answer.daemons || clock::now() >= deadline {
            return http::json(StatusCode::OK, &answer);
        }
        tokio::time::sleep(SPREAD_POLL).await;
    }
}

/// Checks a whole batch before anything is written.
fn check_batch(body: &[u8], held: &RecordSet) -> Result<Vec<Envelope>, Vec<Fault>> {
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
            let found = check_references(&record, &snapshot);
            faults.extend(prefixed(&format!("/{i}"), found));
        }
    }
    faults
}

fn key_of(envelope: &Envelope) -> RecordKey {
    RecordKey {
        kind: envelope.kind,
        name: envelope.name.clone(),
    }
}

/// Writes a record by conditional updates with an operation id, so that a
/// write whose answer was lost is found again and not made twice.
async fn write_record(platform: &Platform, write: &Envelope) -> Result<Object, PlatformError> {
    let operation: Box<str> = format!("{:032x}", rand::random::<u128>()).into();
    let key = key_of(write).to_string();
    let mut last = None;
    for _ in 0..WRITE_TRIES {
        let held = match platform.get(&key).await {
            Ok(held) => held,
            Err(e) => {
                last = Some(e);
                tokio::time::sleep(SPREAD_POLL).await;
                continue;
            }
        };
        if let Some(held) = &held
            && operation_of(held) == Some(&operation)
        {
            return Ok(held.clone());
        }
        let value = merged(held.as_ref(), write, &operation);
        let condition = held.map_or(Condition::Absent, |h| Condition::At(h.revision));
        match platform.put(&key, &value, condition).await {
            Ok(Put::Written(revision)) => {
                return Ok(Object {
                    key: key.into(),
                    revision,
                    value: Some(value),
                });
            }
            Ok(Put::Conflict(_)) => {}
            Err(e) => last = Some(e),
        }
    }
    Err(last.unwrap_or(PlatformError::Status {
        step: "write_race",
        status: StatusCode::CONFLICT.as_u16(),
    }))
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

/// Withdraws a record; `None` when there is none.
async fn delete_record(
    platform: &Platform,
    key: &RecordKey,
) -> Result<Option<Object>, PlatformError> {
    let key = key.to_string();
    let mut tries = 0;
    loop {
        tries += 1;
        let Some(held) = platform.get(&key).await? else {
            return Ok(None);
        };
        let deleted = platform.delete(&key, Condition::At(held.revision)).await?;
        if let Put::Written(revision) = deleted {
            return Ok(Some(Object {
                key: key.into(),
                revision,
                value: None,
            }));
        }
        if tries == WRITE_TRIES {
            return Err(PlatformError::Status {
                step: "withdraw_race",
                status: StatusCode::CONFLICT.as_u16(),
            });
        }
    }
}

fn show_status(op: &Operator) -> Response {
    let view = op.entry.view.load();
    let now = clock::now();
    let age = |at| clock::millis(now.saturating_sub(at));
    let held = view.records.records.iter();
    let invalid = held.filter(|(_, h)| !h.faults.is_empty());
    let invalid = invalid.map(|(key, held)| InvalidRecord {
        key: key.to_string().into(),
        in_force_revision: held.in_force_revision,
        faults: held.faults.clone(),
    });
    let peers = view.peers.iter().map(|peer| PeerStatus {
        daemon: peer.name.clone(),
        region: peer.region.clone(),
        address: peer.address.to_string().into(),
        caller_address: peer.caller_address.clone(),
        revision: peer.revision,
        is_draining: peer.is_draining,
    });
    let all = view.targets.iter();
    let targets = all.flat_map(|(service, targets)| {
        targets.iter().map(|t| TargetStatus {
            target: t.name.clone(),
            service: service.clone(),
            zone: t.zone.clone(),
            standing: t.standing.to_string().into(),
            credits: t.credit.held(now),
            in_flight: t.credit.in_flight(),
            running: t.load.running,
            kv_free: t.load.kv_free,
        })
    });
    let status = Status {
        daemon: op.entry.settings.name.clone(),
        is_ready: view.is_ready,
        revision: view.snapshot.revision,
        confirmed_age_ms: view.confirmed_at.map(age),
        invalid: invalid.collect(),
        peers: peers.collect(),
        targets: targets.collect(),
    };
    http::json(StatusCode::OK, &status)
}

fn show_decisions(op: &Operator, req: &Request) -> Response {
    let request: String = req.param("request").unwrap_or_default();
    let decisions = op.entry.decisions.of(&request);
    if decisions.is_empty() {
        let reason = "this daemon remembers no such request";
        return reject(StatusCode::NOT_FOUND, vec![fault("", reason)]);
    }
    http::json(StatusCode::OK, &decisions)
}
