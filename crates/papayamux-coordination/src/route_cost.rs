//! The expected time to the first token, by which servers are compared.

use std::time::Duration;

use papayamux_protocol::engine::TOKENS_PER_BLOCK;
use papayamux_protocol::link::ProbeReply;
use papayamux_protocol::wire::MAX_CHECKPOINTS;
use papayamux_state::cache_index::short_hash;
use papayamux_state::durations::saturating_secs;
use papayamux_state::quantities::{RequestCount, TokenCount};

/// Maximum number of blocks of a prompt that a probe names.
const MAX_PROBED_BLOCKS: usize = 6;
const _: () = assert!(MAX_PROBED_BLOCKS <= MAX_CHECKPOINTS);
/// Weight of a token that has to be prefilled, relative to its own prefill time: it also delays all
/// prompts queued behind it and evicts other blocks from the cache.
const COLD_WEIGHT: f64 = 4.0;
/// Time that each request on a server adds to that of another one there: every step takes a little
/// longer, and the server comes closer to its bound.
const TIME_PER_REQUEST: Duration = Duration::from_micros(500);

/// Selected blocks of a prompt, by which an agent can estimate how much of it is cached.
///
/// The last block is always included. The closer the blocks are to the end, the closer they are to
/// one another, because a chat that returns has grown only by its last turn.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptCheckpoints {
    tokens: u64,
    blocks: Vec<usize>,
    hashes: Vec<u32>,
}

impl PromptCheckpoints {
    /// Creates the checkpoints of a prompt of `tokens` tokens with these block hashes.
    pub fn new(hashes: &[u64], tokens: TokenCount) -> Self {
        let total = hashes.len();
        let mut blocks: Vec<usize> = (0..MAX_PROBED_BLOCKS as u32)
            .map(|step| total - (total >> step))
            .chain([total])
            .filter(|count| *count > 0)
            .collect();
        blocks.dedup();
        if blocks.len() > MAX_PROBED_BLOCKS {
            blocks.remove(0);
        }
        let hashes = blocks.iter().map(|count| short_hash(hashes[count - 1])).collect();
        Self { tokens: tokens.get(), blocks, hashes }
    }

    /// Returns the hashes that a probe carries.
    pub fn hashes(&self) -> &[u32] {
        &self.hashes
    }

    /// Returns the number of tokens that a server has to prefill if it holds the first `warm`
    /// checkpoints.
    pub fn cold_tokens(&self, warm: u32) -> TokenCount {
        let index = (warm as usize).min(self.blocks.len());
        let warm_blocks = index.checked_sub(1).and_then(|last| self.blocks.get(last));
        let warm_tokens = (warm_blocks.copied().unwrap_or(0) * TOKENS_PER_BLOCK) as u64;
        TokenCount::new(self.tokens.saturating_sub(warm_tokens))
    }
}

/// Returns the expected time to the first token at a server that answered a probe plus the cost
/// that the request imposes on other requests there; `None` if the server accepts no requests.
pub fn route_cost(reply: &ProbeReply, checkpoints: &PromptCheckpoints) -> Option<Duration> {
    if reply.load.limit == RequestCount::default() {
        return None;
    }
    let cold = cold_cost(reply.prefill_rate, checkpoints.cold_tokens(reply.warm));
    let requests = (reply.load.running + reply.load.waiting).get();
    let concurrency = TIME_PER_REQUEST.saturating_mul(u32::try_from(requests).unwrap_or(u32::MAX));
    Some(reply.load.backlog.saturating_add(cold).saturating_add(concurrency))
}

fn cold_cost(rate: TokenCount, tokens: TokenCount) -> Duration {
    let seconds = tokens.get() as f64 / rate.get().max(1) as f64;
    saturating_secs(seconds * COLD_WEIGHT)
}
