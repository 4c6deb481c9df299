//! Decides whether answers may depend on the configuration that this daemon has.
//!
//! Load pattern: a daemon is cut off from the store or from other daemons, or stood still, while
//! the configuration changes and callers go on. What it does not know may be what they ask for.

use std::time::Duration;

use super::{Gateway, fallback_read::ConfigBound, startup_wait::max_wait};
use crate::{
    clock::{self, BootTime},
    log::shown,
};

/// What may depend on a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ConfigUse {
    /// All answers: it has each change that has to be in force.
    Current,
    /// Requests are served by it, and none is denied. It is too old, and this daemon's own reads
    /// of the store fail.
    StoreUnreachable,
    /// No answer: it is too old, and the store may answer this daemon.
    Stale,
}

/// Decides what may depend on a configuration of an age, `None` if it was never confirmed, given
/// the time since this daemon's newest read of the store failed, `None` if it did not.
#[must_use]
pub fn config_use(
    age: Option<Duration>,
    store_failure_age: Option<Duration>,
    bound: ConfigBound,
) -> ConfigUse {
    let is_recent = |age: Duration| age <= bound.max_age();
    if age.is_some_and(is_recent) {
        ConfigUse::Current
    } else if store_failure_age.is_some_and(is_recent) {
        ConfigUse::StoreUnreachable
    } else {
        ConfigUse::Stale
    }
}

impl Gateway {
    /// Returns what may depend on this daemon's configuration.
    pub(super) fn config_use(&self, now: BootTime) -> ConfigUse {
        let failure_age = self.shared.store_failure_age(now);
        let bound = self.settings().config_bound();
        config_use(self.shared.config_age(now), failure_age, bound)
    }

    /// Waits until this daemon has a configuration on which answers may depend, if that can be
    /// expected.
    pub(super) async fn wait_for_config(&self, id: &str, arrived: BootTime, timeout: Duration) {
        self.wait_for_first_config(id, arrived, timeout).await;
        self.wait_for_current_config(id, arrived, timeout).await;
    }

    /// Waits until answers may depend on the configuration, or this daemon finds out that it does
    /// not reach the store. A read of the store is under way meanwhile.
    async fn wait_for_current_config(&self, id: &str, arrived: BootTime, timeout: Duration) {
        let is_stale = || self.config_use(clock::now()) == ConfigUse::Stale;
        if !is_stale() || !self.has_memory_to_hold() {
            return;
        }
        let until = arrived + max_wait(timeout);
        let outcome = self.wait_for(until, || !is_stale()).await;
        log::info!(
            "event=config_wait request={id} outcome={outcome} config_use={} waited_ms={}",
            self.config_use(clock::now()),
            clock::millis(clock::now().saturating_sub(arrived)),
            id = shown(&id)
        );
        metrics::counter!("bluebell_gateway_config_waits", "outcome" => outcome).increment(1);
    }
}
