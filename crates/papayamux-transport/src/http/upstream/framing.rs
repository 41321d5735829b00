//! How the end of an answer's body is marked.

use std::fmt;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::StatusCode;

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
    /// Determines the framing of the answer to a request other than `HEAD`.
    pub fn of(head: &Parts) -> Self {
        let has_no_body = head.status.is_informational()
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if has_no_body {
            return Self::Length;
        }
        if let Some(encodings) = head.headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            let last = encodings.as_bytes().rsplit(|byte| *byte == b',').next();
            let is_chunked =
                last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"));
            return if is_chunked { Self::Chunks } else { Self::CloseDelimited };
        }
        match head.headers.contains_key(CONTENT_LENGTH) {
            true => Self::Length,
            false => Self::CloseDelimited,
        }
    }
}

/// Formats the framing as its stable name in logs and metrics.
impl fmt::Display for AnswerFraming {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::CloseDelimited => "close_delimited",
        })
    }
}
