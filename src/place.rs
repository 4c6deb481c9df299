//! Placement of one request: a credit at the best target, or a refusal.

use std::time::Duration;

use crate::{
    choose::{self, Choice, Choosing, Chosen, Fit},
    clock::{self, BootTime},
    decisions::Decision,
    entry::{Call, Entry},
    footprint::Need,
    refusal::{Refusal, RefusalKind},
    settings::Policy,
    view::{Standing, View},
};

/// Pause between looks for a free credit.
const QUEUE_POLL: Duration = Duration::from_millis(5);
/// Longest wait for a credit of a nearer target while a farther one has some.
const NEARER_PATIENCE: Duration = Duration::from_millis(25);
/// Long requests are refused at once while one waits for every so many credits.
const CREDITS_PER_WAITING: u32 = 8;

/// Takes a credit at the best target, waiting a short while for one.
pub(crate) async fn place(
    entry: &Entry,
    call: &Call,
    service: &str,
    tried: &[Box<str>],
    need: Option<&Need>,
) -> Result<Chosen, Refusal> {
    let need = need.filter(|_| entry.settings.policy != Policy::LeastInFlight);
    let started = clock::now();
    let deadline = started + entry.settings.timing.queue_timeout;
    let mut waiting = None;
    loop {
        let view = entry.view.load_full();
        let now = clock::now();
        let Choice { chosen, reasons } = match need {
            Some(need) if is_over_share(entry, &view, need, now) => Choice {
                chosen: None,
                reasons: "all:over_share".into(),
            },
            need => {
                let has_owners = entry.settings.policy != Policy::LeastInFlight;
                let is_patient = has_owners && now < started + NEARER_PATIENCE;
                choose_now(entry, &view, service, tried, need, is_patient, now)
            }
        };
        let is_crowded =
            waiting.is_none() && need.is_some_and(|n| is_crowded(entry, &view, n, now));
        let is_last = now >= deadline || is_crowded;
        if chosen.is_some() || is_last {
            entry.decisions.note(Decision {
                request: call.id.clone(),
                service: service.into(),
                target: chosen.as_ref().map(|c| c.target.name.clone()),
                candidates: reasons.as_str().into(),
                revision: view.snapshot.revision,
            });
        }
        match chosen {
            Some(chosen) => return Ok(chosen),
            None if is_last => {
                let message = format!("no target of {service:?} has room");
                return Err(Refusal::not_run(RefusalKind::NoRoom, message));
            }
            None => {
                if let Some(need) = need {
                    waiting.get_or_insert_with(|| entry.footprints.wait(&need.key));
                }
                tokio::time::sleep(QUEUE_POLL).await;
            }
        }
    }
}

fn choose_now(
    entry: &Entry,
    view: &View,
    service: &str,
    tried: &[Box<str>],
    need: Option<&Need>,
    is_patient: bool,
    now: BootTime,
) -> Choice {
    let fit = need.map(|need| Fit {
        need,
        footprints: &entry.footprints,
        prefixes: &entry.prefixes,
        policy: entry.settings.policy,
        daemons: view.peers.len() as u64 + 1,
    });
    let cx = Choosing {
        zone: &entry.settings.zone,
        region: &entry.settings.region,
        intent: view.snapshot.intent_of(service),
        tried,
        is_patient,
        fit,
    };
    choose::choose(view.targets_of(service), &cx, now)
}

/// Credits that this daemon holds for a service.
fn credits_of(view: &View, service: &str, now: BootTime) -> u32 {
    let targets = view.targets_of(service).iter();
    targets.map(|t| t.credit.held(now)).sum()
}

/// Whether owners gave less than was wanted at each target of a service, so
/// that the credits held are all that this daemon can have.
fn is_full(view: &View, service: &str) -> bool {
    let targets = view.targets_of(service).iter();
    let mut serving = targets.filter(|t| t.standing == Standing::Serving);
    serving.all(|t| t.credit.is_saturated())
}

/// Whether the customer fills its share, of all that this daemon can have,
/// while another waits. Short requests are exempt: they leave soon, and their
/// callers do not wait.
fn is_over_share(entry: &Entry, view: &View, need: &Need, now: BootTime) -> bool {
    if need.is_short {
        return false;
    }
    let customer = need.key.customer.as_deref().unwrap_or_default();
    let customer = view.snapshot.customers.get(customer);
    let Some(percent) = customer.map(|c| c.share_percent).filter(|p| *p < 100) else {
        return false;
    };
    if !is_full(view, &need.key.service) {
        return false;
    }
    let share = credits_of(view, &need.key.service, now) * percent / 100;
    entry.footprints.running(&need.key) >= share && entry.footprints.others_wait(&need.key)
}

/// Whether owners have no more to give, and so many wait already, that a long
/// request had better be refused.
fn is_crowded(entry: &Entry, view: &View, need: &Need, now: BootTime) -> bool {
    let service = &need.key.service;
    let is_full = is_full(view, service);
    let most = 1 + credits_of(view, service, now) / CREDITS_PER_WAITING;
    !need.is_short && is_full && entry.footprints.waiting(service) >= most
}
