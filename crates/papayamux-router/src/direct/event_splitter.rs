//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Bytes of the longest event; a longer one is passed on in pieces and can't be resumed behind.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A run of whole events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The events as they arrived.
    pub bytes: Bytes,
    /// The identifiers of the first and of the last of them.
    pub ids: Option<(u64, u64)>,
}

/// Collects pieces of a stream until whole events are there.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds a piece; returns the whole events that are there now.
    pub fn push(&mut self, piece: &[u8]) -> Option<CompleteEvents> {
        self.buffer.extend_from_slice(piece);
        let end = match last_event_end(&self.buffer) {
            Some(end) => end,
            None if self.buffer.len() > MAX_EVENT_BYTES => self.buffer.len(),
            None => return None,
        };
        let bytes = self.buffer.split_to(end).freeze();
        let ids = event_ids(&bytes);
        Some(CompleteEvents { bytes, ids })
    }

    /// What is left of an event that is not whole.
    pub fn remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Where the last whole event ends: behind an empty line.
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
