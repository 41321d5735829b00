//! Replay of fleets whose routers are lost while streams run: how many resumed streams are known, how soon,
//! and at which cost.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use papayamux_coordination::stream_origins::{
    notified_owners, queried_owners, OriginSearch, OriginTable, SearchState, ORIGIN_TTL,
    QUERY_INTERVAL, SEARCH_TIMEOUT,
};
use papayamux_state::stream_origin::{StreamKey, StreamOrigin};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

fn origin(version: u64) -> StreamOrigin {
    StreamOrigin {
        service: "llm".parse().unwrap(),
        version: format!("v{version}").parse().unwrap(),
    }
}

fn begun(table: &OriginTable, key: u64) -> Option<StreamOrigin> {
    table.get(StreamKey(key))?.origin().cloned()
}

fn addresses(count: u32) -> Vec<IpAddr> {
    (0..count).map(|index| Ipv4Addr::from(0x0a01_0000 + index).into()).collect()
}

/// Streams that begin at each router per second: 4,000 before 420 routers.
const STREAMS_PER_SECOND: f64 = 9.5;
/// Time at which routers are lost, after which no stream begins.
const LOSS_MS: u64 = 3_000;
/// Time for which a restarted router is away.
const AWAY_MS: u64 = 300;
/// Streams that began within this time before the loss are resumed.
const STREAM_LIFE_MS: u64 = 1_000;
/// Time for which notices are collected.
const NOTICE_DELAY_MS: u64 = 20;
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.01;
/// Maximum number of origins that a router keeps.
const MAX_ORIGINS: u64 = 32_768;
/// Budget of a router for all control traffic.
const MAX_CONTROL_BYTES_PER_SECOND: u64 = 20_000;
/// Size of a datagram with one notice, a query or an answer, with its UDP and IP headers.
const DATAGRAM_BYTES: u64 = 80;

/// How routers are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RouterLoss {
    /// They restart and know nothing.
    Restart,
    /// They are cut off from the others and from their callers.
    Cut,
}

/// A step of the replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Begin { router: usize, stream: usize },
    Notice { router: usize, stream: usize },
    Query { stream: usize, owner: usize },
    Answer { stream: usize, owner: usize, knows: bool },
    Resume { stream: usize },
    Repeat { stream: usize },
}

struct ResumedStream {
    asker: usize,
    search: OriginSearch,
    resumed_ms: u64,
    found_after_ms: Option<u64>,
}

/// A fleet whose routers notify one another and search over lossy links.
struct Replay {
    now: Instant,
    routers: Vec<IpAddr>,
    tables: Vec<OriginTable>,
    is_lost: Vec<bool>,
    loss: RouterLoss,
    begun_at: Vec<(usize, u64)>,
    resumed: HashMap<usize, ResumedStream>,
    steps: BinaryHeap<Reverse<(u64, Step)>>,
    sent_bytes: Vec<u64>,
    random: SmallRng,
}

/// What a replay shows.
#[derive(Debug)]
struct ReplayResult {
    found_share: f64,
    p99_ms: u64,
    bytes_per_second: u64,
    most_origins: usize,
}

impl Replay {
    /// Creates a fleet of `count` routers of which the first `lost` are lost.
    fn new(count: usize, lost: usize, loss: RouterLoss, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut steps = BinaryHeap::new();
        let mut begun_at = Vec::new();
        for router in 0..count {
            let mut ms = 0.0;
            loop {
                ms += -random.random::<f64>().max(f64::MIN_POSITIVE).ln() * 1_000.0
                    / STREAMS_PER_SECOND;
                if ms >= LOSS_MS as f64 {
                    break;
                }
                steps.push(Reverse((ms as u64, Step::Begin { router, stream: begun_at.len() })));
                begun_at.push((router, ms as u64));
            }
        }
        Self {
            now: Instant::now(),
            routers: addresses(count as u32),
            tables: (0..count).map(|_| OriginTable::default()).collect(),
            is_lost: (0..count).map(|router| router < lost).collect(),
            loss,
            begun_at,
            resumed: HashMap::new(),
            steps,
            sent_bytes: vec![0; count],
            random,
        }
    }

