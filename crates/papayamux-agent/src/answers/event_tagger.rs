//! Adds ids to the events of a streamed answer.

use std::fmt::Write;

use bytes::{BufMut, Bytes, BytesMut};
use papayamux_protocol::event_id::EventId;
use papayamux_state::ids::{RequestId, ServerId};

/// Maximum number of buffered bytes of an incomplete event. If an event exceeds it, its bytes so
/// far are passed on without an id.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// The end of the event that completes a chat.
const LAST_FIELD: &[u8] = b"[DONE]\n";
/// Maximum number of bytes that the number of an id line and its line break need.
const MAX_NUMBER_BYTES: usize = 24;

/// Complete events with their ids.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaggedPiece {
    /// The bytes of the events.
    pub bytes: Bytes,
    /// The offset in `bytes` at which each numbered event ends.
    pub event_ends: Vec<usize>,
}

/// Adds an `id` line to each event that has data. The bytes of an incomplete event are buffered.
#[derive(Debug)]
pub struct EventTagger {
    id_prefix: String,
    number: u64,
    is_complete: bool,
    /// `true` if the beginning of an event that exceeds the size limit was passed on.
    has_begun_long_event: bool,
    pending: Vec<u8>,
}

/// The span of a complete event at the start of a byte slice.
struct EventSpan {
    /// The offset at which the blank line of the event starts.
    blank: usize,
    /// The offset at which the event ends.
    end: usize,
}

impl EventTagger {
    /// Creates a tagger for the answer to `request` by `server`.
    pub fn new(server: ServerId, request: RequestId) -> Self {
        let id = EventId { server, request, number: 0 }.to_string();
        let id_prefix = format!("id: {}", id.trim_end_matches('0'));
        Self {
            id_prefix,
            number: 0,
            is_complete: false,
            has_begun_long_event: false,
            pending: Vec::new(),
        }
    }

    /// Returns the number of events that have got an id so far.
    pub fn numbered(&self) -> u64 {
        self.number
    }

    /// Returns whether the event that completes a chat has been received.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns whether the bytes so far end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.has_begun_long_event || !self.pending.is_empty()
    }

    /// Discards the bytes of an incomplete event. A resumed stream sends the event again.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Adds `bytes` of the answer and returns the events that are complete now.
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
            self.has_begun_long_event = false;
            if self.write_event(event, span.blank, &mut output) {
                event_ends.push(output.len());
            }
            bytes = rest;
        }
        match bytes.len() > MAX_EVENT_BYTES {
            true => {
                self.has_begun_long_event = true;
                output.extend_from_slice(bytes);
            }
            false => self.pending.extend_from_slice(bytes),
        }
        TaggedPiece { bytes: output.freeze(), event_ends }
    }

    /// Returns the bytes of an incomplete event that are left at the end of the answer.
    pub fn rest(&mut self) -> Bytes {
        std::mem::take(&mut self.pending).into()
    }

    /// Writes an event whose blank line starts at `blank`. Returns `true` if the event got an id.
    fn write_event(&mut self, event: &[u8], blank: usize, output: &mut BytesMut) -> bool {
        let (fields, blank_line) = event.split_at(blank);
        output.put_slice(fields);
        let has_data = fields.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"));
        if has_data {
            self.number += 1;
            self.is_complete |= fields.ends_with(LAST_FIELD);
            output.put_slice(self.id_prefix.as_bytes());
            // Writing to a growable buffer can't fail.
            let _ = writeln!(output, "{}", self.number);
        }
        output.put_slice(blank_line);
        has_data
    }
}

/// Returns the span of the first event of `bytes` if that event is complete.
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
