//! Incarnations: a number for each run of a process.

use std::fmt;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use super::IdError;

const RANDOM_BITS: u32 = 20;

/// One incarnation of a process. A later incarnation of the same process has a higher number unless
/// the instance's clock steps back by more than the time between the two starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Generates the incarnation of a process that starts now, with the milliseconds of the wall
    /// clock in the high bits and random low bits.
    pub fn generate() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let millis = since_epoch.as_millis() as u64;
        let random_bits = rand::random::<u64>() >> (u64::BITS - RANDOM_BITS);
        Self((millis << RANDOM_BITS) | random_bits)
    }

    /// Returns the number as sent on the wire.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl From<u64> for Incarnation {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| IdError::Form { text: text.to_string(), form: "16 hexadecimal digits" })
    }
}
