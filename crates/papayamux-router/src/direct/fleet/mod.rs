//! The router's view of the configuration, the servers and the other routers, and the decisions
//! based on it.

mod choice;
mod cold_starts;
mod configuration_freshness;
mod crash_records;
mod evacuations;
mod fleet_state;
mod known_servers;
mod part_inquiries;
mod part_prefills;
mod queued_requests;
mod requests;
mod retry_benefit;
mod server_checks;
mod server_notices;
mod server_slowdowns;
mod shared_queue_rounds;
mod shared_queues;
mod shared_slot;
mod source_knowledge;
mod stream_origins;
mod view_adoption;

pub use choice::{ChosenServer, ServerFilter};
pub(in crate::direct) use crash_records::{CrashUpdate, SentSuspect};
pub use fleet_state::Fleet;
pub(in crate::direct) use part_inquiries::PartInquiry;
pub(in crate::direct) use part_prefills::{OwnPrefill, PrefillUpdate};
pub(in crate::direct) use queued_requests::SlotRefusal;
pub(in crate::direct) use requests::EndedRequest;
pub(in crate::direct) use shared_queue_rounds::{KnownOwners, QueueMessage, QueueRound};
pub(in crate::direct) use shared_slot::{OwnerKnowledge, SharedSlot};
pub(in crate::direct) use stream_origins::OriginInquiry;
