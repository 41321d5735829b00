//! After the loss of all routers, each engine is surveyed by one router, which sends the listing to
//! the others.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use papayamux_coordination::cache_survey::{survey_share, CacheListing, ListingUpdates};
use papayamux_state::ids::ServerId;
use papayamux_state::prompt::{PartId, PromptPart};
use papayamux_state::quantities::TokenCount;

fn router(index: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + index))
}

fn engines(count: u32) -> Vec<ServerId> {
    (0..count).map(|index| format!("i-{index}").parse().unwrap()).collect()
}

fn shares(routers: u32, engines: &[ServerId]) -> BTreeMap<u32, Vec<ServerId>> {
    let share = |index| {
        let others: Vec<_> = (0..routers).filter(|other| *other != index).map(router).collect();
        survey_share(router(index), &others, engines)
    };
    (0..routers).map(|index| (index, share(index))).collect()
}

fn listing(server: &str, tokens: &[u64]) -> CacheListing {
    let parts = (1..)
        .zip(tokens)
        .map(|(id, tokens)| PromptPart { id: PartId(id), tokens: TokenCount::new(*tokens) });
    CacheListing::new(server.parse().unwrap(), parts.collect())
}

#[test]
fn each_engine_is_surveyed_by_one_router() {
    for (routers, count) in [(1, 12), (6, 18), (420, 600)] {
        let engines = engines(count);
        let surveyed: Vec<_> = shares(routers, &engines).into_values().flatten().collect();
        assert_eq!(surveyed.len(), engines.len());
        assert_eq!(surveyed.iter().collect::<BTreeSet<_>>().len(), engines.len());
    }
}

#[test]
fn no_router_surveys_many_engines_of_a_large_fleet() {
    let most = shares(420, &engines(600)).into_values().map(|share| share.len()).max();
    assert!(most.unwrap() <= 10, "{most:?}");
}

#[test]
fn isolated_router_does_not_survey_a_whole_large_fleet() {
    assert_eq!(survey_share(router(1), &[], &engines(600)).len(), 32);
}

#[test]
fn isolated_router_surveys_all_engines_of_a_small_fleet() {
    let engines = engines(18);
    let alone = survey_share(router(1), &[], &engines);
    assert_eq!(alone.len(), 18);
}

#[test]
fn largest_parts_of_a_listing_are_kept() {
    let mut tokens = vec![300; 500];
    tokens.extend([12_000, 90, 9_000]);
    let listing = listing("i-1", &tokens);
    let kept: Vec<_> = listing.parts.iter().map(|part| part.tokens.get()).collect();
    assert_eq!(kept[..3], [12_000, 9_000, 300]);
    assert!(kept.len() <= 32);
}

#[test]
fn each_listing_is_announced_several_times_until_it_expires() {
    let begun = Instant::now();
    let mut updates = ListingUpdates::default();
    for index in 0..5 {
        updates.add(listing(&format!("i-{index}"), &[10_000]), begun);
    }
    updates.add(listing("i-empty", &[]), begun);
    let mut announced: BTreeMap<String, u32> = BTreeMap::new();
    for round in 0..200 {
        for listing in updates.next(begun + Duration::from_millis(250) * round) {
            *announced.entry(listing.server.to_string()).or_default() += 1;
        }
    }
    insta::assert_debug_snapshot!(announced);
}
