//! Identifiers of the requests that an agent has seen.

use std::collections::{BTreeSet, HashSet};

use papayamux_protocol::link::AgentClock;
use papayamux_state::ids::RequestId;

/// The identifiers of seen requests. Each is kept until the deadline of its request refuses it.
#[derive(Debug, Default)]
pub struct SeenRequests {
    ids: HashSet<RequestId>,
    expiries: BTreeSet<(AgentClock, RequestId)>,
}

impl SeenRequests {
    /// Records `id`. Returns `false` if it has been seen before.
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
