//! Writes the status of rollouts to the store, as [`RolloutWriter`] decides.

use std::{cell::RefCell, rc::Rc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::MissedTickBehavior;

use super::{
    control::Control,
    feed::Store,
    rollout_writer::{RolloutAnswer, RolloutCall, RolloutWriter, StatusStep},
};
use crate::{clock, log::shown};

/// Interval between looks at the decisions; short compared with the time within which a status
/// has to be written.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Writes statuses whenever they are due; never returns.
pub(crate) async fn write_statuses(store: Store, control: Rc<RefCell<Control>>) {
    let mut writer = RolloutWriter::default();
    let mut calls = FuturesUnordered::new();
    let mut checks = tokio::time::interval(CHECK_PERIOD);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = checks.tick() => {}
            Some((step, answer)) = calls.next() => {
                log_answer(&step, &answer);
                writer.record(&step, &answer, clock::now());
            }
        }
        for step in due(&mut writer, &control.borrow()) {
            calls.push(call(store.clone(), step));
        }
    }
}

fn due(writer: &mut RolloutWriter, control: &Control) -> Vec<StatusStep> {
    let (fleet, now) = (control.fleet(), clock::now());
    if fleet.rollouts.is_empty() {
        // Without an order, neither decisions nor ranks are worked out.
        return writer.due(fleet, &[], 0, now);
    }
    let decisions = control.rollouts.decisions(fleet, now);
    writer.due(fleet, &decisions, control.peers.writer_rank(now), now)
}

async fn call(store: Store, step: StatusStep) -> (StatusStep, RolloutAnswer) {
    let call = match &step.call {
        RolloutCall::Read(service) => (store.read_rollout)(service.clone()),
        RolloutCall::Write(write) => (store.write_rollout_status)(write.clone()),
    };
    let answer = tokio::time::timeout(step.timeout, call).await;
    let answer = answer.unwrap_or_else(|_| RolloutAnswer::Unknown("step=call: timeout".into()));
    (step, answer)
}

fn log_answer(step: &StatusStep, answer: &RolloutAnswer) {
    let RolloutCall::Write(write) = &step.call else {
        log::info!(
            "event=rollout_status_read service={} answer={:?}",
            shown(&step.call.service()),
            format!("{answer:?}")
        );
        return;
    };
    let (result, reason) = match answer {
        RolloutAnswer::Written => ("written", String::new()),
        RolloutAnswer::Held(held) => ("conflict", format!("the store holds {held:?}")),
        RolloutAnswer::NotDone(reason) => ("not_done", reason.to_string()),
        RolloutAnswer::Unknown(reason) => ("unknown", reason.to_string()),
    };
    metrics::counter!("bluebell_gateway_rollout_status_writes", "result" => result).increment(1);
    let (service, version, state) = (&write.service, &write.version, write.state);
    let based_on = write.revision;
    if matches!(answer, RolloutAnswer::Written) {
        log::info!(
            "event=rollout_status_written service={service} version={version} state={state} \
             based_on={based_on}",
            service = shown(&service),
            version = shown(&version)
        );
    } else {
        log::warn!(
            "event=rollout_status_failed service={service} version={version} state={state} \
             based_on={based_on} result={result} reason={reason:?}",
            service = shown(&service),
            version = shown(&version)
        );
    }
}
