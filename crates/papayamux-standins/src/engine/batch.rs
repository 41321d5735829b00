//! Continuous batching: each step computes some prompt tokens and one token of each answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use local_sync::mpsc::unbounded;
use papayamux_protocol::chat::{PromptDetails, UsageReport};
use papayamux_protocol::engine::{
    block_hashes, prompt_tokens, root_hash, CacheChange, CacheEventPage, CacheSnapshot, EngineLoad,
    TOKENS_PER_BLOCK,
};
use papayamux_transport::shutdown::ShutdownSignal;

use super::answer_plan::AnswerPlan;
use super::event_log::EventLog;
use super::options::EngineOptions;
use super::prefix_cache::PrefixCache;
use crate::lagged::LaggedValue;

/// A request as the engine understands it.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// The id that the caller gave.
    pub id: String,
    /// The tag under which a test counts the request's runs.
    pub tag: Option<String>,
    /// The model.
    pub model: String,
    /// The adapter.
    pub adapter: Option<String>,
    /// The rendered prompt.
    pub prompt: String,
    /// The priority class; a lower number goes first.
    pub priority: u32,
    /// What will be answered.
    pub plan: AnswerPlan,
}

/// What a running request produces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// The next token.
    Token(String),
    /// The answer is whole.
    Done(UsageReport),
}

struct EngineJob {
    request: EngineRequest,
    arrival: u64,
    cached: u64,
    prompt_tokens: u64,
    prefill_left: u64,
    produced: u64,
    events: unbounded::Tx<EngineEvent>,
}

struct BatchState {
    arrivals: u64,
    waiting: Vec<EngineJob>,
    running: Vec<EngineJob>,
    cache: PrefixCache,
    log: EventLog,
    load: LaggedValue<EngineLoad>,
    runs: HashMap<String, u64>,
    tag_runs: HashMap<String, u64>,
    idle: Option<ShutdownSignal>,
}

/// The engine's batch and cache; clones share them.
#[derive(Clone)]
pub struct EngineBatch {
    options: Rc<EngineOptions>,
    state: Rc<RefCell<BatchState>>,
}

impl EngineBatch {
    /// Starts the batch's steps on the current runtime.
    pub fn start(options: EngineOptions) -> Self {
        let state = BatchState::new(&options);
        let batch = Self { options: Rc::new(options), state: Rc::new(RefCell::new(state)) };
        monoio::spawn(run_steps(batch.clone()));
        batch
    }

    /// The engine's options.
    pub fn options(&self) -> &EngineOptions {
        &self.options
    }

    /// Adds a request; dropping the receiver cancels it.
    pub fn submit(&self, request: EngineRequest) -> unbounded::Rx<EngineEvent> {
        let (events, receiver) = unbounded::channel();
        let mut state = self.state.borrow_mut();
        let tokens = prompt_tokens(request.prompt.len());
        state.arrivals += 1;
        let job = EngineJob {
            arrival: state.arrivals,
            cached: 0,
            prompt_tokens: tokens,
            prefill_left: tokens,
            produced: 0,
            events,
            request,
        };
        state.waiting.push(job);
        state.note_load(&self.options);
        if let Some(signal) = state.idle.take() {
            signal.give();
        }
        receiver
    }

    /// How often each request id was started.
    pub fn runs(&self) -> HashMap<String, u64> {
        self.state.borrow().runs.clone()
    }

    /// How often a request with each tag was started.
    pub fn tag_runs(&self) -> HashMap<String, u64> {
        self.state.borrow().tag_runs.clone()
    }

    /// The load as the engine reports it, with its lag.
    pub fn reported_load(&self) -> EngineLoad {
        self.state.borrow_mut().load.seen(Instant::now()).clone()
    }

    /// The load as it truly is.
    pub fn true_load(&self) -> EngineLoad {
        self.state.borrow().load.present().clone()
    }

    /// The cache events after number `after`, at most `limit`.
    pub fn cache_events(&self, after: u64, limit: usize) -> CacheEventPage {
        self.state.borrow().log.page(Instant::now(), after, limit)
    }

    /// The cache as it is now.
    pub fn cache_snapshot(&self) -> CacheSnapshot {
        let state = self.state.borrow();
        CacheSnapshot {
            incarnation: state.log.incarnation(),
            event: state.log.last(),
            blocks: state.cache.blocks(),
        }
    }

