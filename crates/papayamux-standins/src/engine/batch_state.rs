//! The engine's state: requests, cache, event log and load.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use papayamux_protocol::engine::{CacheChange, EngineLoad};

use super::answer_record::AnswerEnd;
use super::event_log::EventLog;
use super::job::EngineJob;
use super::options::EngineOptions;
use super::prefix_cache::PrefixCache;
use super::request_table::RequestTable;
use crate::lagged::LaggedValue;

/// The state that each engine step advances.
pub struct BatchState {
    /// Number of requests queued since the engine started.
    pub arrivals: u64,
    /// Requests that wait for a slot in the batch.
    pub waiting: Vec<EngineJob>,
    /// Requests in the batch.
    pub running: Vec<EngineJob>,
    /// Requests by id.
    pub requests: RequestTable,
    /// The prefix cache.
    pub cache: PrefixCache,
    /// Log of the cache's changes.
    pub log: EventLog,
    /// Load, reported with a lag.
    pub load: LaggedValue<EngineLoad>,
}

impl BatchState {
    /// Creates the state of an engine without requests.
    pub fn new(options: &EngineOptions) -> Self {
        let batch_limit = options.batch_limit as u64;
        let load = EngineLoad { batch_limit, ..EngineLoad::default() };
        Self {
            arrivals: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            requests: RequestTable::default(),
            cache: PrefixCache::new(options.cache_blocks),
            log: EventLog::new(options.events),
            load: LaggedValue::new(options.load_lag, load),
        }
    }

    /// Advances all requests by one step.
    pub fn step(&mut self, now: Instant, options: &EngineOptions) {
        self.drop_abandoned(now, options.cancel_grace);
        self.drop_ended();
        self.admit(options.batch_limit);
        self.advance(now, options.prefill_per_step);
        self.drop_ended();
        self.record_load(now);
    }

    /// Records the load at `now` for load reports.
    pub fn record_load(&mut self, now: Instant) {
        let load = EngineLoad {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            prefill_tokens: self.running.iter().map(|job| job.prefill_left).sum(),
            batch_limit: self.load.present().batch_limit,
        };
        self.load.set(now, load);
    }

    /// Caches a chain that another engine computed.
    pub fn import(&mut self, now: Instant, root: u64, chain: &[u64]) {
        let changes = self.cache.store(root, chain);
        self.log.append(now, changes);
    }

    /// Evicts all blocks below `roots` and stops running requests from caching blocks there.
    pub fn evict_roots(&mut self, now: Instant, roots: &HashSet<u64>) {
        self.running.iter_mut().for_each(|job| job.mark_unloaded(roots));
        let changes = self.cache.evict_roots(roots);
        self.log.append(now, changes);
    }

    fn drop_abandoned(&mut self, now: Instant, grace: Duration) {
        let jobs = self.waiting.iter().chain(&self.running);
        for job in jobs.filter(|job| job.record.is_abandoned(now, grace)) {
            job.record.finish(AnswerEnd::Cancelled);
        }
    }

    fn drop_ended(&mut self) {
        let requests = &mut self.requests;
        let mut is_running = |job: &EngineJob| {
            let ended = job.record.end().is_some();
            if ended {
                requests.end(&job.request.id, &job.record);
            }
            !ended
        };
        self.waiting.retain(&mut is_running);
        self.running.retain(&mut is_running);
    }

    /// Moves waiting requests into the batch, ordered by priority, then by arrival.
    fn admit(&mut self, limit: usize) {
        self.waiting.sort_by_key(|job| (job.request.priority, job.arrival));
        let places = limit.saturating_sub(self.running.len()).min(self.waiting.len());
        for mut job in self.waiting.drain(..places) {
            job.reuse(&mut self.cache);
            self.requests.count_run(&job.request);
            self.running.push(job);
        }
    }

    fn advance(&mut self, now: Instant, mut prefill: u64) {
        let mut changes: Vec<CacheChange> = Vec::new();
        for job in &mut self.running {
            changes.extend(job.advance(&mut prefill, &mut self.cache));
        }
        self.log.append(now, changes);
    }
}
