//! Limits on the size and duration of callers' requests.

use std::time::Duration;

use crate::quantities::ByteCount;

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub head_bytes: ByteCount,
    /// Maximum size of a request's body.
    pub body_bytes: ByteCount,
    /// The timeout for receiving a request's head.
    pub head_timeout: Duration,
    /// The timeout of a connection that is idle between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known. They are generous enough for
    /// every well-behaved caller.
    fn default() -> Self {
        Self {
            head_bytes: ByteCount::new(32 * 1024),
            body_bytes: ByteCount::new(4 * 1024 * 1024),
            head_timeout: Duration::from_secs(15),
            idle_timeout: Duration::from_secs(60),
        }
    }
}
