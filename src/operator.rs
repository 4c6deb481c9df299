//! HTTP API on the operators' port: reads and writes of records, the daemon's
//! status, and the routing decisions made for a request.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use viz::{Request, RequestExt, Response, Router, StatusCode};

use crate::{
    auth, clock,
    control::{ControlHandle, Event},
    entry::ServerState,
    http,
    platform::{Object, Revision},
    records::{Envelope, Fault, Kind, RecordKey, convert_schema, referrers},
    write::{
        WriteError, WriteOutcome, WriteResult, check_batch, delete_record, envelope_key, fault,
        write_record,
    },
};

/// Response header with the record's revision, for use as `if_revision`.
pub(crate) const REVISION_HEADER: &str = "x-bluebell-revision";
/// Longest time a response waits for a write to take effect on all daemons.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between checks of the other daemons' revisions.
const PROPAGATION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Response to an accepted write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Highest revision of the written records.
    pub revision: Revision,
    /// Number of records written.
    pub records: usize,
    /// Number of daemons on which the write is in effect, including this one.
    pub in_force: usize,
    /// Number of live daemons, including this one.
    pub daemons: usize,
}

/// Error response; for a failed write, with the outcome of each record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rejected {
    /// Errors; in a batch, each path starts with the record's index.
    pub errors: Vec<Fault>,
    /// Outcome of each record; empty if no write was attempted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub results: Vec<WriteResult>,
    /// Stored record if the write failed because the record is not at the expected
    /// revision; `None` for any other error, or if no record is stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Object>,
}

/// Status of a daemon, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the daemon's instance.
    pub daemon: Box<str>,
    /// Whether the daemon is ready to serve requests.
    pub is_ready: bool,
    /// Revision up to which all record changes are included.
    pub revision: Revision,
    /// Time since the records were last confirmed to be the platform's newest,
    /// in milliseconds; `None` if they never were.
    pub confirmed_age_ms: Option<u64>,
    /// Records whose newest change is invalid, with the reasons.
    pub invalid: Vec<InvalidRecord>,
    /// Other live daemons.
    pub peers: Vec<PeerStatus>,
    /// All targets known to the daemon.
    pub targets: Vec<TargetStatus>,
}

/// A record whose newest change is invalid and so not in effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InvalidRecord {
    /// Key of the record in the platform's object API.
    pub key: Box<str>,
    /// Revision that stays in effect instead, which may be a withdrawal; 0 if there
    /// is none.
    pub in_force_revision: Revision,
    /// Validation errors of the newest change.
    pub faults: Vec<Fault>,
}

/// Another daemon, as this one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of its instance.
    pub daemon: Box<str>,
    /// Region of the daemon.
    pub region: Box<str>,
    /// Address of its peer port.
    pub address: Box<str>,
    /// Address of its caller port.
    pub caller_address: Box<str>,
    /// Revision up to which its records include all changes.
    pub revision: Revision,
    /// Whether it is shutting down.
    pub is_draining: bool,
}

/// A target, as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of its instance.
    pub target: Box<str>,
    /// Service that the target belongs to.
    pub service: Box<str>,
    /// Availability zone.
    pub zone: Box<str>,
    /// State that decides whether the target may receive new requests.
    pub standing: Box<str>,
    /// Number of credits that this daemon holds for the target.
    pub credits: u32,
    /// Number of requests that this daemon has in flight to the target.
    pub in_flight: u32,
    /// Number of running requests in the engine's last load report.
    pub running: u32,
    /// Free KV cache in the engine's last load report, in tokens.
    pub kv_free: u64,
}

/// State shared by the handlers of the operators' port.
struct OperatorContext {
    state: Arc<ServerState>,
    control: ControlHandle,
}

