//! The configuration in force, which depends on the file set alone.

mod block;
mod compute;
mod configuration_in_force;
mod digest;
mod items;
mod ownership;
mod references;
mod shares;

pub use block::{BlockReason, BlockedItem, Origin};
pub use configuration_in_force::{ConfigurationInForce, FileRefusal, Generation};
pub use digest::ConfigurationDigest;
pub use items::{Declared, EngineTarget, Organisation, Route, Server, ServerTask};
