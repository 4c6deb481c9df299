//! Completions: from the caller's request to a running generation.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::{Map, Value};
use viz::{Request, Response};

use crate::{
    clock,
    engine::{EngineError, GenerationRequest},
    entry::{Active, Call, Entry, accept, finish, new_id, service_of},
    footprint::{Footprint, Need},
    http,
    lengths::LengthKey,
    place::place,
    records::ServiceType,
    refusal::{Ran, Refusal, RefusalKind},
    settings::Policy,
    stream::{Delivered, Run, deliver},
};

/// Most targets tried for one request.
const MAX_TRIES: usize = 3;

/// A completion as callers ask for it: the usual fields and ours.
#[derive(Debug, Deserialize)]
struct Completion {
    /// Name of the service.
    model: Box<str>,
    prompt: Box<str>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    /// Everything else goes to the engine as it is.
    #[serde(flatten)]
    parameters: Map<String, Value>,
}

/// Serves one completion.
pub(crate) async fn complete(entry: Arc<Entry>, mut req: Request) -> Response {
    let id = new_id();
    let served = match accept(&entry, &mut req, id.clone()).await {
        Ok((call, body)) => generate(&entry, &call, &body).await,
        Err(refusal) => Err(refusal),
    };
    finish(served, &id)
}

async fn generate(entry: &Arc<Entry>, call: &Call, body: &[u8]) -> Result<Response, Refusal> {
    let completion: Completion = serde_json::from_slice(body)
        .map_err(|e| Refusal::not_run(RefusalKind::BadRequest, e.to_string()))?;
    service_of(&call.view, &completion.model, ServiceType::Generation)?;
    if !completion.stream {
        let message = "only \"stream\": true is served so far";
        return Err(Refusal::not_run(RefusalKind::BadRequest, message));
    }
    let run = start_run(entry, call, completion).await?;
    let delivered = Delivered {
        request: call.id.clone(),
        id_prefix: run.generation.generation_id.clone(),
        silence_after: entry.settings.timing.silence_after,
    };
    let first_token_from = call.arrived;
    metrics::histogram!("bluebell_start_seconds")
        .record(clock::now().saturating_sub(first_token_from));
    let active = Active::new(entry);
    let events = deliver(entry.engines.clone(), run, delivered);
    let events = futures::StreamExt::map(events, move |event| {
        let _held_while_streaming = &active;
        event
    });
    Ok(http::event_stream(events))
}

/// Finds a target and starts the generation there; tries another target when
/// one certainly did not run it.
async fn start_run(entry: &Entry, call: &Call, completion: Completion) -> Result<Run, Refusal> {
    let service = completion.model;
    let mut tried = Vec::new();
    let mut generation = GenerationRequest {
        generation_id: new_id(),
        prompt: completion.prompt,
        max_tokens: completion.max_tokens,
        priority: 0,
        parameters: completion.parameters,
    };
    let need = Need::new(
        &entry.footprints,
        LengthKey::new(&service, &call.customer, generation.max_tokens),
        &generation.prompt,
    );
    let is_baseline = entry.settings.policy == Policy::LeastInFlight;
    generation.priority = i32::from(need.is_short && !is_baseline);
    loop {
        let chosen = place(entry, call, &service, &tried, Some(&need)).await?;
        let footprint = Footprint::open(&entry.footprints, &chosen.target.name, &need);
        let target = chosen.target;
        if !chosen.permit.is_current(clock::now()) {
            continue;
        }
        match entry.engines.start(&target.address, &generation).await {
            Ok(events) => {
                return Ok(Run {
                    target,
                    generation,
                    permit: chosen.permit,
                    footprint,
                    events,
                });
            }
            Err(e) => {
                log::warn!(
                    "event=start_failed request={} target={} error={:?}",
                    call.id,
                    target.name,
                    e.to_string()
                );
                tried.push(target.name.clone());
                refuse_if_final(&e, tried.len())?;
            }
        }
    }
}

fn refuse_if_final(error: &EngineError, tries: usize) -> Result<(), Refusal> {
    let ran = if error.is_not_run() {
        Ran::NotRun
    } else {
        Ran::Unknown
    };
    if ran == Ran::NotRun && tries < MAX_TRIES {
        return Ok(());
    }
    let message = error.to_string();
    Err(Refusal::new(RefusalKind::TargetFailed, ran, message))
}
