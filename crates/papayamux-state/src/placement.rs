//! Rendezvous hashing: which declared servers a chat prefers, in order.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{ChatKey, ServerId};

/// A hash of a name, equal in all processes.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// The weight of `server` for `chat`; the highest weight is the chat's home.
pub fn rendezvous_weight(chat: &ChatKey, server: &ServerId) -> u64 {
    let seed = name_hash(server.as_str());
    xxh3_64_with_seed(chat.as_str().as_bytes(), seed)
}

/// Sorts `servers` by their weight for `chat`, the home first.
///
/// Taking a server away leaves the order of the others as it was, so that a disagreement about
/// the list moves only the chats of the servers in dispute.
///
/// ```
/// use papayamux_state::placement::rank_servers;
/// let servers = ["a", "b", "c"].map(|name| name.parse().unwrap());
/// let chat = "chat-7".parse().unwrap();
/// let ranked = rank_servers(&chat, servers.iter());
/// let fewer = rank_servers(&chat, servers.iter().filter(|server| *server != ranked[0]));
/// assert_eq!(ranked[1..], fewer[..]);
/// ```
pub fn rank_servers<'a>(
    chat: &ChatKey,
    servers: impl Iterator<Item = &'a ServerId>,
) -> Vec<&'a ServerId> {
    let mut ranked: Vec<_> =
        servers.map(|server| (rendezvous_weight(chat, server), server)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, server)| server).collect()
}
