//! The slowdown of a server by other work on its machine.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Slowdown of a machine that does no other work.
const NONE_PERCENT: u32 = 100;
/// Minimum that is plausible: a machine that is twice as fast as usual.
const MIN_PERCENT: u32 = 50;
/// Maximum that is plausible. A server that is slower still is found by its silence.
const MAX_PERCENT: u32 = 2_000;

/// How long work takes on a server's machine at the moment, relative to how long the same work
/// usually takes there: 100 % is as usual, and 250 % is two and a half times as long.
///
/// ```
/// use papayamux_state::backend::ServerSlowdown;
/// let slowdown: ServerSlowdown = "250".parse().unwrap();
/// assert_eq!(slowdown.factor(), 2.5);
/// assert_eq!(slowdown.to_string(), "250");
/// assert!("0".parse::<ServerSlowdown>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerSlowdown(u32);

/// The error of parsing a [`ServerSlowdown`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not a percentage from {MIN_PERCENT} to {MAX_PERCENT}")]
pub struct SlowdownError {
    /// The text that was parsed.
    pub text: String,
}

impl ServerSlowdown {
    /// Creates a slowdown of `percent`; `None` if it is implausible.
    pub fn from_percent(percent: u32) -> Option<Self> {
        (MIN_PERCENT..=MAX_PERCENT).contains(&percent).then_some(Self(percent))
    }

    /// Returns the slowdown in per cent.
    pub fn percent(self) -> u32 {
        self.0
    }

    /// Returns the factor by which work takes longer than usual.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / f64::from(NONE_PERCENT)
    }
}

impl Default for ServerSlowdown {
    fn default() -> Self {
        Self(NONE_PERCENT)
    }
}

impl fmt::Display for ServerSlowdown {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for ServerSlowdown {
    type Err = SlowdownError;

    fn from_str(text: &str) -> Result<Self, SlowdownError> {
        let error = || SlowdownError { text: text.to_string() };
        let percent = text.parse().map_err(|_| error())?;
        Self::from_percent(percent).ok_or_else(error)
    }
}
