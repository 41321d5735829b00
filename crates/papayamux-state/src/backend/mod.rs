//! Backend servers: their entries in the list of servers and their own reports.

mod backend_server;
mod reported_queue;
mod server_catalog;
mod server_notice;
mod server_slowdown;

pub use backend_server::{BackendServer, ServerPhase};
pub use reported_queue::ReportedQueue;
pub use server_catalog::ServerCatalog;
pub use server_notice::ServerNotice;
pub use server_slowdown::{ServerSlowdown, SlowdownError};
