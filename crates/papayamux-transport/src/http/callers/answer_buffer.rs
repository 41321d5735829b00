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
    usual_limit: usize,
    declared: usize,
}

impl AnswerBuffer {
    /// Creates an empty buffer on the account of `connection`. It begins with the `declared` size of the answer, if
    /// there is one, doubles as it grows, up to `usual_limit`, and is as large as needed beyond that.
    pub fn new(
        connection: Rc<CallerConnection>,
        usual_limit: usize,
        declared: Option<ByteCount>,
    ) -> Self {
        let declared = declared.map_or(0, |declared| declared.get());
        let declared = usize::try_from(declared).unwrap_or(usize::MAX);
        Self { connection, bytes: BytesMut::new(), usual_limit, declared }
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
        (needed > capacity).then(|| ByteCount::new((self.grown(needed) - capacity) as u64))
    }

    /// Returns the capacity of a buffer that needs more than it has.
    fn grown(&self, needed: usize) -> usize {
        let usual = match self.declared {
            0 => needed.next_power_of_two(),
            declared => declared,
        };
        usual.min(self.usual_limit).max(needed)
    }

    fn extend(&mut self, piece: &[u8]) {
        let needed = self.bytes.len() + piece.len();
        if needed > self.bytes.capacity() {
            self.bytes.reserve(self.grown(needed) - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
    }
}
