//! The clock that goes on while the instance is suspended.

use std::time::Duration;

use nix::time::{clock_gettime, ClockId};
use papayamux_state::boot_time::BootInstant;

/// The present time on the boot clock.
pub fn boot_now() -> BootInstant {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => BootInstant(Duration::from(time)),
        Err(error) => {
            // Every kernel of the last ten years has this clock.
            log::error!(error:% = error; "the boot clock can't be read");
            BootInstant(Duration::MAX)
        }
    }
}
