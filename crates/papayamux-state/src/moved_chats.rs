//! A home agent's memory of chats that were served elsewhere.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::ServerId;

/// Chats that are remembered at most.
const MAX_CHATS: usize = 16_384;
/// How long a chat is remembered.
const CHAT_RETENTION: Duration = Duration::from_secs(3_600);

#[derive(Debug, Clone)]
struct MovedEntry {
    server: ServerId,
    since: Instant,
}

/// Chats by the hash of their key, each with the server that had it last. Losing an entry costs a
/// prompt that has to be computed again, nothing else.
#[derive(Debug, Default)]
pub struct MovedChats {
    chats: HashMap<u64, MovedEntry>,
    order: VecDeque<(u64, Instant)>,
}

impl MovedChats {
    /// Notes where a chat was served.
    pub fn record(&mut self, chat: u64, server: ServerId, now: Instant) {
        self.chats.insert(chat, MovedEntry { server, since: now });
        self.order.push_back((chat, now));
        self.drop_expired(now);
    }

    /// Forgets a chat that has come home.
    pub fn forget(&mut self, chat: u64) {
        self.chats.remove(&chat);
    }

    /// Where a chat was served last, where that is known.
    pub fn get(&self, chat: u64, now: Instant) -> Option<&ServerId> {
        let entry = self.chats.get(&chat)?;
        let fresh = now.saturating_duration_since(entry.since) < CHAT_RETENTION;
        fresh.then_some(&entry.server)
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some((chat, since)) = self.order.front().copied() {
            let expired = now.saturating_duration_since(since) >= CHAT_RETENTION;
            if !expired && self.order.len() <= MAX_CHATS {
                break;
            }
            self.order.pop_front();
            if self.chats.get(&chat).is_some_and(|entry| entry.since == since) {
                self.chats.remove(&chat);
            }
        }
    }
}
