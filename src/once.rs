//! Non-idempotent requests of plain services: dispatched at most once.
//!
//! The order is the promise: a place at a target first, then the claim, then
//! the bytes, then the outcome. What is refused before the claim costs the
//! platform no write: where no target has room, one read tells a repeat, whose
//! outcome may be known, from a first attempt.

use std::{fmt::Write, time::Duration};

use hyper::Method;
use viz::Response;

use crate::{
    choose::Chosen,
    clock::{self, BootTime},
    entry::{Call, Entry},
    http::CallError,
    ledger::{self, Outcome, State, Step},
    platform::{Condition, PlatformError, Revision},
    refusal::{RAN_HEADER, Ran, Refusal, RefusalKind},
    service::{MAX_TRIES, PlainCall, reserve_target, response_from, send_idempotent, send_to},
    settle::Claim,
};

/// Longest wait of a repeat for the first run.
const REPEAT_PATIENCE: Duration = Duration::from_secs(5);
/// A claim older than this is not dispatched: the process was paused, and its
/// caller has long been told that nothing is known.
const DISPATCH_WITHIN: Duration = Duration::from_secs(60);

/// Runs one request, under a claim if it carries an idempotency key.
pub(crate) async fn run(
    entry: &Entry,
    call: &Call,
    plain: &PlainCall,
    lookup: Option<&str>,
) -> Result<Response, Refusal> {
    let Some(key) = &plain.idempotency_key else {
        let chosen = reserve_target(entry, call, plain, &[]).await?;
        return send_once(entry, call, plain, chosen)
            .await
            .map(response_from);
    };
    let entry_key = ledger::entry_key(&call.customer, &plain.service, key);
    loop {
        let claim = Claim::new(&entry.platform, entry_key.clone(), &payload_hash(plain));
        let chosen = match reserve_target(entry, call, plain, &[]).await {
            Ok(chosen) => chosen,
            Err(refusal) => {
                return answer_without_room(entry, call, plain, &claim, refusal, lookup).await;
            }
        };
        let since = clock::now();
        let step = claim.write().await.map_err(|e| ledger_down(&e))?;
        let step = match step {
            Step::Run(at) => {
                return run_claimed(entry, call, plain, &claim, chosen, at, since).await;
            }
            Step::Wait(..) => {
                drop(chosen);
                claim.wait(step, repeat_patience(entry)).await
            }
            step => step,
        };
        if !matches!(step, Step::Write(_)) {
            return conclude(entry, call, plain, &claim, step, lookup).await;
        }
    }
}

fn ledger_down(error: &PlatformError) -> Refusal {
    let message = format!("this attempt dispatched nothing: {error}");
    Refusal::not_run(RefusalKind::PlatformDown, message)
}

fn repeat_patience(entry: &Entry) -> Duration {
    REPEAT_PATIENCE.min(entry.settings.limits.service_timeout)
}

/// Answers a request that found no room: as a repeat when its key was begun
/// before, since a repeat needs no room; else with the refusal.
async fn answer_without_room(
    entry: &Entry,
    call: &Call,
    plain: &PlainCall,
    claim: &Claim,
    refusal: Refusal,
    lookup: Option<&str>,
) -> Result<Response, Refusal> {
    let seen = claim.read().await.map_err(|e| ledger_down(&e))?;
    let step = claim.wait(seen, repeat_patience(entry)).await;
    if matches!(step, Step::Write(_)) {
        return Err(refusal);
    }
    conclude(entry, call, plain, claim, step, lookup).await
}

/// Dispatches a request whose claim stands at `at`, and stores what came of it.
async fn run_claimed(
    entry: &Entry,
    call: &Call,
    plain: &PlainCall,
    claim: &Claim,
    chosen: Chosen,
    at: Revision,
    since: BootTime,
) -> Result<Response, Refusal> {
    let condition = Condition::At(at);
    if clock::now().saturating_sub(since) > DISPATCH_WITHIN {
        claim.end(State::Released, condition);
        let message = "the claim came too late to be dispatched";
        return Err(Refusal::not_run(RefusalKind::DeadlinePassed, message));
    }
    match send_once(entry, call, plain, chosen).await {
        Ok(outcome) => {
            claim.end(outcome.clone().into(), condition);
            Ok(response_from(outcome))
        }
        Err(refusal) => {
            let state = match refusal.ran {
                Ran::NotRun => State::Released,
                ran => State::Unanswered { ran },
            };
            claim.end(state, condition);
            Err(refusal)
        }
    }
}

