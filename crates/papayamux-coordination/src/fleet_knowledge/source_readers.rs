//! Which routers read the source: what operators may choose.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Who reads the source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SourceReaders {
    /// A few routers, whom the others follow.
    #[default]
    Few,
    /// Each router by itself, also where others could tell it.
    All,
}

/// Why a text doesn't say who reads.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} are no readers; use few or all")]
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