/// Builds the router of the operators' port.
pub(crate) fn router(state: &Arc<ServerState>, control: &ControlHandle) -> Router {
    let shared = Arc::new(OperatorContext {
        state: state.clone(),
        control: control.clone(),
    });
    let (list, get, put, delete, status, explain) = (
        shared.clone(),
        shared.clone(),
        shared.clone(),
        shared.clone(),
        shared.clone(),
        shared,
    );
    Router::new()
        .get("/v1/records", move |req: Request| {
            let ctx = list.clone();
            async move { Ok(auth_error(&ctx, &req).unwrap_or_else(|| list_records(&ctx, &req))) }
        })
        .get("/v1/records/:kind/:name", move |req: Request| {
            let ctx = get.clone();
            async move { Ok(auth_error(&ctx, &req).unwrap_or_else(|| get_record(&ctx, &req))) }
        })
        .put("/v1/records", move |req: Request| {
            let ctx = put.clone();
            async move { Ok(put_records(&ctx, req).await) }
        })
        .delete("/v1/records/:kind/:name", move |req: Request| {
            let ctx = delete.clone();
            async move { Ok(withdraw_record(&ctx, req).await) }
        })
        .get("/v1/status", move |req: Request| {
            let ctx = status.clone();
            async move { Ok(auth_error(&ctx, &req).unwrap_or_else(|| get_status(&ctx))) }
        })
        .get("/v1/explain/:request", move |req: Request| {
            let ctx = explain.clone();
            async move { Ok(auth_error(&ctx, &req).unwrap_or_else(|| explain_request(&ctx, &req))) }
        })
}

/// Returns an error response if the request lacks a valid operators' key.
fn auth_error(ctx: &OperatorContext, req: &Request) -> Option<Response> {
    let key = &ctx.state.settings.keys.operator;
    if auth::is_operator(req, key) {
        return None;
    }
    let status = StatusCode::UNAUTHORIZED;
    Some(error_response(
        status,
        vec![fault("", "no valid operator key")],
    ))
}

fn error_response(status: StatusCode, errors: Vec<Fault>) -> Response {
    let rejected = Rejected {
        errors,
        results: Vec::new(),
        current: None,
    };
    http::json(status, &rejected)
}

fn list_records(ctx: &OperatorContext, req: &Request) -> Response {
    let view = ctx.state.view.load();
    let kind = query_parameter(req, "kind").and_then(|k| k.parse::<Kind>().ok());
    let records = view.records.records.iter();
    let wanted = records.filter(|(key, _)| kind.is_none_or(|k| k == key.kind));
    let documents: Vec<&Value> = wanted.filter_map(|(_, s)| s.document.as_ref()).collect();
    http::json(StatusCode::OK, &documents)
}

fn get_record(ctx: &OperatorContext, req: &Request) -> Response {
    let view = ctx.state.view.load();
    let Some(key) = record_key(req) else {
        let errors = vec![fault("/kind", "unknown kind")];
        return error_response(StatusCode::UNPROCESSABLE_ENTITY, errors);
    };
    let stored = view.records.records.get(&key);
    let Some(document) = stored.and_then(|s| s.document.as_ref()) else {
        return error_response(StatusCode::NOT_FOUND, vec![fault("", "no such record")]);
    };
    let revision = stored.map_or(0, |s| s.revision);
    let Some(schema) = query_parameter(req, "schema") else {
        return with_revision_header(http::json(StatusCode::OK, document), revision);
    };
    let envelope = serde_json::from_value(document.clone()).ok();
    match envelope.and_then(|e: Envelope| convert_schema(&e, &schema)) {
        Some(converted) => with_revision_header(http::json(StatusCode::OK, &converted), revision),
        None => error_response(
            StatusCode::UNPROCESSABLE_ENTITY,
            vec![fault("/schema", "this record has no such schema version")],
        ),
    }
}

fn with_revision_header(mut res: Response, revision: Revision) -> Response {
    let headers = res.headers_mut();
    headers.insert(REVISION_HEADER, revision.into());
    res
}

fn query_parameter(req: &Request, name: &str) -> Option<String> {
    let pairs: Vec<(String, String)> = req.query().unwrap_or_default();
    pairs.into_iter().find(|(n, _)| n == name).map(|(_, v)| v)
}

fn record_key(req: &Request) -> Option<RecordKey> {
    let kind: String = req.param("kind").ok()?;
    let name: String = req.param("name").ok()?;
    Some(RecordKey {
        kind: kind.parse().ok()?,
        name: http::unescaped(&name)?,
    })
}

