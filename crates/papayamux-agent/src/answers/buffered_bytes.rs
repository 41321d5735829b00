//! The buffered part of an answer's body.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;

/// Bytes that a piece needs beyond its content: its entry in the queue and its allocation.
const PIECE_OVERHEAD_BYTES: u64 = 2 * size_of::<BufferedPiece>() as u64;
/// Bytes that the end offset of an event needs.
const EVENT_OVERHEAD_BYTES: u64 = size_of::<u64>() as u64;

/// A piece of the body and the offset at which it starts.
#[derive(Debug)]
struct BufferedPiece {
    start: u64,
    bytes: Bytes,
}

impl BufferedPiece {
    fn length(&self) -> u64 {
        self.bytes.len() as u64
    }

    fn end(&self) -> u64 {
        self.start + self.length()
    }
}

/// A contiguous part of a body with the end offsets of its numbered events.
#[derive(Debug, Default)]
pub struct BufferedBytes {
    pieces: VecDeque<BufferedPiece>,
    event_ends: VecDeque<u64>,
    events_before: u64,
    start: u64,
    end: u64,
    total: Rc<Cell<u64>>,
}

impl BufferedBytes {
    /// Creates an empty buffer whose size is added to `total`.
    pub fn new(total: Rc<Cell<u64>>) -> Self {
        Self {
            pieces: VecDeque::new(),
            event_ends: VecDeque::new(),
            events_before: 0,
            start: 0,
            end: 0,
            total,
        }
    }

    /// Returns the offset at which the buffered part starts.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Returns the length of the body so far.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Appends `bytes`. The offsets in `event_ends` are relative to the start of `bytes`.
    pub fn append(&mut self, bytes: Bytes, event_ends: &[usize]) {
        let base = self.end;
        self.event_ends.extend(event_ends.iter().map(|end| base + *end as u64));
        self.end += bytes.len() as u64;
        self.count(
            bytes.len() as u64
                + PIECE_OVERHEAD_BYTES
                + event_ends.len() as u64 * EVENT_OVERHEAD_BYTES,
        );
        self.pieces.push_back(BufferedPiece { start: base, bytes });
    }

    /// Advances by `length` bytes without buffering them, as if they were appended and released.
    pub fn skip(&mut self, length: u64) {
        self.release_to(self.end);
        self.start += length;
        self.end += length;
    }

    /// Releases all pieces that end at or before `offset`.
    pub fn release_to(&mut self, offset: u64) {
        while self.pieces.front().is_some_and(|piece| piece.end() <= offset) {
            if let Some(piece) = self.pieces.pop_front() {
                self.start = piece.end();
                self.uncount(piece.length() + PIECE_OVERHEAD_BYTES);
            }
        }
        while self.event_ends.front().is_some_and(|end| *end < self.start) {
            self.event_ends.pop_front();
            self.events_before += 1;
            self.uncount(EVENT_OVERHEAD_BYTES);
        }
    }

    /// Returns the offset at which the event after number `event` starts, if it is still buffered.
    pub fn after_event(&self, event: u64) -> Option<u64> {
        if event == 0 {
            return (self.start == 0).then_some(0);
        }
        let index = event.checked_sub(self.events_before + 1)?;
        self.event_ends.get(usize::try_from(index).ok()?).copied()
    }

    /// Returns at most `longest` bytes of the piece that contains `offset`, starting there.
    pub fn piece_at(&self, offset: u64, longest: usize) -> Option<Bytes> {
        let index = self.pieces.partition_point(|piece| piece.end() <= offset);
        let piece = self.pieces.get(index)?;
        let rest = piece.bytes.slice(offset.checked_sub(piece.start)? as usize..);
        Some(rest.slice(..rest.len().min(longest)))
    }

    fn count(&self, length: u64) {
        self.total.set(self.total.get() + length);
    }

    fn uncount(&self, length: u64) {
        self.total.set(self.total.get().saturating_sub(length));
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        let held: u64 = self.pieces.iter().map(|piece| piece.length() + PIECE_OVERHEAD_BYTES).sum();
        self.uncount(held + self.event_ends.len() as u64 * EVENT_OVERHEAD_BYTES);
    }
}
