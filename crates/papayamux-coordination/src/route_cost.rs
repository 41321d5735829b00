//! The expected time to the first token, by which servers are compared.

use std::time::Duration;

use papayamux_protocol::engine::TOKENS_PER_BLOCK;
use papayamux_protocol::link::ProbeReply;
use papayamux_protocol::wire::MAX_CHECKPOINTS;
use papayamux_state::cache_index::short_hash;
use papayamux_state::quantities::{RequestCount, TokenCount};

/// Blocks of a prompt that a probe names at most.
const PROBED_BLOCKS: usize = 6;
const _: () = assert!(PROBED_BLOCKS <= MAX_CHECKPOINTS);
/// How much more a token that has to be computed counts than its own time: it also delays all
/// prompts behind it, and takes the place of other blocks in the cache.
const COLD_WEIGHT: f64 = 4.0;
/// What each request at a server adds to the time of a further one there: every step takes a
/// little longer, and the server comes nearer to its bound.
const TIME_PER_REQUEST: Duration = Duration::from_micros(500);

/// Some blocks of a prompt, by which an agent can tell about how much of it is cached.
///
/// The last block is always among them, and the others lie the closer together the nearer they
/// are to the end, because a chat that returns has grown by its last turn only.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptCheckpoints {
    tokens: u64,
    blocks: Vec<usize>,
    hashes: Vec<u32>,
}

impl PromptCheckpoints {
    /// The checkpoints of a prompt with these block hashes and so many tokens.
    pub fn new(hashes: &[u64], tokens: TokenCount) -> Self {
        let total = hashes.len();
        let mut blocks: Vec<usize> = (0..PROBED_BLOCKS as u32)
            .map(|step| total - (total >> step))
            .chain([total])
            .filter(|count| *count > 0)
            .collect();
        blocks.dedup();
        if blocks.len() > PROBED_BLOCKS {
            blocks.remove(0);
        }
        let hashes = blocks.iter().map(|count| short_hash(hashes[count - 1])).collect();
        Self { tokens: tokens.get(), blocks, hashes }
    }

    /// The hashes that a probe carries.
    pub fn hashes(&self) -> &[u32] {
        &self.hashes
    }

    /// Tokens that a server has to compute which holds the first `warm` checkpoints.
    pub fn cold_tokens(&self, warm: u32) -> TokenCount {
        let index = (warm as usize).min(self.blocks.len());
        let warm_blocks = index.checked_sub(1).and_then(|last| self.blocks.get(last));
        let warm_tokens = (warm_blocks.copied().unwrap_or(0) * TOKENS_PER_BLOCK) as u64;
        TokenCount::new(self.tokens.saturating_sub(warm_tokens))
    }
}

/// The expected time to the first token at a server that answered a probe, with what the request
/// costs others there; `None` where the server takes none.
pub fn route_cost(reply: &ProbeReply, checkpoints: &PromptCheckpoints) -> Option<Duration> {
    if reply.load.limit == RequestCount::default() {
        return None;
    }
    let cold = cold_cost(reply.prefill_rate, checkpoints.cold_tokens(reply.warm));
    let requests = (reply.load.running + reply.load.waiting).get();
    let crowd = TIME_PER_REQUEST.saturating_mul(u32::try_from(requests).unwrap_or(u32::MAX));
    Some(reply.load.backlog + cold + crowd)
}

fn cold_cost(rate: TokenCount, tokens: TokenCount) -> Duration {
    let seconds = tokens.get() as f64 / rate.get().max(1) as f64;
    Duration::from_secs_f64(seconds * COLD_WEIGHT)
}
