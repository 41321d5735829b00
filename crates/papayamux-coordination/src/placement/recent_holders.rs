//! Which server was last given which shared part, to be told to the other routers.
//!
//! All routers begin with the same home for a part. Where a part has moved since, because of load
//! or because its server left, a router that doesn't know would have it read once more.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;
use papayamux_state::prompt::{PartId, PromptChain};
use papayamux_state::quantities::TokenCount;

/// Time after its last use for which a part is told of: what is not used for longer is soon
/// replaced in the cache.
const ANNOUNCEMENT_WINDOW: Duration = Duration::from_secs(10);
/// New holders that one report tells of. At four reports a second a few hundred parts are told within
/// some seconds, in some 30 bytes each.
const NEW_HOLDERS_PER_REPORT: usize = 8;
/// Holders that were told before and are told again, for datagrams that were lost and for routers that
/// have started since: a hundred parts in some ten seconds.
const REPEATED_HOLDERS_PER_REPORT: usize = 2;
/// Parts kept.
const MAX_PARTS: usize = 2_048;
/// Tokens below which a part is not worth telling: reading it takes a few milliseconds.
pub(crate) const MIN_ANNOUNCED_TOKENS: u64 = 256;

/// A server that holds a shared part with all that comes before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderUpdate {
    /// The server.
    pub server: ServerId,
    /// The prefixes, the longest last.
    pub prefixes: Vec<(PartId, TokenCount)>,
}

#[derive(Debug)]
struct RecentHolder {
    update: HolderUpdate,
    used: Instant,
    announced_at: Option<Instant>,
}

/// The holders of parts that this router used lately.
#[derive(Debug, Default)]
pub struct RecentHolders {
    parts: HashMap<PartId, RecentHolder>,
}

impl RecentHolders {
    /// Notes that `server` was given `chain`.
    pub fn note_use(&mut self, server: &ServerId, chain: &PromptChain, now: Instant) {
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

    /// Forgets what a server held that is gone or holds nothing any more.
    pub fn forget_server(&mut self, server: &ServerId) {
        self.parts.retain(|_, holder| holder.update.server != *server);
    }

    /// What to tell next: what is new first, then what was told longest ago.
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
