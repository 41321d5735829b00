//! Chooses the next load of the order task and determines until when an update may be ordered.

use std::collections::BTreeMap;
use std::time::Instant;

use papayamux_coordination::orders::{
    required_servers, ChangePlan, LoadBackoff, LoadSlots, ServerTarget, ServingEvidence,
};
use papayamux_state::weights::WeightsRef;

use super::order_permit::{wall_clock, SlotUse};

/// Evidence that other servers keep serving, by the weights that this server wants to stop serving.
pub type EvidenceTable = BTreeMap<WeightsRef, Vec<ServingEvidence>>;

/// Returns the slot of the weight store that is open now, unless it has been used.
pub fn unused_slot(slots: LoadSlots, used: Option<u64>) -> Option<SlotUse> {
    let number = slots.open_slot(wall_clock())?;
    (used != Some(number)).then_some(SlotUse { slots, number })
}

/// Returns the time until which the update of `weights` may be ordered, which is as long as the
/// evidence of enough other servers is valid. Returns `None` if it may not be ordered now, and
/// `Some(None)` without a limit for a server that alone is declared to serve `weights`: its
/// engine answers with the old version until the new one is loaded.
pub fn update_deadline(
    target: &ServerTarget,
    weights: &WeightsRef,
    evidence: &EvidenceTable,
    now: Instant,
) -> Option<Option<Instant>> {
    let declared_peers = target.declared_peers(weights).count();
    if declared_peers == 0 {
        return Some(None);
    }
    let mut ends: Vec<_> = evidence.get(weights)?.iter().map(|entry| entry.until).collect();
    ends.sort_unstable_by(|left, right| right.cmp(left));
    let end = *ends.get(required_servers(declared_peers) - 1)?;
    (end > now).then_some(Some(end))
}

/// Returns the next weights to load. Missing weights come before outdated ones.
pub fn next_load(
    target: &ServerTarget,
    plan: &ChangePlan,
    backoff: &LoadBackoff,
    evidence: &EvidenceTable,
    now: Instant,
) -> Option<WeightsRef> {
    let may_try = |weights: &&WeightsRef| backoff.may_try(weights, now);
    let updatable =
        |weights: &&WeightsRef| update_deadline(target, weights, evidence, now).is_some();
    let missing = plan.missing.iter().filter(may_try);
    let outdated = plan.outdated.iter().filter(may_try).filter(updatable);
    missing.chain(outdated).next().cloned()
}
