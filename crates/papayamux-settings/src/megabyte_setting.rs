//! Sizes of memory in settings.

use std::fmt;
use std::str::FromStr;

use papayamux_state::quantities::ByteCount;
use thiserror::Error;

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1_000_000.0;

/// A size of memory, written as a number of megabytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MegabyteSetting(pub ByteCount);

/// The error of parsing a [`MegabyteSetting`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a size of memory is a positive number of megabytes")]
pub struct MegabyteSettingError;

impl FromStr for MegabyteSetting {
    type Err = MegabyteSettingError;

    fn from_str(text: &str) -> Result<Self, MegabyteSettingError> {
        let megabytes = text.parse().ok().filter(|size: &f64| size.is_finite() && *size > 0.0);
        let bytes = megabytes.ok_or(MegabyteSettingError)? * MEGABYTE;
        Ok(Self(ByteCount::new(bytes as u64)))
    }
}

impl fmt::Display for MegabyteSetting {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0.get() as f64 / MEGABYTE)
    }
}
