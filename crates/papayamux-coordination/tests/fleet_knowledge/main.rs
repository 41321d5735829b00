//! A few routers read the source, the others follow them: who knows what, how soon, and how surely.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

mod confirmations;
mod evacuations;
mod fleet;
mod reader_order;
mod role_selector;
mod server_changes;
mod source_view;
