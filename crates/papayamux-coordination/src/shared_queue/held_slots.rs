//! The slots that routers hold, as the owner of a shared queue knows them.

use std::collections::BTreeMap;
use std::time::Instant;

use papayamux_state::ids::ServerKey;

use super::router_tickets::TicketKey;

/// The held slots of each server, each with the time at which the owner granted it; `None` if it
/// has learnt of the slot from its holder.
#[derive(Debug, Default)]
pub(super) struct HeldSlots {
    servers: BTreeMap<ServerKey, BTreeMap<TicketKey, Option<Instant>>>,
}

impl HeldSlots {
    /// Adds a slot that the owner grants.
    pub(super) fn grant(&mut self, server: ServerKey, key: TicketKey, now: Instant) {
        self.servers.entry(server).or_default().insert(key, Some(now));
    }

    /// Adds a slot that a router reports as held.
    pub(super) fn learn(&mut self, server: ServerKey, key: TicketKey) {
        self.servers.entry(server).or_default().insert(key, None);
    }

    /// Frees a slot.
    pub(super) fn release(&mut self, server: ServerKey, key: TicketKey) {
        let Some(slots) = self.servers.get_mut(&server) else { return };
        slots.remove(&key);
        if slots.is_empty() {
            self.servers.remove(&server);
        }
    }

    /// Returns the number of held slots of a server.
    pub(super) fn count(&self, server: ServerKey) -> u32 {
        let count = self.servers.get(&server).map_or(0, BTreeMap::len);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the number of slots of a server that its holders have reported without a grant of
    /// this owner.
    pub(super) fn count_learnt(&self, server: ServerKey) -> u32 {
        self.count_where(server, |granted_at| granted_at.is_none())
    }

    /// Returns the number of slots of a server that were held at `at` already.
    pub(super) fn count_at(&self, server: ServerKey, at: Instant) -> u32 {
        self.count_where(server, |granted_at| granted_at.is_none_or(|granted_at| granted_at <= at))
    }

    fn count_where(&self, server: ServerKey, matches: impl Fn(Option<Instant>) -> bool) -> u32 {
        let slots = self.servers.get(&server).into_iter().flat_map(BTreeMap::values);
        let count = slots.filter(|granted_at| matches(**granted_at)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
