//! What servers are like, learnt from what their answers show.
//!
//! How fast an engine reads, how often it sends events and how long a plain call takes differ between
//! fleets by factors, and within one between servers and hours. Decisions that rest on figures of one
//! fleet fail on another: where engines read eight times more slowly than was taken for granted, none
//! counted as full, nobody was turned away and a tenth of all callers died at their deadline.

mod estimates;
mod profile_tracker;
mod server_speed;

pub use estimates::{CallTime, LowEstimate, MedianEstimate, ShareEstimate};
pub use profile_tracker::{FirstEvent, ProfileTracker, StreamEnd};
pub use server_speed::ServerSpeed;
