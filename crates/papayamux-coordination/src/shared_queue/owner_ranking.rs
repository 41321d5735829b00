//! The order of owners if routers have different processor shares.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::IpAddr;

use papayamux_state::capacity_class::CapacityClass;
use papayamux_state::ids::ServiceId;

use super::ranked_owners;

/// Returns `routers` in the order in which they own the queue of a service: those of the highest
/// capacity class first, and as [`ranked_owners`] does within a class. An owner does more work than
/// the other routers.
pub fn ranked_by_capacity(
    service: &ServiceId,
    routers: impl IntoIterator<Item = (IpAddr, CapacityClass)>,
) -> Vec<IpAddr> {
    let classes: HashMap<IpAddr, CapacityClass> = routers.into_iter().collect();
    let mut ranked = ranked_owners(service, classes.keys().copied());
    ranked.sort_by_key(|router| Reverse(classes.get(router).copied().unwrap_or_default()));
    ranked
}
