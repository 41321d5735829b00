//! The start time of a server.

use std::fmt;
use std::str::FromStr;

use super::IdError;

/// The start time of a server in milliseconds since the Unix epoch, by its own clock. Of two starts
/// under one name the later one is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerStart(pub u64);

impl fmt::Display for ServerStart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for ServerStart {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let form = "milliseconds since the Unix epoch";
        text.parse().map(Self).map_err(|_| IdError::Form { text: text.to_string(), form })
    }
}
