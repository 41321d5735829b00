//! The agent's view of its engine's cache and of the chats whose home it is.

use std::cell::RefCell;
use std::time::Instant;

use papayamux_coordination::prefill_backlog::PrefillBacklog;
use papayamux_protocol::chat::ChatRequest;
use papayamux_protocol::engine::{
    block_hashes, prompt_tokens, render_prompt, root_hash, TOKENS_PER_BLOCK,
};
use papayamux_protocol::link::{AgentClock, ChatTarget, LoadProbe, MovedChat, OpenRequest};
use papayamux_state::cache_index::{short_hash, CacheIndex};
use papayamux_state::chat_key::chat_hash;
use papayamux_state::ids::ServerId;
use papayamux_state::moved_chats::MovedChats;
use papayamux_state::quantities::TokenCount;
use papayamux_transport::shutdown::ShutdownSignal;

/// The context of a chat counts as local if at least the prompt's number of blocks divided by
/// this is cached here.
const LOCAL_CONTEXT_DIVISOR: usize = 4;

/// A prompt split into blocks of the engine's cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptBlocks {
    hashes: Vec<u64>,
    tokens: TokenCount,
}

impl PromptBlocks {
    /// Returns the blocks of a chat's prompt, or `None` if `body` is not a chat request.
    pub fn read(target: &ChatTarget, body: &[u8]) -> Option<Self> {
        let request: ChatRequest = serde_json::from_slice(body).ok()?;
        let prompt = render_prompt(&request.messages);
        let adapter = target.adapter.as_ref().map(|adapter| adapter.as_str());
        let root = root_hash(target.model.as_str(), adapter);
        let tokens = TokenCount::new(prompt_tokens(prompt.len()));
        Some(Self { hashes: block_hashes(root, &prompt), tokens })
    }
}

/// The agent's view of its engine. It stays empty if the backend server is a plain service.
#[derive(Debug)]
pub struct EngineView {
    index: RefCell<CacheIndex>,
    moved: RefCell<MovedChats>,
    backlog: PrefillBacklog,
    first_chat: ShutdownSignal,
}

impl EngineView {
    /// Creates a view of an engine that prefills `tokens_per_second` prompt tokens per second.
    pub fn new(tokens_per_second: TokenCount) -> Self {
        Self {
            index: RefCell::default(),
            moved: RefCell::default(),
            backlog: PrefillBacklog::new(tokens_per_second),
            first_chat: ShutdownSignal::new(),
        }
    }

    /// Waits for the first chat or chat probe, which shows that the backend server is an engine.
    pub async fn first_chat(&self) {
        self.first_chat.triggered().await;
    }

    /// Returns the index of the engine's cache.
    pub fn index(&self) -> &RefCell<CacheIndex> {
        &self.index
    }

    /// Returns the number of prompt tokens that the engine prefills per second.
    pub fn prefill_rate(&self) -> TokenCount {
        self.backlog.rate()
    }

    /// Returns the time that the engine still needs to prefill the prompts it has been given.
    pub fn prefill_left(&self, now: AgentClock) -> std::time::Duration {
        self.backlog.left(now)
    }

    /// Returns the number of leading checkpoints of a probe that are cached.
    pub fn warm_checkpoints(&self, probe: &LoadProbe) -> u32 {
        if probe.chat != 0 {
            self.first_chat.trigger();
        }
        let hashes = probe.checkpoints.iter().copied();
        self.index.borrow().warm_prefix(hashes, Instant::now()) as u32
    }

    /// Returns the server that last served a chat, if that was another one.
    pub fn elsewhere(&self, chat: u64) -> Option<ServerId> {
        self.moved.borrow().get(chat, Instant::now()).cloned()
    }

    /// Records that a chat whose home is this server was served by another one.
    pub fn record_moved(&self, moved: MovedChat) {
        self.moved.borrow_mut().record(moved.chat, moved.server, Instant::now());
    }

    /// Returns the server that has the context of a request, if another one served the chat last
    /// and too little of the prompt is cached here.
    pub fn context_elsewhere(&self, open: &OpenRequest) -> Option<ServerId> {
        let target = open.chat.as_ref()?;
        let server = self.elsewhere(chat_hash(&target.chat))?;
        let blocks = PromptBlocks::read(target, &open.body)?;
        let is_cached_here =
            self.warm_blocks(&blocks) * LOCAL_CONTEXT_DIVISOR >= blocks.hashes.len();
        (!is_cached_here).then_some(server)
    }

    fn warm_blocks(&self, blocks: &PromptBlocks) -> usize {
        let hashes = blocks.hashes.iter().map(|hash| short_hash(*hash));
        self.index.borrow().warm_prefix(hashes, Instant::now())
    }

    /// Records that a request is sent to the engine now.
    pub fn record_start(&self, open: &OpenRequest, now: AgentClock) {
        let Some(target) = &open.chat else { return };
        self.first_chat.trigger();
        self.moved.borrow_mut().forget(chat_hash(&target.chat));
        let Some(blocks) = PromptBlocks::read(target, &open.body) else { return };
        let warm = self.warm_blocks(&blocks) * TOKENS_PER_BLOCK;
        self.backlog.add(blocks.tokens.saturating_sub(TokenCount::new(warm as u64)), now);
        self.index.borrow_mut().expect(&blocks.hashes, Instant::now());
    }
}