    fn others(&self, router: usize) -> Vec<IpAddr> {
        let own = self.routers[router];
        self.routers.iter().copied().filter(|other| *other != own).collect()
    }

    fn index(&self, address: IpAddr) -> usize {
        self.routers.iter().position(|router| *router == address).unwrap()
    }

    fn is_away(&self, router: usize, ms: u64) -> bool {
        let back_ms = match self.loss {
            RouterLoss::Restart => LOSS_MS + AWAY_MS,
            RouterLoss::Cut => u64::MAX,
        };
        self.is_lost[router] && (LOSS_MS..back_ms).contains(&ms)
    }

    /// Sends a datagram of `bytes` that arrives as `step`, unless it is lost.
    fn send(&mut self, sender: usize, ms: u64, bytes: u64, step: Step) {
        self.sent_bytes[sender] += bytes;
        if self.random.random::<f64>() >= LOSS {
            let delay = self.random.random_range(1..=5);
            self.steps.push(Reverse((ms + delay, step)));
        }
    }

    fn run(mut self) -> ReplayResult {
        let resumed: Vec<_> = (0..self.begun_at.len())
            .filter(|stream| {
                let (router, ms) = self.begun_at[*stream];
                self.is_lost[router] && ms + STREAM_LIFE_MS >= LOSS_MS
            })
            .collect();
        for stream in &resumed {
            let ms = LOSS_MS + self.random.random_range(5..55);
            self.steps.push(Reverse((ms, Step::Resume { stream: *stream })));
        }
        let mut has_restarted = self.loss == RouterLoss::Cut;
        while let Some(Reverse((ms, step))) = self.steps.pop() {
            if ms >= LOSS_MS && !has_restarted {
                has_restarted = true;
                let restarts = self.is_lost.iter();
                for (table, _) in self.tables.iter_mut().zip(restarts).filter(|(_, is)| **is) {
                    *table = OriginTable::default();
                }
            }
            self.take(ms, step);
        }
        let mut waits: Vec<_> =
            self.resumed.values().filter_map(|resumed| resumed.found_after_ms).collect();
        waits.sort_unstable();
        let seconds = LOSS_MS / 1_000;
        ReplayResult {
            found_share: waits.len() as f64 / resumed.len() as f64,
            p99_ms: waits[waits.len() * 99 / 100],
            bytes_per_second: self.sent_bytes.iter().max().unwrap() / seconds,
            most_origins: self.tables.iter().map(OriginTable::len).max().unwrap(),
        }
    }

    fn take(&mut self, ms: u64, step: Step) {
        match step {
            Step::Begin { router, stream } => self.begin(router, stream, ms),
            Step::Notice { router, stream } => {
                if !self.is_away(router, ms) {
                    self.record(router, stream, ms);
                }
            }
            Step::Resume { stream } => self.resume(stream, ms),
            Step::Repeat { stream } => self.repeat(stream, ms),
            Step::Query { stream, owner } => {
                if !self.is_away(owner, ms) {
                    let knows = begun(&self.tables[owner], stream as u64).is_some();
                    self.send(owner, ms, DATAGRAM_BYTES, Step::Answer { stream, owner, knows });
                }
            }
            Step::Answer { stream, owner, knows } => self.answer(stream, owner, knows, ms),
        }
    }

    fn record(&mut self, router: usize, stream: usize, ms: u64) {
        let at = self.now + Duration::from_millis(ms);
        self.tables[router].record(StreamKey(stream as u64), &origin(stream as u64 % 2), at);
    }

    fn begin(&mut self, router: usize, stream: usize, ms: u64) {
        self.record(router, stream, ms);
        let sent_ms = (ms / NOTICE_DELAY_MS + 1) * NOTICE_DELAY_MS;
        if self.is_lost[router] && sent_ms >= LOSS_MS {
            return;
        }
        for owner in notified_owners(StreamKey(stream as u64), &self.others(router)) {
            let notice = Step::Notice { router: self.index(owner), stream };
            self.send(router, sent_ms, DATAGRAM_BYTES, notice);
        }
    }

