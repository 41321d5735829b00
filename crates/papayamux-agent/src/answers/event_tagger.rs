//! Ids on the events of a streamed answer.

use std::fmt::Write;

use bytes::{BufMut, Bytes, BytesMut};
use papayamux_protocol::event_id::EventId;
use papayamux_state::ids::{RequestId, ServerId};

/// Bytes of the longest event that gets an id; a longer one passes without.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// What the event that ends a chat ends with.
const LAST_FIELD: &[u8] = b"[DONE]\n";
/// Bytes that the number in an id line needs at most, with the line's end.
const MAX_NUMBER_BYTES: usize = 24;

/// Whole events with their ids.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaggedPiece {
    /// The bytes.
    pub bytes: Bytes,
    /// Where each numbered event ends in the bytes.
    pub event_ends: Vec<usize>,
}

/// Adds an `id` line to each event that has data. Bytes of an event that is not whole yet are
/// held back.
#[derive(Debug)]
pub struct EventTagger {
    id_prefix: String,
    number: u64,
    is_complete: bool,
    pending: Vec<u8>,
}

/// A whole event at the start of some bytes.
struct EventSpan {
    /// Where its blank line starts.
    blank: usize,
    /// Where it ends.
    end: usize,
}

impl EventTagger {
    /// A tagger for the answer to `request` by `server`.
    pub fn new(server: ServerId, request: RequestId) -> Self {
        let id = EventId { server, request, number: 0 }.to_string();
        let id_prefix = format!("id: {}", id.trim_end_matches('0'));
        Self { id_prefix, number: 0, is_complete: false, pending: Vec::new() }
    }

    /// Events numbered so far.
    pub fn numbered(&self) -> u64 {
        self.number
    }

    /// Whether the event that ends a chat has come.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Forgets what has come of an event that is not whole; the server sends it again.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Takes more of the answer and gives the events that are whole now.
    pub fn take(&mut self, bytes: &[u8]) -> TaggedPiece {
        if self.pending.is_empty() {
            return self.take_all(bytes);
        }
        let mut joined = std::mem::take(&mut self.pending);
        joined.extend_from_slice(bytes);
        self.take_all(&joined)
    }

    fn take_all(&mut self, mut bytes: &[u8]) -> TaggedPiece {
        let mut output =
            BytesMut::with_capacity(bytes.len() + self.id_prefix.len() + MAX_NUMBER_BYTES);
        let mut event_ends = Vec::new();
        while let Some(span) = first_event(bytes) {
            let (event, rest) = bytes.split_at(span.end);
            if self.write_event(event, span.blank, &mut output) {
                event_ends.push(output.len());
            }
            bytes = rest;
        }
        match bytes.len() > MAX_EVENT_BYTES {
            true => output.extend_from_slice(bytes),
            false => self.pending.extend_from_slice(bytes),
        }
        TaggedPiece { bytes: output.freeze(), event_ends }
    }

    /// What is left at the answer's end without having become a whole event.
    pub fn rest(&mut self) -> Bytes {
        std::mem::take(&mut self.pending).into()
    }

    /// Writes an event whose blank line starts at `blank`; `true` where it got a number.
    fn write_event(&mut self, event: &[u8], blank: usize, output: &mut BytesMut) -> bool {
        let (fields, blank_line) = event.split_at(blank);
        output.put_slice(fields);
        let has_data = fields.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"));
        if has_data {
            self.number += 1;
            self.is_complete |= fields.ends_with(LAST_FIELD);
            output.put_slice(self.id_prefix.as_bytes());
            // Writing into a growing buffer can't fail.
            let _ = writeln!(output, "{}", self.number);
        }
        output.put_slice(blank_line);
        has_data
    }
}

/// The first event of `bytes`, where it is whole.
fn first_event(bytes: &[u8]) -> Option<EventSpan> {
    let mut line_start = 0;
    loop {
        let length = bytes[line_start..].iter().position(|byte| *byte == b'\n')?;
        let end = line_start + length + 1;
        if matches!(&bytes[line_start..end], b"\n" | b"\r\n") {
            return Some(EventSpan { blank: line_start, end });
        }
        line_start = end;
    }
}