async fn put_records(ctx: &OperatorContext, mut req: Request) -> Response {
    let limits = &ctx.state.settings.limits;
    if let Some(response) = auth_error(ctx, &req) {
        http::discard_rest(&mut req, limits.max_body_bytes);
        return response;
    }
    let body = http::read_body(&mut req, limits.max_body_bytes, limits.request_timeout).await;
    let body = match body {
        Ok(body) => body,
        Err(e) => {
            http::discard_rest(&mut req, limits.max_body_bytes);
            return error_response(e.status(), vec![fault("", &e.to_string())]);
        }
    };
    let view = ctx.state.view.load_full();
    let envelopes = match check_batch(&body, &view.records) {
        Ok(envelopes) => envelopes,
        Err(errors) => return error_response(StatusCode::UNPROCESSABLE_ENTITY, errors),
    };
    let if_revision = match if_revision(&req, envelopes.len()) {
        Ok(if_revision) => if_revision,
        Err(e) => return error_response(StatusCode::UNPROCESSABLE_ENTITY, vec![e]),
    };
    let mut results: Vec<WriteResult> = Vec::new();
    for (i, envelope) in envelopes.iter().enumerate() {
        match write_record(&ctx.state.platform, envelope, if_revision).await {
            Ok(object) => {
                results.push(success_result(&object));
                let _ = ctx.control.events.send(Event::RecordWritten(object)).await;
            }
            Err(e) => {
                results.push(failure_result(envelope, e.outcome()));
                let rest = &envelopes[i + 1..];
                results.extend(
                    rest.iter()
                        .map(|e| failure_result(e, WriteOutcome::NotWritten)),
                );
                return write_failure_response(&format!("/{i}"), &e, results);
            }
        }
    }
    let revision = results.iter().filter_map(|r| r.revision).max();
    accepted_response(ctx, revision.unwrap_or(0), results.len()).await
}

/// Returns the revision that the batch's only record must have, if the request
/// sets one.
fn if_revision(req: &Request, records: usize) -> Result<Option<Revision>, Fault> {
    let Some(text) = query_parameter(req, "if_revision") else {
        return Ok(None);
    };
    let parsed: Result<Revision, _> = text.parse();
    match parsed {
        Ok(_) if records != 1 => Err(fault("/if_revision", "only for a batch of one record")),
        Ok(revision) => Ok(Some(revision)),
        Err(e) => Err(fault("/if_revision", &e.to_string())),
    }
}

fn success_result(object: &Object) -> WriteResult {
    WriteResult {
        record: object.key.clone(),
        outcome: WriteOutcome::Written,
        revision: Some(object.revision),
    }
}

fn failure_result(envelope: &Envelope, outcome: WriteOutcome) -> WriteResult {
    WriteResult {
        record: envelope_key(envelope).to_string().into(),
        outcome,
        revision: None,
    }
}

async fn withdraw_record(ctx: &OperatorContext, req: Request) -> Response {
    if let Some(response) = auth_error(ctx, &req) {
        return response;
    }
    let Some(key) = record_key(&req) else {
        let errors = vec![fault("/kind", "unknown kind")];
        return error_response(StatusCode::UNPROCESSABLE_ENTITY, errors);
    };
    let referring = referrers(&key, &ctx.state.view.load().snapshot);
    if !referring.is_empty() {
        let reason = format!("still named by {}", referring.join(", "));
        let errors = vec![fault("", &reason)];
        return error_response(StatusCode::UNPROCESSABLE_ENTITY, errors);
    }
    let if_revision = match if_revision(&req, 1) {
        Ok(if_revision) => if_revision,
        Err(e) => return error_response(StatusCode::UNPROCESSABLE_ENTITY, vec![e]),
    };
    match delete_record(&ctx.state.platform, &key, if_revision).await {
        Ok(None) => error_response(StatusCode::NOT_FOUND, vec![fault("", "no such record")]),
        Ok(Some(object)) => {
            let revision = object.revision;
            let _ = ctx.control.events.send(Event::RecordWritten(object)).await;
            accepted_response(ctx, revision, 1).await
        }
        Err(e) => {
            let result = WriteResult {
                record: key.to_string().into(),
                outcome: e.outcome(),
                revision: None,
            };
            write_failure_response("", &e, vec![result])
        }
    }
}

