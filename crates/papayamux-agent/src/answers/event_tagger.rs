//! Ids on the events of a streamed answer.

use bytes::{BufMut, Bytes, BytesMut};
use papayamux_protocol::event_id::EventId;
use papayamux_state::ids::{RequestId, ServerId};

/// Bytes of the longest event that gets an id; a longer one passes without.
const LONGEST_EVENT: usize = 1024 * 1024;
/// What the event that ends a chat ends with.
const LAST_FIELD: &[u8] = b"[DONE]\n";
/// Bytes that an id line adds at most, beside the server's name.
const ID_LINE: usize = 64;

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
    server: ServerId,
    request: RequestId,
    number: u64,
    is_complete: bool,
    pending: BytesMut,
    line_start: usize,
    scanned: usize,
}

impl EventTagger {
    /// A tagger for the answer to `request` by `server`.
    pub fn new(server: ServerId, request: RequestId) -> Self {
        let pending = BytesMut::new();
        let (number, is_complete) = (0, false);
        Self { server, request, number, is_complete, pending, line_start: 0, scanned: 0 }
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
        (self.line_start, self.scanned) = (0, 0);
    }

    /// Takes more of the answer and gives the events that are whole now.
    pub fn take(&mut self, bytes: &[u8]) -> TaggedPiece {
        self.pending.extend_from_slice(bytes);
        let mut output = BytesMut::with_capacity(self.pending.len() + ID_LINE);
        let mut event_ends = Vec::new();
        while let Some(newline) = self.next_newline() {
            let line = &self.pending[self.line_start..newline];
            let is_blank = line.is_empty() || line == b"\r";
            self.scanned = newline + 1;
            if !is_blank {
                self.line_start = self.scanned;
                continue;
            }
            let event = self.pending.split_to(self.scanned);
            if self.write_event(&event, self.line_start, &mut output) {
                event_ends.push(output.len());
            }
            (self.line_start, self.scanned) = (0, 0);
        }
        self.scanned = self.pending.len();
        if self.pending.len() > LONGEST_EVENT {
            output.extend_from_slice(&self.rest());
        }
        TaggedPiece { bytes: output.freeze(), event_ends }
    }

    /// What is left at the answer's end without having become a whole event.
    pub fn rest(&mut self) -> Bytes {
        (self.line_start, self.scanned) = (0, 0);
        self.pending.split().freeze()
    }

    fn next_newline(&self) -> Option<usize> {
        let rest = &self.pending[self.scanned..];
        rest.iter().position(|byte| *byte == b'\n').map(|position| self.scanned + position)
    }

    /// Writes an event whose blank line starts at `blank`; `true` where it got a number.
    fn write_event(&mut self, event: &[u8], blank: usize, output: &mut BytesMut) -> bool {
        let (fields, blank_line) = event.split_at(blank);
        output.put_slice(fields);
        let has_data = fields.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"));
        if has_data {
            self.number += 1;
            self.is_complete |= fields.ends_with(LAST_FIELD);
            let (server, request) = (self.server.clone(), self.request);
            let id = EventId { server, request, number: self.number };
            output.put_slice(format!("id: {id}\n").as_bytes());
        }
        output.put_slice(blank_line);
        has_data
    }
}
