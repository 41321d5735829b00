//! A model of the prompt prefixes that a server probably has in its cache.
//!
//! Prompts that routers placed on the server are recorded as prefixes. The list that an engine gives
//! of its cache contains parts without their order. A listed part is assumed to be cached together
//! with all parts before it in a prompt, since each use of a part also uses those before it.

use std::collections::{BTreeMap, HashMap};

use super::{PartId, PromptChain, PromptPart};
use crate::quantities::TokenCount;

/// Maximum number of prefixes kept for one server. At about 55 bytes each, 600 servers take 26 MB of
/// the 32 MB that a router may use for control. For a server that starts ten requests per second,
/// each with a part of its own, this covers the last 80 seconds.
const MAX_PREFIXES: usize = 800;

/// Maximum number of listed parts kept for one server. The largest are listed first; the prefill of
/// any other part takes only some milliseconds.
const MAX_LISTED_PARTS: usize = 64;

/// The share of its capacity from which a cache counts as nearly full.
const NEARLY_FULL_RATIO: f64 = 0.9;

#[derive(Debug, Clone, Copy)]
struct WarmPrefix {
    tokens: TokenCount,
    last_use: u64,
}

/// A model of one server's cache with least-recently-used eviction once its capacity is exceeded.
#[derive(Debug)]
pub struct WarmParts {
    capacity: TokenCount,
    held: TokenCount,
    prefixes: HashMap<PartId, WarmPrefix>,
    by_use: BTreeMap<u64, PartId>,
    listed: HashMap<PartId, TokenCount>,
    was_listed: bool,
    uses: u64,
}

impl WarmParts {
    /// Creates an empty cache of `capacity` tokens.
    pub fn new(capacity: TokenCount) -> Self {
        Self {
            capacity,
            held: TokenCount::default(),
            prefixes: HashMap::new(),
            by_use: BTreeMap::new(),
            listed: HashMap::new(),
            was_listed: false,
            uses: 0,
        }
    }

    /// Returns the number of leading tokens of `chain` that are expected to be cached.
    pub fn warm_tokens(&self, chain: &PromptChain) -> TokenCount {
        let known = chain.prefixes().take_while(|(prefix, _)| self.prefixes.contains_key(prefix));
        let placed: TokenCount = known.map(|(_, tokens)| tokens).sum();
        placed.max(self.listed_tokens(chain))
    }

    /// Returns whether the server was given this prefix and is expected to have all of it cached.
    pub fn holds(&self, prefix: PartId) -> bool {
        self.prefixes.contains_key(&prefix)
    }

    /// Returns the number of tokens up to the end of the last part of `chain` that the server
    /// listed.
    fn listed_tokens(&self, chain: &PromptChain) -> TokenCount {
        let parts = chain.parts();
        let last = parts.iter().rposition(|part| self.listed.contains_key(&part.id));
        last.map_or(TokenCount::default(), |last| {
            parts[..=last].iter().map(|part| part.tokens).sum()
        })
    }

    /// Returns whether the cache is nearly full, so that new parts evict about as many tokens as
    /// they add.
    pub fn is_nearly_full(&self) -> bool {
        self.held.get() as f64 >= self.capacity.get() as f64 * NEARLY_FULL_RATIO
    }

    /// Records that the server was given `chain`.
    pub fn record_use(&mut self, chain: &PromptChain) {
        for part in chain.parts() {
            self.forget_listed(part.id);
        }
        self.record_prefixes(chain.prefixes());
    }

    /// Records the parts that the server lists of its cache, the largest first. Only the first list
    /// is used: the same list is received several times, and the prefixes recorded since then are
    /// more accurate.
    pub fn record_listed(&mut self, parts: impl IntoIterator<Item = PromptPart>) {
        if std::mem::replace(&mut self.was_listed, true) {
            return;
        }
        for part in parts.into_iter().take(MAX_LISTED_PARTS) {
            if self.listed.insert(part.id, part.tokens).is_none() {
                self.held += part.tokens;
            }
        }
        self.evict_excess();
    }

    /// Records that the server holds these prefixes.
    pub fn record_prefixes(&mut self, prefixes: impl Iterator<Item = (PartId, TokenCount)>) {
        for (prefix, tokens) in prefixes {
            self.touch(prefix, tokens);
        }
        self.evict_excess();
    }

    /// Removes the entries that the server is assumed to have evicted, until the model is within
    /// its limits.
    fn evict_excess(&mut self) {
        while self.held > self.capacity || self.prefixes.len() > MAX_PREFIXES {
            if !self.forget_oldest() {
                break;
            }
        }
    }

    fn touch(&mut self, prefix: PartId, tokens: TokenCount) {
        self.uses += 1;
        match self.prefixes.get_mut(&prefix) {
            Some(known) => {
                self.by_use.remove(&known.last_use);
                known.last_use = self.uses;
            }
            None => {
                self.prefixes.insert(prefix, WarmPrefix { tokens, last_use: self.uses });
                self.held += tokens;
            }
        }
        self.by_use.insert(self.uses, prefix);
    }

    fn forget_listed(&mut self, part: PartId) {
        if let Some(tokens) = self.listed.remove(&part) {
            self.held = self.held.saturating_sub(tokens);
        }
    }

    /// Removes a listed part if there is one, since those are older than all recorded prefixes;
    /// otherwise removes the least recently used prefix. Returns `false` if nothing is left.
    fn forget_oldest(&mut self) -> bool {
        if let Some(part) = self.listed.keys().next().copied() {
            self.forget_listed(part);
            return true;
        }
        let Some((_, oldest)) = self.by_use.pop_first() else { return false };
        if let Some(prefix) = self.prefixes.remove(&oldest) {
            self.held = self.held.saturating_sub(prefix.tokens);
        }
        true
    }
}
