//! How much of an answer is delivered after the deadline of its request.
//!
//! An answer that is ready when its deadline passes is delivered, also late and to a slow caller. A server
//! that sends without end always has bytes ready, so that readiness alone would never end its answer.

use std::time::Duration;

use papayamux_state::answer_framing::AnswerFraming;
use papayamux_state::quantities::ByteCount;

/// Maximum size of what is delivered late, which is about what the buffers of a connection hold.
const MAX_LATE_BYTES: u64 = 1024 * 1024;
/// Minimum size that a piece counts for, since forwarding it takes time whatever its size.
const MIN_PIECE_BYTES: u64 = 1024;

/// What was delivered of one answer after its deadline.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LateDelivery {
    bytes: u64,
}

impl LateDelivery {
    /// Returns whether a piece of `bytes` may be delivered that is ready with `left` until the deadline,
    /// and records it if it is late. A declared length ends an answer by itself.
    pub fn allows(&mut self, bytes: ByteCount, left: Duration, framing: AnswerFraming) -> bool {
        if left > Duration::ZERO || framing == AnswerFraming::Length {
            return true;
        }
        self.bytes = self.bytes.saturating_add(bytes.get().max(MIN_PIECE_BYTES));
        self.bytes <= MAX_LATE_BYTES
    }
}
