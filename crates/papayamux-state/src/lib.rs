//! Identifiers, quantities and in-memory state of papayamux processes.
//!
//! Nothing here touches a socket or a clock: callers hand in the time.

pub mod address_range;
pub mod answer_framing;
pub mod backend;
pub mod boot_time;
pub mod cache_index;
pub mod capacity_class;
pub mod chat_key;
pub mod claims;
pub mod crash_record;
pub mod crash_suspect;
pub mod durations;
pub mod evacuation;
pub mod hash_ring;
pub mod ids;
pub mod load;
pub mod load_table;
pub mod moved_chats;
pub mod placement;
pub mod prompt;
pub mod quantities;
pub mod refusal;
pub mod request_fingerprint;
pub mod service_config;
pub mod shared_queue;
pub mod source;
pub mod stream_origin;
pub mod text_newtype;
pub mod weights;
