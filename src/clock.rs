//! Time since boot, on a clock that also counts a suspended machine.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the machine booted. Comparable only within one machine.
pub type BootTime = Duration;

/// Reads the boot-time clock, which goes on while the machine is suspended.
#[must_use]
pub fn now() -> BootTime {
    read(ClockId::Boottime)
}

/// Processor time that the calling thread has used.
pub(crate) fn thread_time() -> Duration {
    read(ClockId::ThreadCPUTime)
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}

/// Whole milliseconds of a duration, saturating.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
