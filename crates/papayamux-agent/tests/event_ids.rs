//! Events keep their bytes and get the same ids, however the stream is split into pieces.
#![allow(clippy::unwrap_used, reason = "a test, which may panic")]

use papayamux_agent::answers::{EventTagger, EventTooLong, TaggedPiece};

/// Number of inputs generated for each property, which take at least a second in a debug build.
const GENERATED_INPUT_COUNT: usize = 150_000;

const STREAM: &str =
    "data: one\n\n: a comment\n\ndata: two\ndata: lines\r\n\r\n\n\ndata: [DONE]\n\nrest";
const TAGGED: &str = "data: one\nid: engine-0/0000000000000007-9/1\n\n: a comment\n\n\
                      data: two\ndata: lines\r\nid: engine-0/0000000000000007-9/2\n\r\n\n\n\
                      data: [DONE]\nid: engine-0/0000000000000007-9/3\n\nrest";

fn tagger() -> EventTagger {
    EventTagger::new("engine-0".parse().unwrap(), "0000000000000007-9".parse().unwrap())
}

fn tag<'a>(pieces: impl Iterator<Item = &'a [u8]>) -> (Vec<u8>, u64) {
    let mut tagger = tagger();
    let mut output = Vec::new();
    for piece in pieces {
        let tagged = tagger.take(piece).unwrap();
        for end in &tagged.event_ends {
            let event = &tagged.bytes[..*end];
            assert!(event.ends_with(b"\n\n") || event.ends_with(b"\n\r\n"));
        }
        output.extend_from_slice(&tagged.bytes);
    }
    output.extend_from_slice(&tagger.rest());
    (output, tagger.numbered())
}

#[test]
fn events_with_data_get_ids_for_every_piece_size() {
    for size in 1..=STREAM.len() {
        let (output, numbered) = tag(STREAM.as_bytes().chunks(size));
        assert_eq!(String::from_utf8(output).unwrap(), TAGGED, "pieces of {size} bytes");
        assert_eq!(numbered, 3);
    }
}

#[test]
fn removing_the_id_lines_restores_the_input() {
    bolero::check!().with_iterations(GENERATED_INPUT_COUNT).with_type::<(Vec<u8>, u8)>().for_each(
        |(bytes, size)| {
            let (output, numbered) = tag(bytes.chunks(usize::from(*size).max(1)));
            let lines = output.split_inclusive(|byte| *byte == b'\n');
            let is_id = |line: &&[u8]| line.starts_with(b"id: engine-0/");
            let kept: Vec<u8> =
                lines.clone().filter(|line| !is_id(line)).flatten().copied().collect();
            assert_eq!(&kept, bytes);
            assert_eq!(lines.filter(is_id).count() as u64, numbered);
        },
    );
}

#[test]
fn a_resent_partial_event_is_numbered_once() {
    let mut tagger = tagger();
    tagger.take(b"data: one\n\ndata: tw").unwrap();
    tagger.drop_partial();
    let tagged = tagger.take(b"data: two\n\n").unwrap();
    assert_eq!(&tagged.bytes[..], b"data: two\nid: engine-0/0000000000000007-9/2\n\n");
    assert!(!tagger.is_complete());
}

/// Guards against bytes without end that are buffered, or passed on as events.
#[test]
fn too_many_bytes_without_an_event_with_data_are_an_error() {
    for noise in ["x", "\n", ":\n\n", "x\n\n", "x\n"] {
        let block = noise.repeat(16 * 1024 / noise.len());
        let mut tagger = tagger();
        let pieces = (0..1_000).take_while(|_| tagger.take(block.as_bytes()).is_ok()).count();
        assert!((64..70).contains(&pieces), "{noise:?}: {pieces} pieces");
    }
}

#[test]
fn too_many_pieces_without_an_event_with_data_are_an_error() {
    let mut tagger = tagger();
    let event = tagger.take(b"data: one\n\n");
    assert!(event.is_ok_and(|event| event.event_ends.len() == 1));
    assert!((0..16 * 1024).all(|_| tagger.take(b"x") == Ok(TaggedPiece::default())));
    assert_eq!(tagger.take(b"x"), Err(EventTooLong));
}

#[test]
fn events_with_data_may_follow_without_end() {
    let mut tagger = tagger();
    let event = format!("data: {}\n\n", "x".repeat(16 * 1024));
    assert!((0..1_000).all(|_| tagger.take(event.as_bytes()).is_ok()));
    assert_eq!(tagger.numbered(), 1_000);
}
