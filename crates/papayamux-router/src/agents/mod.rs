//! Connections to agents.

mod agent_link;
mod agent_peer;
mod stream_handle;

pub use agent_peer::{AgentPeer, RouterIdentity};
pub use stream_handle::{StreamEvent, StreamHandle};
