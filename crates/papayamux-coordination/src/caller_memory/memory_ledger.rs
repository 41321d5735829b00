//! The account of what all callers hold.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::quantities::ByteCount;
use thiserror::Error;

use super::holder::{Holder, HolderId, HolderStage};
use super::memory_limits::{MemoryLimits, SMALL_HOLDER_BYTES};

/// Time that the caller of a new connection has for its first head before its connection may be closed for
/// another: some round trips.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(250);

/// The error of a claim that can't be met, not even by evictions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("callers hold {held} bytes, and {claimed} more are not to be had")]
pub struct MemoryShortage {
    /// Sum over all holders.
    pub held: ByteCount,
    /// Size of the claim.
    pub claimed: ByteCount,
}

/// Tracks what each connection holds, and chooses whom to evict when more is claimed than is left.
///
/// Load patterns that it answers:
///
/// - Many bodies that stop short of their end: a stalled holder yields to any claim, so that they keep nobody out.
/// - Many bodies that arrive at a usual pace: a small claim evicts the largest of them, and a large claim is
///   refused. Otherwise newcomers would evict bodies that are nearly complete, and none would ever be.
/// - Many complete requests: they can't yield, so that only small holders may use the last part of the limit.
/// - Many connections without a request: see [`MemoryLedger::longest_unserved`].
#[derive(Debug)]
pub struct MemoryLedger {
    limits: MemoryLimits,
    holders: HashMap<HolderId, Holder>,
    held: ByteCount,
    served: usize,
    next_id: u64,
}

impl MemoryLedger {
    /// Creates a ledger without holders.
    pub fn new(limits: MemoryLimits) -> Self {
        let (holders, held) = (HashMap::new(), ByteCount::default());
        Self { limits, holders, held, served: 0, next_id: 0 }
    }

    /// Returns the limits.
    pub fn limits(&self) -> MemoryLimits {
        self.limits
    }

    /// Returns the sum over all holders.
    pub fn held(&self) -> ByteCount {
        self.held
    }

