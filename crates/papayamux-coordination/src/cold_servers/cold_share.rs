//! How many requests this router may send a server now.

use papayamux_state::ids::ServerId;

use super::{ColdLimit, KnownRouters};

/// Requests in a second that a router which has just started sends to any one server: it may have missed that
/// the server is cold.
const UNSETTLED_SHARE: u32 = 1;

/// What is known of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdView {
    /// What it bears while it is cold.
    pub limit: ColdLimit,
    /// Whether it is cold.
    pub is_cold: bool,
    /// Requests of this router that count against its share.
    pub used: u32,
}

/// Requests that may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendQuota {
    /// As many as other bounds allow.
    Unbounded,
    /// So many.
    Bounded(u32),
}

impl SendQuota {
    /// Whether there is none.
    pub fn is_empty(self) -> bool {
        self == Self::Bounded(0)
    }

    /// `places`, or fewer where there is less room.
    pub fn limit_slots(self, slots: u32) -> u32 {
        match self {
            Self::Unbounded => slots,
            Self::Bounded(quota) => slots.min(quota),
        }
    }
}

/// The room that this router has at a server.
///
/// The load that this answers: a server, or all servers of a failure domain, start while the others are full,
/// and every router would send them all that it has. What is shared out goes to the routers in turn, those
/// first that come first in the server's own order; so the shares add up to it where all know the same routers.
pub fn send_quota(server: &ServerId, view: ColdView, known_routers: &KnownRouters) -> SendQuota {
    let share = match (view.is_cold, known_routers.is_settled()) {
        (false, true) => return SendQuota::Unbounded,
        (false, false) => UNSETTLED_SHARE,
        // Who doesn't know the others can't tell its share.
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
