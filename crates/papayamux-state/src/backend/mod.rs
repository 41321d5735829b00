//! Backend servers as a list of servers describes them.

mod backend_server;
mod server_catalog;

pub use backend_server::{BackendServer, ServerPhase};
pub use server_catalog::ServerCatalog;
