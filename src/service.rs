//! Proxies HTTP requests to plain services. Non-idempotent requests run at most
//! once; idempotent ones are retried.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{
    Method,
    header::{CONTENT_TYPE, HeaderValue},
};
use viz::{Request, RequestExt, Response};

use crate::{
    choose::Placement,
    clock,
    entry::{
        ActiveRequest, RequestContext, ServerState, authenticate_and_read, find_service,
        idempotency_key, new_id, with_request_id,
    },
    http::{self, CallError},
    ledger::Outcome,
    once,
    place::place_request,
    records::{Service, ServiceType},
    refusal::{Ran, Refusal, RefusalKind},
};

/// Header that carries the idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Maximum number of targets tried for one request.
pub(crate) const MAX_TRIES: usize = 3;
/// Maximum size of a response that is passed on, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A request to a plain service.
pub(crate) struct PlainCall {
    pub service: Box<str>,
    pub method: Method,
    /// Path and query, relative to the service.
    pub path: Box<str>,
    /// Media type of the body, if the caller sent one.
    pub media: Option<HeaderValue>,
    pub idempotency_key: Option<Box<str>>,
    pub body: Bytes,
}

/// Serves one request below `/services/NAME/`.
pub(crate) async fn serve(state: Arc<ServerState>, mut req: Request) -> Response {
    let id = new_id();
    let active = ActiveRequest::new(&state);
    let max_body_bytes = state.settings.limits.max_body_bytes;
    let result = match read(&state, &mut req, id.clone()).await {
        Ok((context, plain)) => dispatch(state, context, plain, active).await,
        Err(refusal) => {
            http::discard_rest(&mut req, max_body_bytes);
            Err(refusal)
        }
    };
    with_request_id(result, &id)
}

/// Authenticates a request and reads it as a call of the plain service in its path.
async fn read(
    state: &ServerState,
    req: &mut Request,
    id: Box<str>,
) -> Result<(RequestContext, PlainCall), Refusal> {
    let (context, body) = authenticate_and_read(state, req, id).await?;
    let service: String = req.param("service").unwrap_or_default();
    let prefix = format!("/services/{service}");
    let path_and_query = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let path = path_and_query.strip_prefix(&prefix).unwrap_or("/").into();
    let idempotency_key = read_key(req)?;
    let plain = PlainCall {
        service: service.into(),
        method: req.method().clone(),
        path,
        media: req.headers().get(CONTENT_TYPE).cloned(),
        idempotency_key,
        body,
    };
    Ok((context, plain))
}

/// Returns the idempotency key of a request. A request with an invalid key is
/// refused: if the key were ignored, a repeat could run the request again.
fn read_key(req: &Request) -> Result<Option<Box<str>>, Refusal> {
    if !req.headers().contains_key(KEY_HEADER) {
        return Ok(None);
    }
    let key = idempotency_key(req).filter(|k| (1..=MAX_KEY_BYTES).contains(&k.len()));
    let key = key.ok_or_else(|| {
        let message = "the idempotency key is empty, too long or not ASCII";
        Refusal::not_run(RefusalKind::BadRequest, message)
    })?;
    Ok(Some(key))
}

/// Sends a request to its service: with retries if it is idempotent, at most once
/// otherwise.
async fn dispatch(
    state: Arc<ServerState>,
    context: RequestContext,
    plain: PlainCall,
    active: ActiveRequest,
) -> Result<Response, Refusal> {
    let service = find_service(&context.view, &plain.service, ServiceType::Plain)?;
    if is_idempotent(service, &plain) {
        return send_idempotent(&state, &context, &plain)
            .await
            .map(response_from);
    }
    let lookup = service.lookup.clone();
    // A separate task: when the caller disconnects, this future is dropped, but
    // the run continues, counts as active until it ends, and stores its outcome.
    let run = tokio::spawn(async move {
        let _active = active;
        once::run(&state, &context, &plain, lookup.as_deref()).await
    });
    run.await.unwrap_or_else(|e| {
        let message = format!("the run failed: {e}");
        Err(Refusal::new(
            RefusalKind::TargetFailed,
            Ran::Unknown,
            message,
        ))
    })
}

