//! Decisions: where to ask, whether to accept, what may be repeated.
//!
//! Everything here is called from one thread and is given the time by its caller.

pub mod admission;
pub mod claims;
