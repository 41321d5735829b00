//! The routers that own the shared queue of a service.

use std::net::IpAddr;

use papayamux_state::ids::ServiceId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns `routers` in the order in which they own the queue of a service, by rendezvous hashing.
/// All routers that know the same routers agree on the order; the first one that answers is the
/// owner.
pub fn ranked_owners(
    service: &ServiceId,
    routers: impl IntoIterator<Item = IpAddr>,
) -> Vec<IpAddr> {
    let seed = xxh3_64(service.as_str().as_bytes());
    let weight = |router: &IpAddr| match router {
        IpAddr::V4(address) => xxh3_64_with_seed(&address.octets(), seed),
        IpAddr::V6(address) => xxh3_64_with_seed(&address.octets(), seed),
    };
    let mut ranked: Vec<_> = routers.into_iter().collect();
    ranked.sort_unstable_by_key(|router| std::cmp::Reverse((weight(router), *router)));
    ranked
}
