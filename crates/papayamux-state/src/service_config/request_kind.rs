//! The kinds of requests, which determine whether a request may be retried.

/// The kind of a request: whether it may run more than once, and the form of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// May run more than once; the answer is not a stream.
    Idempotent,
    /// May run at most once; the answer is not a stream.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether a second run may continue the stream after the last event that was forwarded.
        /// A stream that can't be resumed may run at most once.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether a request whose outcome is unknown may be sent to another server.
    pub fn may_retry(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream { .. })
    }
}
