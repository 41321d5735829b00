//! Origins of streams: what a router keeps, asks for and concludes.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use papayamux_coordination::stream_origins::{
    KnownOrigin, OriginSearch, OriginTable, SearchState, VersionHistory, VersionRule, ORIGIN_TTL,
};
use papayamux_state::backend::ServerPhase;
use papayamux_state::stream_origin::{StreamKey, StreamOrigin};

mod backend_servers;

/// Maximum number of origins that a router keeps.
const MAX_ORIGINS: u64 = 32_768;
/// Age of servers that were confirmed a moment ago.
const FRESH: Option<Duration> = Some(Duration::from_millis(300));

fn origin(version: u64) -> StreamOrigin {
    StreamOrigin {
        service: "llm".parse().unwrap(),
        version: format!("v{version}").parse().unwrap(),
    }
}

fn begun(table: &OriginTable, key: u64) -> Option<StreamOrigin> {
    table.get(StreamKey(key))?.origin().cloned()
}

#[test]
fn origin_is_kept_for_the_life_of_a_stream() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    table.record(StreamKey(1), &origin(1), now);
    table.expire(now + ORIGIN_TTL - Duration::from_millis(1));
    assert_eq!(begun(&table, 1), Some(origin(1)));
    table.expire(now + ORIGIN_TTL);
    assert!(table.is_empty());
}

#[test]
fn streams_of_one_key_with_two_origins_are_ambiguous() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    for version in [1, 1, 2, 1] {
        table.record(StreamKey(1), &origin(version), now);
    }
    assert_eq!(table.get(StreamKey(1)), Some(&KnownOrigin::Ambiguous));
    assert_eq!(table.len(), 1);
}

#[test]
fn full_table_evicts_and_counts_the_oldest_origins() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    for key in 0..40_000 {
        table.record(StreamKey(key), &origin(key % 3), now);
    }
    assert_eq!(
        (table.len() as u64, table.take_evicted(), table.take_evicted()),
        (MAX_ORIGINS, 7_232, 0)
    );
    assert_eq!((begun(&table, 7_231), begun(&table, 7_232)), (None, Some(origin(7_232 % 3))));
}

#[test]
fn search_ends_with_the_first_origin_or_after_the_last_answer() {
    let owners = addresses(3);
    let mut search = OriginSearch::new(owners.clone());
    assert_eq!(search.record_answer(owners[0], None), SearchState::Pending);
    assert_eq!(search.record_answer(owners[0], Some(origin(2))), SearchState::Pending);
    assert_eq!(search.record_answer(owners[1], Some(origin(1))), SearchState::Found(origin(1)));
    let mut search = OriginSearch::new(owners.clone());
    let states = owners.iter().map(|owner| search.record_answer(*owner, None));
    assert_eq!(states.last(), Some(SearchState::Unknown));
}

#[test]
fn version_that_left_counts_for_the_life_of_a_stream() {
    let now = Instant::now();
    let server = |version: &str| papayamux_state::backend::BackendServer {
        software: version.parse().ok(),
        ..backend_servers::server("i-1", ServerPhase::Serving)
    };
    let (old, new) = (server("v1"), std::rc::Rc::new(server("v1.1")));
    let mut history = VersionHistory::new(now);
    history.record(&old, now);
    assert_eq!(history.sole_version(&old.service), old.software.as_ref());
    let almost = now + ORIGIN_TTL - Duration::from_millis(1);
    history.update([&new].into_iter(), FRESH, almost);
    assert_eq!(history.sole_version(&old.service), None);
    assert_eq!(history.certain_version(&old.service, almost), None);
    history.update([&new].into_iter(), FRESH, now + ORIGIN_TTL);
    assert_eq!(history.sole_version(&old.service), new.software.as_ref());
    let certain = history.certain_version(&old.service, now + ORIGIN_TTL);
    assert_eq!(certain, new.software.as_ref());
}

#[test]
fn history_with_a_gap_covers_no_stream_from_before() {
    let now = Instant::now();
    let server = std::rc::Rc::new(backend_servers::server("i-1", ServerPhase::Serving));
    let mut history = VersionHistory::new(now);
    let healed_at = now + ORIGIN_TTL;
    history.update([&server].into_iter(), Some(Duration::from_secs(3)), healed_at);
    assert_eq!(history.certain_version(&server.service, healed_at), None);
    let later = healed_at + ORIGIN_TTL;
    history.update([&server].into_iter(), FRESH, later);
    assert_eq!(history.certain_version(&server.service, later), server.software.as_ref());
}

#[test]
fn version_that_is_not_known_is_no_sole_version() {
    let now = Instant::now();
    let server = papayamux_state::backend::BackendServer {
        software: None,
        ..backend_servers::server("i-1", ServerPhase::Serving)
    };
    let mut history = VersionHistory::new(now);
    history.record(&server, now);
    assert_eq!(history.sole_version(&server.service), None);
}

#[test]
fn server_of_unknown_version_continues_no_stream() {
    let server = |version: Option<&str>| papayamux_state::backend::BackendServer {
        software: version.map(|version| version.parse().unwrap()),
        ..backend_servers::server("i-1", ServerPhase::Serving)
    };
    let rules = ["v1", "v1.1"].map(|version| VersionRule::Began(version.parse().ok()));
    let admitted = |rule: &VersionRule| {
        [Some("v1"), Some("v1.1"), None].map(|version| rule.admits(&server(version)))
    };
    assert_eq!(rules.each_ref().map(admitted), [[true, false, false], [false, true, false]]);
    assert_eq!(admitted(&VersionRule::Began(None)), [false; 3]);
    assert_eq!(admitted(&VersionRule::Any), [true; 3]);
}

fn addresses(count: u32) -> Vec<IpAddr> {
    (0..count).map(|index| Ipv4Addr::from(0x0a01_0000 + index).into()).collect()
}
