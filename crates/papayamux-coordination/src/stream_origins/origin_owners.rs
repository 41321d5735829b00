//! The routers that know where a stream began.

use std::net::IpAddr;

use papayamux_state::stream_origin::StreamKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of owners that are notified of a stream. If a third of the routers restart at once, one
/// stream in 27 loses all of them.
const NOTIFIED_OWNERS: usize = 3;
/// Number of owners that are queried: more than are notified, because the router that began the
/// stream may rank among them, and routers differ for a while in which others they know.
const QUERIED_OWNERS: usize = 5;

/// Returns the routers to notify of the origin of a stream, among the `others` that a router knows.
pub fn notified_owners(key: StreamKey, others: &[IpAddr]) -> Vec<IpAddr> {
    first_by_rank(key, others, NOTIFIED_OWNERS)
}

/// Returns the routers to query for the origin of a stream, among the `others` that a router knows.
pub fn queried_owners(key: StreamKey, others: &[IpAddr]) -> Vec<IpAddr> {
    first_by_rank(key, others, QUERIED_OWNERS)
}

fn first_by_rank(key: StreamKey, routers: &[IpAddr], count: usize) -> Vec<IpAddr> {
    let weight = |router: &IpAddr| match router {
        IpAddr::V4(address) => xxh3_64_with_seed(&address.octets(), key.0),
        IpAddr::V6(address) => xxh3_64_with_seed(&address.octets(), key.0),
    };
    let mut ranked: Vec<_> = routers.iter().map(|router| (weight(router), *router)).collect();
    if ranked.len() > count {
        ranked.select_nth_unstable_by(count, |left, right| right.cmp(left));
        ranked.truncate(count);
    }
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, router)| router).collect()
}
