//! Which prefixes of prompts a server probably holds in its cache.
//!
//! What routers placed is known as prefixes. What an engine lists of its cache is known as parts
//! without their order; a listed part is taken to be held with all that comes before it in a prompt,
//! since each use of a part is one of those before it.

use std::collections::{BTreeMap, HashMap};

use super::{PartId, PromptChain, PromptPart};
use crate::quantities::TokenCount;

/// Prefixes remembered for one server. At about 55 bytes each, 600 servers take 26 MB of the 32 MB
/// that a router may use for control; a server that begins ten requests a second, each with a part
/// of its own, has its last 80 seconds remembered.
const MAX_PREFIXES: usize = 800;

/// Listed parts remembered for one server: the largest are listed first, and what isn't among them
/// is read again in some milliseconds.
const MAX_LISTED_PARTS: usize = 64;

/// The part of its capacity from which a cache counts as nearly full.
const NEARLY_FULL_RATIO: f64 = 0.9;

#[derive(Debug, Clone, Copy)]
struct WarmPrefix {
    tokens: TokenCount,
    used: u64,
}

/// A model of one server's cache: what it was given, the least recently used given up first once
/// the server's memory is full.
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
    /// A cache of `capacity` tokens that holds nothing yet.
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

    /// Tokens of `chain` that are expected to be cached.
    pub fn warm_tokens(&self, chain: &PromptChain) -> TokenCount {
        let known = chain.prefixes().take_while(|(prefix, _)| self.prefixes.contains_key(prefix));
        let placed: TokenCount = known.map(|(_, tokens)| tokens).sum();
        placed.max(self.listed_tokens(chain))
    }

    /// Whether the part that ends this prefix is expected to be cached, with all before it.
    pub fn holds(&self, prefix: PartId) -> bool {
        self.prefixes.contains_key(&prefix)
    }

    /// Tokens up to the end of the last part of `chain` that the server listed.
    fn listed_tokens(&self, chain: &PromptChain) -> TokenCount {
        let parts = chain.parts();
        let last = parts.iter().rposition(|part| self.listed.contains_key(&part.id));
        last.map_or(TokenCount::default(), |last| {
            parts[..=last].iter().map(|part| part.tokens).sum()
        })
    }

    /// Whether the cache is nearly full: what comes evicts about as much.
    pub fn is_nearly_full(&self) -> bool {
        self.held.get() as f64 >= self.capacity.get() as f64 * NEARLY_FULL_RATIO
    }

    /// Notes that the server reads `chain`.
    pub fn record_use(&mut self, chain: &PromptChain) {
        for part in chain.parts() {
            self.forget_listed(part.id);
        }
        self.record_prefixes(chain.prefixes());
    }

    /// Notes that the server lists these parts of its cache, the largest first. One list is taken:
    /// the same one is told several times, and what was placed since is known better.
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

    /// Notes that the server holds these prefixes.
    pub fn record_prefixes(&mut self, prefixes: impl Iterator<Item = (PartId, TokenCount)>) {
        for (prefix, tokens) in prefixes {
            self.touch(prefix, tokens);
        }
        self.evict_excess();
    }

    /// Gives up what the server has replaced by now.
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
                self.by_use.remove(&known.used);
                known.used = self.uses;
            }
            None => {
                self.prefixes.insert(prefix, WarmPrefix { tokens, used: self.uses });
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

    /// Forgets a listed part, which is older than all that was placed since, or the oldest prefix.
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
