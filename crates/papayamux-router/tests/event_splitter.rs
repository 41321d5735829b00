//! Splitting of streams at event boundaries, and whether a stream ends at one.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use papayamux_router::direct::EventSplitter;

const LONG_EVENT_BYTES: usize = 1024 * 1024 + 1;

/// Feeds `pieces` to a splitter; returns what it forwards and whether it ends inside an event.
fn split(pieces: &[&[u8]]) -> (Vec<u8>, bool) {
    let mut splitter = EventSplitter::default();
    let events = pieces.iter().filter_map(|piece| splitter.push(piece));
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

#[test]
fn event_over_the_size_limit_is_forwarded_in_pieces_and_its_end_is_found() {
    let begin = [b"data: ".as_slice(), &[b'x'; LONG_EVENT_BYTES]].concat();
    let (bytes, is_inside) = split(&[&begin]);
    assert!(!bytes.is_empty() && is_inside);
    for end in [[b"\n".as_slice(), b"\n"], [b"\r\n\r", b"\n"], [b"\n\n", b""]] {
        let (bytes, is_inside) = split(&[&begin, end[0], end[1]]);
        assert_eq!(bytes.len(), begin.len() + end[0].len() + end[1].len());
        assert!(!is_inside, "{end:?}");
    }
}
