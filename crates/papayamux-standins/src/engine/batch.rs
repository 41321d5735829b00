//! Continuous batching: each step computes some prompt tokens and one token of each answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use local_sync::mpsc::unbounded;
use papayamux_protocol::chat::{PromptDetails, UsageReport};
use papayamux_protocol::engine::{
    block_hashes, prompt_tokens, root_hash, EngineLoad, TOKENS_PER_BLOCK,
};
use papayamux_transport::shutdown::ShutdownSignal;

use super::answer_plan::AnswerPlan;
use super::options::EngineOptions;
use super::prefix_cache::PrefixCache;

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

#[derive(Default)]
struct BatchState {
    arrivals: u64,
    waiting: Vec<EngineJob>,
    running: Vec<EngineJob>,
    cache: PrefixCache,
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
        let cache = PrefixCache::new(options.cache_blocks);
        let state = BatchState { cache, ..BatchState::default() };
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

    /// The present load.
    pub fn load(&self) -> EngineLoad {
        let state = self.state.borrow();
        EngineLoad {
            running: state.running.len() as u64,
            waiting: state.waiting.len() as u64,
            prefill_tokens: state.running.iter().map(|job| job.prefill_left).sum(),
            batch_limit: self.options.batch_limit as u64,
        }
    }

    fn step(&self) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.admit(self.options.batch_limit);
        let mut prefill = self.options.prefill_per_step;
        let cache = &mut state.cache;
        state.running.retain_mut(|job| job.advance(&mut prefill, cache));
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
    /// Moves waiting requests into the batch, by priority and then by arrival.
    fn admit(&mut self, limit: usize) {
        self.waiting.retain(|job| !job.events.is_closed());
        self.waiting.sort_by_key(|job| (job.request.priority, job.arrival));
        let places = limit.saturating_sub(self.running.len()).min(self.waiting.len());
        for mut job in self.waiting.drain(..places) {
            let warm = self.cache.warm_blocks(&job.request.blocks("")) * TOKENS_PER_BLOCK;
            job.cached = warm as u64;
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
    fn blocks(&self, answer: &str) -> Vec<u64> {
        let root = root_hash(&self.model, self.adapter.as_deref());
        block_hashes(root, &format!("{}{answer}", self.prompt))
    }
}

impl EngineJob {
    /// Does one step of the request; `false` once it has ended.
    fn advance(&mut self, prefill: &mut u64, cache: &mut PrefixCache) -> bool {
        if self.events.is_closed() {
            return false;
        }
        if self.prefill_left > 0 {
            let computed = self.prefill_left.min(*prefill);
            *prefill -= computed;
            self.prefill_left -= computed;
            if self.prefill_left == 0 {
                cache.store(&self.request.blocks(""));
            }
            return true;
        }
        if self.produced < self.request.plan.tokens {
            let token = self.request.plan.token(self.produced);
            self.produced += 1;
            return self.events.send(EngineEvent::Token(token)).is_ok();
        }
        let turn = format!("assistant: {}\n", self.request.plan.text());
        cache.store(&self.request.blocks(&turn));
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
