//! Derives the key that all turns of one chat have in common.

use xxhash_rust::xxh3::Xxh3;

use crate::ids::{AdapterId, ChatKey, ModelId, OrganisationId};

/// The data from which a chat key is derived if the caller sends no conversation id.
#[derive(Debug, Clone, Copy)]
pub struct ChatOpening<'a> {
    /// The calling organisation.
    pub organisation: &'a OrganisationId,
    /// The requested model.
    pub model: &'a ModelId,
    /// The requested adapter.
    pub adapter: Option<&'a AdapterId>,
    /// The roles and texts of the messages up to and including the user's first. The prompts of
    /// later turns repeat them.
    pub first_messages: &'a [&'a str],
}

/// Derives the key of a chat from its opening. Longer prompts of the same chat have the same opening
/// and therefore the same key.
pub fn derive_chat_key(opening: ChatOpening<'_>) -> ChatKey {
    let mut hasher = Xxh3::new();
    let adapter = opening.adapter.map_or("", AdapterId::as_str);
    let parts = [opening.organisation.as_str(), opening.model.as_str(), adapter];
    for part in parts.iter().chain(opening.first_messages) {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hashed_key(hasher.digest128())
}

/// Returns the key of a chat that the caller names with a conversation id. The key depends on the
/// organisation, so that an organisation can't influence the placement of another's chats by guessing
/// their ids.
pub fn named_chat_key(organisation: &OrganisationId, conversation: &str) -> ChatKey {
    let mut hasher = Xxh3::new();
    hasher.update(&(organisation.as_str().len() as u64).to_le_bytes());
    hasher.update(organisation.as_str().as_bytes());
    hasher.update(conversation.as_bytes());
    hashed_key(hasher.digest128())
}

fn hashed_key(digest: u128) -> ChatKey {
    match format!("{digest:032x}").parse() {
        Ok(key) => key,
        Err(_) => unreachable!("32 hexadecimal digits are an identifier"),
    }
}

/// Returns a 64-bit hash of a chat's key, for messages and tables that can't hold the whole key.
pub fn chat_hash(chat: &ChatKey) -> u64 {
    xxhash_rust::xxh3::xxh3_64(chat.as_str().as_bytes())
}
