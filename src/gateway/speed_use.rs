//! Connects sends, answers and events with the speed estimates of targets.

use std::time::Duration;

use hyper::HeaderMap;

use super::{
    Gateway,
    load::Work,
    model::Target,
    peer_wire::{TargetKey, target_key},
    placement::GenerationDemand,
    shared_state::PeerLoad,
};
use crate::{clock::BootTime, log::shown};

/// Number of bytes of an unreadable value that are logged.
const MAX_LOGGED_BYTES: usize = 40;
/// Number of tokens from which the time to a first event says something of the speed; with
/// fewer it is mostly network and scheduling delay.
const MIN_MEASURED_TOKENS: u64 = 500;

/// What is believed of a target when a request is placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BelievedLoad {
    /// Work of all daemons and of other systems.
    pub work: Work,
    /// Number of recent failures.
    pub failures: f64,
    /// How long work takes now, as a factor of what is usual.
    pub slowness: f64,
}

impl Gateway {
    /// Returns what is believed of a target. Requests of other systems count with the size of
    /// `demand` if nothing else is known of them.
    pub(crate) fn believed_load(
        &self,
        target: &str,
        key: TargetKey,
        peer_load: &PeerLoad,
        demand: &GenerationDemand,
        now: BootTime,
    ) -> BelievedLoad {
        let (mut work, failures) = self.loads.get(target, now);
        let peer_work = peer_load.work.get(&key);
        work.add(peer_work);
        let (unseen, slowness) = {
            let table = self.speeds.table();
            let reported = peer_work.map_or(0, |work| work.requests);
            (table.unseen(key, reported, now), table.slowness(key, now))
        };
        unseen.add_to(&mut work, demand);
        BelievedLoad {
            work,
            failures,
            slowness,
        }
    }

    /// Records the load that a target states in an answer to a request of this daemon.
    pub(super) fn record_stated_load(&self, target: &Target, headers: &HeaderMap, now: BootTime) {
        let id = &target.id;
        match self.names.stated_load(headers) {
            Ok(None) => {}
            Ok(Some(load)) => {
                let (own, _) = self.loads.get(id, now);
                let key = target_key(id);
                let mut table = self.speeds.table();
                table.record_load(key, &load, own.requests, now);
                drop(table);
                self.log_speed_change(target, now);
            }
            Err(value) => {
                let count = self.speeds.table().count_unreadable(now);
                if let Some(count) = count {
                    let value = value.as_bytes();
                    let start = &value[..value.len().min(MAX_LOGGED_BYTES)];
                    let start = String::from_utf8_lossy(start);
                    log::warn!(
                        "event=load_unreadable target={id} value={start:?} count={count}",
                        id = shown(&id)
                    );
                }
            }
        }
    }

    /// Records the average gap between events of a run. Ignored while a prompt is to be
    /// prefilled at the engine, which delays the events of its other runs at any speed.
    pub(super) fn record_gap(&self, target: &Target, gap: Duration, now: BootTime) {
        // Spares streams of services without the header the hashes below.
        if self.speeds.table().is_empty() {
            return;
        }
        let key = target_key(&target.id);
        let (own, _) = self.loads.get(&target.id, now);
        let peer_load = self.shared.peer_load();
        let peer_work = peer_load.work.get(&key);
        let is_prefilling = own.pending_prompt_tokens > 0
            || peer_work.is_some_and(|work| work.pending_prompt_tokens > 0);
        if !is_prefilling {
            let service = target_key(&target.service);
            self.speeds.table().record_gap(key, service, gap, now);
            self.log_speed_change(target, now);
        }
    }

    /// Records that the first event of a run came `waited` after its send, behind prompts of
    /// `tokens` tokens in all.
    pub(super) fn record_first_event(
        &self,
        target: &Target,
        tokens: u64,
        waited: Duration,
        now: BootTime,
    ) {
        let key = target_key(&target.id);
        let slowness = self.speeds.table().slowness(key, now);
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let usual_s = tokens as f64 / self.prefill_rate.get();
        // The rate is that of a target of the usual speed.
        self.prefill_rate.record(tokens, waited.div_f64(slowness));
        if tokens >= MIN_MEASURED_TOKENS {
            let ratio = waited.as_secs_f64() / usual_s;
            self.speeds.table().record_first_event(key, ratio, now);
        }
    }

    fn log_speed_change(&self, target: &Target, now: BootTime) {
        let change = self.speeds.table().take_change(target_key(&target.id), now);
        if let Some(slowness) = change {
            log::info!(
                "event=target_speed target={} slowness={slowness:.2}",
                shown(&target.id)
            );
        }
    }

    /// Sets the metrics of what is believed of the targets' speeds.
    pub(super) fn set_speed_gauges(&self, now: BootTime) {
        let summary = self.speeds.table().summary(now);
        metrics::gauge!("bluebell_gateway_targets_with_speed").set(f64::from(summary.known));
        let slow = "bluebell_gateway_slow_targets";
        metrics::gauge!(slow, "part" => "now").set(f64::from(summary.slow_now));
        metrics::gauge!(slow, "part" => "long").set(f64::from(summary.slow_long));
        metrics::gauge!("bluebell_gateway_slowest_target").set(summary.slowest);
    }
}
