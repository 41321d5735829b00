//! The organisations' shares of the fleet and the priority limits of teams.

use std::collections::{BTreeMap, BTreeSet};

use papayamux_state::ids::OrganisationId;

use super::block::{BlockReason, BlockedItem};
use super::items::{Declared, Organisation};
use super::ownership::{Owned, OwnedItems, Ownership};
use crate::file::OrganisationDeclaration;
use crate::values::{FileName, ItemKind, PriorityClass, ShareFraction};

/// Returns the organisations in force, with their shares of the whole fleet.
///
/// The organisations of a team divide the team's share, so that no file can reduce the share of
/// another team. Granted shares are deducted first; teams without a grant divide the rest equally.
pub(super) fn resolve_organisations(
    ownership: &Ownership<'_>,
    organisations: &OwnedItems<'_, OrganisationId, OrganisationDeclaration>,
    blocked: &mut Vec<BlockedItem>,
) -> BTreeMap<OrganisationId, Declared<Organisation>> {
    let teams: BTreeSet<&FileName> =
        organisations.values().map(|organisation| organisation.file.name).collect();
    let granted = |team: &FileName| ownership.grants.get(team).and_then(|grant| grant.share);
    let shares = ownership.grants.values().filter_map(|grant| grant.share);
    let total = ShareFraction::sum(shares).unwrap_or(ShareFraction::WHOLE);
    let others = teams.iter().filter(|team| granted(team).is_none()).count();
    let part = ShareFraction::WHOLE.saturating_sub(total).part(others);
    let mut resolved = BTreeMap::new();
    for (name, item) in organisations {
        let declaration = &item.located.value;
        let team_share = granted(item.file.name).unwrap_or(part);
        let (kind, declared) = (ItemKind::Organisation, declaration.priority);
        let priority = cap_priority(ownership, item, (kind, name.as_str(), declared), blocked);
        let organisation = Organisation {
            priority,
            share: declaration.share.of(team_share),
            request_rate: declaration.request_rate,
            in_flight: declaration.in_flight,
        };
        resolved.insert((*name).clone(), Declared { origin: item.origin(), value: organisation });
    }
    resolved
}

/// Returns the declared priority class, or the most urgent one that the owners' file allows the team
/// if that is less urgent: the stricter of the two limits applies.
pub(super) fn cap_priority<V>(
    ownership: &Ownership<'_>,
    item: &Owned<'_, V>,
    (kind, name, declared): (ItemKind, &str, PriorityClass),
    blocked: &mut Vec<BlockedItem>,
) -> PriorityClass {
    let grant = ownership.grants.get(item.file.name);
    match grant.and_then(|grant| grant.first_priority) {
        Some(first) if first > declared => {
            let reason = BlockReason::PriorityCapped;
            blocked.push(item.blocked(kind, &name, Some("priority"), reason));
            first
        }
        _ => declared,
    }
}
