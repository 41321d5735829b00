//! Connections to agents.

mod agent_link;
mod agent_peer;
mod agent_updates;
mod pending_probes;
mod silence_detector;
mod stream_handle;
mod stream_recovery;
mod stream_state;

pub use agent_link::AgentLink;
pub use agent_peer::{AgentPeer, RouterIdentity};
pub use agent_updates::{AgentUpdates, RequestQuarantine};
pub use stream_handle::{StreamEvent, StreamHandle};
pub use stream_state::StreamOrigin;
