//! How the turns of one chat get the same key.

use xxhash_rust::xxh3::Xxh3;

use crate::ids::{AdapterId, ChatKey, ModelId, OrganisationId};

/// What a chat key is derived from where the caller sends no conversation id.
#[derive(Debug, Clone, Copy)]
pub struct ChatOpening<'a> {
    /// The organisation that calls.
    pub organisation: &'a OrganisationId,
    /// The model asked for.
    pub model: &'a ModelId,
    /// The adapter asked for.
    pub adapter: Option<&'a AdapterId>,
    /// The text up to and including the first turn of the user, which later turns repeat.
    pub first_turns: &'a [&'a str],
}

/// Derives the key: a longer prompt of the same chat keeps its opening and so its key.
pub fn derive_chat_key(opening: ChatOpening<'_>) -> ChatKey {
    let mut hasher = Xxh3::new();
    let adapter = opening.adapter.map_or("", AdapterId::as_str);
    let parts = [opening.organisation.as_str(), opening.model.as_str(), adapter];
    for part in parts.iter().chain(opening.first_turns) {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hashed_key(hasher.digest128())
}

/// The key of a chat that the caller names: bound to its organisation, so that one organisation
/// can't guess its way into the placement of another's chats.
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

/// A chat's key as one number, for messages and tables that can't hold the whole key.
pub fn chat_hash(chat: &ChatKey) -> u64 {
    xxhash_rust::xxh3::xxh3_64(chat.as_str().as_bytes())
}
