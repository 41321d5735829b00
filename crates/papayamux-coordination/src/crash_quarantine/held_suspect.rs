//! The suspect for which a request is refused.

use std::time::Duration;

use papayamux_state::crash_suspect::CrashSuspect;

/// A suspect that keeps a request from being sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldSuspect {
    /// The suspect.
    pub suspect: CrashSuspect,
    /// The remaining time for which requests with it are refused.
    pub left: Duration,
}
