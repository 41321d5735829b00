//! Whether an answer whose last byte was read is complete.
//!
//! The end of a connection is no proof that an answer is complete: it looks the same after a crash of the
//! server. A stream of events shows more than its framing, since a complete one ends between two
//! events.

use papayamux_state::answer_framing::AnswerFraming;

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The answer is complete.
    Complete,
    /// The answer ended with its connection, and its contents don't show whether more was to
    /// follow.
    Unmarked,
    /// Some of the answer is missing. It must not be forwarded as complete.
    Truncated,
}

/// What was read of a stream when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamTail {
    /// `true` if the answer's media type is that of streams of events.
    pub is_declared: bool,
    /// `true` if the caller has at least one event of the stream.
    pub has_events: bool,
    /// `true` if the stream ended inside an event.
    pub has_partial_event: bool,
}

/// What was read of a chat's stream when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChatTail {
    /// `true` if the event that completes a chat was read.
    pub has_last_event: bool,
    /// `true` if the stream ended inside an event.
    pub has_partial_event: bool,
}

impl BodyEnd {
    /// Returns how an answer ended whose contents are opaque.
    pub fn of_body(framing: AnswerFraming) -> Self {
        match framing {
            AnswerFraming::Length | AnswerFraming::Chunks => Self::Complete,
            AnswerFraming::CloseDelimited => Self::Unmarked,
        }
    }

    /// Returns how a stream of events ended. An answer without a media type that holds no event is
    /// not taken for a stream.
    pub fn of_stream(framing: AnswerFraming, tail: StreamTail) -> Self {
        match Self::of_body(framing) {
            Self::Complete if !tail.is_declared && !tail.has_events => Self::Complete,
            _ if tail.has_partial_event => Self::Truncated,
            Self::Unmarked if !tail.has_events => Self::Truncated,
            end => end,
        }
    }

    /// Returns how a chat ended whose complete streams end with an event of their own.
    pub fn of_chat(framing: AnswerFraming, tail: ChatTail) -> Self {
        match Self::of_body(framing) {
            _ if tail.has_last_event => Self::Complete,
            _ if tail.has_partial_event => Self::Truncated,
            Self::Unmarked => Self::Truncated,
            end => end,
        }
    }

    /// Returns the stable name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Unmarked => "unmarked",
            Self::Truncated => "truncated",
        }
    }
}
