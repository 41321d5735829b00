//! Determines how the end of an answer is marked.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::StatusCode;
use papayamux_state::answer_framing::AnswerFraming;

/// Returns the framing of the answer to a request other than `HEAD`.
pub fn answer_framing(head: &Parts) -> AnswerFraming {
    let has_no_body = head.status.is_informational()
        || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if has_no_body {
        return AnswerFraming::Length;
    }
    if let Some(encodings) = head.headers.get_all(TRANSFER_ENCODING).iter().next_back() {
        let last = encodings.as_bytes().rsplit(|byte| *byte == b',').next();
        let is_chunked =
            last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"));
        return if is_chunked { AnswerFraming::Chunks } else { AnswerFraming::CloseDelimited };
    }
    match head.headers.contains_key(CONTENT_LENGTH) {
        true => AnswerFraming::Length,
        false => AnswerFraming::CloseDelimited,
    }
}
