//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Maximum size of an event, with everything before it that is no event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Maximum number of pieces in which an event may arrive.
const MAX_EVENT_PIECES: usize = 16 * 1024;
/// The names of an event's fields. A line that begins with a colon is a comment.
const FIELD_NAMES: [&[u8]; 4] = [b"data", b"id", b"event", b"retry"];

/// The error of a stream whose bytes don't form events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{MAX_EVENT_BYTES} bytes or {MAX_EVENT_PIECES} pieces without an event")]
pub struct EventTooLong;

/// A sequence of complete events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events as received.
    pub bytes: Bytes,
    /// The identifiers of the first and the last event.
    pub ids: Option<(u64, u64)>,
}

/// Buffers the pieces of a stream until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Pieces since the last complete event.
    pieces: usize,
    /// Start of the first line that was not complete at the last call.
    line_start: usize,
    /// Bytes from `line_start` on that hold no line break.
    scanned: usize,
    /// `true` if the event that `line_start` is in has a field or a comment.
    has_field: bool,
}

impl EventSplitter {
    /// Adds a piece and returns the events that are complete now.
    pub fn push(&mut self, piece: &[u8]) -> Result<Option<CompleteEvents>, EventTooLong> {
        self.buffer.extend_from_slice(piece);
        self.pieces += 1;
        let Some(end) = self.last_event_end() else {
            let is_too_long = self.buffer.len() > MAX_EVENT_BYTES || self.pieces > MAX_EVENT_PIECES;
            return if is_too_long { Err(EventTooLong) } else { Ok(None) };
        };
        self.pieces = 0;
        let bytes = self.buffer.split_to(end).freeze();
        self.line_start -= end;
        let ids = event_ids(&bytes);
        Ok(Some(CompleteEvents { bytes, ids }))
    }

    /// Takes the buffered bytes after the last event.
    pub fn take_partial(&mut self) -> Bytes {
        (self.line_start, self.scanned, self.has_field) = (0, 0, false);
        self.buffer.split().freeze()
    }

    /// Returns whether the bytes so far end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line_start < self.buffer.len()
    }

    /// Scans the lines that are complete now. Returns the end of the last complete event, which an empty
    /// line terminates. Empty lines and unknown fields alone are no event.
    fn last_event_end(&mut self) -> Option<usize> {
        let mut event_end = None;
        while let Some(length) = find_line_break(&self.buffer[self.line_start + self.scanned..]) {
            let line_end = self.line_start + self.scanned + length;
            let line = &self.buffer[self.line_start..line_end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            self.line_start = line_end + 1;
            self.scanned = 0;
            if line.is_empty() && self.has_field {
                self.has_field = false;
                event_end = Some(self.line_start);
            } else if !line.is_empty() {
                self.has_field |= is_field(line);
            }
        }
        self.scanned = self.buffer.len() - self.line_start;
        event_end
    }
}

fn find_line_break(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}

fn is_field(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    FIELD_NAMES.contains(&name) || line.starts_with(b":")
}

fn event_ids(bytes: &[u8]) -> Option<(u64, u64)> {
    let mut ids = bytes.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    });
    let first: u64 = ids.next()?;
    Some((first, ids.next_back().unwrap_or(first)))
}
