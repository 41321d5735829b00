//! Ids of requests that an agent has seen.

use std::collections::{BTreeSet, HashSet};

use papayamux_protocol::link::AgentClock;
use papayamux_state::ids::RequestId;

/// Ids of requests that were seen, each kept until its own deadline refuses it.
#[derive(Debug, Default)]
pub struct SeenRequests {
    ids: HashSet<RequestId>,
    expiries: BTreeSet<(AgentClock, RequestId)>,
}

impl SeenRequests {
    /// Notes `id`; `false` where it was seen before.
    pub fn record(&mut self, id: RequestId, start_before: AgentClock, now: AgentClock) -> bool {
        while let Some((expiry, expired)) = self.expiries.first().copied() {
            if expiry > now {
                break;
            }
            self.expiries.pop_first();
            self.ids.remove(&expired);
        }
        self.expiries.insert((start_before, id));
        self.ids.insert(id)
    }
}
