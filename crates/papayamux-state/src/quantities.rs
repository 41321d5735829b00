//! Quantities, each with a type of its own.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;

use thiserror::Error;

/// The error of parsing a quantity.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not a quantity of the form {form}")]
pub struct QuantityError {
    /// The text that was parsed.
    pub text: String,
    /// The expected form.
    pub form: &'static str,
}

macro_rules! count {
    ($(#[$doc:meta])* $name:ident, $form:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u64);

        impl $name {
            /// Creates a quantity of `count`.
            pub const fn new(count: u64) -> Self {
                Self(count)
            }

            /// Returns the quantity as a number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the difference, or zero if `other` is greater.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;
            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sub for $name {
            type Output = Self;
            fn sub(self, other: Self) -> Self {
                self.saturating_sub(other)
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(parts: I) -> Self {
                parts.fold(Self(0), Add::add)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = QuantityError;
            fn from_str(text: &str) -> Result<Self, QuantityError> {
                text.parse()
                    .map(Self)
                    .map_err(|_| QuantityError { text: text.to_string(), form: $form })
            }
        }
    };
}

count!(
    /// A number of bytes.
    ByteCount,
    "a whole number of bytes"
);
count!(
    /// A number of tokens.
    TokenCount,
    "a whole number of tokens"
);
count!(
    /// A number of requests.
    RequestCount,
    "a whole number of requests"
);
