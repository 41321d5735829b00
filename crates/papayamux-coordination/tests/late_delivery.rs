//! Ready bytes are delivered after the deadline, up to a bound.

use std::time::Duration;

use papayamux_coordination::late_delivery::LateDelivery;
use papayamux_state::answer_framing::AnswerFraming;
use papayamux_state::quantities::ByteCount;

const PIECE: ByteCount = ByteCount::new(16 * 1024);
const LEFT: Duration = Duration::from_millis(1);
const ENDLESS_FRAMINGS: [AnswerFraming; 2] = [AnswerFraming::Chunks, AnswerFraming::CloseDelimited];

/// Returns how many of 10,000 pieces are delivered with `left` until the deadline.
fn count_delivered(piece: ByteCount, left: Duration, framing: AnswerFraming) -> usize {
    let mut delivery = LateDelivery::default();
    (0..10_000).filter(|_| delivery.allows(piece, left, framing)).count()
}

#[test]
fn any_number_of_bytes_is_delivered_before_the_deadline() {
    for framing in ENDLESS_FRAMINGS {
        assert_eq!(count_delivered(PIECE, LEFT, framing), 10_000);
    }
}

/// Guards against an answer that was ready when its router resumed after a pause, and is dropped.
#[test]
fn ready_answer_is_delivered_late() {
    for framing in ENDLESS_FRAMINGS {
        assert_eq!(count_delivered(PIECE, Duration::ZERO, framing), 64);
        assert_eq!(count_delivered(ByteCount::new(50), Duration::ZERO, framing), 1024);
    }
}

/// Guards against a long answer to a slow caller that is cut off although it has an end.
#[test]
fn answer_with_a_declared_length_is_delivered_late() {
    assert_eq!(count_delivered(PIECE, Duration::ZERO, AnswerFraming::Length), 10_000);
}

/// Guards against an answer without end that is delivered for as long as bytes are ready.
#[test]
fn endless_answer_ends_whatever_the_size_of_its_pieces() {
    for framing in ENDLESS_FRAMINGS {
        for piece in [0, 1, 1024 * 1024, u64::MAX] {
            let delivered = count_delivered(ByteCount::new(piece), Duration::ZERO, framing);
            assert!(delivered <= 1024, "pieces of {piece} bytes: {delivered}");
        }
    }
}
