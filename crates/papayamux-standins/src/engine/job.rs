//! One request in the engine.

use std::collections::HashSet;
use std::rc::Rc;

use papayamux_protocol::chat::{PromptDetails, UsageReport};
use papayamux_protocol::engine::{
    block_hashes, prompt_tokens, root_hash, CacheChange, TOKENS_PER_BLOCK,
};

use super::answer_plan::AnswerPlan;
use super::answer_record::{AnswerEnd, AnswerRecord};
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

impl EngineRequest {
    fn root(&self) -> u64 {
        root_hash(&self.model, self.adapter.as_deref())
    }

    fn blocks(&self, answer: &str) -> Vec<u64> {
        block_hashes(self.root(), &format!("{}{answer}", self.prompt))
    }
}

/// A request that waits for or has a place in the batch.
pub struct EngineJob {
    /// The request.
    pub request: EngineRequest,
    /// Its answer.
    pub record: Rc<AnswerRecord>,
    /// The number of its arrival.
    pub arrival: u64,
    /// Prompt tokens that are still to be computed.
    pub prefill_left: u64,
    weights_unloaded: bool,
    cached: u64,
    prompt_tokens: u64,
}

impl EngineJob {
    /// A request that has just arrived.
    pub fn new(request: EngineRequest, record: Rc<AnswerRecord>, arrival: u64) -> Self {
        let tokens = prompt_tokens(request.prompt.len());
        Self {
            request,
            record,
            arrival,
            prefill_left: tokens,
            weights_unloaded: false,
            cached: 0,
            prompt_tokens: tokens,
        }
    }

    /// The weights below `roots` are gone: a request that runs with them ends as it began, but
    /// nothing it computes may be cached for those that come after them.
    pub fn mark_unloaded(&mut self, roots: &HashSet<u64>) {
        self.weights_unloaded |= roots.contains(&self.request.root());
    }

    /// Takes what the cache holds of the prompt.
    pub fn reuse(&mut self, cache: &mut PrefixCache) {
        let blocks = self.request.blocks("");
        let warm = cache.warm_blocks(&blocks);
        cache.touch(&blocks[..warm]);
        self.cached = (warm * TOKENS_PER_BLOCK) as u64;
        self.prefill_left = self.prompt_tokens.saturating_sub(self.cached);
    }

    /// Does one step of the request, with at most `prefill` prompt tokens, and gives what this
    /// changed in the cache.
    pub fn advance(&mut self, prefill: &mut u64, cache: &mut PrefixCache) -> Vec<CacheChange> {
        if self.prefill_left > 0 {
            return self.compute_prompt(prefill, cache);
        }
        if self.record.produced() < self.request.plan.tokens {
            self.record.produce();
            return Vec::new();
        }
        self.record.finish(AnswerEnd::Complete(self.usage()));
        let turn = format!("assistant: {}\n", self.request.plan.text());
        self.store(&turn, cache)
    }

    fn compute_prompt(&mut self, prefill: &mut u64, cache: &mut PrefixCache) -> Vec<CacheChange> {
        let computed = self.prefill_left.min(*prefill);
        *prefill -= computed;
        self.prefill_left -= computed;
        match self.prefill_left {
            0 => self.store("", cache),
            _ => Vec::new(),
        }
    }

    fn store(&self, answer: &str, cache: &mut PrefixCache) -> Vec<CacheChange> {
        match self.weights_unloaded {
            true => Vec::new(),
            false => cache.store(self.request.root(), &self.request.blocks(answer)),
        }
    }

    fn usage(&self) -> UsageReport {
        UsageReport {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.record.produced(),
            prompt_tokens_details: PromptDetails { cached_tokens: self.cached },
        }
    }
}
