//! What a process that was told to stop still takes.
//!
//! Load pattern: instances are restarted in turn under full load. Callers on
//! open connections keep sending; what cannot end in time is better refused at
//! once than cut later.

use std::time::Duration;

use super::model::Tokens;

/// Part of the time between SIGTERM and SIGKILL after which connections that
/// are idle are closed; before it, callers learn from answers that they end.
pub const IDLE_CLOSE_PART: f64 = 0.4;
/// Part of that time after which the process ends in any case; the rest is for its
/// last lines of log.
pub const STOP_PART: f64 = 0.95;
/// Time for one token of a generation on an engine under load.
const TOKEN_TIME: Duration = Duration::from_millis(15);

/// How long a generation may take, from its first send to its last event.
#[must_use]
pub fn expected_time(objective: Duration, output: Tokens) -> Duration {
    let tokens = u32::try_from(output).unwrap_or(u32::MAX);
    objective.saturating_add(TOKEN_TIME.saturating_mul(tokens))
}

/// Whether a request that takes `expected` ends before the process does, which
/// was told to stop `stopping_for` ago.
#[must_use]
pub fn ends_in_time(expected: Duration, stopping_for: Duration, grace: Duration) -> bool {
    stopping_for + expected <= grace.mul_f64(STOP_PART)
}
