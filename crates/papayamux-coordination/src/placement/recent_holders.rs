//! The servers that were last given each shared part, to be announced to the other routers.
//!
//! All routers start with the same home for a part. Once a part has moved, because of load or
//! because its server departed, a router that is not notified would have it prefilled again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;
use papayamux_state::prompt::{PartId, PromptChain};
use papayamux_state::quantities::TokenCount;

/// Time after its last use during which a part is announced: a part unused for longer is soon
/// evicted from the cache.
const ANNOUNCEMENT_WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of new holders in one report. At four reports a second, a few hundred parts are
/// announced within seconds, at some 30 bytes each.
const NEW_HOLDERS_PER_REPORT: usize = 8;
/// Maximum number of holders that are announced again in one report, for lost datagrams and for
/// routers that have started since. A hundred parts are repeated within some ten seconds.
const REPEATED_HOLDERS_PER_REPORT: usize = 2;
/// Maximum number of parts kept.
const MAX_PARTS: usize = 2_048;
/// Minimum size of a part that is announced; a smaller one is prefilled within a few milliseconds.
pub(crate) const MIN_ANNOUNCED_TOKENS: u64 = 256;

/// A server that holds a shared part and everything before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderUpdate {
    /// The server that holds the part.
    pub server: ServerId,
    /// The prefixes up to the part, the longest last.
    pub prefixes: Vec<(PartId, TokenCount)>,
}

#[derive(Debug)]
struct RecentHolder {
    update: HolderUpdate,
    used: Instant,
    announced_at: Option<Instant>,
}

/// The holders of parts that this router used recently.
#[derive(Debug, Default)]
pub struct RecentHolders {
    parts: HashMap<PartId, RecentHolder>,
}

impl RecentHolders {
    /// Records that `server` was given `chain`.
    pub fn record_use(&mut self, server: &ServerId, chain: &PromptChain, now: Instant) {
        let prefixes = chain.shared_prefixes();
        let Some((part, _)) = prefixes.last().copied() else { return };
        if chain.shared_tokens().get() < MIN_ANNOUNCED_TOKENS {
            return;
        }
        if let Some(known) = self.parts.get_mut(&part) {
            known.used = now;
            if known.update.server != *server {
                known.update.server = server.clone();
                known.announced_at = None;
            }
            return;
        }
        self.make_room(now);
        let update = HolderUpdate { server: server.clone(), prefixes };
        self.parts.insert(part, RecentHolder { update, used: now, announced_at: None });
    }

    /// Removes the parts of a server that has departed or has lost its cache.
    pub fn forget_server(&mut self, server: &ServerId) {
        self.parts.retain(|_, holder| holder.update.server != *server);
    }

    /// Returns the next holders to announce: first those not yet announced, then the least recently
    /// announced.
    pub fn next_updates(&mut self, now: Instant) -> Vec<HolderUpdate> {
        let recent = |holder: &&mut RecentHolder| now - holder.used < ANNOUNCEMENT_WINDOW;
        let mut holders: Vec<_> = self.parts.values_mut().filter(recent).collect();
        holders.sort_by_key(|holder| holder.announced_at);
        let fresh = holders.iter().filter(|holder| holder.announced_at.is_none()).count();
        let count = NEW_HOLDERS_PER_REPORT.min(fresh.max(REPEATED_HOLDERS_PER_REPORT));
        let next = holders.into_iter().take(count).map(|holder| {
            holder.announced_at = Some(now);
            holder.update.clone()
        });
        next.collect()
    }

    fn make_room(&mut self, now: Instant) {
        if self.parts.len() >= MAX_PARTS {
            self.parts.retain(|_, holder| now - holder.used < ANNOUNCEMENT_WINDOW);
        }
        if self.parts.len() >= MAX_PARTS {
            self.parts.clear();
        }
    }
}
