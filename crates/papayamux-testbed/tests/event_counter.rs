//! Events are counted wherever a body is split.

use papayamux_testbed::EventCounter;

#[test]
fn event_whose_end_is_split_between_pieces_is_counted() {
    let body = b"data: one\n\ndata: two\ndata: lines\n\ndata: unfinished\n";
    for split in 0..body.len() {
        let (first, second) = body.split_at(split);
        let mut counter = EventCounter::default();
        let ended = counter.read(first) + counter.read(second);
        assert_eq!((ended, counter.events()), (2, 2), "split at {split}");
    }
}
