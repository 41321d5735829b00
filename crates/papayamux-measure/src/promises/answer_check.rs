//! Compares an answer with the expected one, byte for byte.

use papayamux_standins::service::ServiceAnswer;
use papayamux_testbed::{CallerAnswer, CallerError, CallerOutcome};

use super::request_record::AnswerFlaws;

/// Returns the flaws of a chat's answer whose complete text should be `expected`.
pub fn check_chat(outcome: &CallerOutcome<CallerAnswer>, expected: &str) -> AnswerFlaws {
    match outcome {
        CallerOutcome::Answered(answer) => check_whole(&answer.text, expected),
        CallerOutcome::Broken(CallerError::Short(answer)) => {
            AnswerFlaws { short: true, ..check_part(&answer.text, expected) }
        }
        CallerOutcome::Broken(CallerError::InvalidAnswer(_)) => mixed(),
        CallerOutcome::Broken(error) => error
            .partial_answer()
            .map_or_else(AnswerFlaws::default, |answer| check_part(&answer.text, expected)),
        _ => AnswerFlaws::default(),
    }
}

/// Returns the flaws of a service's answer to a request for `path` with `body`.
pub fn check_booking(answer: Option<&ServiceAnswer>, path: &str, body: &str) -> AnswerFlaws {
    match answer {
        Some(answer) if answer.path == path && answer.body == body => AnswerFlaws::default(),
        _ => mixed(),
    }
}

fn mixed() -> AnswerFlaws {
    AnswerFlaws { mixed: true, ..AnswerFlaws::default() }
}

fn check_whole(text: &str, expected: &str) -> AnswerFlaws {
    if text == expected {
        return AnswerFlaws::default();
    }
    if expected.starts_with(text) {
        return AnswerFlaws { short: true, ..AnswerFlaws::default() };
    }
    let (text, expected) = (text.as_bytes(), expected.as_bytes());
    let same = text.iter().zip(expected).take_while(|(one, other)| one == other).count();
    let doubled = text.len().saturating_sub(expected.len());
    if same >= doubled && text[same..] == expected[same - doubled..] {
        return AnswerFlaws { doubled_bytes: doubled as u64, ..AnswerFlaws::default() };
    }
    mixed()
}

fn check_part(text: &str, expected: &str) -> AnswerFlaws {
    match expected.starts_with(text) {
        true => AnswerFlaws::default(),
        false => mixed(),
    }
}
