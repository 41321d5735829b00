//! Owners of shared parts: their assignment, and the prefills they avoid when reports are delayed.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

mod backend_servers;

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use backend_servers::SPEED;
use papayamux_coordination::part_owners::{
    is_worth_announcing, part_owner, AnswerTimes, SilentOwners,
};
use papayamux_coordination::placement::{
    place, PlacementCandidate, PlacementRequest, PlacementTuning, ServerLoad,
};
use papayamux_coordination::server_evidence::ServerStanding;
use papayamux_state::prompt::PartId;
use papayamux_state::quantities::TokenCount;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn address(index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a02_0000 + index as u32 * 3))
}

fn fleet(routers: usize) -> Vec<IpAddr> {
    (0..routers).map(address).collect()
}

#[test]
fn owners_are_the_same_for_all_and_move_only_with_their_router() {
    let routers = fleet(68);
    let mut reversed = routers.clone();
    reversed.reverse();
    let rest = routers[1..].to_vec();
    for part in (0..1_000).map(PartId) {
        let owner = part_owner(part, routers.iter().copied()).unwrap();
        assert_eq!(part_owner(part, reversed.iter().copied()), Some(owner));
        if owner != routers[0] {
            assert_eq!(part_owner(part, rest.iter().copied()), Some(owner));
        }
    }
    assert_eq!(part_owner(PartId(1), []), None);
}

#[test]
fn parts_are_spread_over_routers() {
    let mut owned: BTreeMap<IpAddr, u32> = BTreeMap::new();
    for part in (0..6_800).map(PartId) {
        *owned.entry(part_owner(part, fleet(68)).unwrap()).or_default() += 1;
    }
    assert!(
        owned.len() == 68 && owned.values().all(|count| (50..170).contains(count)),
        "{owned:?}"
    );
}

#[test]
fn silent_owner_is_not_queried_during_its_backoff() {
    let (mut silent, now) = (SilentOwners::default(), Instant::now());
    assert!(silent.allow(address(1), now));
    silent.record(address(1), now);
    assert!(!silent.allow(address(1), now + Duration::from_millis(900)));
    assert!(silent.allow(address(2), now));
    assert!(silent.allow(address(1), now + Duration::from_millis(1_100)));
}

#[test]
fn short_parts_are_not_announced() {
    assert!(!is_worth_announcing(999));
    assert!(is_worth_announcing(1_000));
}

#[test]
fn wait_for_an_answer_follows_answer_times_up_to_a_bound() {
    let millis = Duration::from_millis;
    let mut times = AnswerTimes::default();
    assert!(times.wait_budget(millis(160)).is_some_and(|wait_budget| wait_budget < millis(10)));
    // Owners in another region answer after 42 ms. The first answers come too late, but are still
    // recorded.
    (0..20).for_each(|_| times.record(millis(42)));
    assert!(times.wait_budget(millis(400)).is_some_and(|wait_budget| wait_budget > millis(42)));
    assert_eq!(times.wait_budget(millis(160)), None, "the prefill of the part takes hardly longer");
    for prefill_time in [200, 1_000, 10_000].map(millis) {
        assert!(times
            .wait_budget(prefill_time)
            .is_some_and(|wait_budget| wait_budget <= prefill_time / 4));
    }
    // Once owners are near again, a few dozen answers restore the initial wait.
    (0..48).for_each(|_| times.record(millis(1)));
    assert!(times.wait_budget(millis(160)).is_some_and(|wait_budget| wait_budget < millis(10)));
}

const ENGINES: usize = 24;
const PARTS: u64 = 200;
const PART_TOKENS: u64 = 10_000;
const OWN_TOKENS: u64 = 1_000;
/// Number of requests in a simulation.
const REQUESTS: u64 = 4_000;
/// Fraction of requests for which the home of the part is ejected.
const HOME_AWAY: f64 = 0.15;
/// Requests per second.
const RATE: u64 = 200;

