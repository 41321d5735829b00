//! The boot clock, which also advances while the instance is suspended.

use std::time::Duration;

use nix::time::{clock_gettime, ClockId};
use papayamux_state::boot_time::BootInstant;

/// Returns the current time of the boot clock, or the maximum if the clock can't be read.
pub fn boot_now() -> BootInstant {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => BootInstant(Duration::from(time)),
        Err(error) => {
            // Every kernel of the last ten years has this clock.
            log::error!(error:% = error; "reading the boot clock failed");
            BootInstant(Duration::MAX)
        }
    }
}
