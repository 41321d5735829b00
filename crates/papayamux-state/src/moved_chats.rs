//! A home agent's table of chats that were served by other servers.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::ServerId;

/// Maximum number of recorded moves, repeated moves of one chat included.
const MAX_CHATS: usize = 16_384;
/// The duration for which a moved chat is kept.
const CHAT_RETENTION: Duration = Duration::from_secs(3_600);

#[derive(Debug, Clone)]
struct MovedEntry {
    server: ServerId,
    recorded_at: Instant,
}

/// Chats by the hash of their key, each with the server that served it last. Losing an entry only
/// costs another prefill of the chat's prompt.
#[derive(Debug, Default)]
pub struct MovedChats {
    chats: HashMap<u64, MovedEntry>,
    order: VecDeque<(u64, Instant)>,
}

impl MovedChats {
    /// Records the server that served a chat.
    pub fn record(&mut self, chat: u64, server: ServerId, now: Instant) {
        self.chats.insert(chat, MovedEntry { server, recorded_at: now });
        self.order.push_back((chat, now));
        self.drop_expired(now);
    }

    /// Removes a chat that is served by its home server again.
    pub fn forget(&mut self, chat: u64) {
        self.chats.remove(&chat);
    }

    /// Returns the server that served a chat last, if it is known.
    pub fn get(&self, chat: u64, now: Instant) -> Option<&ServerId> {
        let entry = self.chats.get(&chat)?;
        let fresh = now.saturating_duration_since(entry.recorded_at) < CHAT_RETENTION;
        fresh.then_some(&entry.server)
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some((chat, recorded_at)) = self.order.front().copied() {
            let expired = now.saturating_duration_since(recorded_at) >= CHAT_RETENTION;
            if !expired && self.order.len() <= MAX_CHATS {
                break;
            }
            self.order.pop_front();
            if self.chats.get(&chat).is_some_and(|entry| entry.recorded_at == recorded_at) {
                self.chats.remove(&chat);
            }
        }
    }
}
