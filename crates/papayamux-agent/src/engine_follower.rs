//! Polls an engine for its cache events, for snapshots after gaps, and for its batch limit.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use papayamux_protocol::engine::{
    CacheChange, CacheEventPage, CacheSnapshot, EngineLoad, CACHE_BLOCKS_PATH, CACHE_EVENTS_PATH,
    LOAD_PATH, MAX_EVENTS_PER_PAGE,
};
use papayamux_state::cache_index::{BlockChange, EventBatch};
use papayamux_state::quantities::RequestCount;
use papayamux_transport::timer::TimerService;
use serde::de::DeserializeOwned;

use crate::agent_core::AgentCore;

/// Interval between polls for cache events.
const EVENTS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of event pages read in one poll.
const MAX_PAGES: usize = 16;
/// Minimum interval between two snapshots.
const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between polls of the engine's load.
const LOAD_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// The time within which the engine must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// Polls the engine from the first chat on until the timer ends.
pub async fn follow_engine(core: Rc<AgentCore>, timer: TimerService) {
    core.engine.first_chat().await;
    let mut ticks = timer.every(EVENTS_POLL_INTERVAL);
    let mut follower = EngineFollower { core, last_snapshot: None, last_load: None };
    while ticks.tick().await.is_some() {
        follower.poll().await;
    }
}

struct EngineFollower {
    core: Rc<AgentCore>,
    last_snapshot: Option<Instant>,
    last_load: Option<Instant>,
}

fn is_due(last: Option<Instant>, period: Duration) -> bool {
    last.is_none_or(|last| last.elapsed() >= period)
}

impl EngineFollower {
    async fn poll(&mut self) {
        if is_due(self.last_load, LOAD_POLL_INTERVAL) {
            self.last_load = Some(Instant::now());
            self.read_load().await;
        }
        if self.needs_rebuild() && is_due(self.last_snapshot, MIN_SNAPSHOT_INTERVAL) {
            self.last_snapshot = Some(Instant::now());
            self.read_snapshot().await;
        }
        for _ in 0..MAX_PAGES {
            if !self.read_events().await {
                break;
            }
        }
    }

    fn needs_rebuild(&self) -> bool {
        self.core.engine.index().borrow().needs_rebuild()
    }

    async fn read_load(&self) {
        let load: Option<EngineLoad> = self.fetch(LOAD_PATH).await;
        if let Some(load) = load.filter(|load| load.batch_limit > 0) {
            self.core.admissions.set_batch_limit(RequestCount::new(load.batch_limit));
        }
    }

    async fn read_snapshot(&self) {
        let snapshot: Option<CacheSnapshot> = self.fetch(CACHE_BLOCKS_PATH).await;
        if let Some(snapshot) = snapshot {
            self.core.metrics.cache_reads.count("snapshot");
            let mut index = self.core.engine.index().borrow_mut();
            let blocks = snapshot.blocks.into_iter();
            index.rebuild(snapshot.incarnation, snapshot.event, blocks, Instant::now());
        }
    }

    /// Reads one page of events. Returns `true` if there may be more.
    async fn read_events(&self) -> bool {
        let after = self.core.engine.index().borrow().position();
        let path = format!("{CACHE_EVENTS_PATH}?after={after}&limit={MAX_EVENTS_PER_PAGE}");
        let Some(page) = self.fetch::<CacheEventPage>(&path).await else {
            return false;
        };
        let more = page.events.len() >= MAX_EVENTS_PER_PAGE;
        let mut index = self.core.engine.index().borrow_mut();
        let was_complete = !index.needs_rebuild();
        index.apply(&stretch_of(page), Instant::now());
        if was_complete && index.needs_rebuild() {
            self.core.metrics.cache_reads.count("gap");
        }
        more
    }

    async fn fetch<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        let client = &self.core.client;
        let request = Request::builder()
            .method(Method::GET)
            .uri(path)
            .header(http::header::HOST, client.address().to_string())
            .body(Bytes::new())
            .ok()?;
        let exchange = async {
            let answer = client.send_idempotent(request).await.ok()?;
            let status = answer.head.status;
            let body = answer.read_body(MAX_ANSWER_BYTES).await.ok()?;
            (status == StatusCode::OK).then_some(body)
        };
        let body = monoio::time::timeout(ANSWER_TIMEOUT, exchange).await.ok().flatten();
        let value = body.and_then(|body| serde_json::from_slice(&body).ok());
        if value.is_none() {
            self.core.metrics.cache_reads.count("failed");
        }
        value
    }
}

fn stretch_of(page: CacheEventPage) -> EventBatch {
    let changes = page.events.into_iter().map(|event| {
        let change = match event.change {
            CacheChange::Stored(hash) => BlockChange::Stored(hash),
            CacheChange::Evicted(hash) => BlockChange::Evicted(hash),
            CacheChange::Cleared => BlockChange::Cleared,
        };
        (event.number, change)
    });
    EventBatch { incarnation: page.incarnation, through: page.through, changes: changes.collect() }
}
