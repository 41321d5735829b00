//! Inputs and result of a placement decision.

use papayamux_state::quantities::TokenCount;

use super::ServerLoad;
use crate::server_evidence::ServerStanding;
use crate::server_profile::ServerSpeed;

/// A request to be placed on a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlacementRequest {
    /// Number of prompt tokens; zero for a request to a plain service.
    pub prompt: TokenCount,
    /// Expected number of answer tokens; zero for a request to a plain service.
    pub answer: TokenCount,
    /// Number of tokens up to the end of the part by which prompts are grouped.
    pub shared: TokenCount,
    /// `true` if the router that owns the shared part reported that no server holds it. The home is
    /// still preferred then, but its cache is not assumed to hold the part.
    pub nobody_holds: bool,
    /// Random number in `[0, 1)`, for policies that choose at random.
    pub sample: f64,
    /// Cached tokens that an engine can transfer to another one per millisecond; `None` if engines
    /// can't copy from one another.
    pub transfer_tokens_per_ms: Option<f64>,
}

/// A server that a request may be placed on.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCandidate {
    /// `true` if it accepts requests. A draining server does not, but can still serve as a source
    /// of copies.
    pub accepts: bool,
    /// `true` if it is in service and counts in the mean load, even if it accepts no requests at
    /// the moment.
    pub serves: bool,
    /// Known load that all routers together have placed on it.
    pub load: ServerLoad,
    /// Number of requests that wait at the server for a slot or for memory, as it last reported.
    pub waiting: u32,
    /// Number of requests that it runs at once; 0 if unknown.
    pub slots: u32,
    /// Number of prompt tokens that this router knows the server to hold in its cache.
    pub warm: TokenCount,
    /// `true` if its cache is nearly full.
    pub nearly_full: bool,
    /// Its rank in the order of servers for the prompt's group, 0 for the home; the same on all
    /// routers.
    pub rank: u32,
    /// Fraction of its answers that fail beyond the failure rate of the other servers, from 0 to 1.
    pub excess_failure_rate: f64,
    /// Probability that a message from it is delayed by its link, beyond the usual rate.
    pub excess_delay_rate: f64,
    /// Its estimated speed.
    pub speed: ServerSpeed,
    /// Its standing by failure evidence.
    pub standing: ServerStanding,
    /// Usual round-trip time to its failure domain, in milliseconds.
    pub round_trip_ms: f64,
}

/// The result of a placement decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Index of the chosen server.
    pub server: usize,
    /// Index of the server to copy the missing part of the prompt from.
    pub fetch_from: Option<usize>,
    /// Number of prompt tokens that the chosen server has to prefill itself.
    pub cold: TokenCount,
    /// Number of prompt tokens that this router knows the chosen server to hold.
    pub held: TokenCount,
    /// Maximum number of prompt tokens that this router knows any server to hold.
    pub known: TokenCount,
    /// `true` if the chosen server is the home of the prompt's group.
    pub is_home: bool,
    /// Number of prompt tokens counted as cached that the chosen server, or the source of the copy,
    /// is only assumed to hold.
    pub assumed: TokenCount,
}
