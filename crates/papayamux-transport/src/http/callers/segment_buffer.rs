//! A buffer that grows without being copied.

use bytes::{Bytes, BytesMut};
use papayamux_coordination::caller_memory::MemoryShortage;
use papayamux_state::quantities::ByteCount;

use super::caller_connection::MemoryHold;

/// Size of a body's first segment, unless its declared length is smaller.
const MIN_SEGMENT_BYTES: usize = 4 * 1024;
/// Size up to which segments grow. Memory is claimed a segment at a time, so that a declared length reserves none.
const MAX_SEGMENT_BYTES: usize = 64 * 1024;

/// Collects a body in segments. Nothing is copied when it grows, and what is received isn't kept in the buffers of
/// the HTTP library, of which a small piece would keep a whole one.
pub(in crate::http) struct SegmentBuffer {
    hold: MemoryHold,
    complete: Vec<Bytes>,
    current: BytesMut,
    length: u64,
    declared: Option<u64>,
}

impl SegmentBuffer {
    /// Creates an empty buffer for a body of the `declared` length, if it is known.
    pub(in crate::http) fn new(hold: MemoryHold, declared: Option<u64>) -> Self {
        Self { hold, complete: Vec::new(), current: BytesMut::new(), length: 0, declared }
    }

    /// Returns the number of bytes.
    pub(in crate::http) fn len(&self) -> u64 {
        self.length
    }

    /// Appends a piece, or fails if there is no memory for it.
    pub(in crate::http) fn append(&mut self, piece: &[u8]) -> Result<(), MemoryShortage> {
        let mut left = piece;
        while !left.is_empty() {
            if self.current.len() == self.current.capacity() {
                self.begin_segment()?;
            }
            let room = (self.current.capacity() - self.current.len()).min(left.len());
            self.current.extend_from_slice(&left[..room]);
            self.length += room as u64;
            left = &left[room..];
        }
        Ok(())
    }

    fn begin_segment(&mut self) -> Result<(), MemoryShortage> {
        let grown = (2 * self.current.capacity()).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        let missing = self.declared.map_or(u64::MAX, |declared| declared - self.length);
        let size = grown.min(usize::try_from(missing).unwrap_or(usize::MAX)).max(1);
        self.hold.grow(ByteCount::new(size as u64))?;
        let full = std::mem::replace(&mut self.current, BytesMut::with_capacity(size));
        self.complete.extend((!full.is_empty()).then(|| full.freeze()));
        Ok(())
    }

    /// Returns the segments, and the hold that must outlive them.
    pub(in crate::http) fn into_parts(mut self) -> (Vec<Bytes>, MemoryHold) {
        self.complete.extend((!self.current.is_empty()).then(|| self.current.freeze()));
        (self.complete, self.hold)
    }
}
