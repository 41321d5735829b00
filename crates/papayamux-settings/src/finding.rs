//! Findings: errors in a settings or declaration file, with their location.

use std::fmt;

use thiserror::Error;

/// An error in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The name of the file.
    pub file: String,
    /// The line number, starting at 1.
    pub line: usize,
    /// The section, and the key if the finding concerns one.
    pub place: String,
    /// The error.
    pub message: String,
    /// Advice on how to correct it; may be empty.
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

/// All findings in one or more files.
#[derive(Debug, Clone, Default, PartialEq, Eq, Error)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Returns `value` if there are no findings, or else the findings sorted by location.
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
