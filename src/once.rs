//! Runs non-idempotent requests of plain services at most once.
//!
//! The guarantee rests on the order of the steps: reserve capacity at a target,
//! write the claim, send the request, store the outcome. A request refused
//! before its claim costs the platform no write: when no target has capacity,
//! one read of the ledger distinguishes a repeat, whose outcome may be known,
//! from a first attempt.

use std::{fmt::Write, time::Duration};

use hyper::Method;
use viz::Response;

use crate::{
    choose::Placement,
    clock::{self, BootTime},
    entry::{RequestContext, ServerState},
    http::CallError,
    ledger::{self, Outcome, State, Step},
    platform::{PlatformError, Revision, WriteCondition},
    refusal::{RAN_HEADER, Ran, Refusal, RefusalKind},
    service::{MAX_TRIES, PlainCall, reserve_target, response_from, send_idempotent, send_to},
    settle::Claim,
};

/// Maximum time for which a repeat waits for the outcome of the first run.
const MAX_REPEAT_WAIT: Duration = Duration::from_secs(5);
/// Maximum age of a claim, counted from the start of its write, at which it is
/// still dispatched. An older claim means that the process was paused; by then
/// its caller has long been informed that the outcome is unknown.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(60);

/// Runs one request, protected by a claim if it carries an idempotency key.
///
/// `lookup` is the path at which the service reports the outcome of a key, if it
/// has one.
pub(crate) async fn run(
    state: &ServerState,
    context: &RequestContext,
    plain: &PlainCall,
    lookup: Option<&str>,
) -> Result<Response, Refusal> {
    let Some(key) = &plain.idempotency_key else {
        let chosen = reserve_target(state, context, plain, &[]).await?;
        return send_once(state, context, plain, chosen)
            .await
            .map(response_from);
    };
    let entry_key = ledger::entry_key(&context.customer, &plain.service, key);
    loop {
        let claim = Claim::new(&state.platform, entry_key.clone(), &payload_hash(plain));
        let chosen = match reserve_target(state, context, plain, &[]).await {
            Ok(chosen) => chosen,
            Err(refusal) => {
                return answer_without_capacity(state, context, plain, &claim, refusal, lookup)
                    .await;
            }
        };
        let claim_started = clock::now();
        let step = claim.write().await.map_err(|e| ledger_unavailable(&e))?;
        let step = match step {
            Step::Run(revision) => {
                return dispatch_claimed(
                    state,
                    context,
                    plain,
                    &claim,
                    chosen,
                    revision,
                    claim_started,
                )
                .await;
            }
            Step::Wait(..) => {
                drop(chosen);
                claim.wait(step, repeat_wait(state)).await
            }
            step => step,
        };
        if !matches!(step, Step::Write(_)) {
            return answer_without_running(state, context, plain, &claim, step, lookup).await;
        }
    }
}

fn ledger_unavailable(error: &PlatformError) -> Refusal {
    let message = format!("this attempt dispatched nothing: {error}");
    Refusal::not_run(RefusalKind::PlatformDown, message)
}

/// Returns the maximum time for which a repeat waits for the first run.
fn repeat_wait(state: &ServerState) -> Duration {
    MAX_REPEAT_WAIT.min(state.settings.limits.service_timeout)
}

/// Answers a request for which no target has capacity. If its key is already in
/// use, it is answered as a repeat, since a repeat needs no capacity; otherwise
/// with the refusal.
async fn answer_without_capacity(
    state: &ServerState,
    context: &RequestContext,
    plain: &PlainCall,
    claim: &Claim,
    refusal: Refusal,
    lookup: Option<&str>,
) -> Result<Response, Refusal> {
    let current = claim.read().await.map_err(|e| ledger_unavailable(&e))?;
    let step = claim.wait(current, repeat_wait(state)).await;
    if matches!(step, Step::Write(_)) {
        return Err(refusal);
    }
    answer_without_running(state, context, plain, claim, step, lookup).await
}

