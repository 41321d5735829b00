//! The processor capacity of an instance.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// The class of one whole processor core. Classes below and above it are powers of two.
const ONE_CORE_CLASS: u32 = 16;
/// The highest class.
const MAX_CLASS: u32 = 31;

/// The processor cores that a process may use, as a number above 0.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct ProcessorShare(f64);

/// The error of parsing a [`ProcessorShare`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not a number of processor cores above 0")]
pub struct ShareError {
    /// The text that was parsed.
    pub text: String,
}

impl FromStr for ProcessorShare {
    type Err = ShareError;

    fn from_str(text: &str) -> Result<Self, ShareError> {
        let share = text.parse::<f64>().ok().filter(|share| share.is_finite() && *share > 0.0);
        share.map(Self).ok_or_else(|| ShareError { text: text.to_string() })
    }
}

impl fmt::Display for ProcessorShare {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The processor share of an instance as a power of two. Instances whose shares hardly differ have the same class.
///
/// ```
/// use papayamux_state::capacity_class::{CapacityClass, ProcessorShare};
/// let class = |text: &str| CapacityClass::from(text.parse::<ProcessorShare>().unwrap());
/// assert_eq!(class("0.25"), class("0.3"));
/// assert!(class("0.25") < class("0.5"));
/// assert!(CapacityClass::UNKNOWN < class("0.0001"));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CapacityClass(u32);

impl CapacityClass {
    /// The class of an instance that doesn't report its share.
    pub const UNKNOWN: Self = Self(0);

    /// Returns the number as sent on the wire.
    pub fn get(self) -> u32 {
        self.0
    }
}

impl From<ProcessorShare> for CapacityClass {
    fn from(share: ProcessorShare) -> Self {
        let class = share.0.log2().round() + f64::from(ONE_CORE_CLASS);
        Self(class.clamp(1.0, f64::from(MAX_CLASS)) as u32)
    }
}

impl From<u32> for CapacityClass {
    fn from(number: u32) -> Self {
        Self(number.min(MAX_CLASS))
    }
}

impl fmt::Display for CapacityClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