/// Builds the response to a failed write, with the outcome of each record. The
/// status is 409, with the stored record, if the expected revision did not match,
/// else 503. `path` leads to the record that failed.
fn write_failure_response(path: &str, error: &WriteError, results: Vec<WriteResult>) -> Response {
    let (status, current) = match error {
        WriteError::Precondition(stored) => (StatusCode::CONFLICT, stored.clone()),
        _ => (StatusCode::SERVICE_UNAVAILABLE, None),
    };
    let errors = vec![fault(path, &error.reason())];
    let rejected = Rejected {
        errors,
        results,
        current,
    };
    http::json(status, &rejected)
}

/// Builds the response to an accepted write, with the number of daemons on which
/// it is in effect. Waits until that is all of them, for at most
/// [`PROPAGATION_TIMEOUT`].
async fn accepted_response(ctx: &OperatorContext, revision: Revision, records: usize) -> Response {
    let deadline = clock::now() + PROPAGATION_TIMEOUT;
    loop {
        let view = ctx.state.view.load_full();
        let own_count = usize::from(view.records.newest_revision() >= revision);
        let hash = view.records.hash();
        // A daemon that lacks an earlier change has a lower revision, but has this
        // write if its records equal those of this daemon.
        let others = view.peers.iter().filter(|p| {
            let has_same = own_count == 1 && p.records_hash == hash;
            p.revision >= revision || has_same
        });
        let response = Accepted {
            revision,
            records,
            in_force: own_count + others.count(),
            daemons: view.peers.len() + 1,
        };
        if response.in_force == response.daemons || clock::now() >= deadline {
            return http::json(StatusCode::OK, &response);
        }
        tokio::time::sleep(PROPAGATION_POLL_INTERVAL).await;
    }
}

fn get_status(ctx: &OperatorContext) -> Response {
    let view = ctx.state.view.load();
    let now = clock::now();
    let age = |at| clock::millis(now.saturating_sub(at));
    let stored = view.records.records.iter();
    let invalid = stored.filter(|(_, s)| !s.faults.is_empty());
    let invalid = invalid.map(|(key, stored)| InvalidRecord {
        key: key.to_string().into(),
        in_force_revision: stored.in_force_revision,
        faults: stored.faults.clone(),
    });
    let peers = view.peers.iter().map(|peer| PeerStatus {
        daemon: peer.name.clone(),
        region: peer.region.clone(),
        address: peer.address.to_string().into(),
        caller_address: peer.caller_address.clone(),
        revision: peer.revision,
        is_draining: peer.is_draining,
    });
    let by_service = view.targets.iter();
    let targets = by_service.flat_map(|(service, targets)| {
        targets.iter().map(|t| TargetStatus {
            target: t.name.clone(),
            service: service.clone(),
            zone: t.zone.clone(),
            standing: t.state.to_string().into(),
            credits: t.credit.held(now),
            in_flight: t.credit.in_flight(),
            running: t.load.running,
            kv_free: t.load.kv_free,
        })
    });
    let status = Status {
        daemon: ctx.state.settings.name.clone(),
        is_ready: view.is_ready,
        revision: view.snapshot.revision,
        confirmed_age_ms: view.confirmed_at.map(age),
        invalid: invalid.collect(),
        peers: peers.collect(),
        targets: targets.collect(),
    };
    http::json(StatusCode::OK, &status)
}

fn explain_request(ctx: &OperatorContext, req: &Request) -> Response {
    let request: String = req.param("request").unwrap_or_default();
    let request = http::unescaped(&request).unwrap_or_default();
    let decisions = ctx.state.decisions.for_request(&request);
    if decisions.is_empty() {
        let reason = "this daemon remembers no such request";
        return error_response(StatusCode::NOT_FOUND, vec![fault("", reason)]);
    }
    http::json(StatusCode::OK, &decisions)
}
