//! Counts server-sent events in a body that arrives in pieces.

/// Counts the blank lines that end server-sent events, wherever the pieces of the body are split.
#[derive(Debug, Clone, Default)]
pub struct EventCounter {
    events: usize,
    ends_with_line: bool,
}

impl EventCounter {
    /// Reads the next piece of the body. Returns the number of events that ended in it.
    pub fn read(&mut self, piece: &[u8]) -> usize {
        let before = self.events;
        for byte in piece {
            let is_line_end = *byte == b'\n';
            self.events += usize::from(is_line_end && self.ends_with_line);
            self.ends_with_line = is_line_end;
        }
        self.events - before
    }

    /// Returns the number of events that have ended.
    pub fn events(&self) -> usize {
        self.events
    }
}
