//! Connections to agents.

mod agent_link;
mod agent_news;
mod agent_peer;
mod pending_probes;
mod silence_count;
mod stream_handle;
mod stream_recovery;
mod stream_slot;

pub use agent_link::AgentLink;
pub use agent_news::{AgentNews, RequestQuarantine};
pub use agent_peer::{AgentPeer, RouterIdentity};
pub use stream_handle::{StreamEvent, StreamHandle};
pub use stream_slot::SlotOrigin;
