//! Placement of one request: waits for a credit at the best target and refuses
//! the request if none becomes free in time.
//!
//! When the service is saturated, a customer above its share gets no credits
//! for long requests while another customer waits, and long requests are refused
//! early instead of filling the queue.

use std::time::Duration;

use crate::{
    choose::{self, Choice, ChoiceContext, FitContext, Placement},
    clock::{self, BootTime},
    decisions::Decision,
    entry::{RequestContext, ServerState},
    footprint::RequestEstimate,
    refusal::{Refusal, RefusalKind},
    settings::Policy,
    view::{TargetState, View},
};

/// Interval between attempts to acquire a credit.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for a credit of a better target while a worse one has free
/// credits.
const BETTER_TARGET_WAIT: Duration = Duration::from_millis(25);
/// At a saturated service one request may wait, and one more for each group of
/// this many credits; further long requests are refused at once.
const CREDITS_PER_QUEUED_REQUEST: u32 = 8;

/// Acquires a credit at the best target of `service` that is not in `tried`,
/// waiting for one up to the `queue_timeout` setting.
///
/// # Errors
/// [`RefusalKind::NoRoom`] if no target had a credit in time, or at once if
/// too many requests wait already.
pub(crate) async fn place_request(
    state: &ServerState,
    context: &RequestContext,
    service: &str,
    tried: &[Box<str>],
    estimate: Option<&RequestEstimate>,
) -> Result<Placement, Refusal> {
    let estimate = estimate.filter(|_| state.settings.policy != Policy::LeastInFlight);
    let started = clock::now();
    let deadline = started + state.settings.timing.queue_timeout;
    let mut waiting = None;
    loop {
        let view = state.view.load_full();
        let now = clock::now();
        let Choice { chosen, reasons } = match estimate {
            Some(estimate) if is_over_share(state, &view, estimate, now) => Choice {
                chosen: None,
                reasons: "all:over_share".into(),
            },
            estimate => {
                let has_owners = state.settings.policy != Policy::LeastInFlight;
                let waits_for_better = has_owners && now < started + BETTER_TARGET_WAIT;
                choose_now(
                    state,
                    &view,
                    service,
                    tried,
                    estimate,
                    waits_for_better,
                    now,
                )
            }
        };
        let is_queue_full =
            waiting.is_none() && estimate.is_some_and(|e| is_queue_full(state, &view, e, now));
        let is_final = now >= deadline || is_queue_full;
        if chosen.is_some() || is_final {
            state.decisions.record(Decision {
                request: context.id.clone(),
                service: service.into(),
                target: chosen.as_ref().map(|c| c.target.name.clone()),
                candidates: reasons.as_str().into(),
                revision: view.snapshot.revision,
            });
        }
        match chosen {
            Some(chosen) => return Ok(chosen),
            None if is_final => {
                let message = format!("no target of {service:?} has room");
                return Err(Refusal::not_run(RefusalKind::NoRoom, message));
            }
            None => {
                if let Some(estimate) = estimate {
                    waiting.get_or_insert_with(|| state.reservations.count_waiting(&estimate.key));
                }
                tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
            }
        }
    }
}

/// Selects a target for the request once, without waiting.
fn choose_now(
    state: &ServerState,
    view: &View,
    service: &str,
    tried: &[Box<str>],
    estimate: Option<&RequestEstimate>,
    waits_for_better: bool,
    now: BootTime,
) -> Choice {
    let fit = estimate.map(|estimate| FitContext {
        estimate,
        reservations: &state.reservations,
        prefixes: &state.prefixes,
        policy: state.settings.policy,
        daemons: view.peers.len() as u64 + 1,
    });
    let cx = ChoiceContext {
        zone: &state.settings.zone,
        region: &state.settings.region,
        intent: view.snapshot.intent_of(service),
        tried,
        waits_for_better,
        fit,
    };
    choose::choose(view.targets_of(service), &cx, now)
}

/// Returns the number of credits that this daemon holds for a service.
fn credits_of(view: &View, service: &str, now: BootTime) -> u32 {
    let targets = view.targets_of(service).iter();
    targets.map(|t| t.credit.held(now)).sum()
}

/// Returns whether the owners of all serving targets of a service granted less
/// than was wanted, so that this daemon cannot get more credits than it holds.
fn is_saturated(view: &View, service: &str) -> bool {
    let targets = view.targets_of(service).iter();
    let mut serving = targets.filter(|t| t.state == TargetState::Serving);
    serving.all(|t| t.credit.is_saturated())
}

/// Returns whether the customer uses up its share of the credits that this
/// daemon can get while another customer waits. Short requests are exempt: they
/// finish soon, and their callers do not wait.
fn is_over_share(
    state: &ServerState,
    view: &View,
    estimate: &RequestEstimate,
    now: BootTime,
) -> bool {
    if estimate.is_short {
        return false;
    }
    let customer = estimate.key.customer.as_deref().unwrap_or_default();
    let customer = view.snapshot.customers.get(customer);
    let Some(percent) = customer.map(|c| c.share_percent).filter(|p| *p < 100) else {
        return false;
    };
    if !is_saturated(view, &estimate.key.service) {
        return false;
    }
    let share = credits_of(view, &estimate.key.service, now) * percent / 100;
    state.reservations.running(&estimate.key) >= share
        && state.reservations.has_other_waiting(&estimate.key)
}

/// Returns whether a long request should be refused at once, because the
/// service is saturated and its queue is full.
fn is_queue_full(
    state: &ServerState,
    view: &View,
    estimate: &RequestEstimate,
    now: BootTime,
) -> bool {
    let service = &estimate.key.service;
    let is_saturated = is_saturated(view, service);
    let max_waiting = 1 + credits_of(view, service, now) / CREDITS_PER_QUEUED_REQUEST;
    !estimate.is_short && is_saturated && state.reservations.waiting(service) >= max_waiting
}
