//! Distribution of the source's state in the fleet: roles of routers, delay of updates, and consistency of
//! the views.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

mod confirmations;
mod evacuations;
mod fleet;
mod lapsed_departures;
mod reader_order;
mod returning_readers;
mod role_selector;
mod server_changes;
mod simulated_source;
mod source_view;
mod view_transfer;
