//! A digest of the configuration in force.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::Xxh3;

use super::configuration_in_force::ConfigurationInForce;
use crate::explain::item_lines;
use crate::values::ValueError;

/// A hash over the configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigurationDigest(u64);

impl ConfigurationDigest {
    /// Returns the number.
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
    /// Returns a hash over the revisions in force and the text of each item, equal in all processes
    /// that behave the same. It excludes refused revisions: they don't change the behaviour of a
    /// process that has received them.
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
