//! What the framing and the contents of an answer show about its end.

use papayamux_coordination::answer_end::{AnswerEnd, StreamTail};
use papayamux_state::answer_framing::AnswerFraming;

const FRAMINGS: [AnswerFraming; 3] =
    [AnswerFraming::Length, AnswerFraming::Chunks, AnswerFraming::CloseDelimited];

fn stream_end(framing: AnswerFraming, has_events: bool, has_partial_event: bool) -> AnswerEnd {
    AnswerEnd::of_stream(framing, StreamTail { has_events, has_partial_event })
}

#[test]
fn end_of_a_connection_does_not_complete_an_answer() {
    let ends = FRAMINGS.map(AnswerEnd::of_body);
    assert_eq!(ends, [AnswerEnd::Complete, AnswerEnd::Complete, AnswerEnd::Unmarked]);
    let ends = FRAMINGS.map(|framing| stream_end(framing, true, false));
    assert_eq!(ends, [AnswerEnd::Complete, AnswerEnd::Complete, AnswerEnd::Unmarked]);
}

#[test]
fn stream_that_ends_inside_an_event_is_truncated_whatever_its_framing() {
    let ends = FRAMINGS.map(|framing| stream_end(framing, true, true));
    assert_eq!(ends, [AnswerEnd::Truncated; 3]);
}

#[test]
fn stream_without_events_is_complete_only_if_its_framing_shows_it() {
    let ends = FRAMINGS.map(|framing| stream_end(framing, false, false));
    assert_eq!(ends, [AnswerEnd::Complete, AnswerEnd::Complete, AnswerEnd::Truncated]);
}
