//! Decisions: where to ask, whether to accept, what may be repeated.
//!
//! Everything here is called from one thread and is given the time by its caller.

pub mod admission;
pub mod admission_ticket;
pub mod claims;
pub mod fair_queue;
pub mod load_bound;
pub mod orders;
pub mod prefill_backlog;
pub mod retry_budget;
pub mod route_cost;
mod seen_requests;
pub mod server_evidence;
