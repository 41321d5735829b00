//! A request as the queue sees it.

use papayamux_state::ids::OrganisationId;
use papayamux_state::quantities::TokenCount;

use super::CallerTime;

/// A flow: the requests that share one weight, those of an organisation with the same priority.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// The organisation; `None` for callers without a key.
    pub organisation: Option<OrganisationId>,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
}

impl FlowKey {
    /// Returns the flow's weight. Priority 1 gets half of what priority 0 gets, and priority 2 a
    /// third: urgent requests are strongly preferred, but no priority is starved while another has
    /// more than it can use.
    pub fn weight(&self) -> f64 {
        1.0 / (1.0 + f64::from(self.priority))
    }
}

/// A request that may be queued.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// The flow of the request.
    pub flow: FlowKey,
    /// The cost of the request for a server, in tokens of prefill.
    pub work: TokenCount,
    /// The time constraints of the request.
    pub time: CallerTime,
}

/// Base cost of every request, including one to a plain service: a slot and one or two decoding
/// steps.
const BASE_REQUEST_WORK: u64 = 500;

/// Returns the work of a request. `own` is the number of prompt tokens that are shared with no
/// other request; shared parts are mostly cached. `answer` is the expected number of tokens in the
/// answer, each of which costs as much as the prefill of `token_work` tokens.
pub fn request_work(own: TokenCount, answer: TokenCount, token_work: f64) -> TokenCount {
    let answering = (answer.get() as f64 * token_work) as u64;
    TokenCount::new(own.get().saturating_add(answering).saturating_add(BASE_REQUEST_WORK))
}
