//! Completions: from the caller's request to an answer in the making.

use std::{sync::Arc, time::Duration};

use serde::Deserialize;
use serde_json::{Map, Value};
use tokio::time::Instant;
use viz::{Request, RequestExt, Response};

use crate::{
    answer::{Answer, Wanted},
    engine::{EngineError, GenerationRequest},
    entry::{Active, Call, Entry, accept, finish, new_id, service_of},
    footprint::Need,
    http,
    lengths::LengthKey,
    quarantine::{self, Fingerprint},
    records::{Delivery, ServiceType},
    refusal::{Ran, Refusal, RefusalKind},
    resume::{ResumeError, ResumePoint},
    run::Run,
    settings::Policy,
    stream, whole,
};

/// A completion as callers ask for it: the usual fields and ours.
#[derive(Debug, Deserialize)]
struct Completion {
    /// Name of the service.
    model: Box<str>,
    prompt: Box<str>,
    #[serde(default)]
    max_tokens: Option<u32>,
    /// Events as they come, or one JSON body at the end.
    #[serde(default)]
    stream: bool,
    /// How events come; the service's own way when absent.
    #[serde(default)]
    delivery: Option<Delivery>,
    /// Time after which the caller does not want the answer any more.
    #[serde(default)]
    deadline_ms: Option<u64>,
    /// Everything else goes to the engine as it is.
    #[serde(flatten)]
    parameters: Map<String, Value>,
}

/// Serves one completion.
pub(crate) async fn complete(entry: Arc<Entry>, mut req: Request) -> Response {
    let id = new_id();
    let _active = Active::new(&entry);
    let last_event: Option<String> = req.header("last-event-id");
    let served = match accept(&entry, &mut req, id.clone()).await {
        Ok((call, body)) => match last_event {
            Some(token) => go_on(&entry, call, &token).await,
            None => generate(&entry, call, &body).await,
        },
        Err(refusal) => Err(refusal),
    };
    finish(served, &id)
}

async fn generate(entry: &Arc<Entry>, call: Call, body: &[u8]) -> Result<Response, Refusal> {
    let completion: Completion = serde_json::from_slice(body)
        .map_err(|e| Refusal::not_run(RefusalKind::BadRequest, e.to_string()))?;
    let service = service_of(&call.view, &completion.model, ServiceType::Generation)?;
    let chosen = completion.delivery.unwrap_or(service.delivery);
    let delivery = if completion.stream {
        chosen
    } else {
        Delivery::Whole
    };
    let is_stream = completion.stream;
    let need = Need::new(
        &entry.footprints,
        LengthKey::new(&completion.model, &call.customer, completion.max_tokens),
        &completion.prompt,
    );
    let is_baseline = entry.settings.policy == Policy::LeastInFlight;
    let deadline = completion.deadline_ms.map(Duration::from_millis);
    let wanted = Wanted {
        service: completion.model,
        generation: GenerationRequest {
            generation_id: new_id(),
            prompt: completion.prompt,
            max_tokens: completion.max_tokens,
            priority: i32::from(need.is_short && !is_baseline),
            parameters: completion.parameters,
        },
        delivery,
        deadline: deadline.and_then(|after| Instant::now().checked_add(after)),
        need: Some(need),
        print: quarantine::fingerprint(&call.customer, body),
    };
    entry.budget.deposit();
    let request = call.id.clone();
    let mut answer = Answer::new(entry, call, wanted);
    answer.start().await?;
    if is_stream {
        Ok(events_of(entry, answer, request))
    } else {
        let collected = whole::collect(answer.deliver()).await;
        collected.map_err(|refusal| refusal.unwrap_or_else(lost_answer))
    }
}

/// Goes on with a generation after the token that the caller has.
async fn go_on(entry: &Arc<Entry>, call: Call, token: &str) -> Result<Response, Refusal> {
    let checked = entry.resume.check(token, &call.customer);
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
    let gone = |reason: &str| {
        let message = format!("generation {generation} cannot be resumed: {reason}");
        Refusal::new(RefusalKind::TargetFailed, Ran::Ran, message)
    };
    let Some(target) = call.view.target(&target).cloned() else {
        return Err(gone("its target left"));
    };
    let Some(next) = index.checked_add(1) else {
        return Err(gone("no such token"));
    };
    let request = call.id.clone();
    let wanted = Wanted {
        service: Box::default(),
        generation: GenerationRequest {
            generation_id: generation.clone(),
            prompt: Box::default(),
            max_tokens: None,
            priority: 0,
            parameters: Map::new(),
        },
        delivery: Delivery::Stream,
        deadline: None,
        need: None,
        print: Fingerprint::default(),
    };
    // It runs there already, so it counts whatever the grant.
    let permit = target.credit.take_running();
    let run = Run::running(target, permit, wanted.generation.clone(), next);
    let mut answer = Answer::running(entry, call, wanted, run);
    let taken_up = answer.take_up().await;
    taken_up.map_err(|e: EngineError| gone(&e.to_string()))?;
    Ok(events_of(entry, answer, request))
}

fn events_of(entry: &Arc<Entry>, answer: Answer, request: Box<str>) -> Response {
    let active = Active::new(entry);
    let events = stream::events(answer.deliver(), request);
    let events = futures::StreamExt::map(events, move |event| {
        let _held_while_streaming = &active;
        event
    });
    http::event_stream(events)
}

fn lost_answer() -> Refusal {
    let message = "the answer was lost inside the daemon";
    Refusal::new(RefusalKind::TargetFailed, Ran::Ran, message)
}
