//! Revisions, shares, rates, priorities and the load bound.

use std::fmt;
use std::str::FromStr;

use super::ValueError;

/// A file's revision: the service counts it up at each change of the file.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FileRevision(u64);

impl FileRevision {
    /// The bare number.
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

/// Reads `12.5` as 12,500: a decimal number in thousandths, with at most three decimals.
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

/// How far a server's load may exceed the mean of its model's servers, as a multiple.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadBound(u32);

impl LoadBound {
    /// The bound of a model that declares none: 1.25 times the mean.
    pub const DEFAULT: Self = Self(1_250);
    const MIN: u32 = 1_000;
    const MAX: u32 = 100_000;

    /// The multiple in thousandths.
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
    /// All of it.
    pub const WHOLE: Self = Self(100_000);
    /// Nothing of it.
    pub const NONE: Self = Self(0);

    /// The share in thousandths of a percent, at most 100,000.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// This share of `whole`, rounded down.
    pub fn of(self, whole: Self) -> Self {
        let product = u64::from(self.0) * u64::from(whole.0);
        Self((product / u64::from(Self::WHOLE.0)) as u32)
    }

    /// One of `count` equal parts, rounded down; nothing where `count` is zero.
    pub fn part(self, count: usize) -> Self {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        Self(self.0.checked_div(count).unwrap_or(0))
    }

    /// The difference, or nothing where `other` is the greater.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The sum of `shares`, or `None` where it is more than the whole.
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

/// Requests a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Requests a second as a bare number.
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

/// How urgent work is: class 0 goes first, 9 may wait longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PriorityClass(u8);

impl PriorityClass {
    /// The class of what declares none.
    pub const DEFAULT: Self = Self(5);
    /// The class that may wait longest.
    pub const LAST: Self = Self(9);

    /// The bare number, 0 to 9.
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
