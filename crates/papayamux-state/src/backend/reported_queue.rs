//! The state of a server's queue as the server reports it.

use super::ServerSlowdown;

/// The number of requests at a server, from all routers, as it reported with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedQueue {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued for a slot.
    pub waiting: u32,
    /// The maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// How much other work on its machine slows the server down, if it reports that.
    pub slowdown: Option<ServerSlowdown>,
}
