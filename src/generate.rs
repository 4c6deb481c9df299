//! Completions: from the caller's request to a running generation.

use std::{sync::Arc, time::Duration};

use serde::Deserialize;
use serde_json::{Map, Value};
use viz::{Request, Response};

use crate::{
    clock,
    engine::{EngineError, GenerationRequest},
    entry::{Active, Call, Entry, accept, finish, new_id, service_of},
    http,
    place::place,
    quarantine::{self, Fingerprint, Held},
    records::ServiceType,
    refusal::{Ran, Refusal, RefusalKind},
    stream::{Delivered, Run, deliver},
};

/// Most targets tried for one request.
const MAX_TRIES: usize = 3;
/// Pause before a marked request looks at all targets again.
const APART_PAUSE: Duration = Duration::from_millis(20);

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
    let print = quarantine::fingerprint(&call.customer, body);
    let run = start_run(entry, call, completion, print).await?;
    let delivered = Delivered {
        entry: entry.clone(),
        request: call.id.clone(),
        id_prefix: run.generation.generation_id.clone(),
        silence_after: entry.settings.timing.silence_after,
        arrived: call.arrived,
    };
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
async fn start_run(
    entry: &Entry,
    call: &Call,
    completion: Completion,
    print: Fingerprint,
) -> Result<Run, Refusal> {
    let service = completion.model;
    let mut tried = Vec::new();
    let mut apart = Vec::new();
    let generation = GenerationRequest {
        generation_id: new_id(),
        prompt: completion.prompt,
        max_tokens: completion.max_tokens,
        priority: 0,
        parameters: completion.parameters,
    };
    loop {
        let left_out = quarantine::left_out(entry, &print, &service);
        let skipped = [tried.as_slice(), &apart, &left_out].concat();
        let chosen = place(entry, call, &service, &skipped).await?;
        let target = chosen.target;
        if !chosen.permit.is_current(clock::now()) {
            continue;
        }
        let in_flight = match entry.quarantine.begin(print, &target.name) {
            Ok(in_flight) => in_flight,
            Err(Held::Apart) => {
                drop(chosen.permit);
                apart.push(target.name.clone());
                let skipped = tried.len() + left_out.len();
                wait_apart(entry, call, &service, skipped, &mut apart).await?;
                continue;
            }
            Err(Held::Quarantined) => {
                let message = "this request crashed two targets and is kept out for a while";
                return Err(Refusal::not_run(RefusalKind::Quarantined, message));
            }
        };
        match entry.engines.start(&target.address, &generation).await {
            Ok(events) => {
                return Ok(Run {
                    target,
                    generation,
                    permit: chosen.permit,
                    events,
                    in_flight,
                });
            }
            Err(e) => {
                chosen.permit.note_failure();
                log::warn!(
                    "event=start_failed request={} target={} error={:?}",
                    call.id,
                    target.name,
                    e.to_string()
                );
                tried.push(target.name.clone());
                if !e.is_not_run() && is_gone(entry, &target.address).await {
                    quarantine::tell(entry, in_flight.crashed()).await;
                }
                refuse_if_final(&e, tried.len())?;
            }
        }
    }
}

/// Lets a marked request look at all targets again once each has been found
/// busy with another marked one, until its place in the queue is over.
async fn wait_apart(
    entry: &Entry,
    call: &Call,
    service: &str,
    skipped: usize,
    apart: &mut Vec<Box<str>>,
) -> Result<(), Refusal> {
    if skipped + apart.len() < call.view.targets_of(service).len() {
        return Ok(());
    }
    if clock::now().saturating_sub(call.arrived) > entry.settings.timing.queue_timeout {
        let message = "no target is free to run this request apart from others";
        return Err(Refusal::not_run(RefusalKind::NoRoom, message));
    }
    apart.clear();
    tokio::time::sleep(APART_PAUSE).await;
    Ok(())
}

/// Whether an engine refuses connections, so that it has certainly ended.
async fn is_gone(entry: &Entry, address: &str) -> bool {
    let asked = entry.engines.load(address).await;
    matches!(asked, Err(EngineError::Call { source }) if source.is_unsent())
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
