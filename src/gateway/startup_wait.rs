//! Lets requests wait for the first configuration of a daemon that has just started.
//!
//! Load pattern: all daemons lose power and return at once. Callers connect as soon as the ports
//! are open, some hundred milliseconds before the daemons have their configuration, and those
//! whose repeats are refused as well are never served.

use std::time::Duration;

use super::Gateway;
use crate::{
    clock::{self, BootTime},
    log::shown,
};

/// Time after the start for which the first configuration is expected any moment. A daemon
/// without one after that cannot reach the store or another daemon.
const STARTUP: Duration = Duration::from_secs(3);
/// Longest wait of a request. Callers give up a request that is not read within a second.
const MAX_WAIT: Duration = Duration::from_millis(800);
/// Part of the caller's time that a request may wait. Callers wait a third of their time at
/// most before they come back, so a repeat elsewhere is still possible after it.
const WAIT_FRACTION: f64 = 0.25;
/// Interval at which waiting requests look whether the configuration is confirmed, which wakes
/// none of them.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns until when a request that arrived at `arrived` waits for the first configuration of
/// a process that started at `started`, if its caller waits for `timeout`.
#[must_use]
pub fn startup_wait_end(started: BootTime, arrived: BootTime, timeout: Duration) -> BootTime {
    (arrived + max_wait(timeout)).min(started + STARTUP)
}

/// Returns how long a request whose caller waits for `timeout` may wait for the configuration.
pub(super) fn max_wait(timeout: Duration) -> Duration {
    timeout.mul_f64(WAIT_FRACTION).min(MAX_WAIT)
}

impl Gateway {
    /// Waits until this daemon has its first configuration, if it has just started. Does nothing
    /// once it has one, or while requests take most of their memory.
    pub(super) async fn wait_for_first_config(
        &self,
        id: &str,
        arrived: BootTime,
        timeout: Duration,
    ) {
        if self.has_first_config() || !self.has_memory_to_hold() {
            return;
        }
        let until = startup_wait_end(self.started_at, arrived, timeout);
        let outcome = self.wait_for(until, || self.has_first_config()).await;
        let waited = clock::now().saturating_sub(arrived);
        log::info!(
            "event=startup_wait request={id} outcome={outcome} waited_ms={}",
            clock::millis(waited),
            id = shown(&id)
        );
        metrics::counter!("bluebell_gateway_startup_waits", "outcome" => outcome).increment(1);
    }

    /// Waits until a condition on the configuration holds. Returns the outcome for logs.
    pub(super) async fn wait_for(
        &self,
        until: BootTime,
        is_met: impl Fn() -> bool,
    ) -> &'static str {
        loop {
            let changed = self.shared.changed();
            let left = until.saturating_sub(clock::now());
            if is_met() {
                return "config";
            }
            if self.shared.is_stopping() {
                return "stopping";
            }
            if left.is_zero() {
                return "timeout";
            }
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep(left.min(POLL_INTERVAL)) => {}
            }
        }
    }

    fn has_first_config(&self) -> bool {
        let is_confirmed = self.shared.config_age(clock::now()).is_some();
        is_confirmed && self.shared.fleet().active_config().is_some()
    }
}
