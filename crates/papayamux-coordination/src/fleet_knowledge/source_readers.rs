//! Setting for the routers that read the source.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// The routers that read the source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SourceReaders {
    /// A few routers; the others follow them.
    #[default]
    Few,
    /// Every router reads the source itself and follows no other.
    All,
}

/// The error of parsing a [`SourceReaders`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown source readers {0:?}; use few or all")]
pub struct ReadersError(String);

impl fmt::Display for SourceReaders {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SourceReaders::Few => "few",
            SourceReaders::All => "all",
        })
    }
}

impl FromStr for SourceReaders {
    type Err = ReadersError;

    fn from_str(text: &str) -> Result<Self, ReadersError> {
        let known = [SourceReaders::Few, SourceReaders::All];
        let known = known.into_iter().find(|readers| readers.to_string() == text);
        known.ok_or_else(|| ReadersError(text.to_string()))
    }
}
