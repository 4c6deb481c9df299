//! Decides which requests a stopping process still accepts.
//!
//! Load pattern: instances are restarted one after another under full load.
//! Callers keep sending on open connections. A request that cannot finish before
//! the process ends is refused at once, which is better than breaking it off
//! later.

use std::time::Duration;

use super::model::Tokens;

/// Fraction of the time between SIGTERM and SIGKILL after which idle connections
/// are closed. Until then, responses carry `connection: close`, so that callers do
/// not reuse the connections.
pub const IDLE_CLOSE_FRACTION: f64 = 0.4;
/// Fraction of the time between SIGTERM and SIGKILL after which the process exits
/// in any case; the rest is for writing its last log lines.
pub const EXIT_FRACTION: f64 = 0.95;
/// Time per output token of a generation on an engine under load.
const TIME_PER_TOKEN: Duration = Duration::from_millis(15);

/// Returns the expected duration of a generation, from its first send to its last
/// event.
#[must_use]
pub fn expected_duration(objective: Duration, output: Tokens) -> Duration {
    let tokens = u32::try_from(output).unwrap_or(u32::MAX);
    objective.saturating_add(TIME_PER_TOKEN.saturating_mul(tokens))
}

/// Returns whether a request that takes `expected` finishes before the process
/// exits, given that the process has been stopping for `stopping_for` and is
/// killed after `grace`.
#[must_use]
pub fn finishes_before_exit(expected: Duration, stopping_for: Duration, grace: Duration) -> bool {
    stopping_for + expected <= grace.mul_f64(EXIT_FRACTION)
}
