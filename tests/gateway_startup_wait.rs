//! Tests in virtual time how long requests wait for the first configuration of a daemon.

use std::time::Duration;

use bluebelldrift::gateway::startup_wait_end;

const STARTED: Duration = Duration::from_secs(100);

fn after(ms: u64) -> Duration {
    STARTED + Duration::from_millis(ms)
}

/// A wait that leaves a caller no time for a repeat elsewhere.
#[test]
fn a_short_deadline_is_used_up_by_the_wait() {
    let timeout = Duration::from_millis(1_200);
    let end = startup_wait_end(STARTED, after(50), timeout);
    assert_eq!(end, after(350));
}

/// Callers give up a request that is not read within a second, whatever their deadline.
#[test]
fn a_long_deadline_makes_a_request_wait_until_its_caller_gives_it_up() {
    let end = startup_wait_end(STARTED, after(50), Duration::from_secs(39));
    assert!(end < after(1_050), "{end:?}");
}

/// A daemon that cannot reach the store refuses at once, so that callers go elsewhere.
#[test]
fn requests_wait_at_a_daemon_that_cannot_reach_the_store() {
    let timeout = Duration::from_secs(6);
    assert!(startup_wait_end(STARTED, after(10_000), timeout) < after(10_000));
    assert_eq!(
        startup_wait_end(STARTED, after(2_900), timeout),
        after(3_000)
    );
}
