//! What is in force: a function of a file set alone.

mod block;
mod claims;
mod compute;
mod digest;
mod items;
mod references;
mod shares;
mod summary;

pub use block::{BlockReason, BlockedItem, Origin};
pub use digest::ConfigurationDigest;
pub use items::{Declared, EngineTarget, Organisation, Route, Server, ServerTask};
pub use summary::{FileRefusal, Generation, InForce};
