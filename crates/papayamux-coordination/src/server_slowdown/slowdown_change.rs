//! The begin or end of a lasting slowdown, for the log.

use papayamux_state::ids::ServerId;

/// A server that has become slow for longer, or is no longer.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowdownChange {
    /// The server.
    pub server: ServerId,
    /// The mean factor by which work takes longer there.
    pub mean_factor: f64,
    /// `true` if a lasting slowdown begins, `false` if it ends.
    pub begins: bool,
}
