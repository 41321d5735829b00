//! Routers find one another and keep their traffic bounded.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use papayamux_coordination::router_peers::{PeerNews, RouterPeers};

fn address(index: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + index))
}

fn news(sequence: u64, known: &[IpAddr]) -> PeerNews<'_> {
    PeerNews { sequence, known, fresh: false }
}

/// Lets routers report in rounds; returns who knows whom at the end.
fn run(routers: u32, seeds: u32, rounds: u64) -> BTreeMap<u32, usize> {
    let begun = Instant::now();
    let seeds: Vec<_> = (0..seeds).map(address).collect();
    let mut all: Vec<_> =
        (0..routers).map(|index| RouterPeers::new(address(index), seeds.clone())).collect();
    for round in 1..=rounds {
        let now = begun + Duration::from_millis(round * 250);
        for index in 0..routers {
            let targets = all[index as usize].next_targets(now);
            let known = all[index as usize].next_named(now);
            assert!(targets.len() <= 12 + seeds.len());
            assert!(!targets.contains(&address(index)), "nobody tells itself");
            let targets: BTreeSet<_> = targets.into_iter().collect();
            for target in targets {
                let place = (0..routers).find(|other| address(*other) == target).unwrap();
                all[place as usize].hear(address(index), news(round, &known), now);
            }
        }
    }
    let end = begun + Duration::from_millis(rounds * 250);
    (0..routers).map(|index| (index, all[index as usize].alive(end).len())).collect()
}

#[test]
fn few_routers_know_all_others_within_a_second() {
    assert!(run(6, 3, 4).values().all(|known| *known == 5));
}

#[test]
fn many_routers_hear_many_others() {
    let known = run(100, 3, 40);
    assert!(known.values().all(|known| *known >= 80), "{known:?}");
}

#[test]
fn restarted_router_is_heard_at_once_and_a_late_datagram_is_not() {
    let now = Instant::now();
    let mut peers = RouterPeers::new(address(0), Vec::new());
    assert!(peers.hear(address(1), news(500, &[]), now));
    assert!(!peers.hear(address(1), news(499, &[]), now));
    assert!(peers.hear(address(1), news(1, &[]), now));
}

#[test]
fn one_router_that_has_been_up_for_long_tells_a_restart_from_a_loss_of_all() {
    let now = Instant::now();
    let mut peers = RouterPeers::new(address(0), Vec::new());
    assert!(peers.all_are_fresh(now), "nobody is heard");
    peers.hear(address(1), PeerNews { fresh: true, ..news(1, &[]) }, now);
    assert!(peers.all_are_fresh(now));
    peers.hear(address(2), news(900, &[]), now);
    assert!(!peers.all_are_fresh(now));
    let later = now + Duration::from_secs(4);
    peers.hear(address(1), PeerNews { fresh: true, ..news(17, &[]) }, later);
    assert!(peers.all_are_fresh(later), "the other one is gone");
}
