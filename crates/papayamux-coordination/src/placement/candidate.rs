//! What placement knows of a request and of a server.

use papayamux_state::quantities::TokenCount;

use super::ServerLoad;
use crate::server_evidence::ServerStanding;
use crate::server_profile::ServerSpeed;

/// A request that needs a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlacementRequest {
    /// Tokens of its prompt; zero for a request to a plain service.
    pub prompt: TokenCount,
    /// Tokens that its answer is expected to have; zero for a request to a plain service.
    pub answer: TokenCount,
    /// Tokens up to the end of the part by which prompts are grouped.
    pub shared: TokenCount,
    /// Whether no server holds the shared part, as the router that would know has said. Its home is asked
    /// then too, but nobody counts on it.
    pub nobody_holds: bool,
    /// A number from 0 up to 1 drawn for the request, for policies that draw.
    pub sample: f64,
    /// Cached tokens that one engine can hand another in a millisecond, where it can.
    pub transfer_tokens_per_ms: Option<f64>,
}

/// A server that may get it.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCandidate {
    /// Whether it takes requests. A server that is draining may still hand on what it holds.
    pub accepts: bool,
    /// Whether it serves, though it may take nothing now: it counts in the mean load.
    pub serves: bool,
    /// Requests and prompt tokens that all routers have there, as far as is known.
    pub load: ServerLoad,
    /// Requests that wait there for a slot or for memory, by its own report.
    pub waiting: u32,
    /// Requests that it runs at once; 0 where it isn't known.
    pub slots: u32,
    /// Tokens of the prompt that this router knows it to hold.
    pub warm: TokenCount,
    /// Whether its cache is nearly full.
    pub nearly_full: bool,
    /// Its place in the order of the prompt's group, 0 for the home; all routers have the same.
    pub rank: u32,
    /// The part of its answers that it fails beyond what the others fail, from 0 to 1.
    pub excess_failure_rate: f64,
    /// The chance that a message from it is held up on the way, beyond the usual.
    pub excess_delay_rate: f64,
    /// How fast it is.
    pub speed: ServerSpeed,
    /// What speaks against it.
    pub standing: ServerStanding,
    /// The usual round trip to its failure domain, in milliseconds.
    pub round_trip_ms: f64,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// The index of the server.
    pub server: usize,
    /// The index of a server from which it should take what it lacks of the prompt.
    pub fetch_from: Option<usize>,
    /// Tokens that it has to read for itself.
    pub cold: TokenCount,
    /// Tokens of the prompt that this router knows it to hold.
    pub held: TokenCount,
    /// The most tokens of the prompt that this router knows any server to hold.
    pub known: TokenCount,
    /// Whether it is the home of the prompt's group.
    pub is_home: bool,
    /// Tokens of what it needn't read that it, or where it copies from, is only believed to hold.
    pub assumed: TokenCount,
}
