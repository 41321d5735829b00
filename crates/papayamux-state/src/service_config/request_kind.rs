//! What may be repeated.

/// How often a request may run, and what its answer looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// May run more than once; the answer is one piece.
    Idempotent,
    /// May run at most once; the answer is one piece.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether a second run may continue the stream behind the last event that was passed on.
        /// A stream that can't be resumed may run at most once.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request whose outcome is unknown may be sent to another server.
    pub fn may_repeat(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream { .. })
    }
}
