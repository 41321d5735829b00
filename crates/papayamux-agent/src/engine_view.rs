//! What the agent knows of its engine's cache and of the chats that it is the home of.

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

/// One part in so many of a prompt has to be cached here for its chat to count as being here.
const HERE_SHARE: usize = 4;

/// A prompt as blocks of the engine's cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptBlocks {
    hashes: Vec<u64>,
    tokens: TokenCount,
}

impl PromptBlocks {
    /// The blocks of a chat's prompt; `None` where the body is no chat.
    pub fn read(target: &ChatTarget, body: &[u8]) -> Option<Self> {
        let request: ChatRequest = serde_json::from_slice(body).ok()?;
        let prompt = render_prompt(&request.messages);
        let adapter = target.adapter.as_ref().map(|adapter| adapter.as_str());
        let root = root_hash(target.model.as_str(), adapter);
        let tokens = TokenCount::new(prompt_tokens(prompt.len()));
        Some(Self { hashes: block_hashes(root, &prompt), tokens })
    }
}

/// The agent's knowledge of its engine; it stays empty beside a plain service.
#[derive(Debug)]
pub struct EngineView {
    index: RefCell<CacheIndex>,
    moved: RefCell<MovedChats>,
    backlog: PrefillBacklog,
    chats_came: ShutdownSignal,
}

impl EngineView {
    /// A view of an engine that computes so many prompt tokens a second.
    pub fn new(tokens_per_second: TokenCount) -> Self {
        Self {
            index: RefCell::default(),
            moved: RefCell::default(),
            backlog: PrefillBacklog::new(tokens_per_second),
            chats_came: ShutdownSignal::new(),
        }
    }

    /// Waits until chats come, which says that an engine stands beside the agent.
    pub async fn chats_came(&self) {
        self.chats_came.triggered().await;
    }

    /// The index of the engine's cache.
    pub fn index(&self) -> &RefCell<CacheIndex> {
        &self.index
    }

    /// Prompt tokens that the engine computes in a second.
    pub fn prefill_rate(&self) -> TokenCount {
        self.backlog.rate()
    }

    /// How long the engine still computes prompts that it was given.
    pub fn prefill_left(&self, now: AgentClock) -> std::time::Duration {
        self.backlog.left(now)
    }

    /// Leading checkpoints of a probe that are cached.
    pub fn warm_checkpoints(&self, probe: &LoadProbe) -> u32 {
        if probe.chat != 0 {
            self.chats_came.trigger();
        }
        let hashes = probe.checkpoints.iter().copied();
        self.index.borrow().warm_prefix(hashes, Instant::now()) as u32
    }

    /// Where a chat was served last, when that was not here.
    pub fn elsewhere(&self, chat: u64) -> Option<ServerId> {
        self.moved.borrow().get(chat, Instant::now()).cloned()
    }

    /// A chat of which this is the home was served elsewhere.
    pub fn note_moved(&self, moved: MovedChat) {
        self.moved.borrow_mut().note(moved.chat, moved.server, Instant::now());
    }

    /// Where the context of a request is, when it was served elsewhere and is not cached here.
    pub fn context_elsewhere(&self, open: &OpenRequest) -> Option<ServerId> {
        let target = open.chat.as_ref()?;
        let server = self.elsewhere(chat_hash(&target.chat))?;
        let blocks = PromptBlocks::read(target, &open.body)?;
        let is_here = self.warm_blocks(&blocks) * HERE_SHARE >= blocks.hashes.len();
        (!is_here).then_some(server)
    }

    fn warm_blocks(&self, blocks: &PromptBlocks) -> usize {
        let hashes = blocks.hashes.iter().map(|hash| short_hash(*hash));
        self.index.borrow().warm_prefix(hashes, Instant::now())
    }

    /// Notes that the engine is given a request now.
    pub fn note_start(&self, open: &OpenRequest, now: AgentClock) {
        let Some(target) = &open.chat else { return };
        self.chats_came.trigger();
        self.moved.borrow_mut().forget(chat_hash(&target.chat));
        let Some(blocks) = PromptBlocks::read(target, &open.body) else { return };
        let warm = self.warm_blocks(&blocks) * TOKENS_PER_BLOCK;
        self.backlog.add(blocks.tokens.saturating_sub(TokenCount::new(warm as u64)), now);
        self.index.borrow_mut().expect(&blocks.hashes, Instant::now());
    }
}