fn is_idempotent(service: &Service, plain: &PlainCall) -> bool {
    if plain.method == Method::GET || plain.method == Method::HEAD {
        return true;
    }
    let mut operations = service.idempotent.iter();
    operations
        .any(|op| *op.method == *plain.method.as_str() && is_path_below(&plain.path, &op.path))
}

/// Returns whether a path is equal to `prefix` or below it. Returns `false` for
/// every path that a target could resolve to a different one.
fn is_path_below(path: &str, prefix: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    let is_normalized = !path.contains("..") && !path.contains('%') && !path.contains("//");
    let prefix = prefix.trim_end_matches('/');
    let rest = path.strip_prefix(prefix);
    is_normalized && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Sends an idempotent request, and retries it at another target after any
/// failure.
pub(crate) async fn send_idempotent(
    state: &ServerState,
    context: &RequestContext,
    plain: &PlainCall,
) -> Result<Outcome, Refusal> {
    let mut tried = Vec::new();
    // Error of the last send after which the request may have run.
    let mut lost: Option<CallError> = None;
    loop {
        let chosen = match (reserve_target(state, context, plain, &tried).await, &lost) {
            (Ok(chosen), _) => chosen,
            (Err(_), Some(error)) => return Err(answer_lost(error)),
            (Err(refusal), None) => return Err(refusal),
        };
        tried.push(chosen.target.name.clone());
        match send_to(state, plain, &chosen).await {
            Ok(outcome) => return Ok(outcome),
            Err(e) if tried.len() < MAX_TRIES => {
                metrics::counter!("bluebell_retries").increment(1);
                if !e.is_unsent() {
                    lost = Some(e);
                }
            }
            Err(e) => return Err(answer_lost(&e)),
        }
    }
}

/// Returns the refusal of an idempotent request that may have run without an answer.
fn answer_lost(error: &CallError) -> Refusal {
    Refusal::new(RefusalKind::TargetFailed, Ran::Unknown, error.to_string())
}

/// Reserves capacity at a target, with a permit that is still valid.
pub(crate) async fn reserve_target(
    state: &ServerState,
    context: &RequestContext,
    plain: &PlainCall,
    tried: &[Box<str>],
) -> Result<Placement, Refusal> {
    loop {
        let chosen = place_request(state, context, &plain.service, tried, None).await?;
        if chosen.permit.is_current(clock::now()) {
            return Ok(chosen);
        }
    }
}

/// Sends a request to one target, without retries.
pub(crate) async fn send_to(
    state: &ServerState,
    plain: &PlainCall,
    chosen: &Placement,
) -> Result<Outcome, CallError> {
    let address = &chosen.target.address;
    let mut req = http::json_request(&plain.method, address, &plain.path, plain.body.clone())?;
    if let Some(media) = &plain.media {
        req.headers_mut().insert(CONTENT_TYPE, media.clone());
    }
    if let Some(Ok(key)) = plain.idempotency_key.as_ref().map(|k| k.parse()) {
        req.headers_mut().insert(KEY_HEADER, key);
    }
    let timeout = state.settings.limits.service_timeout;
    let received = http::send_request(&state.services, req, timeout, MAX_ANSWER_BYTES).await;
    received.map(|res| outcome_from(&res))
}

fn outcome_from(res: &hyper::Response<Bytes>) -> Outcome {
    let media = res.headers().get(CONTENT_TYPE);
    let media = media.and_then(|m| m.to_str().ok());
    Outcome {
        status: res.status().as_u16(),
        media: media.unwrap_or("application/octet-stream").into(),
        body: res.body().to_vec(),
    }
}

/// Returns the response to the caller for an outcome.
pub(crate) fn response_from(outcome: Outcome) -> Response {
    let status = outcome.status_code();
    let mut res = http::with_body(status, "application/octet-stream", outcome.body);
    if let Ok(media) = outcome.media.parse() {
        res.headers_mut().insert(CONTENT_TYPE, media);
    }
    res
}
