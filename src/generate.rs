//! Handler of `/v1/completions`: starts a generation, or resumes one after the
//! token named in `last-event-id`, and returns its response.

use std::{sync::Arc, time::Duration};

use serde::Deserialize;
use serde_json::{Map, Value};
use tokio::time::Instant;
use viz::{Request, RequestExt, Response};

use crate::{
    answer::{Answer, CompletionRequest},
    engine::{EngineError, GenerationRequest},
    entry::{
        ActiveRequest, RequestContext, ServerState, authenticate_and_read, find_service, new_id,
        with_request_id,
    },
    footprint::RequestEstimate,
    forward::{self, Original, TrialRequest},
    http, json_response,
    lengths::LengthKey,
    quarantine::{self, Fingerprint},
    records::{Delivery, ServiceType},
    refusal::{Ran, Refusal, RefusalKind},
    resume::{ResumeError, ResumePoint},
    run::Run,
    settings::Policy,
    stream,
};

/// JSON body of a completion request: OpenAI-style fields, and those specific to
/// this daemon.
#[derive(Debug, Deserialize)]
struct Completion {
    /// Name of the service.
    model: Box<str>,
    /// Text to continue.
    prompt: Box<str>,
    /// Maximum number of tokens to generate; `None` sets no limit.
    #[serde(default)]
    max_tokens: Option<u32>,
    /// Whether the response is a stream of server-sent events; otherwise it is one
    /// JSON body.
    #[serde(default)]
    stream: bool,
    /// How the tokens of a streamed response are delivered; `None` for the default of
    /// the service.
    #[serde(default)]
    delivery: Option<Delivery>,
    /// Time in milliseconds, from when the request has been read, after which the
    /// caller no longer needs the answer; `None` sets no deadline.
    #[serde(default)]
    deadline_ms: Option<u64>,
    /// Remaining fields, passed to the engine unchanged.
    #[serde(flatten)]
    parameters: Map<String, Value>,
}

/// Serves one completion request.
pub(crate) async fn complete(state: Arc<ServerState>, mut req: Request) -> Response {
    let id = new_id();
    let _active = ActiveRequest::new(&state);
    let last_event: Option<String> = req.header("last-event-id");
    let served = match authenticate_and_read(&state, &mut req, id.clone()).await {
        Ok((context, body)) => match last_event {
            Some(token) => resume_generation(&state, context, &token).await,
            None => generate(&state, context, Original::new(&req, body)).await,
        },
        Err(refusal) => {
            http::discard_rest(&mut req, state.settings.limits.max_body_bytes);
            Err(refusal)
        }
    };
    with_request_id(served, &id)
}

/// Starts a generation and returns its response.
async fn generate(
    state: &Arc<ServerState>,
    context: RequestContext,
    original: Original,
) -> Result<Response, Refusal> {
    let completion: Completion = serde_json::from_slice(&original.body)
        .map_err(|e| Refusal::not_run(RefusalKind::BadRequest, e.to_string()))?;
    let service = find_service(&context.view, &completion.model, ServiceType::Generation)?;
    let streamed_delivery = completion.delivery.unwrap_or(service.delivery);
    let delivery = if completion.stream {
        streamed_delivery
    } else {
        Delivery::Whole
    };
    let is_streamed = completion.stream;
    let estimate = RequestEstimate::new(
        &state.reservations,
        LengthKey::new(&completion.model, &context.customer, completion.max_tokens),
        &completion.prompt,
    );
    let is_baseline_policy = state.settings.policy == Policy::LeastInFlight;
    let deadline = completion.deadline_ms.map(Duration::from_millis);
    let deadline = deadline.map(|after| after.saturating_sub(original.waited()));
    let completion_request = CompletionRequest {
        service: completion.model,
        generation: GenerationRequest {
            generation_id: new_id(),
            boot_id: None,
            prompt: completion.prompt,
            max_tokens: completion.max_tokens,
            priority: i32::from(estimate.is_short && !is_baseline_policy),
            parameters: completion.parameters,
        },
        delivery,
        deadline: deadline.and_then(|after| Instant::now().checked_add(after)),
        estimate: Some(estimate),
        fingerprint: quarantine::fingerprint(&context.customer, &original.body),
    };
    state.budget.deposit();
    let request_id = context.id.clone();
    let trial_request = TrialRequest {
        original,
        request_id: context.id.clone(),
        arrived_at: context.arrived_at,
        service: completion_request.service.clone(),
        fingerprint: completion_request.fingerprint,
        deadline: completion_request.deadline,
    };
    let mut answer = Answer::new(state, context, completion_request);
    if let Err(refusal) = answer.start().await {
        return forward::forward_or_refuse(state, &trial_request, refusal).await;
    }
    if is_streamed {
        Ok(stream_response(state, answer, request_id))
    } else {
        match json_response::collect(answer.deliver()).await {
            Ok(response) => Ok(response),
            Err(refusal) => {
                let refusal = refusal.unwrap_or_else(missing_result);
                forward::forward_or_refuse(state, &trial_request, refusal).await
            }
        }
    }
}

/// Resumes a generation after the last token that the caller received, on the
/// engine that runs it.
async fn resume_generation(
    state: &Arc<ServerState>,
    context: RequestContext,
    token: &str,
) -> Result<Response, Refusal> {
    let checked = state.resume_keys.check(token, &context.customer);
    let ResumePoint {
        generation,
        target,
        index,
    } = checked.map_err(|e| {
        let kind = match e {
            ResumeError::Malformed => RefusalKind::BadRequest,
            ResumeError::Forged => RefusalKind::Unauthorized,
        };
        Refusal::not_run(kind, format!("resume token: {e}"))
    })?;
    let cannot_resume = |reason: &str| {
        let message = format!("generation {generation} cannot be resumed: {reason}");
        Refusal::new(RefusalKind::TargetFailed, Ran::Ran, message)
    };
    let Some(target) = context.view.target(&target).cloned() else {
        return Err(cannot_resume("its target left"));
    };
    let Some(next) = index.checked_add(1) else {
        return Err(cannot_resume("no such token"));
    };
    let request_id = context.id.clone();
    let completion_request = CompletionRequest {
        service: Box::default(),
        generation: GenerationRequest {
            generation_id: generation.clone(),
            boot_id: None,
            prompt: Box::default(),
            max_tokens: None,
            priority: 0,
            parameters: Map::new(),
        },
        delivery: Delivery::Stream,
        deadline: None,
        estimate: None,
        fingerprint: Fingerprint::default(),
    };
    // The engine already runs it, so it counts as in flight even beyond the
    // credits granted.
    let permit = target.credit.acquire_for_resumed();
    let run = Run::resumed(target, permit, completion_request.generation.clone(), next);
    let mut answer = Answer::resumed(state, context, completion_request, run);
    let attached = answer.attach().await;
    attached.map_err(|e: EngineError| cannot_resume(&e.to_string()))?;
    Ok(stream_response(state, answer, request_id))
}

/// Returns a response that streams the answer as server-sent events. The request
/// counts as active until the stream is dropped.
fn stream_response(state: &Arc<ServerState>, answer: Answer, request_id: Box<str>) -> Response {
    let active = ActiveRequest::new(state);
    let events = stream::events(answer.deliver(), request_id);
    let events = futures::StreamExt::map(events, move |event| {
        let _until_stream_is_dropped = &active;
        event
    });
    http::event_stream(events)
}

/// Returns the refusal for an answer whose parts ended without a result.
fn missing_result() -> Refusal {
    let message = "the answer was lost inside the daemon";
    Refusal::new(RefusalKind::TargetFailed, Ran::Ran, message)
}
