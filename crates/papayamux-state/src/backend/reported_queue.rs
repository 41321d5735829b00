//! What a server says of its queue.

/// Requests at a server, from all routers, as it said with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedQueue {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}
