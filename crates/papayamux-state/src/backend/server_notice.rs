//! What a server says of itself with an answer, whatever the answer is.

use std::time::Duration;

/// A server's own word on whether it wants requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether it is leaving.
    pub leaves: bool,
    /// How long it wants nothing from the router that it says this to.
    pub rest: Option<Duration>,
}
