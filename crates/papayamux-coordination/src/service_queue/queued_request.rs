//! What the line knows of a request.

use papayamux_state::ids::OrganisationId;
use papayamux_state::quantities::TokenCount;

use super::CallerTime;

/// Requests that share one weight: those of an organisation with the same rank.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// The organisation; none for callers without a key.
    pub organisation: Option<OrganisationId>,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
}

impl FlowKey {
    /// The flow's weight. Rank 1 gets half of what rank 0 gets, rank 2 a third: urgent requests go
    /// first by far, and no rank is starved while another one has more than it can use.
    pub fn weight(&self) -> f64 {
        1.0 / (1.0 + f64::from(self.priority))
    }
}

/// A request that may have to wait.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// Whose it is.
    pub flow: FlowKey,
    /// What it costs a server, in prompt tokens read.
    pub work: TokenCount,
    /// When it came, and how much time it has.
    pub time: CallerTime,
}

/// What every request costs, of a plain service too: a place, and a step or two.
const BASE_REQUEST_WORK: u64 = 500;

/// The work of a request: `own` tokens of its prompt are shared with nobody, and its answer is
/// expected to have `answer` tokens, each of which costs as much as reading `token_work`. Shared parts
/// are mostly cached.
pub fn request_work(own: TokenCount, answer: TokenCount, token_work: f64) -> TokenCount {
    let answering = (answer.get() as f64 * token_work) as u64;
    TokenCount::new(own.get().saturating_add(answering).saturating_add(BASE_REQUEST_WORK))
}
