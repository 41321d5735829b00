//! Selection of watchers, and the token bucket.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use papayamux_spread::peers::{KnownPeer, PeerTable};
use papayamux_spread::rate_limit::TokenBucket;
use papayamux_state::ids::{FailureDomain, Incarnation};

const WATCHERS: usize = 2;
const PROCESSES: usize = 240;
const DOMAINS: usize = 4;

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000))
}

#[allow(clippy::expect_used)]
fn domain(index: usize) -> FailureDomain {
    format!("domain-{}", index % DOMAINS).parse().expect("valid domain")
}

fn known(index: usize, last_contact: Instant) -> KnownPeer {
    let incarnation = Incarnation::from(1);
    KnownPeer { address: address(index), domain: domain(index), incarnation, last_contact }
}

#[test]
fn exchanged_bounded_tables_agree_on_watchers() {
    let now = Instant::now();
    let mut tables: Vec<_> =
        (0..PROCESSES).map(|index| PeerTable::new(address(index), WATCHERS)).collect();
    for round in 1..=12 {
        for index in 0..PROCESSES {
            let other = (index + round * round * 7) % PROCESSES;
            let mut records = tables[index].records(3, now);
            let back = tables[other].records(3, now);
            tables[index].update(known(other, now), now);
            tables[other].update(known(index, now), now);
            records.drain(..).for_each(|record| tables[other].update_from_record(record, now));
            back.into_iter().for_each(|record| tables[index].update_from_record(record, now));
        }
    }
    let watchers = (0..PROCESSES).filter(|index| tables[*index].is_watcher(&domain(*index), now));
    assert_eq!(watchers.count(), WATCHERS * DOMAINS);
}

#[test]
fn silent_watcher_is_replaced() {
    let now = Instant::now();
    let mut table = PeerTable::new(address(0), 1);
    let above = (1..PROCESSES)
        .filter(|index| domain(*index) == domain(0))
        .find(|index| {
            papayamux_spread::peers::watch_rank(&domain(0), address(*index))
                > papayamux_spread::peers::watch_rank(&domain(0), address(0))
        })
        .expect("a process with a higher rank");
    table.update(known(above, now), now);
    assert!(!table.is_watcher(&domain(0), now));
    assert!(table.is_watcher(&domain(0), now + Duration::from_secs(60)));
}

#[test]
fn token_bucket_grants_at_most_rate_plus_burst() {
    let start = Instant::now();
    let bucket = TokenBucket::new(10.0, 5.0, 5.0, start);
    let mut now = start;
    for _ in 0..100 {
        now += bucket.reserve(1.0, 0.0, now);
    }
    let spent = now.duration_since(start).as_secs_f64();
    assert!((9.4..=9.6).contains(&spent), "100 tokens took {spent} s");
}
