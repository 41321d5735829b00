//! The value types of declarations.

mod item_kind;
mod names;
mod quantities;

pub use item_kind::ItemKind;
pub use names::{DeclaredName, FileName, MethodName, PathPrefix, VersionName, WeightsName};
pub use quantities::{FileRevision, LoadBound, PriorityClass, RequestRate, ShareFraction};

use thiserror::Error;

/// The error of parsing a value of a declaration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not {form}")]
pub struct ValueError {
    /// The input text, truncated.
    pub text: String,
    /// A description of the expected form.
    pub form: &'static str,
}

/// Maximum number of characters of an invalid value that an error quotes.
const MAX_QUOTED_CHARS: usize = 64;

impl ValueError {
    fn new(text: &str, form: &'static str) -> Self {
        Self { text: text.chars().take(MAX_QUOTED_CHARS).collect(), form }
    }
}
