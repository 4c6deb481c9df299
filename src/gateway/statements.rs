//! Connects sends and answers with what targets state: which targets a request may be sent
//! to, and what their answers say of themselves.

use std::{collections::HashMap, time::Duration};

use hyper::{Response, StatusCode};

use super::{
    Gateway,
    job::Job,
    model::{Fleet, KnownTarget, Target},
    peer_wire::{ServiceSendCounts, TargetKey, target_key},
    refusal::Refusal,
    send_budget::SendCounts,
    target_limits::{LIMIT_WINDOW, SentToTarget, demand_name, drawn_targets, has_room},
    target_statements::LimitChange,
};
use crate::{
    clock::{self, BootTime},
    log::shown,
};

impl Gateway {
    /// Returns the targets to which one request of a service may not be sent, because of what
    /// they have stated.
    pub(super) fn closed_targets(
        &self,
        service: &str,
        available: &[&KnownTarget],
        now: BootTime,
    ) -> Vec<TargetKey> {
        let (mut closed, limits): (Vec<_>, Vec<_>) = {
            let table = self.statements.table();
            let keys = available.iter().map(|entry| entry.key);
            let waiting = keys
                .clone()
                .filter(|key| table.waits_until(*key, now).is_some());
            let limit = |key| Some((key, table.limit(key)?));
            (waiting.collect(), keys.filter_map(limit).collect())
        };
        if limits.is_empty() {
            return closed;
        }
        let per_second =
            |counts: SendCounts, window: Duration| f64::from(counts.firsts) / window.as_secs_f64();
        let window = self.settings().send_budget().window;
        let sends = self.sends.counts(now, window);
        let requests = self.statements.counts(now);
        let sends = self.count_of_all(&sends, target_key(service));
        let requests = self.count_of_all(&requests, target_key(&demand_name(service)));
        let demand = per_second(sends, window).max(per_second(requests, LIMIT_WINDOW));
        let drawn = drawn_targets(&limits, demand, rand::random());
        let limited = limits.iter().map(|(key, _)| *key);
        let limited =
            limited.filter(|key| !drawn.contains(key) || !self.may_be_sent_to(service, *key, now));
        closed.extend(limited);
        closed
    }

    /// Returns whether a target wants requests of this daemon now, and one more keeps to the
    /// limit that it has stated. A new request also has to draw a number in the target's range;
    /// see [`Self::closed_targets`].
    pub(crate) fn may_be_sent_to(&self, service: &str, target: TargetKey, now: BootTime) -> bool {
        let (is_waiting, limit) = {
            let table = self.statements.table();
            (
                table.waits_until(target, now).is_some(),
                table.limit(target),
            )
        };
        let Some(limit) = limit.filter(|_| !is_waiting) else {
            return !is_waiting;
        };
        let zone_sends = &self.shared.peer_load().zone_sends;
        let to_target = self.statements.counts(now);
        let to_service = self.sends.counts(now, self.settings().send_budget().window);
        let service = target_key(service);
        let service_by_zone = sum_counts(&to_service, zone_sends, service).firsts;
        let service_by_all = self.count_of_all(&to_service, service).firsts;
        let sent = SentToTarget {
            by_all: self.count_of_all(&to_target, target).firsts,
            by_zone: sum_counts(&to_target, zone_sends, target).firsts,
            zone_share: f64::from(service_by_zone) / f64::from(service_by_all.max(1)),
        };
        has_room(limit, &sent)
    }

    /// Returns this daemon's count and that of all others.
    fn count_of_all(&self, own: &ServiceSendCounts, key: TargetKey) -> SendCounts {
        sum_counts(own, &self.shared.peer_load().sends, key)
    }

    /// Returns why a request has found no target, where `last` is what the targets before
    /// said.
    pub(crate) fn refusal_without_target(
        &self,
        fleet: &Fleet,
        job: &Job,
        last: Refusal,
    ) -> Refusal {
        if !matches!(last, Refusal::NoTarget | Refusal::Declined) {
            return last;
        }
        let now = clock::now();
        let table = self.statements.table();
        let available = fleet.available_targets(&job.service);
        let waits = available.map(|entry| table.waits_until(entry.key, now));
        let all_wait: Option<Vec<_>> = waits.collect();
        if let Some(earliest) = all_wait.and_then(|ends| ends.into_iter().min()) {
            return Refusal::Waiting(earliest.saturating_sub(now));
        }
        let mut available = fleet.available_targets(&job.service);
        let is_limited = available.any(|entry| table.limit(entry.key).is_some());
        if last == Refusal::NoTarget && is_limited {
            Refusal::Limited
        } else {
            last
        }
    }

    /// Records what a target states in an answer to a request that was sent at `sent_at`.
    pub(crate) fn record_statements<B>(
        &self,
        job: &Job,
        target: &Target,
        res: &Response<B>,
        sent_at: BootTime,
    ) {
        let headers = res.headers();
        let is_of_other = self
            .names
            .is_of_other_request(headers, &job.info.request_id);
        if !is_of_other {
            self.record_target_statements(target, res, sent_at);
        }
    }

    /// Records what a target states in an answer, to a request of any daemon, that was sent at
    /// `sent_at`.
    pub(super) fn record_target_statements<B>(
        &self,
        target: &Target,
        res: &Response<B>,
        sent_at: BootTime,
    ) {
        let headers = res.headers();
        if res.status() == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        self.record_stated_load(target, headers, clock::now());
        let id = &target.id;
        if self.names.states_leaving(headers) {
            let now = clock::now();
            self.statements.table().record_leaving(target_key(id), now);
        }
        if res.status() == StatusCode::SERVICE_UNAVAILABLE {
            match self.names.stated_wait(headers) {
                Ok(None) => {}
                Ok(Some(wait)) => {
                    let now = clock::now();
                    let kept = self
                        .statements
                        .table()
                        .record_wait(target_key(id), wait, now);
                    log::info!(
                        "event=wait target={id} ms={} shortened={}",
                        clock::millis(kept.unwrap_or(wait)),
                        kept.is_some(),
                        id = shown(&id)
                    );
                }
                Err(value) => log::warn!(
                    "event=wait_unreadable target={id} value={value:?}",
                    id = shown(&id)
                ),
            }
        }
        let limit = match self.names.stated_limit(headers) {
            Ok(limit) => limit,
            Err(value) => {
                log::warn!(
                    "event=limit_unreadable target={id} value={value:?}",
                    id = shown(&id)
                );
                return;
            }
        };
        let now = clock::now();
        let change = self
            .statements
            .table()
            .record_answer(target_key(id), limit, sent_at, now);
        match change {
            Some(LimitChange::Stated(limit)) => {
                log::info!(
                    "event=limit target={id} per_second={limit}",
                    id = shown(&id)
                );
            }
            Some(LimitChange::Ended) => {
                log::info!("event=limit_ended target={id}", id = shown(&id));
            }
            None => {}
        }
    }
}

/// Returns this daemon's count and that of others.
fn sum_counts(
    own: &ServiceSendCounts,
    others: &HashMap<TargetKey, SendCounts>,
    key: TargetKey,
) -> SendCounts {
    let own = own.iter().find(|(k, _)| *k == key);
    let mut counts = own.map(|(_, counts)| *counts).unwrap_or_default();
    counts.add(others.get(&key).copied().unwrap_or_default());
    counts
}
