//! The engine's continuous batching: each step prefills prompt tokens and decodes answer tokens.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Instant;

use papayamux_protocol::engine::{CacheEventPage, CacheSnapshot, EngineLoad};
use papayamux_transport::shutdown::ShutdownSignal;

use super::answer_record::{AnswerEnd, AnswerReader, AnswerRecord};
use super::batch_state::BatchState;
use super::job::{EngineJob, EngineRequest};
use super::options::EngineOptions;

/// A chain of cached blocks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedChain {
    /// Root hash of the chain, which identifies its model and adapter.
    pub root: u64,
    /// Block hashes, from the start of the prompt.
    pub blocks: Vec<u64>,
}

/// The engine's batch and cache. Clones share their state.
#[derive(Clone)]
pub struct EngineBatch {
    options: Rc<EngineOptions>,
    state: Rc<RefCell<BatchState>>,
    idle: Rc<Cell<Option<ShutdownSignal>>>,
}

impl EngineBatch {
    /// Starts the step loop on the current runtime.
    pub fn start(options: Rc<EngineOptions>) -> Self {
        let state = Rc::new(RefCell::new(BatchState::new(&options)));
        let batch = Self { options, state, idle: Rc::default() };
        monoio::spawn(run_steps(batch.clone()));
        batch
    }

    /// Queues a request and returns a reader of its answer, or `None` if the queue is full.
    pub fn submit(&self, request: EngineRequest) -> Option<AnswerReader> {
        let mut state = self.state.borrow_mut();
        if state.waiting.len() >= self.options.waiting_limit {
            return None;
        }
        let record = AnswerRecord::new(request.plan);
        state.requests.add(&request.id, record.clone());
        state.arrivals += 1;
        let job = EngineJob::new(request, record.clone(), state.arrivals);
        state.waiting.push(job);
        state.record_load(Instant::now());
        if let Some(signal) = self.idle.take() {
            signal.trigger();
        }
        Some(AnswerReader::new(record, 0))
    }

    /// Returns a reader from token number `from` on, if the request is running or ended recently.
    pub fn resume(&self, id: &str, from: u64) -> Option<AnswerReader> {
        let state = self.state.borrow();
        state.requests.find(id).map(|record| AnswerReader::new(record.clone(), from))
    }

    /// Returns the final state of an answer, or `None` if it is in progress or the id is unknown.
    pub fn end_of(&self, id: &str) -> Option<AnswerEnd> {
        self.state.borrow().requests.find(id).and_then(|record| record.end())
    }

    /// Cancels a request and returns the final state of its answer, or `None` if the id is unknown.
    pub fn cancel(&self, id: &str) -> Option<AnswerEnd> {
        let record = self.state.borrow().requests.find(id).cloned()?;
        record.finish(AnswerEnd::Cancelled);
        record.end()
    }

    /// Returns the number of runs by request id.
    pub fn runs(&self) -> HashMap<String, u64> {
        self.state.borrow().requests.runs().clone()
    }

    /// Returns the number of runs by tag.
    pub fn tag_runs(&self) -> HashMap<String, u64> {
        self.state.borrow().requests.tag_runs().clone()
    }

    /// Returns the load as the engine reports it, with the configured lag.
    pub fn reported_load(&self) -> EngineLoad {
        self.state.borrow_mut().load.seen(Instant::now()).clone()
    }

    /// Returns the current load, without lag.
    pub fn true_load(&self) -> EngineLoad {
        self.state.borrow().load.present().clone()
    }

    /// Returns a page of at most `limit` cache events after number `after`.
    pub fn cache_events(&self, after: u64, limit: usize) -> CacheEventPage {
        self.state.borrow().log.page(Instant::now(), after, limit)
    }

    /// Returns a snapshot of the cache.
    pub fn cache_snapshot(&self) -> CacheSnapshot {
        let state = self.state.borrow();
        CacheSnapshot {
            incarnation: state.log.incarnation(),
            event: state.log.last(),
            blocks: state.cache.blocks(),
        }
    }

    /// Returns the leading blocks of `chain` that are cached, or `None` if the first one is not.
    pub fn cached_chain(&self, chain: &[u64]) -> Option<CachedChain> {
        let state = self.state.borrow();
        let mut parent = None;
        let follows = |block: &&u64| {
            let follows = state.cache.parent_of(**block) == parent;
            parent = Some(**block);
            follows && state.cache.root_of(**block).is_some()
        };
        let blocks: Vec<_> = chain.iter().take_while(follows).copied().collect();
        let root = state.cache.root_of(*blocks.first()?)?;
        Some(CachedChain { root, blocks })
    }

    /// Caches a chain that another engine computed.
    pub fn import(&self, chain: &CachedChain) {
        self.state.borrow_mut().import(Instant::now(), chain.root, &chain.blocks);
    }

    /// Evicts all blocks below `roots`.
    pub fn evict_roots(&self, roots: &HashSet<u64>) {
        self.state.borrow_mut().evict_roots(Instant::now(), roots);
    }

    fn step(&self) {
        self.state.borrow_mut().step(Instant::now(), &self.options);
    }

    fn is_empty(&self) -> bool {
        let state = self.state.borrow();
        state.waiting.is_empty() && state.running.is_empty()
    }

    async fn wait_for_work(&self) {
        if self.is_empty() {
            let signal = ShutdownSignal::new();
            self.idle.set(Some(signal.clone()));
            signal.triggered().await;
        }
    }
}

async fn run_steps(batch: EngineBatch) {
    let step = batch.options.step;
    let mut next = Instant::now();
    loop {
        batch.wait_for_work().await;
        next = (next + step).max(Instant::now());
        match step.is_zero() {
            true => yield_once().await,
            false => monoio::time::sleep_until(next.into()).await,
        }
        batch.step();
    }
}

/// Yields to the runtime's other tasks once.
async fn yield_once() {
    let mut yielded = false;
    poll_fn(|context| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
