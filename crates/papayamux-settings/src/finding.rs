//! What is wrong with a file, and where.

use std::fmt;

use thiserror::Error;

/// One mistake with its place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The file's name.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The section, and the key where there is one.
    pub place: String,
    /// What is wrong.
    pub message: String,
    /// What would be right.
    pub help: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { file, line, place, message, help } = self;
        write!(formatter, "{file}:{line}: {place}: {message}")?;
        if !help.is_empty() {
            write!(formatter, "\n    help: {help}")?;
        }
        Ok(())
    }
}

/// All mistakes of one or more files, in the order of their places.
#[derive(Debug, Clone, Default, PartialEq, Eq, Error)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// `value` where nothing was found, else the findings.
    pub fn or<T>(mut self, value: T) -> Result<T, Findings> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort();
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(formatter, "{finding}")?;
        }
        let count = self.0.len();
        let noun = if count == 1 { "finding" } else { "findings" };
        write!(formatter, "{count} {noun}")
    }
}
