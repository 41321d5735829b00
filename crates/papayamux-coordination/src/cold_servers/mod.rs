//! Rate limits for servers that have started recently and bear only a few requests a second.
//!
//! To each router, a server that has just started looks like the least loaded one. The limit
//! applies to the requests of all routers together, which can't coordinate before each request.
//! Each router therefore gets a share of it, and all routers that know the same routers agree on
//! the shares.

mod cold_limit;
mod cold_share;
mod cold_tracker;
mod known_routers;

pub use cold_limit::{ColdAllowance, ColdLimit};
pub use cold_share::{send_quota, ColdView, SendQuota};
pub use cold_tracker::{ColdSummary, ColdTracker};
pub use known_routers::KnownRouters;
