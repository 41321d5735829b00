//! Routers discover one another from a few seeds, with bounded traffic.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use papayamux_coordination::router_peers::{PeerUpdate, RouterPeers};

fn address(index: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + index))
}

fn update(sequence: u64, known: &[IpAddr]) -> PeerUpdate<'_> {
    PeerUpdate { sequence, known, fresh: false }
}

/// Simulates rounds of reports; returns the number of peers in contact with each router at the end.
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
            assert!(!targets.contains(&address(index)), "a router must not report to itself");
            let targets: BTreeSet<_> = targets.into_iter().collect();
            for target in targets {
                let target_index = (0..routers).find(|other| address(*other) == target).unwrap();
                all[target_index as usize].record_update(
                    address(index),
                    update(round, &known),
                    now,
                );
            }
        }
    }
    let end = begun + Duration::from_millis(rounds * 250);
    (0..routers).map(|index| (index, all[index as usize].alive(end).len())).collect()
}

#[test]
fn small_fleet_discovers_all_peers_within_a_second() {
    assert!(run(6, 3, 4).values().all(|known| *known == 5));
}

#[test]
fn large_fleet_keeps_contact_with_most_peers() {
    let known = run(100, 3, 40);
    assert!(known.values().all(|known| *known >= 80), "{known:?}");
}

#[test]
fn restarted_peer_is_accepted_at_once_and_a_late_datagram_is_dropped() {
    let now = Instant::now();
    let mut peers = RouterPeers::new(address(0), Vec::new());
    assert!(peers.record_update(address(1), update(500, &[]), now));
    assert!(!peers.record_update(address(1), update(499, &[]), now));
    assert!(peers.record_update(address(1), update(1, &[]), now));
}

#[test]
fn one_long_running_peer_distinguishes_a_restart_from_a_fleet_wide_start() {
    let now = Instant::now();
    let mut peers = RouterPeers::new(address(0), Vec::new());
    assert!(peers.all_are_fresh(now), "no peer is in contact");
    peers.record_update(address(1), PeerUpdate { fresh: true, ..update(1, &[]) }, now);
    assert!(peers.all_are_fresh(now));
    peers.record_update(address(2), update(900, &[]), now);
    assert!(!peers.all_are_fresh(now));
    let later = now + Duration::from_secs(4);
    peers.record_update(address(1), PeerUpdate { fresh: true, ..update(17, &[]) }, later);
    assert!(peers.all_are_fresh(later), "the other peer has fallen silent");
}