    fn step(&self) {
        let mut state = self.state.borrow_mut();
        state.admit(self.options.batch_limit);
        state.advance(self.options.prefill_per_step);
        state.note_load(&self.options);
    }

    fn is_empty(&self) -> bool {
        let state = self.state.borrow();
        state.waiting.is_empty() && state.running.is_empty()
    }

    async fn wait_for_work(&self) {
        if self.is_empty() {
            let signal = ShutdownSignal::new();
            self.state.borrow_mut().idle = Some(signal.clone());
            signal.given().await;
        }
    }
}

impl BatchState {
    fn new(options: &EngineOptions) -> Self {
        let load = EngineLoad { batch_limit: options.batch_limit as u64, ..EngineLoad::default() };
        Self {
            arrivals: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            cache: PrefixCache::new(options.cache_blocks),
            log: EventLog::new(options.events),
            load: LaggedValue::new(options.load_lag, load),
            runs: HashMap::new(),
            tag_runs: HashMap::new(),
            idle: None,
        }
    }

    fn note_load(&mut self, options: &EngineOptions) {
        let load = EngineLoad {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            prefill_tokens: self.running.iter().map(|job| job.prefill_left).sum(),
            batch_limit: options.batch_limit as u64,
        };
        self.load.set(Instant::now(), load);
    }

    fn advance(&mut self, mut prefill: u64) {
        let cache = &mut self.cache;
        let mut changes = Vec::new();
        self.running.retain_mut(|job| job.advance(&mut prefill, cache, &mut changes));
        self.log.append(Instant::now(), changes);
    }

    /// Moves waiting requests into the batch, by priority and then by arrival.
    fn admit(&mut self, limit: usize) {
        self.waiting.retain(|job| !job.events.is_closed());
        self.waiting.sort_by_key(|job| (job.request.priority, job.arrival));
        let places = limit.saturating_sub(self.running.len()).min(self.waiting.len());
        for mut job in self.waiting.drain(..places) {
            let blocks = job.request.blocks("");
            let warm = self.cache.warm_blocks(&blocks);
            self.cache.touch(&blocks[..warm]);
            job.cached = (warm * TOKENS_PER_BLOCK) as u64;
            job.prefill_left = job.prompt_tokens.saturating_sub(job.cached);
            *self.runs.entry(job.request.id.clone()).or_default() += 1;
            if let Some(tag) = &job.request.tag {
                *self.tag_runs.entry(tag.clone()).or_default() += 1;
            }
            self.running.push(job);
        }
    }
}

impl EngineRequest {
    fn root(&self) -> u64 {
        root_hash(&self.model, self.adapter.as_deref())
    }

    fn blocks(&self, answer: &str) -> Vec<u64> {
        block_hashes(self.root(), &format!("{}{answer}", self.prompt))
    }
}

impl EngineJob {
    /// Does one step of the request; `false` once it has ended.
    fn advance(
        &mut self,
        prefill: &mut u64,
        cache: &mut PrefixCache,
        changes: &mut Vec<CacheChange>,
    ) -> bool {
        if self.events.is_closed() {
            return false;
        }
        if self.prefill_left > 0 {
            let computed = self.prefill_left.min(*prefill);
            *prefill -= computed;
            self.prefill_left -= computed;
            if self.prefill_left == 0 {
                changes.extend(cache.store(self.request.root(), &self.request.blocks("")));
            }
            return true;
        }
        if self.produced < self.request.plan.tokens {
            let token = self.request.plan.token(self.produced);
            self.produced += 1;
            return self.events.send(EngineEvent::Token(token)).is_ok();
        }
        let turn = format!("assistant: {}\n", self.request.plan.text());
        changes.extend(cache.store(self.request.root(), &self.request.blocks(&turn)));
        let _ = self.events.send(EngineEvent::Done(UsageReport {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.produced,
            prompt_tokens_details: PromptDetails { cached_tokens: self.cached },
        }));
        false
    }
}

async fn run_steps(batch: EngineBatch) {
    loop {
        batch.wait_for_work().await;
        monoio::time::sleep(batch.options.step).await;
        batch.step();
    }
}
