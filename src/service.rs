//! Plain services: HTTP passed through, non-idempotent calls at most once.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{Method, header::CONTENT_TYPE};
use viz::{Request, RequestExt, Response, StatusCode};

use crate::{
    clock,
    entry::{Active, Call, Entry, accept, finish, idempotency_key, new_id, service_of},
    http::{self, CallError},
    ledger::{self, Claim, Outcome},
    place::place,
    records::{Service, ServiceType},
    refusal::{Ran, Refusal, RefusalKind},
};

/// Most targets tried for one request.
const MAX_TRIES: usize = 3;
/// Largest answer passed on.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// One call of a plain service.
struct PlainCall {
    service: Box<str>,
    method: Method,
    /// Path and query below the service.
    path: Box<str>,
    media: Option<hyper::header::HeaderValue>,
    idempotency_key: Option<Box<str>>,
    body: Bytes,
}

/// Serves one request below `/services/NAME/`.
pub(crate) async fn serve(entry: Arc<Entry>, mut req: Request) -> Response {
    let id = new_id();
    let _active = Active::new(&entry);
    let served = match read(&entry, &mut req, id.clone()).await {
        Ok((call, plain)) => dispatch(&entry, &call, &plain).await,
        Err(refusal) => Err(refusal),
    };
    finish(served, &id)
}

async fn read(
    entry: &Entry,
    req: &mut Request,
    id: Box<str>,
) -> Result<(Call, PlainCall), Refusal> {
    let (call, body) = accept(entry, req, id).await?;
    let service: String = req.param("service").unwrap_or_default();
    let prefix = format!("/services/{service}");
    let target = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let path = target.strip_prefix(&prefix).unwrap_or("/").into();
    let plain = PlainCall {
        service: service.into(),
        method: req.method().clone(),
        path,
        media: req.headers().get(CONTENT_TYPE).cloned(),
        idempotency_key: idempotency_key(req),
        body,
    };
    Ok((call, plain))
}

async fn dispatch(entry: &Entry, call: &Call, plain: &PlainCall) -> Result<Response, Refusal> {
    let service = service_of(&call.view, &plain.service, ServiceType::Plain)?;
    if is_idempotent(service, plain) {
        return pass_repeatable(entry, call, plain).await;
    }
    match &plain.idempotency_key {
        None => pass_once(entry, call, plain).await.map(answer),
        Some(key) => pass_claimed(entry, call, plain, key).await,
    }
}

fn is_idempotent(service: &Service, plain: &PlainCall) -> bool {
    if plain.method == Method::GET || plain.method == Method::HEAD {
        return true;
    }
    service
        .idempotent
        .iter()
        .any(|op| *op.method == *plain.method.as_str() && plain.path.starts_with(&*op.path))
}

/// Runs a request under a claim in the ledger.
async fn pass_claimed(
    entry: &Entry,
    call: &Call,
    plain: &PlainCall,
    key: &str,
) -> Result<Response, Refusal> {
    let entry_key = ledger::entry_key(&call.customer, &plain.service, key);
    let payload = payload_hash(plain);
    let claimed = ledger::claim(&entry.platform, entry_key, &payload).await;
    let claim = claimed.map_err(|e| {
        let message = format!("nothing was dispatched: {e}");
        Refusal::not_run(RefusalKind::PlatformDown, message)
    })?;
    let won = match claim {
        Claim::Won(won) => won,
        Claim::Settled(outcome) => return Ok(answer(outcome)),
        Claim::Running => {
            return Err(Refusal::new(
                RefusalKind::OutcomeUnknown,
                Ran::Unknown,
                "a request with this key has no known outcome yet",
            ));
        }
        Claim::OtherPayload => {
            return Err(Refusal::not_run(
                RefusalKind::KeyReused,
                "this key was used with another payload",
            ));
        }
    };
    let outcome = pass_once(entry, call, plain).await?;
    if let Err(e) = ledger::settle(&entry.platform, &won, outcome.clone()).await {
        log::warn!(
            "event=settle_failed request={} error={:?}",
            call.id,
            e.to_string()
        );
    }
    Ok(answer(outcome))
}

fn payload_hash(plain: &PlainCall) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [
        plain.method.as_str().as_bytes(),
        plain.path.as_bytes(),
        &plain.body,
    ] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}

/// Sends a request to one target, and to another only when no byte left.
async fn pass_once(entry: &Entry, call: &Call, plain: &PlainCall) -> Result<Outcome, Refusal> {
    let mut tried = Vec::new();
    loop {
        match pass_to_one(entry, call, plain, &mut tried).await? {
            Ok(outcome) => return Ok(outcome),
            Err(e) if e.is_unsent() && tried.len() < MAX_TRIES => {}
            Err(e) => {
                let ran = if e.is_unsent() {
                    Ran::NotRun
                } else {
                    Ran::Unknown
                };
                let kind = RefusalKind::TargetFailed;
                return Err(Refusal::new(kind, ran, e.to_string()));
            }
        }
    }
}

/// Sends an idempotent request, to another target after any failure.
async fn pass_repeatable(
    entry: &Entry,
    call: &Call,
    plain: &PlainCall,
) -> Result<Response, Refusal> {
    let mut tried = Vec::new();
    loop {
        match pass_to_one(entry, call, plain, &mut tried).await? {
            Ok(outcome) => return Ok(answer(outcome)),
            Err(_) if tried.len() < MAX_TRIES => {
                metrics::counter!("bluebell_retries").increment(1);
            }
            Err(e) => {
                let kind = RefusalKind::TargetFailed;
                return Err(Refusal::new(kind, Ran::Unknown, e.to_string()));
            }
        }
    }
}

async fn pass_to_one(
    entry: &Entry,
    call: &Call,
    plain: &PlainCall,
    tried: &mut Vec<Box<str>>,
) -> Result<Result<Outcome, CallError>, Refusal> {
    let chosen = loop {
        let chosen = place(entry, call, &plain.service, tried, None).await?;
        if chosen.permit.is_current(clock::now()) {
            break chosen;
        }
    };
    tried.push(chosen.target.name.clone());
    let mut req = http::request(
        &plain.method,
        &chosen.target.address,
        &plain.path,
        plain.body.clone(),
    );
    if let Some(media) = &plain.media {
        req.headers_mut().insert(CONTENT_TYPE, media.clone());
    }
    if let Some(Ok(key)) = plain.idempotency_key.as_ref().map(|k| k.parse()) {
        req.headers_mut().insert("idempotency-key", key);
    }
    let timeout = entry.settings.limits.service_timeout;
    let sent = http::call(&entry.services, req, timeout, MAX_ANSWER_BYTES).await;
    Ok(sent.map(|res| outcome_of(&res)))
}

fn outcome_of(res: &hyper::Response<Bytes>) -> Outcome {
    let media = res.headers().get(CONTENT_TYPE);
    let media = media.and_then(|m| m.to_str().ok());
    Outcome {
        status: res.status().as_u16(),
        media: media.unwrap_or("application/octet-stream").into(),
        body: String::from_utf8_lossy(res.body()).into(),
    }
}

fn answer(outcome: Outcome) -> Response {
    let status: StatusCode = outcome.status_code();
    let body = outcome.body.into_string();
    let mut res = http::with_body(status, "application/octet-stream", body);
    if let Ok(media) = outcome.media.parse() {
        res.headers_mut().insert(CONTENT_TYPE, media);
    }
    res
}
