//! How the end of an answer's body is marked.

use std::fmt;

/// How the end of an answer's body is marked, by RFC 9112, section 6.3.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFraming {
    /// By its length; answers that never have a body count as well.
    Length,
    /// By the last chunk.
    Chunks,
    /// By the end of the connection, which looks the same whether the server has completed the
    /// answer or has crashed.
    CloseDelimited,
}

impl AnswerFraming {
    /// Returns the stable name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::CloseDelimited => "close_delimited",
        }
    }
}

/// Formats the framing as its stable name in logs and metrics.
impl fmt::Display for AnswerFraming {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}
