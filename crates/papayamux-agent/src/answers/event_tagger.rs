//! Adds ids to the events of a streamed answer.

use std::fmt::Write;

use bytes::{BufMut, Bytes, BytesMut};
use papayamux_protocol::event_id::EventId;
use papayamux_state::ids::{RequestId, ServerId};
use thiserror::Error;

/// Maximum number of bytes from one event with data to the next.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Maximum number of pieces from one event with data to the next.
const MAX_EVENT_PIECES: usize = 16 * 1024;
/// The end of the event that completes a chat.
const LAST_FIELD: &[u8] = b"[DONE]\n";
/// Maximum number of bytes that the number of an id line and its line break need.
const MAX_NUMBER_BYTES: usize = 24;

/// The error of a stream whose bytes don't form events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{MAX_EVENT_BYTES} bytes or {MAX_EVENT_PIECES} pieces without an event")]
pub struct EventTooLong;

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
    /// Bytes of the incomplete event.
    pending: BytesMut,
    /// Start in `pending` of the line that is not complete.
    line_start: usize,
    /// Bytes from `line_start` on that hold no line break.
    scanned: usize,
    /// Bytes since the last event with data.
    bytes_without_data: usize,
    /// Pieces since the last event with data.
    pieces_without_data: usize,
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
            pending: BytesMut::new(),
            line_start: 0,
            scanned: 0,
            bytes_without_data: 0,
            pieces_without_data: 0,
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
        !self.pending.is_empty()
    }

    /// Discards the bytes of an incomplete event. A resumed stream sends the event again.
    pub fn drop_partial(&mut self) {
        self.rest();
    }

    /// Adds `bytes` of the answer and returns the events that are complete now.
    pub fn take(&mut self, bytes: &[u8]) -> Result<TaggedPiece, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        self.bytes_without_data += bytes.len();
        self.pieces_without_data += 1;
        let mut output =
            BytesMut::with_capacity(bytes.len() + self.id_prefix.len() + MAX_NUMBER_BYTES);
        let mut event_ends = Vec::new();
        while let Some((event, blank)) = self.next_event() {
            if self.write_event(&event, blank, &mut output) {
                event_ends.push(output.len());
                (self.bytes_without_data, self.pieces_without_data) = (self.pending.len(), 0);
            }
        }
        let is_too_long = self.bytes_without_data > MAX_EVENT_BYTES
            || self.pieces_without_data > MAX_EVENT_PIECES;
        match is_too_long {
            true => Err(EventTooLong),
            false => Ok(TaggedPiece { bytes: output.freeze(), event_ends }),
        }
    }

    /// Takes the first event if it is complete, with the offset at which its blank line starts.
    fn next_event(&mut self) -> Option<(BytesMut, usize)> {
        loop {
            let unscanned = self.line_start + self.scanned;
            let line_break = self.pending[unscanned..].iter().position(|byte| *byte == b'\n');
            let Some(length) = line_break else {
                self.scanned = self.pending.len() - self.line_start;
                return None;
            };
            let (blank, end) = (self.line_start, unscanned + length + 1);
            self.scanned = 0;
            if matches!(&self.pending[blank..end], b"\n" | b"\r\n") {
                self.line_start = 0;
                return Some((self.pending.split_to(end), blank));
            }
            self.line_start = end;
        }
    }

    /// Returns the bytes of an incomplete event that are left at the end of the answer.
    pub fn rest(&mut self) -> Bytes {
        (self.line_start, self.scanned) = (0, 0);
        self.pending.split().freeze()
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
