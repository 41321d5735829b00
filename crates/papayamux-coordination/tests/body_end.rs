//! What the framing and the contents of an answer show about its end.

use papayamux_coordination::body_end::{BodyEnd, ChatTail, StreamTail};
use papayamux_state::answer_framing::AnswerFraming;

const FRAMINGS: [AnswerFraming; 3] =
    [AnswerFraming::Length, AnswerFraming::Chunks, AnswerFraming::CloseDelimited];

fn stream_end(framing: AnswerFraming, has_events: bool, has_partial_event: bool) -> BodyEnd {
    let is_declared = true;
    BodyEnd::of_stream(framing, StreamTail { is_declared, has_events, has_partial_event })
}

#[test]
fn end_of_a_connection_does_not_complete_an_answer() {
    let ends = FRAMINGS.map(BodyEnd::of_body);
    assert_eq!(ends, [BodyEnd::Complete, BodyEnd::Complete, BodyEnd::Unmarked]);
    let ends = FRAMINGS.map(|framing| stream_end(framing, true, false));
    assert_eq!(ends, [BodyEnd::Complete, BodyEnd::Complete, BodyEnd::Unmarked]);
}

#[test]
fn stream_that_ends_inside_an_event_is_truncated_whatever_its_framing() {
    let ends = FRAMINGS.map(|framing| stream_end(framing, true, true));
    assert_eq!(ends, [BodyEnd::Truncated; 3]);
}

#[test]
fn answer_without_a_media_type_is_a_stream_only_if_it_holds_events() {
    let end = |framing, has_events| {
        let tail = StreamTail { is_declared: false, has_events, has_partial_event: true };
        BodyEnd::of_stream(framing, tail)
    };
    assert_eq!(
        FRAMINGS.map(|framing| end(framing, false)),
        [BodyEnd::Complete, BodyEnd::Complete, BodyEnd::Truncated]
    );
    assert_eq!(FRAMINGS.map(|framing| end(framing, true)), [BodyEnd::Truncated; 3]);
}

#[test]
fn stream_without_events_is_complete_only_if_its_framing_shows_it() {
    let ends = FRAMINGS.map(|framing| stream_end(framing, false, false));
    assert_eq!(ends, [BodyEnd::Complete, BodyEnd::Complete, BodyEnd::Truncated]);
}

#[test]
fn chat_without_its_last_event_is_complete_only_if_its_framing_shows_it() {
    let end = |framing, has_last_event, has_partial_event| {
        BodyEnd::of_chat(framing, ChatTail { has_last_event, has_partial_event })
    };
    assert_eq!(FRAMINGS.map(|framing| end(framing, true, false)), [BodyEnd::Complete; 3]);
    assert_eq!(
        FRAMINGS.map(|framing| end(framing, false, false)),
        [BodyEnd::Complete, BodyEnd::Complete, BodyEnd::Truncated]
    );
    assert_eq!(FRAMINGS.map(|framing| end(framing, false, true)), [BodyEnd::Truncated; 3]);
}
