//! Ratios, factors and rates in settings.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// A ratio, factor or rate: a finite number that is not negative. A number that compares with nothing would
/// switch the limit off that it sets.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct FactorSetting(pub f64);

/// The error of parsing a [`FactorSetting`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a factor is a finite number of at least 0")]
pub struct FactorSettingError;

impl FromStr for FactorSetting {
    type Err = FactorSettingError;

    fn from_str(text: &str) -> Result<Self, FactorSettingError> {
        let factor = text.parse().ok().filter(|factor: &f64| factor.is_finite() && *factor >= 0.0);
        factor.map(Self).ok_or(FactorSettingError)
    }
}

impl fmt::Display for FactorSetting {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
