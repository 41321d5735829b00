//! The notice about itself that a server sends with any of its answers.

use std::time::Duration;

/// A server's report of whether it accepts further requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether the server is draining.
    pub is_draining: bool,
    /// The back-off that the server requests: the time for which the router that receives the
    /// notice sends it nothing.
    pub backoff: Option<Duration>,
}
