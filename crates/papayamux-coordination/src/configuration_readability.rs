//! Tracks whether the newest configuration of the source can be read.
//!
//! A router that can't read the newest configuration keeps the one before in force, but doesn't know what it
//! changes, such as which keys it revokes. The one in force must then not be taken for the newest, neither by
//! this router nor by those that follow it.

use papayamux_state::source::SourcePosition;

/// Whether the newest configuration of the source can be read, as far as is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigurationReadability {
    /// Position up to which it is known.
    position: SourcePosition,
    is_unreadable: bool,
}

impl ConfigurationReadability {
    /// Returns whether the newest known configuration could be read.
    pub fn is_readable(&self) -> bool {
        !self.is_unreadable
    }

    /// Records whether the configuration in force at `position` can be read, as this router or another one
    /// found. Returns whether this changes what is known. A state before the known one changes nothing.
    pub fn record(&mut self, position: SourcePosition, is_readable: bool) -> bool {
        if position < self.position {
            return false;
        }
        self.position = position;
        let was_unreadable = std::mem::replace(&mut self.is_unreadable, !is_readable);
        was_unreadable == is_readable
    }
}