/// Sends a request to one target, and to another only when no byte left.
async fn send_once(
    entry: &Entry,
    call: &Call,
    plain: &PlainCall,
    mut chosen: Chosen,
) -> Result<Outcome, Refusal> {
    let mut tried = Vec::new();
    loop {
        if !chosen.permit.is_current(clock::now()) {
            chosen = reserve_target(entry, call, plain, &tried).await?;
        }
        tried.push(chosen.target.name.clone());
        let error = match send_to(entry, plain, &chosen).await {
            Ok(outcome) => return Ok(outcome),
            Err(e) => e,
        };
        if !error.is_unsent() || tried.len() >= MAX_TRIES {
            return Err(refusal_of(&error));
        }
        drop(chosen);
        chosen = match reserve_target(entry, call, plain, &tried).await {
            Ok(chosen) => chosen,
            Err(_) => return Err(refusal_of(&error)),
        };
    }
}

fn refusal_of(error: &CallError) -> Refusal {
    let ran = match error {
        CallError::Connect { .. } => Ran::NotRun,
        // The head of the answer was here.
        CallError::Lost { step: "read", .. } => Ran::Ran,
        CallError::Lost { .. } => Ran::Unknown,
    };
    Refusal::new(RefusalKind::TargetFailed, ran, error.to_string())
}

/// Answers a request that this attempt does not run.
async fn conclude(
    entry: &Entry,
    call: &Call,
    plain: &PlainCall,
    claim: &Claim,
    step: Step,
    lookup: Option<&str>,
) -> Result<Response, Refusal> {
    let unknown = "a request with this key was begun, and its outcome is not known";
    let (ran, message) = match &step {
        Step::Settled(outcome) => return Ok(response_from(outcome.clone())),
        Step::PayloadMismatch => {
            let message = "this key was used with another payload";
            return Err(Refusal::not_run(RefusalKind::KeyReused, message));
        }
        Step::Unanswered(Ran::Ran) => (Ran::Ran, "it ran, and its answer is not kept"),
        _ => (Ran::Unknown, unknown),
    };
    let found = match lookup {
        Some(path) => look_up(entry, call, plain, path).await,
        None => None,
    };
    let kind = match ran {
        Ran::Ran => RefusalKind::AnswerLost,
        _ => RefusalKind::OutcomeUnknown,
    };
    let found = found.ok_or_else(|| Refusal::new(kind, ran, message))?;
    if let Step::Wait(held, at) = &step {
        claim
            .settle_other_claim(held, *at, found.clone().into())
            .await;
    }
    let mut res = response_from(found);
    let ran: &'static str = Ran::Ran.into();
    let ran = hyper::header::HeaderValue::from_static(ran);
    res.headers_mut().insert(RAN_HEADER, ran);
    Ok(res)
}

/// Asks the service's own lookup whether a key ran.
///
/// Only a positive answer settles anything. "Not found" does not: the request
/// may still be on its way to the target, or in a paused daemon.
async fn look_up(entry: &Entry, call: &Call, plain: &PlainCall, path: &str) -> Option<Outcome> {
    let key = plain.idempotency_key.as_deref()?;
    let asked = PlainCall {
        service: plain.service.clone(),
        method: Method::GET,
        path: path.replace("{key}", &path_segment(key)).into(),
        media: None,
        idempotency_key: None,
        body: bytes::Bytes::new(),
    };
    let found = send_idempotent(entry, call, &asked).await.ok()?;
    let is_found = (200..300).contains(&found.status);
    log::info!(
        "event=lookup request={} status={} found={is_found}",
        call.id,
        found.status
    );
    is_found.then_some(found)
}

/// A key as one segment of a path.
fn path_segment(key: &str) -> String {
    let mut segment = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            segment.push(char::from(byte));
        } else {
            let _ = write!(segment, "%{byte:02X}");
        }
    }
    segment
}

fn payload_hash(plain: &PlainCall) -> String {
    let media = plain.media.as_ref().map_or(&[][..], |m| m.as_bytes());
    let mut hasher = blake3::Hasher::new();
    for part in [
        plain.method.as_str().as_bytes(),
        plain.path.as_bytes(),
        media,
        &plain.body,
    ] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}
