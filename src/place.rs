//! Placement of one request: a credit at the best target, or a refusal.

use std::time::Duration;

use crate::{
    choose::{self, Choice, Choosing, Chosen},
    clock,
    decisions::Decision,
    entry::{Call, Entry},
    refusal::{Refusal, RefusalKind},
};

/// Pause between looks for a free credit.
const QUEUE_POLL: Duration = Duration::from_millis(5);

/// Takes a credit at the best target, waiting a short while for one.
pub(crate) async fn place(
    entry: &Entry,
    call: &Call,
    service: &str,
    tried: &[Box<str>],
) -> Result<Chosen, Refusal> {
    let deadline = clock::now() + entry.settings.timing.queue_timeout;
    loop {
        let view = entry.view.load_full();
        let cx = Choosing {
            zone: &entry.settings.zone,
            region: &entry.settings.region,
            intent: view.snapshot.intent_of(service),
            tried,
        };
        let now = clock::now();
        let Choice { chosen, reasons } = choose::choose(view.targets_of(service), &cx, now);
        let is_last = now >= deadline;
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
            None => tokio::time::sleep(QUEUE_POLL).await,
        }
    }
}
