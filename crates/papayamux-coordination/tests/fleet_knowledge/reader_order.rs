//! Readers and followers in fleets of different sizes.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use papayamux_coordination::fleet_knowledge::{reader_count, reading_interval, ReaderOrder};

const SOLO_INTERVAL: Duration = Duration::from_secs(1);

pub fn address(index: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a01_0000 + index * 7))
}

fn fleet(routers: u32) -> Vec<IpAddr> {
    (0..routers).map(address).collect()
}

/// Returns the number of routers between `router` and the source.
fn hops(order: &ReaderOrder, router: IpAddr) -> u32 {
    let (mut hops, mut at) = (0, router);
    while let Some(followed) = order.followed_by(at) {
        hops += 1;
        assert!(hops < 10, "{router} follows in a cycle");
        at = followed;
    }
    hops
}

#[test]
fn every_router_is_within_three_hops_and_has_few_followers() {
    for routers in [1, 2, 3, 5, 6, 30, 68, 100, 300, 420, 1_000] {
        let fleet = fleet(routers);
        let order = ReaderOrder::new(fleet.clone());
        let readers = fleet.iter().filter(|router| order.followed_by(**router).is_none()).count();
        assert_eq!(readers, reader_count(fleet.len()));
        let mut followers: BTreeMap<IpAddr, u32> = BTreeMap::new();
        for followed in fleet.iter().filter_map(|router| order.followed_by(*router)) {
            *followers.entry(followed).or_default() += 1;
        }
        assert!(followers.values().all(|count| *count <= 16), "{routers}: {followers:?}");
        let max_hops = fleet.iter().map(|router| hops(&order, *router)).max().unwrap();
        assert!(max_hops <= 1 + u32::from(routers > 51) + u32::from(routers > 819), "{routers}");
    }
}

#[test]
fn order_does_not_depend_on_the_input_order() {
    let mut routers = fleet(68);
    let order = ReaderOrder::new(routers.clone());
    routers.reverse();
    routers.push(address(3));
    assert_eq!(ReaderOrder::new(routers), order);
}

#[test]
fn call_rate_is_bounded_and_never_exceeds_that_of_independent_readers() {
    let calls = |routers: usize| {
        reader_count(routers) as f64 / reading_interval(routers, SOLO_INTERVAL).as_secs_f64()
    };
    for routers in 1..=1_000 {
        assert!(calls(routers) <= routers as f64 + 1e-6, "{routers}: {}", calls(routers));
        assert!(calls(routers) <= 10.0 + 1e-6);
    }
    // At most 0.25 calls per second and router.
    assert!(calls(68) <= 0.25 * 68.0);
    assert!((calls(1_000) - calls(68)).abs() < 1e-6);
}

#[test]
fn losing_a_reader_keeps_the_other_readers() {
    let all = fleet(68);
    let order = ReaderOrder::new(all.clone());
    let reader = *all.iter().find(|router| order.followed_by(**router).is_none()).unwrap();
    let remaining = ReaderOrder::new(all.iter().copied().filter(|router| *router != reader));
    let readers = |order: &ReaderOrder| -> Vec<IpAddr> {
        all.iter().copied().filter(|router| order.followed_by(*router).is_none()).collect()
    };
    let kept = readers(&remaining).iter().filter(|router| readers(&order).contains(router)).count();
    assert!(kept >= 2, "the other readers must stay readers");
}
