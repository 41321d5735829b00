//! Splitting of streams at event boundaries, and whether a stream ends at one.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use papayamux_router::direct::{EventSplitter, EventTooLong};

const MAX_EVENT_BYTES: usize = 1024 * 1024;
const MAX_EVENT_PIECES: usize = 16 * 1024;

/// Feeds `pieces` to a splitter; returns what it forwards and whether it ends inside an event.
fn split(pieces: &[&[u8]]) -> (Vec<u8>, bool) {
    let mut splitter = EventSplitter::default();
    let events = pieces.iter().filter_map(|piece| splitter.push(piece).unwrap());
    let bytes = events.flat_map(|events| events.bytes.to_vec()).collect();
    (bytes, splitter.is_inside_event())
}

#[test]
fn stream_ends_inside_an_event_until_its_blank_line_is_complete() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
    let first_end = text.len() / 2 - 1;
    for cut in 0..=text.len() {
        let (bytes, is_inside) = split(&[&text[..cut]]);
        let complete = if cut == text.len() {
            cut
        } else if cut >= first_end {
            first_end
        } else {
            0
        };
        assert_eq!(bytes, &text[..complete], "cut at {cut}");
        assert_eq!(is_inside, cut != complete, "cut at {cut}");
    }
}

/// Guards against an event without end that is buffered or passed on.
#[test]
fn event_over_the_size_limit_is_an_error() {
    let begin = [b"data: ".as_slice(), &[b'x'; MAX_EVENT_BYTES - 6]].concat();
    assert_eq!(EventSplitter::default().push(&begin), Ok(None));
    for piece in [b"x".as_slice(), b"\n", b"\ndata: x"] {
        let mut splitter = EventSplitter::default();
        assert_eq!(splitter.push(&begin), Ok(None));
        assert_eq!(splitter.push(piece), Err(EventTooLong), "{piece:?}");
    }
    let event = [begin.as_slice(), b"\n\n"].concat();
    assert_eq!(split(&[&event]), (event.clone(), false));
    assert_eq!(split(&[&event[..begin.len()], b"\n\n"]), (event, false));
}

/// Guards against bytes that are no events but have empty lines, such as noise.
#[test]
fn bytes_without_a_field_are_no_events() {
    for noise in ["\n", "\r\n", "x\n\n", "xdata: a\n\n", "datax\r\n\r\n"] {
        let noise = noise.repeat(MAX_EVENT_BYTES / noise.len() + 1);
        let (begin, end) = noise.as_bytes().split_at(noise.len() / 2);
        let mut splitter = EventSplitter::default();
        assert_eq!(splitter.push(begin), Ok(None));
        assert_eq!(splitter.push(end), Err(EventTooLong));
    }
    for event in
        ["data\n\n", "data: a\n\n", ":\n\n", "retry: 1\n\n", "x: 1\nid: 1\n\n", "\nevent: a\n\n"]
    {
        assert_eq!(split(&[event.as_bytes()]), (event.as_bytes().to_vec(), false), "{event:?}");
    }
}

#[test]
fn empty_lines_and_unknown_fields_at_the_end_are_not_inside_an_event() {
    for end in ["\n", "\r\n", "x: 1\n\n"] {
        let text = format!("id: 1\n\n{end}");
        let (bytes, is_inside) = split(&[text.as_bytes()]);
        assert_eq!((bytes.as_slice(), is_inside), (b"id: 1\n\n".as_slice(), false), "{end:?}");
    }
    assert!(split(&[b"id: 1\n\nx"]).1);
}

/// Guards against an event that takes forever to reach the size limit, in pieces of one byte.
#[test]
fn event_in_too_many_pieces_is_an_error() {
    let mut splitter = EventSplitter::default();
    assert!((0..MAX_EVENT_PIECES - 1).all(|_| splitter.push(b"x") == Ok(None)));
    assert!(splitter.push(b"\ndata\n\n").is_ok_and(|events| events.is_some()));
    assert!((0..MAX_EVENT_PIECES).all(|_| splitter.push(b"x") == Ok(None)));
    assert_eq!(splitter.push(b"x"), Err(EventTooLong));
}
