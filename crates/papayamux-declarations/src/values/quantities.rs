//! Revisions, shares, rates, priorities and the load bound.

use std::fmt;
use std::str::FromStr;

use super::ValueError;

/// The revision number of a file, which the configuration service increments with each change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FileRevision(u64);

impl FileRevision {
    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl From<u64> for FileRevision {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for FileRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for FileRevision {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        text.parse().map(Self).map_err(|_| ValueError::new(text, "a revision: a whole number"))
    }
}

/// Parses a decimal number with at most three decimals into thousandths: `12.5` gives 12,500.
fn thousandths(text: &str) -> Option<u32> {
    let (whole, decimals) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |part: &str| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
    if !digits(whole) || !digits(decimals) || decimals.len() > 3 {
        return None;
    }
    let decimals: u32 = format!("{decimals:0<3}").parse().ok()?;
    whole.parse::<u32>().ok()?.checked_mul(1_000)?.checked_add(decimals)
}

fn write_thousandths(formatter: &mut fmt::Formatter<'_>, value: u32) -> fmt::Result {
    let text = format!("{}.{:03}", value / 1_000, value % 1_000);
    formatter.write_str(text.trim_end_matches('0').trim_end_matches('.'))
}

/// The maximum load of a server, as a multiple of the mean load of its model's servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadBound(u32);

impl LoadBound {
    /// The bound of a model that declares none, 1.25 times the mean.
    pub const DEFAULT: Self = Self(1_250);
    const MIN: u32 = 1_000;
    const MAX: u32 = 100_000;

    /// Returns the multiple in thousandths.
    pub const fn thousandths(self) -> u32 {
        self.0
    }
}

impl fmt::Display for LoadBound {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_thousandths(formatter, self.0)
    }
}

impl FromStr for LoadBound {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        thousandths(text)
            .filter(|value| (Self::MIN..=Self::MAX).contains(value))
            .map(Self)
            .ok_or_else(|| ValueError::new(text, "a load bound from 1 to 100, such as 1.25"))
    }
}

/// A share, in thousandths of a percent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShareFraction(u32);

impl ShareFraction {
    /// 100%.
    pub const WHOLE: Self = Self(100_000);
    /// 0%.
    pub const NONE: Self = Self(0);

    /// Returns the share in thousandths of a percent, at most 100,000.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns this share of `whole`, rounded down.
    pub fn of(self, whole: Self) -> Self {
        let product = u64::from(self.0) * u64::from(whole.0);
        Self((product / u64::from(Self::WHOLE.0)) as u32)
    }

    /// Divides the share into `count` equal parts and returns one, rounded down; 0% if `count` is 0.
    pub fn part(self, count: usize) -> Self {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        Self(self.0.checked_div(count).unwrap_or(0))
    }

    /// Returns the difference, or 0% if `other` is greater.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the sum of `shares`, or `None` if it exceeds 100%.
    pub fn sum(shares: impl Iterator<Item = Self>) -> Option<Self> {
        let total: u64 = shares.map(|share| u64::from(share.0)).sum();
        u32::try_from(total).ok().map(Self).filter(|total| *total <= Self::WHOLE)
    }
}

impl fmt::Display for ShareFraction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_thousandths(formatter, self.0)?;
        formatter.write_str("%")
    }
}

impl FromStr for ShareFraction {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        text.strip_suffix('%')
            .and_then(thousandths)
            .map(Self)
            .filter(|share| *share <= Self::WHOLE)
            .ok_or_else(|| ValueError::new(text, "a share from 0% to 100%, such as 12.5%"))
    }
}

/// A request rate in requests per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Returns the requests per second.
    pub const fn per_second(self) -> u32 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let number = text.strip_suffix("/s").and_then(|number| number.parse().ok());
        number.map(Self).ok_or_else(|| ValueError::new(text, "a rate such as 50/s"))
    }
}

/// A priority class: 0 is the most urgent, 9 may wait longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PriorityClass(u8);

impl PriorityClass {
    /// The class of an item that declares none.
    pub const DEFAULT: Self = Self(5);
    /// The class that may wait longest.
    pub const LAST: Self = Self(9);

    /// Returns the number, 0 to 9.
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for PriorityClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for PriorityClass {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        text.parse()
            .ok()
            .map(Self)
            .filter(|class| *class <= Self::LAST)
            .ok_or_else(|| ValueError::new(text, "a priority class from 0 (first) to 9 (may wait)"))
    }
}