    /// Returns the number of holders.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether there is no holder.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Adds a holder that holds nothing.
    pub fn open(&mut self, now: Instant) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        self.holders.insert(id, Holder::new(now));
        id
    }

    /// Removes a holder with all that it holds.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held = self.held - holder.held;
            self.served -= usize::from(holder.is_served);
        }
    }

    /// Records that a holder does something else from now on.
    pub fn set_stage(&mut self, id: HolderId, stage: HolderStage, now: Instant) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.set_stage(stage, now);
        if stage == HolderStage::Unread {
            self.served -= usize::from(std::mem::take(&mut holder.is_served));
        }
    }

    /// Records that the caller has accepted the whole answer to one of its requests.
    pub fn record_served(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            self.served += usize::from(!std::mem::replace(&mut holder.is_served, true));
        }
    }

    /// Records that the caller has sent or read some bytes.
    pub fn record_bytes(&mut self, id: HolderId, bytes: ByteCount, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.record_bytes(bytes.get(), now);
        }
    }

    /// Returns the number of connections of callers that have accepted an answer, and read on if there is another.
    pub fn served_count(&self) -> usize {
        self.served
    }

    /// Charges a holder with bytes that it must have in any case.
    pub fn charge(&mut self, id: HolderId, bytes: ByteCount) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        if !holder.is_evicted {
            holder.held += bytes;
            self.held += bytes;
        }
    }

    /// Takes bytes off a holder's account.
    pub fn release(&mut self, id: HolderId, bytes: ByteCount) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let released = bytes.min(holder.held);
        holder.held = holder.held - released;
        self.held = self.held - released;
    }

    /// Claims further bytes for a holder. Returns the holders to evict, whose bytes count as free from now on.
    pub fn claim(
        &mut self,
        id: HolderId,
        bytes: ByteCount,
        now: Instant,
    ) -> Result<Vec<HolderId>, MemoryShortage> {
        let shortage = MemoryShortage { held: self.held, claimed: bytes };
        let Some(holder) = self.holders.get(&id).filter(|holder| !holder.is_evicted) else {
            return Err(shortage);
        };
        let is_small = holder.held + bytes <= SMALL_HOLDER_BYTES;
        let limit = if is_small { self.limits.total } else { self.limits.large };
        let excess = (self.held + bytes).saturating_sub(limit);
        let evicted = match excess.get() {
            0 => Vec::new(),
            _ => self.choose_evicted(id, excess, is_small, now).ok_or(shortage)?,
        };
        for id in &evicted {
            self.evict(*id);
        }
        self.charge(id, bytes);
        Ok(evicted)
    }

    /// Returns holders that together hold `excess` bytes and yield to a claim of `claimant`; `None` if there are
    /// too few.
    fn choose_evicted(
        &self,
        claimant: HolderId,
        excess: ByteCount,
        is_small: bool,
        now: Instant,
    ) -> Option<Vec<HolderId>> {
        let others = self.holders.iter().filter(|(id, holder)| {
            **id != claimant && holder.may_yield() && holder.held > ByteCount::default()
        });
        let yielding = others.filter_map(|(id, holder)| {
            let rank = yield_rank(holder, is_small, now)?;
            Some((rank, Reverse(holder.held), *id))
        });
        let mut yielding: Vec<_> = yielding.collect();
        yielding.sort_unstable();
        let mut freed = ByteCount::default();
        let mut evicted = Vec::new();
        for (_, Reverse(held), id) in yielding {
            if freed >= excess {
                break;
            }
            freed += held;
            evicted.push(id);
        }
        (freed >= excess).then_some(evicted)
    }

    /// Removes what a holder holds from the account. Its connection is about to be closed.
    pub fn evict(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_evicted = true;
            self.held = self.held - std::mem::take(&mut holder.held);
        }
    }

    /// Returns the connection to close when connections become scarce: of those whose callers have accepted no
    /// answer, the one that has waited for longest without a complete head.
    pub fn longest_unserved(&self, now: Instant) -> Option<HolderId> {
        self.longest_idle(now, |holder| {
            let is_unserved = holder.stage == HolderStage::Waiting && !holder.is_served;
            is_unserved && holder.idle_time(now) >= FIRST_REQUEST_TIME
        })
    }

    /// Returns the connection to close when all are taken: one that is stalled. A kept one is closed only if all
    /// others have requests under way, as any other would stall or complete its request soon.
    pub fn longest_stalled(&self, now: Instant) -> Option<HolderId> {
        let has_other =
            || self.holders.values().any(|holder| holder.may_yield() && !holder.is_kept());
        self.longest_unserved(now)
            .or_else(|| {
                self.longest_idle(now, |holder| !holder.is_kept() && holder.is_stalled(now))
            })
            .or_else(|| match has_other() {
                true => None,
                false => self.longest_idle(now, |holder| holder.is_stalled(now)),
            })
    }

    fn longest_idle(&self, now: Instant, is_chosen: impl Fn(&Holder) -> bool) -> Option<HolderId> {
        let chosen =
            self.holders.iter().filter(|(_, holder)| holder.may_yield() && is_chosen(holder));
        let longest = chosen.max_by_key(|(id, holder)| (holder.idle_time(now), Reverse(**id)));
        longest.map(|(id, _)| *id)
    }
}

/// Returns the place of a holder among those that yield, the first yielding first; `None` if it doesn't.
fn yield_rank(holder: &Holder, is_small_claim: bool, now: Instant) -> Option<u8> {
    match (holder.is_stalled(now), holder.is_kept()) {
        (true, false) => Some(0),
        (false, false) if is_small_claim && !holder.is_small() => Some(1),
        (true, true) if is_small_claim => Some(2),
        _ => None,
    }
}