/// How routers learn what others have placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Knowledge {
    /// Through reports that arrive after a delay.
    Reports(Duration),
    /// Through the same reports, and by querying owners.
    Owners(Duration),
}

/// Returns the number of shared tokens prefilled again in one simulation although a sound engine
/// held them.
fn recomputed_tokens(routers: usize, knowledge: Knowledge) -> u64 {
    let mut random = StdRng::seed_from_u64(1);
    let fleet = fleet(routers);
    let (Knowledge::Reports(delay) | Knowledge::Owners(delay)) = knowledge;
    // For each part its placements: the engine, the router that placed it, and when others learn of
    // it.
    let mut placed: HashMap<u64, Vec<(usize, usize, u64)>> = HashMap::new();
    let mut recomputed = 0;
    for request in 0..REQUESTS {
        let now = request * 1_000 / RATE;
        let part = random.random_range(0..PARTS);
        let router = random.random_range(0..routers);
        let owner = part_owner(PartId(part), fleet.iter().copied());
        let asks = matches!(knowledge, Knowledge::Owners(_)) && owner.is_some();
        let holders = placed.entry(part).or_default();
        let knows =
            |(_, by, known_from): &&(usize, usize, u64)| *by == router || *known_from <= now;
        let mut known: Vec<usize> =
            holders.iter().filter(knows).map(|(engine, ..)| *engine).collect();
        let home_is_away = random.random_bool(HOME_AWAY);
        let rank = |engine: usize| ((part as usize + engine) % ENGINES) as u32;
        let is_sound = |engine: usize| !(home_is_away && rank(engine) == 0);
        let asked = asks && !known.iter().any(|engine| is_sound(*engine));
        if asked {
            known = holders.iter().map(|(engine, ..)| *engine).collect();
        }
        let candidates: Vec<_> = (0..ENGINES)
            .map(|engine| {
                let standing = match is_sound(engine) {
                    true => ServerStanding::Good,
                    false => ServerStanding::Ejected,
                };
                PlacementCandidate {
                    accepts: true,
                    serves: true,
                    load: ServerLoad { requests: random.random_range(2..6), backlog: 0 },
                    waiting: 0,
                    slots: 64,
                    warm: TokenCount::new(if known.contains(&engine) { PART_TOKENS } else { 0 }),
                    nearly_full: false,
                    rank: rank(engine),
                    excess_failure_rate: 0.0,
                    excess_delay_rate: 0.0,
                    speed: SPEED,
                    standing,
                    round_trip_ms: 1.0,
                }
            })
            .collect();
        let prompt = PlacementRequest {
            prompt: TokenCount::new(PART_TOKENS + OWN_TOKENS),
            answer: TokenCount::new(300),
            shared: TokenCount::new(PART_TOKENS),
            nobody_holds: asked && known.is_empty(),
            sample: 0.5,
            transfer_tokens_per_ms: Some(500.0),
        };
        let placement = place(prompt, &candidates, PlacementTuning::default()).unwrap();
        let holds = |engine: usize| holders.iter().any(|(holder, ..)| *holder == engine);
        let is_copied = placement.fetch_from.is_some_and(holds);
        // An ejected holder can't be used.
        let there = holders.iter().any(|(holder, ..)| is_sound(*holder));
        if !holds(placement.server) {
            if !is_copied && there {
                recomputed += PART_TOKENS;
            }
            holders.push((placement.server, router, now + delay.as_millis() as u64));
        }
    }
    recomputed
}

/// In a large fleet, reports arrive late, and prompts are placed on or copied from a home that is
/// wrongly assumed to hold the part.
#[test]
fn querying_owners_avoids_most_recomputation_that_delayed_reports_cause() {
    for (routers, delay) in [(68, 3), (300, 10)] {
        let delay = Duration::from_secs(delay);
        let reports = recomputed_tokens(routers, Knowledge::Reports(delay));
        let owners = recomputed_tokens(routers, Knowledge::Owners(delay));
        assert!(owners * 4 <= reports, "{routers}: {owners} for {reports}");
    }
}
