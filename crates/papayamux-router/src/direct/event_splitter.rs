//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event; a longer one is forwarded in pieces, and its stream can't be resumed
/// after it.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Bytes of a longer event that stay buffered, so that a blank line at its end is found even if it
/// arrives in two pieces.
const MAX_BLANK_LINE_BYTES: usize = 4;

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
}

impl EventSplitter {
    /// Adds a piece and returns the events that are complete now.
    pub fn push(&mut self, piece: &[u8]) -> Option<CompleteEvents> {
        self.buffer.extend_from_slice(piece);
        let end = match last_event_end(&self.buffer) {
            Some(end) => end,
            None if self.buffer.len() > MAX_EVENT_BYTES => self.buffer.len() - MAX_BLANK_LINE_BYTES,
            None => return None,
        };
        let bytes = self.buffer.split_to(end).freeze();
        let ids = event_ids(&bytes);
        Some(CompleteEvents { bytes, ids })
    }

    /// Takes the buffered bytes of an incomplete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Returns whether the bytes so far end inside an event.
    pub fn is_inside_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the end of the last complete event, which an empty line terminates.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while end > 0 {
        let newline = bytes[..end].iter().rposition(|byte| *byte == b'\n')?;
        let line = &bytes[..newline];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.last() == Some(&b'\n') {
            return Some(newline + 1);
        }
        end = newline;
    }
    None
}

fn event_ids(bytes: &[u8]) -> Option<(u64, u64)> {
    let mut ids = bytes.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    });
    let first: u64 = ids.next()?;
    Some((first, ids.next_back().unwrap_or(first)))
}