    fn resume(&mut self, stream: usize, ms: u64) {
        let asker = self.random.random_range(0..self.routers.len());
        if self.is_away(asker, ms) {
            // The caller comes back once the router listens again, or goes to another one.
            let back_ms = match self.loss {
                RouterLoss::Restart => LOSS_MS + AWAY_MS,
                RouterLoss::Cut => ms + 1,
            };
            self.steps.push(Reverse((back_ms, Step::Resume { stream })));
            return;
        }
        let owners = queried_owners(StreamKey(stream as u64), &self.others(asker));
        let knows = begun(&self.tables[asker], stream as u64).is_some();
        let resumed = ResumedStream {
            asker,
            search: OriginSearch::new(owners),
            resumed_ms: ms,
            found_after_ms: knows.then_some(0),
        };
        self.resumed.insert(stream, resumed);
        self.repeat(stream, ms);
    }

    fn repeat(&mut self, stream: usize, ms: u64) {
        let resumed = &self.resumed[&stream];
        let age = Duration::from_millis(ms - resumed.resumed_ms);
        if resumed.found_after_ms.is_some() || age >= SEARCH_TIMEOUT {
            return;
        }
        let (asker, owners) = (resumed.asker, resumed.search.unanswered().to_vec());
        for owner in owners {
            let query = Step::Query { stream, owner: self.index(owner) };
            self.send(asker, ms, DATAGRAM_BYTES, query);
        }
        let next = ms + QUERY_INTERVAL.as_millis() as u64;
        self.steps.push(Reverse((next, Step::Repeat { stream })));
    }

    fn answer(&mut self, stream: usize, owner: usize, knows: bool, ms: u64) {
        let owner = self.routers[owner];
        let resumed = self.resumed.get_mut(&stream).unwrap();
        let age_ms = ms - resumed.resumed_ms;
        let is_late = Duration::from_millis(age_ms) >= SEARCH_TIMEOUT;
        let known = knows.then(|| origin(stream as u64 % 2));
        if let SearchState::Found(found) = resumed.search.record_answer(owner, known) {
            assert_eq!(found, origin(stream as u64 % 2));
            if !is_late && resumed.found_after_ms.is_none() {
                resumed.found_after_ms = Some(age_ms);
            }
        }
    }
}

fn check(count: usize, lost: usize, loss: RouterLoss) -> ReplayResult {
    let result = Replay::new(count, lost, loss, count as u64).run();
    println!("{count} routers, {lost} lost by {loss:?}: {result:?}");
    assert!(result.p99_ms < 15, "{result:?}");
    let per_lifetime = result.most_origins as u64 * ORIGIN_TTL.as_millis() as u64 / LOSS_MS;
    assert!(per_lifetime <= MAX_ORIGINS, "{result:?}");
    assert!(result.bytes_per_second < MAX_CONTROL_BYTES_PER_SECOND, "{result:?}");
    result
}

#[test]
fn streams_of_one_lost_router_are_known_elsewhere() {
    for count in [6, 30, 356, 712] {
        assert!(check(count, 1, RouterLoss::Restart).found_share >= 0.9);
    }
}

#[test]
fn most_streams_are_known_after_a_third_of_the_routers_restart_at_once() {
    for count in [30, 356, 712] {
        assert!(check(count, count / 3, RouterLoss::Restart).found_share >= 0.9);
    }
    // Two of six: no stream has more than one of its owners among them.
    assert!(check(6, 2, RouterLoss::Restart).found_share >= 0.9);
}

#[test]
fn most_streams_are_known_while_a_quarter_of_the_routers_is_cut_off() {
    for count in [30, 356, 712] {
        assert!(check(count, count / 4, RouterLoss::Cut).found_share >= 0.9);
    }
    assert!(check(6, 2, RouterLoss::Cut).found_share >= 0.9);
}
