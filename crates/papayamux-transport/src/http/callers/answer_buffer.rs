//! Buffers an answer, or its beginning, on the account of the caller that asked for it.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use papayamux_coordination::caller_memory::MemoryShortage;
use papayamux_state::quantities::ByteCount;

use super::caller_connection::CallerConnection;

/// A growing buffer. What it takes is released when the answer is written.
#[derive(Debug)]
pub struct AnswerBuffer {
    connection: Rc<CallerConnection>,
    bytes: BytesMut,
}

impl AnswerBuffer {
    /// Creates an empty buffer on the account of `connection`.
    pub fn new(connection: Rc<CallerConnection>) -> Self {
        Self { connection, bytes: BytesMut::new() }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends a piece, or fails if there is no memory for it.
    pub fn append(&mut self, piece: &[u8]) -> Result<(), MemoryShortage> {
        if let Some(growth) = self.growth(piece) {
            self.connection.claim_for_exchange(growth)?;
        }
        self.extend(piece);
        Ok(())
    }

    /// Appends a piece that must be kept in any case.
    pub fn append_forced(&mut self, piece: &[u8]) {
        if let Some(growth) = self.growth(piece) {
            self.connection.charge_for_exchange(growth);
        }
        self.extend(piece);
    }

    /// Returns the collected bytes.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }

    /// Returns by how much the buffer must grow for a piece; `None` if there is room.
    fn growth(&self, piece: &[u8]) -> Option<ByteCount> {
        let (needed, capacity) = (self.bytes.len() + piece.len(), self.bytes.capacity());
        (needed > capacity)
            .then(|| ByteCount::new(needed.next_power_of_two().saturating_sub(capacity) as u64))
    }

    fn extend(&mut self, piece: &[u8]) {
        let needed = self.bytes.len() + piece.len();
        if needed > self.bytes.capacity() {
            self.bytes.reserve(needed.next_power_of_two() - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
    }
}
