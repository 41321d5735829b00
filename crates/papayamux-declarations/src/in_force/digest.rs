//! One hash over all that is in force.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::Xxh3;

use super::configuration_in_force::ConfigurationInForce;
use crate::explain::item_lines;
use crate::values::ValueError;

/// A hash over all that is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigurationDigest(u64);

impl ConfigurationDigest {
    /// The bare number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl From<u64> for ConfigurationDigest {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for ConfigurationDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for ConfigurationDigest {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| ValueError {
            text: text.chars().take(64).collect(),
            form: "a digest: 16 hexadecimal digits",
        })
    }
}

impl ConfigurationInForce {
    /// A hash over all that is in force: equal in all processes that act alike. It covers the
    /// revisions in force and the text of each item. Refused revisions are left out: two processes
    /// act alike though only one has heard of them.
    pub fn digest(&self) -> ConfigurationDigest {
        let mut hasher = Xxh3::new();
        let mut update = |line: String| {
            hasher.update(&(line.len() as u64).to_le_bytes());
            hasher.update(line.as_bytes());
        };
        for (file, revision) in &self.files {
            update(format!("file {file} {revision}"));
        }
        item_lines(self).for_each(&mut update);
        ConfigurationDigest(hasher.digest())
    }
}
