//! Owners of shared parts: who they are, and what they are worth where routers hear one another late.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

mod backend_servers;

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use backend_servers::SPEED;
use papayamux_coordination::part_owners::{
    is_worth_telling, part_owner, AnswerTimes, SilentOwners,
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
fn silent_owner_is_not_asked_for_a_while() {
    let (mut silent, now) = (SilentOwners::default(), Instant::now());
    assert!(silent.allow(address(1), now));
    silent.note(address(1), now);
    assert!(!silent.allow(address(1), now + Duration::from_millis(900)));
    assert!(silent.allow(address(2), now));
    assert!(silent.allow(address(1), now + Duration::from_millis(1_100)));
}

#[test]
fn short_parts_are_not_worth_a_word() {
    assert!(!is_worth_telling(999));
    assert!(is_worth_telling(1_000));
}

#[test]
fn answers_are_waited_for_as_long_as_they_take_and_never_for_long() {
    let millis = Duration::from_millis;
    let mut times = AnswerTimes::default();
    assert!(times.patience(millis(160)).is_some_and(|patience| patience < millis(10)));
    // Owners of another region answer after 42 ms; the first answers come too late and teach that.
    (0..20).for_each(|_| times.note(millis(42)));
    assert!(times.patience(millis(400)).is_some_and(|patience| patience > millis(42)));
    assert_eq!(times.patience(millis(160)), None, "reading the part takes hardly longer");
    for reading in [200, 1_000, 10_000].map(millis) {
        assert!(times.patience(reading).is_some_and(|patience| patience <= reading / 4));
    }
    // Back near, a few dozen answers bring it back to where it began.
    (0..48).for_each(|_| times.note(millis(1)));
    assert!(times.patience(millis(160)).is_some_and(|patience| patience < millis(10)));
}

const ENGINES: usize = 24;
const PARTS: u64 = 200;
const PART_TOKENS: u64 = 10_000;
const OWN_TOKENS: u64 = 1_000;
/// Requests of a replay, and the part of them whose home has something against it at that moment.
const REQUESTS: u64 = 4_000;
const HOME_AWAY: f64 = 0.15;
/// Requests a second.
const RATE: u64 = 200;

/// How routers know what others have placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Knowledge {
    /// By reports that reach each router so late.
    Reports(Duration),
    /// The same, and by asking owners.
    Owners(Duration),
}

/// Shared tokens read again in one replay though a sound engine held them.
fn read_again(routers: usize, knowledge: Knowledge) -> u64 {
    let mut random = StdRng::seed_from_u64(1);
    let fleet = fleet(routers);
    let (Knowledge::Reports(late) | Knowledge::Owners(late)) = knowledge;
    // Each placement: the part, its engine, the router that knows at once, and when the others do.
    let mut placed: HashMap<u64, Vec<(usize, usize, u64)>> = HashMap::new();
    let mut again = 0;
    for request in 0..REQUESTS {
        let now = request * 1_000 / RATE;
        let part = random.random_range(0..PARTS);
        let router = random.random_range(0..routers);
        let owner = part_owner(PartId(part), fleet.iter().copied());
        let asks = matches!(knowledge, Knowledge::Owners(_)) && owner.is_some();
        let holders = placed.entry(part).or_default();
        let knows = |(_, by, told): &&(usize, usize, u64)| *by == router || *told <= now;
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
                    failing: 0.0,
                    held_up: 0.0,
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
            draw: 0.5,
            transfer_tokens_per_ms: Some(500.0),
        };
        let placement = place(prompt, &candidates, PlacementTuning::default()).unwrap();
        let holds = |engine: usize| holders.iter().any(|(holder, ..)| *holder == engine);
        let is_copied = placement.fetch_from.is_some_and(holds);
        // A holder that something speaks against is of no use to anybody.
        let there = holders.iter().any(|(holder, ..)| is_sound(*holder));
        if !holds(placement.server) {
            if !is_copied && there {
                again += PART_TOKENS;
            }
            holders.push((placement.server, router, now + late.as_millis() as u64));
        }
    }
    again
}

/// Where the routers of a large fleet hear one another late, prompts are sent in the belief that their
/// home holds the part, or copied from there.
#[test]
fn asking_owners_saves_most_of_what_late_reports_have_read_again() {
    for (routers, late) in [(68, 3), (300, 10)] {
        let late = Duration::from_secs(late);
        let reports = read_again(routers, Knowledge::Reports(late));
        let owners = read_again(routers, Knowledge::Owners(late));
        assert!(owners * 4 <= reports, "{routers}: {owners} for {reports}");
    }
}
