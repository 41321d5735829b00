//! A request and its progress in the engine.

use std::collections::HashSet;
use std::rc::Rc;

use papayamux_protocol::chat::{PromptDetails, UsageReport};
use papayamux_protocol::engine::{
    block_hashes, prompt_tokens, root_hash, CacheChange, TOKENS_PER_BLOCK,
};

use super::answer_plan::AnswerPlan;
use super::answer_record::{AnswerEnd, AnswerRecord};
use super::prefix_cache::PrefixCache;

/// A parsed chat request.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// Request id set by the caller; empty if absent.
    pub id: String,
    /// Tag under which the request's runs are counted for tests.
    pub tag: Option<String>,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter.
    pub adapter: Option<String>,
    /// Rendered prompt.
    pub prompt: String,
    /// Priority class; lower numbers are admitted first.
    pub priority: u32,
    /// Predetermined answer.
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

/// A request that is waiting for a slot in the batch or running in one.
pub struct EngineJob {
    /// The request.
    pub request: EngineRequest,
    /// Progress of the answer.
    pub record: Rc<AnswerRecord>,
    /// Sequence number of the request's arrival.
    pub arrival: u64,
    /// Number of prompt tokens still to be prefilled.
    pub prefill_left: u64,
    weights_unloaded: bool,
    cached: u64,
    prompt_tokens: u64,
}

impl EngineJob {
    /// Creates the job of a request that has just arrived.
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

    /// Marks the request's weights as unloaded if they belong to one of `roots`. The request still
    /// completes with them, but its blocks are no longer cached, since they are invalid for the
    /// weights loaded next.
    pub fn mark_unloaded(&mut self, roots: &HashSet<u64>) {
        self.weights_unloaded |= roots.contains(&self.request.root());
    }

    /// Reuses the cached prefix of the prompt, which reduces the remaining prefill.
    pub fn reuse(&mut self, cache: &mut PrefixCache) {
        let blocks = self.request.blocks("");
        let warm = cache.warm_blocks(&blocks);
        cache.touch(&blocks[..warm]);
        self.cached = (warm * TOKENS_PER_BLOCK) as u64;
        self.prefill_left = self.prompt_tokens.saturating_sub(self.cached);
    }

    /// Advances the request by one step and returns the resulting cache changes. `prefill` is the
    /// step's remaining budget of prompt tokens.
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
