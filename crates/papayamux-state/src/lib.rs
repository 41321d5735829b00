//! Identifiers, quantities and in-memory state of papayamux processes.
//!
//! Nothing here touches a socket or a clock: callers hand in the time.

pub mod address_range;
pub mod chat_key;
pub mod claims;
pub mod ids;
pub mod placement;
pub mod quantities;
pub mod refusal;
