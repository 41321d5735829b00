//! The clock that goes on while the instance is suspended.

use std::time::Duration;

use papayamux_state::boot_time::BootInstant;
use rustix::time::{clock_gettime, ClockId};

/// The present time on the boot clock.
pub fn boot_now() -> BootInstant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    BootInstant(Duration::new(seconds, nanos))
}
