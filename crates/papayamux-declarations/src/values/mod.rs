//! The values that declarations are made of, each a type of its own.

mod item_kind;
mod names;
mod quantities;

pub use item_kind::ItemKind;
pub use names::{FileName, MethodName, PathPrefix, VersionName, WeightsName};
pub use quantities::{FileRevision, LoadBound, PriorityClass, RequestRate, ShareFraction};

use thiserror::Error;

/// Why a text is not a value of a declaration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not {form}")]
pub struct ValueError {
    /// The text as given, shortened.
    pub text: String,
    /// What was expected.
    pub form: &'static str,
}

/// Characters of a wrong value that an error repeats.
const MAX_QUOTED_CHARS: usize = 64;

impl ValueError {
    fn new(text: &str, form: &'static str) -> Self {
        Self { text: text.chars().take(MAX_QUOTED_CHARS).collect(), form }
    }
}
