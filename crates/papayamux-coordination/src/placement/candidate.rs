//! What placement knows of a request and of a server.

use papayamux_state::quantities::TokenCount;

use super::ServerLoad;
use crate::server_evidence::ServerStanding;

/// A request that needs a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlacementRequest {
    /// Tokens of its prompt; zero for a request to a plain service.
    pub prompt: TokenCount,
    /// Tokens of the part by which prompts are grouped.
    pub shared: TokenCount,
}

/// A server that may get it.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCandidate {
    /// Requests and prompt tokens that all routers have there, as far as is known.
    pub load: ServerLoad,
    /// Requests that it runs at once; 0 where it isn't known.
    pub slots: u32,
    /// Tokens of the prompt that it probably holds.
    pub warm: TokenCount,
    /// The rank of the server in the group's order, 0 for its home; all routers rank alike.
    pub rank: u32,
    /// What speaks against it.
    pub standing: ServerStanding,
    /// Whether it is in the router's own failure domain.
    pub near: bool,
}
