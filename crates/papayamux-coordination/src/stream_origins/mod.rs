//! Which software version began a stream, known to any router at which its caller may resume it.
//!
//! The router that begins a stream notifies a few other routers, the owners of the stream's key by
//! rendezvous hashing. A router that is to resume a stream which it doesn't know queries the owners. A
//! stream thus costs a few small datagrams, whatever the number of routers, and survives the loss
//! of the router that began it.

mod origin_owners;
mod origin_search;
mod origin_table;
mod version_history;
mod version_rule;

pub use origin_owners::{notified_owners, queried_owners};
pub use origin_search::{OriginSearch, SearchState, QUERY_INTERVAL, SEARCH_TIMEOUT};
pub use origin_table::{KnownOrigin, OriginTable, ORIGIN_TTL};
pub use version_history::VersionHistory;
pub use version_rule::VersionRule;
