//! The number of requests that this router may currently send to a server.

use papayamux_state::ids::ServerId;

use super::{ColdLimit, KnownRouters};

/// Requests per second that a newly started router sends to any one server, since it may not know
/// yet that the server is cold.
const UNSETTLED_SHARE: u32 = 1;

/// What this router knows about a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdView {
    /// Limit while the server is cold.
    pub limit: ColdLimit,
    /// `true` if the server is cold.
    pub is_cold: bool,
    /// Number of requests that count against this router's share.
    pub used: u32,
}

/// Number of requests that may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendQuota {
    /// No limit besides those that apply to any server.
    Unbounded,
    /// At most this many.
    Bounded(u32),
}

impl SendQuota {
    /// Returns whether no request may be sent.
    pub fn is_empty(self) -> bool {
        self == Self::Bounded(0)
    }

    /// Returns `slots`, capped by the quota.
    pub fn limit_slots(self, slots: u32) -> u32 {
        match self {
            Self::Unbounded => slots,
            Self::Bounded(quota) => slots.min(quota),
        }
    }
}

/// Returns the quota of this router at a server.
///
/// It limits the load on a server, or on all servers of a failure domain, that start while the
/// others are full: otherwise every router would send them all of its requests. The requests of the
/// limit are dealt out one by one to the routers in the server's own order of routers, so that the
/// shares of all routers that know the same routers add up to the limit.
pub fn send_quota(server: &ServerId, view: ColdView, known_routers: &KnownRouters) -> SendQuota {
    let share = match (view.is_cold, known_routers.is_settled()) {
        (false, true) => return SendQuota::Unbounded,
        (false, false) => UNSETTLED_SHARE,
        // A router that doesn't know the others can't determine its share.
        (true, false) => 0,
        (true, true) => own_share(server, view.limit, known_routers),
    };
    SendQuota::Bounded(share.saturating_sub(view.used))
}

fn own_share(server: &ServerId, limit: ColdLimit, known_routers: &KnownRouters) -> u32 {
    let (shared_out, routers) = (limit.shared_out(), known_routers.count().max(1));
    let (each, rest) = (shared_out / routers, shared_out % routers);
    match rest {
        0 => each,
        _ => each + u32::from(known_routers.max_rank_for(server) < rest),
    }
}
