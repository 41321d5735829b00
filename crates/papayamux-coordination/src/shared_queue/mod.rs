//! One queue for the requests of all routers while a plain service is short of slots.
//!
//! A service with fewer slots than there are routers can't be shared out by router: most routers
//! would have less than one slot. While such a service is short of slots, its requests wait in one
//! queue at one router, the owner, which knows all of them and grants each slot.

mod contention_tracker;
mod held_slots;
mod owner_link;
mod owner_ranking;
mod queue_client;
mod queue_owner;
mod queue_owners;
mod queue_shards;
mod router_tickets;
mod server_reports;
mod slot_lease;
mod slot_server;

pub use contention_tracker::ContentionTracker;
pub use owner_ranking::ranked_by_capacity;
pub use queue_client::{ClientStep, QueueClient};
pub use queue_owner::{OwnerStep, QueueOwner};
pub use queue_owners::ranked_owners;
pub use queue_shards::{pick_shard, queue_shards, QueueShard};
pub use slot_server::SlotServer;
