//! What a caller may send, and how long it may take.

use std::time::Duration;

use crate::quantities::ByteCount;

/// Bounds on requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: ByteCount,
    /// Bytes of a request's body.
    pub body_bytes: ByteCount,
    /// How long a request's head may take to arrive.
    pub head_within: Duration,
    /// How long a connection may stay idle between two requests.
    pub idle_within: Duration,
}

impl Default for CallerLimits {
    /// Bounds until a configuration is known: generous enough for every proper caller.
    fn default() -> Self {
        Self {
            head_bytes: ByteCount::new(32 * 1024),
            body_bytes: ByteCount::new(4 * 1024 * 1024),
            head_within: Duration::from_secs(15),
            idle_within: Duration::from_secs(60),
        }
    }
}
