//! Durations in settings.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use papayamux_state::durations::duration_from_millis;
use thiserror::Error;

/// A duration written in milliseconds (`250ms`), seconds (`2s`, `7.5s`) or minutes (`5m`), up to
/// [`MAX_DURATION`](papayamux_state::durations::MAX_DURATION).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DurationSetting(pub Duration);

const MILLIS_PER_SECOND: f64 = 1_000.0;
const MILLIS_PER_MINUTE: f64 = 60_000.0;

/// The error of parsing a [`DurationSetting`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a duration is a number with ms, s or m behind it, and at most a century")]
pub struct DurationSettingError;

impl FromStr for DurationSetting {
    type Err = DurationSettingError;

    fn from_str(text: &str) -> Result<Self, DurationSettingError> {
        let digits = text.trim_end_matches(|character: char| character.is_ascii_alphabetic());
        let count: f64 = digits.parse().map_err(|_| DurationSettingError)?;
        let millis = match &text[digits.len()..] {
            "ms" => count,
            "s" => count * MILLIS_PER_SECOND,
            "m" => count * MILLIS_PER_MINUTE,
            _ => return Err(DurationSettingError),
        };
        duration_from_millis(millis).map(Self).map_err(|_| DurationSettingError)
    }
}

impl fmt::Display for DurationSetting {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}ms", self.0.as_millis())
    }
}
