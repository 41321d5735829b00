//! The servers whose slots the owner of a shared queue grants.

use std::time::Duration;

use papayamux_state::durations::saturating_secs;
use papayamux_state::ids::ServerKey;

/// Number of slots for each of which one request more is granted than there are slots, so that a
/// server isn't idle while a release and the next grant travel. Travelling takes a fraction of a
/// call, and a request waits at the server for at most this fraction of a call.
const SLOTS_PER_EXTRA_GRANT: u32 = 3;

/// A server of the service, as the owner knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotServer {
    /// The server.
    pub key: ServerKey,
    /// The number of requests that it runs concurrently; 0 if unknown, which counts as unlimited.
    pub slots: u32,
    /// The time that a call usually takes there.
    pub call_time: Duration,
    /// The factor by which calls take longer than usual at the moment.
    pub slowdown: f64,
    /// Whether requests may be sent there.
    pub is_usable: bool,
}

impl SlotServer {
    /// Returns the maximum number of requests that are granted at the server at once.
    pub fn grant_limit(&self) -> u32 {
        match self.slots {
            0 => u32::MAX,
            slots => slots.saturating_add(self.extra_grants()),
        }
    }

    /// Returns the number of grants beyond the slots.
    pub(super) fn extra_grants(&self) -> u32 {
        match self.slots {
            0 => 0,
            slots => slots.div_ceil(SLOTS_PER_EXTRA_GRANT),
        }
    }

    /// Returns how many of the grants are left to other owners if this one has `share` of the demand.
    pub(super) fn left_to_others(&self, share: f64) -> u32 {
        if self.slots == 0 {
            return 0;
        }
        let limit = self.grant_limit();
        let own = (f64::from(limit) * share).ceil() as u32;
        limit.saturating_sub(own)
    }

    /// Returns the time that a call takes at the moment.
    pub(super) fn current_call_time(&self) -> Duration {
        let factor = if self.slowdown.is_finite() { self.slowdown.max(0.0) } else { 1.0 };
        saturating_secs(self.call_time.as_secs_f64() * factor)
    }

    /// Returns the number of further requests that are granted while `taken` are there.
    pub(super) fn free_grants(&self, taken: u32) -> u32 {
        match self.is_usable {
            true => self.grant_limit().saturating_sub(taken),
            false => 0,
        }
    }

    /// Returns the time until one more request is done while `taken` are there, in milliseconds,
    /// and the requests per slot.
    fn completion_order(&self, taken: u32) -> (f64, f64) {
        let per_slot = match self.slots {
            0 => 0.0,
            slots => f64::from(taken.saturating_add(1)) / f64::from(slots),
        };
        let call_ms = self.current_call_time().as_secs_f64() * 1_000.0;
        (call_ms * per_slot.max(1.0), per_slot)
    }
}

/// Returns the index of the server that will be done first with one more request, given how many
/// requests are at each; `None` if all are full.
pub(super) fn earliest_server(servers: &[SlotServer], taken: &[u32]) -> Option<usize> {
    let open = servers.iter().zip(taken).enumerate();
    let open = open.filter(|(_, (server, taken))| server.free_grants(**taken) > 0);
    let ordered = open.map(|(index, (server, taken))| (index, server.completion_order(*taken)));
    let first = ordered.min_by(|(left_index, left), (right_index, right)| {
        let by_time = left.0.total_cmp(&right.0).then(left.1.total_cmp(&right.1));
        by_time.then_with(|| servers[*left_index].key.cmp(&servers[*right_index].key))
    });
    first.map(|(index, _)| index)
}