/// Dispatches a request whose claim is stored at `revision`, and stores the
/// outcome.
async fn dispatch_claimed(
    state: &ServerState,
    context: &RequestContext,
    plain: &PlainCall,
    claim: &Claim,
    chosen: Placement,
    revision: Revision,
    claim_started: BootTime,
) -> Result<Response, Refusal> {
    let condition = WriteCondition::AtRevision(revision);
    if clock::now().saturating_sub(claim_started) > MAX_CLAIM_AGE {
        claim.end(State::Released, condition);
        let message = "the claim came too late to be dispatched";
        return Err(Refusal::not_run(RefusalKind::DeadlinePassed, message));
    }
    match send_once(state, context, plain, chosen).await {
        Ok(outcome) => {
            claim.end(outcome.clone().into(), condition);
            Ok(response_from(outcome))
        }
        Err(refusal) => {
            let end_state = match refusal.ran {
                Ran::NotRun => State::Released,
                ran => State::Unanswered { ran },
            };
            claim.end(end_state, condition);
            Err(refusal)
        }
    }
}

/// Sends a request to one target, and to another one only if no byte of it was
/// sent.
async fn send_once(
    state: &ServerState,
    context: &RequestContext,
    plain: &PlainCall,
    mut chosen: Placement,
) -> Result<Outcome, Refusal> {
    let mut tried = Vec::new();
    loop {
        if !chosen.permit.is_current(clock::now()) {
            chosen = reserve_target(state, context, plain, &tried).await?;
        }
        tried.push(chosen.target.name.clone());
        let error = match send_to(state, plain, &chosen).await {
            Ok(outcome) => return Ok(outcome),
            Err(e) => e,
        };
        if !error.is_unsent() || tried.len() >= MAX_TRIES {
            return Err(refusal_from(&error));
        }
        drop(chosen);
        chosen = match reserve_target(state, context, plain, &tried).await {
            Ok(chosen) => chosen,
            Err(_) => return Err(refusal_from(&error)),
        };
    }
}

fn refusal_from(error: &CallError) -> Refusal {
    let ran = match error {
        CallError::Connect { .. } | CallError::Build { .. } => Ran::NotRun,
        // The response head had already arrived.
        CallError::AnswerTooLarge { .. } | CallError::NoAnswer { step: "read", .. } => Ran::Ran,
        CallError::NoAnswer { .. } => Ran::Unknown,
    };
    Refusal::new(RefusalKind::TargetFailed, ran, error.to_string())
}

/// Answers a request that this attempt does not run, from the ledger or from
/// the lookup of the service.
async fn answer_without_running(
    state: &ServerState,
    context: &RequestContext,
    plain: &PlainCall,
    claim: &Claim,
    step: Step,
    lookup: Option<&str>,
) -> Result<Response, Refusal> {
    let unknown_message = "a request with this key was begun, and its outcome is not known";
    let (ran, message) = match &step {
        Step::Settled(outcome) => return Ok(response_from(outcome.clone())),
        Step::PayloadMismatch => {
            let message = "this key was used with another payload";
            return Err(Refusal::not_run(RefusalKind::KeyReused, message));
        }
        Step::Unanswered(Ran::Ran) => (Ran::Ran, "it ran, and its answer is not kept"),
        _ => (Ran::Unknown, unknown_message),
    };
    let found = match lookup {
        Some(path) => query_lookup(state, context, plain, path).await,
        None => None,
    };
    let kind = match ran {
        Ran::Ran => RefusalKind::AnswerLost,
        _ => RefusalKind::OutcomeUnknown,
    };
    let found = found.ok_or_else(|| Refusal::new(kind, ran, message))?;
    if let Step::Wait(other, revision) = &step {
        claim
            .settle_other_claim(other, *revision, found.clone().into())
            .await;
    }
    let mut res = response_from(found);
    let ran: &'static str = Ran::Ran.into();
    let ran = hyper::header::HeaderValue::from_static(ran);
    res.headers_mut().insert(RAN_HEADER, ran);
    Ok(res)
}

/// Queries the lookup path of the service for the outcome of a key.
///
/// Only a positive result is conclusive. "Not found" is not: the request may
/// still be in transit to the target, or held by a paused daemon.
async fn query_lookup(
    state: &ServerState,
    context: &RequestContext,
    plain: &PlainCall,
    path: &str,
) -> Option<Outcome> {
    let key = plain.idempotency_key.as_deref()?;
    let lookup_call = PlainCall {
        service: plain.service.clone(),
        method: Method::GET,
        path: path.replace("{key}", &path_segment(key)).into(),
        media: None,
        idempotency_key: None,
        body: bytes::Bytes::new(),
    };
    let found = send_idempotent(state, context, &lookup_call).await.ok()?;
    let is_found = (200..300).contains(&found.status);
    log::info!(
        "event=lookup request={} status={} found={is_found}",
        context.id,
        found.status
    );
    is_found.then_some(found)
}

/// Returns a key percent-encoded as a single path segment.
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
