//! The stored files, their encoded forms and the deltas between versions.

mod delta;
mod encoded_body;
mod file_store;
mod file_version;

pub use delta::{DeltaError, DeltaStep};
pub(crate) use encoded_body::MAX_BODY_BYTES;
pub use encoded_body::{BodyError, EncodedBody};
pub use file_store::{FileCheck, FileStore, JoinOutcome, LatestVersion};
pub use file_version::FileVersion;
