//! Profiles of servers, estimated from their answers.
//!
//! Prefill rates, the rate of events and the time of plain calls differ by factors between fleets,
//! and within a fleet between servers and over time. Decisions with constants from one fleet fail
//! on another: on engines that prefilled eight times more slowly than assumed, no engine counted as
//! full, no request was refused, and a tenth of all callers ran into their deadlines.

mod estimates;
mod profile_tracker;
mod server_speed;

pub use estimates::{CallTime, LowEstimate, MedianEstimate, ShareEstimate};
pub use profile_tracker::{FirstEvent, ProfileTracker, StreamEnd};
pub use server_speed::ServerSpeed;
