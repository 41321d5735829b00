//! Request ids, unique to each attempt.

use std::cell::Cell;
use std::fmt;
use std::str::FromStr;

use super::{IdError, Incarnation};

const FORM: &str = "INCARNATION-NUMBER in hexadecimal";

/// Identifies one attempt at a request by the incarnation of the router that made it and a number
/// that this incarnation increments.
///
/// ```
/// use papayamux_state::ids::RequestId;
/// let id: RequestId = "00000000000000ab-1f".parse().unwrap();
/// assert_eq!(id.to_string(), "00000000000000ab-1f");
/// assert!("ab".parse::<RequestId>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The incarnation of the router that generated the id.
    pub incarnation: Incarnation,
    /// The attempt's number within that incarnation.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{:x}", self.incarnation, self.number)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let malformed = || IdError::Form { text: text.to_string(), form: FORM };
        let (incarnation, number) = text.split_once('-').ok_or_else(malformed)?;
        let incarnation = incarnation.parse().map_err(|_| malformed())?;
        let number = u64::from_str_radix(number, 16).map_err(|_| malformed())?;
        Ok(Self { incarnation, number })
    }
}

/// Generates the request ids of one router.
#[derive(Debug)]
pub struct RequestIdSource {
    incarnation: Incarnation,
    next: Cell<u64>,
}

impl RequestIdSource {
    /// Creates a source for the given incarnation of a router.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, next: Cell::new(1) }
    }

    /// Generates a new id.
    pub fn generate(&self) -> RequestId {
        let number = self.next.get();
        self.next.set(number + 1);
        RequestId { incarnation: self.incarnation, number }
    }
}
