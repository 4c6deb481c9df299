//! The operators' port: records in and out, status, and explanations.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use viz::{Request, RequestExt, Response, Router, StatusCode};

use crate::{
    admission, clock,
    control::{ControlHandle, Event},
    entry::ServerState,
    http,
    platform::{Object, Revision},
    records::{Envelope, Fault, Kind, RecordKey, down_convert, referrers},
    write::{
        WriteError, WriteOutcome, WriteResult, check_batch, delete_record, envelope_key, fault,
        write_record,
    },
};

/// Revision of the record in an answer, for `if_revision`.
pub(crate) const REVISION_HEADER: &str = "x-bluebell-revision";
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
    /// What became of each record, once writing had begun.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub results: Vec<WriteResult>,
    /// The record as it stands, when it is not at the expected revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Object>,
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
    state: Arc<ServerState>,
    control: ControlHandle,
}

/// Routes of the operators' port.
pub(crate) fn router(state: &Arc<ServerState>, control: &ControlHandle) -> Router {
    let shared = Arc::new(Operator {
        state: state.clone(),
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
    let key = &op.state.settings.keys.operator;
    if admission::is_operator(req, key) {
        return None;
    }
    let status = StatusCode::UNAUTHORIZED;
    Some(reject(status, vec![fault("", "no valid operator key")]))
}

fn reject(status: StatusCode, errors: Vec<Fault>) -> Response {
    let rejected = Rejected {
        errors,
        results: Vec::new(),
        current: None,
    };
    http::json(status, &rejected)
}

fn list_records(op: &Operator, req: &Request) -> Response {
    let view = op.state.view.load();
    let kind = query(req, "kind").and_then(|k| k.parse::<Kind>().ok());
    let records = view.records.records.iter();
    let wanted = records.filter(|(key, _)| kind.is_none_or(|k| k == key.kind));
    let documents: Vec<&Value> = wanted.filter_map(|(_, h)| h.document.as_ref()).collect();
    http::json(StatusCode::OK, &documents)
}

fn get_record(op: &Operator, req: &Request) -> Response {
    let view = op.state.view.load();
    let Some(key) = record_key(req) else {
        let errors = vec![fault("/kind", "unknown kind")];
        return reject(StatusCode::UNPROCESSABLE_ENTITY, errors);
    };
    let held = view.records.records.get(&key);
    let Some(document) = held.and_then(|h| h.document.as_ref()) else {
        return reject(StatusCode::NOT_FOUND, vec![fault("", "no such record")]);
    };
    let revision = held.map_or(0, |h| h.revision);
    let Some(schema) = query(req, "schema") else {
        return with_revision(http::json(StatusCode::OK, document), revision);
    };
    let envelope = serde_json::from_value(document.clone()).ok();
    match envelope.and_then(|e: Envelope| down_convert(&e, &schema)) {
        Some(converted) => with_revision(http::json(StatusCode::OK, &converted), revision),
        None => reject(
            StatusCode::UNPROCESSABLE_ENTITY,
            vec![fault("/schema", "this record has no such schema version")],
        ),
    }
}

fn with_revision(mut res: Response, revision: Revision) -> Response {
    let headers = res.headers_mut();
    headers.insert(REVISION_HEADER, revision.into());
    res
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
    let limits = &op.state.settings.limits;
    let body = http::read_body(&mut req, limits.max_body_bytes, limits.request_timeout).await;
    let body = match body {
        Ok(body) => body,
        Err(e) => return reject(e.status(), vec![fault("", &e.to_string())]),
    };
    let view = op.state.view.load_full();
    let envelopes = match check_batch(&body, &view.records) {
        Ok(envelopes) => envelopes,
        Err(errors) => return reject(StatusCode::UNPROCESSABLE_ENTITY, errors),
    };
    let if_revision = match if_revision(&req, envelopes.len()) {
        Ok(if_revision) => if_revision,
        Err(e) => return reject(StatusCode::UNPROCESSABLE_ENTITY, vec![e]),
    };
    let mut results: Vec<WriteResult> = Vec::new();
    for (i, envelope) in envelopes.iter().enumerate() {
        match write_record(&op.state.platform, envelope, if_revision).await {
            Ok(object) => {
                results.push(written(&object));
                let _ = op.control.events.send(Event::RecordWritten(object)).await;
            }
            Err(e) => {
                results.push(result_of(envelope, e.outcome()));
                let rest = &envelopes[i + 1..];
                results.extend(rest.iter().map(|e| result_of(e, WriteOutcome::NotWritten)));
                return failed(&format!("/{i}"), &e, results);
            }
        }
    }
    let revision = results.iter().filter_map(|r| r.revision).max();
    accepted(op, revision.unwrap_or(0), results.len()).await
}

/// Revision that the operator expects the one record of the batch to have.
fn if_revision(req: &Request, records: usize) -> Result<Option<Revision>, Fault> {
    let Some(text) = query(req, "if_revision") else {
        return Ok(None);
    };
    let parsed: Result<Revision, _> = text.parse();
    match parsed {
        Ok(_) if records != 1 => Err(fault("/if_revision", "only for a batch of one record")),
        Ok(revision) => Ok(Some(revision)),
        Err(e) => Err(fault("/if_revision", &e.to_string())),
    }
}

fn written(object: &Object) -> WriteResult {
    WriteResult {
        record: object.key.clone(),
        outcome: WriteOutcome::Written,
        revision: Some(object.revision),
    }
}

fn result_of(envelope: &Envelope, outcome: WriteOutcome) -> WriteResult {
    WriteResult {
        record: envelope_key(envelope).to_string().into(),
        outcome,
        revision: None,
    }
}

async fn withdraw_record(op: &Operator, req: Request) -> Response {
    if let Some(refused) = guard(op, &req) {
        return refused;
    }
    let Some(key) = record_key(&req) else {
        let errors = vec![fault("/kind", "unknown kind")];
        return reject(StatusCode::UNPROCESSABLE_ENTITY, errors);
    };
    let users = referrers(&key, &op.state.view.load().snapshot);
    if !users.is_empty() {
        let reason = format!("still named by {}", users.join(", "));
        let errors = vec![fault("", &reason)];
        return reject(StatusCode::UNPROCESSABLE_ENTITY, errors);
    }
    let if_revision = match if_revision(&req, 1) {
        Ok(if_revision) => if_revision,
        Err(e) => return reject(StatusCode::UNPROCESSABLE_ENTITY, vec![e]),
    };
    match delete_record(&op.state.platform, &key, if_revision).await {
        Ok(None) => reject(StatusCode::NOT_FOUND, vec![fault("", "no such record")]),
        Ok(Some(object)) => {
            let revision = object.revision;
            let _ = op.control.events.send(Event::RecordWritten(object)).await;
            accepted(op, revision, 1).await
        }
        Err(e) => {
            let result = WriteResult {
                record: key.to_string().into(),
                outcome: e.outcome(),
                revision: None,
            };
            failed("", &e, vec![result])
        }
    }
}

/// Tells exactly what became of each record: 409 for a precondition that does
/// not hold, with the record as it stands, else 503.
fn failed(at: &str, error: &WriteError, results: Vec<WriteResult>) -> Response {
    let (status, current) = match error {
        WriteError::Precondition(held) => (StatusCode::CONFLICT, held.clone()),
        _ => (StatusCode::SERVICE_UNAVAILABLE, None),
    };
    let errors = vec![fault(at, &error.reason())];
    let rejected = Rejected {
        errors,
        results,
        current,
    };
    http::json(status, &rejected)
}

/// Waits a while for the other daemons, then tells how many have the write.
async fn accepted(op: &Operator, revision: Revision, records: usize) -> Response {
    let deadline = clock::now() + SPREAD_WAIT;
    loop {
        let view = op.state.view.load_full();
        let own = usize::from(view.records.newest() >= revision);
        let hash = view.records.hash();
        let others = view.peers.iter().filter(|p| {
            let has_same = own == 1 && p.records_hash == hash;
            p.revision >= revision || has_same
        });
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

fn show_status(op: &Operator) -> Response {
    let view = op.state.view.load();
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
        daemon: op.state.settings.name.clone(),
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
    let decisions = op.state.decisions.for_request(&request);
    if decisions.is_empty() {
        let reason = "this daemon remembers no such request";
        return reject(StatusCode::NOT_FOUND, vec![fault("", reason)]);
    }
    http::json(StatusCode::OK, &decisions)
}
