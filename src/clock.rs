//! Reads the time since boot from a clock that also advances while the machine
//! is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the machine booted. Only times of the same machine and boot can
/// be compared.
pub type BootTime = Duration;

/// Returns the time since boot, including time for which the machine was
/// suspended.
#[must_use]
pub fn now() -> BootTime {
    read(ClockId::Boottime)
}

/// Returns the processor time that the calling thread has used.
pub(crate) fn thread_time() -> Duration {
    read(ClockId::ThreadCPUTime)
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}

/// Returns the whole milliseconds of a duration, at most [`u64::MAX`].
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
