//! Servers that have started lately and bear few requests a second, whoever sends them.
//!
//! To each router a server that has just started looks like the emptiest one. The bound on its requests holds
//! for the sum over all routers, which can't ask one another before each request: each router has a share of
//! it, on which all agree who know the same routers.

mod cold_limit;
mod cold_share;
mod cold_tracker;
mod known_routers;

pub use cold_limit::{ColdAllowance, ColdLimit};
pub use cold_share::{send_quota, ColdView, SendQuota};
pub use cold_tracker::{ColdSummary, ColdTracker};
pub use known_routers::KnownRouters;
