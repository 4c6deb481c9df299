//! Decides which requests a stopping process still accepts.
//!
//! Load pattern: instances are restarted one after another under full load.
//! Callers keep sending on open connections. A request is accepted only if its time
//! limit ends before the process does, since nothing else bounds the wait at a target:
//! a refusal at once, with a time to return, is better than breaking it off later.
//! What was accepted earlier and still waits gets an answer before the process exits.

use std::time::Duration;

/// Fraction of the time between SIGTERM and SIGKILL after which idle connections
/// are closed. Until then, responses carry `connection: close`, so that callers do
/// not reuse the connections.
pub const IDLE_CLOSE_FRACTION: f64 = 0.4;
/// Fraction of the time between SIGTERM and SIGKILL after which the process exits
/// even if responses are still being written, once each request has one.
pub const EXIT_FRACTION: f64 = 0.95;
/// Fraction of the time between SIGTERM and SIGKILL after which requests that have no
/// response yet are answered; the rest until the exit is for writing these answers.
pub const FINAL_ANSWER_FRACTION: f64 = 0.92;
/// Fraction of the time between SIGTERM and SIGKILL for which the final answers then wait,
/// so that answers of targets that have arrived are read before.
pub const READ_FRACTION: f64 = 0.01;

/// Returns whether a request with the given time left is certain to be answered before
/// the process exits, given that the process has been stopping for `stopping_for` and
/// is killed after `grace`.
#[must_use]
pub fn ends_before_exit(time_left: Duration, stopping_for: Duration, grace: Duration) -> bool {
    stopping_for.saturating_add(time_left) <= grace.mul_f64(FINAL_ANSWER_FRACTION)
}
