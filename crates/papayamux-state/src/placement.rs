//! Rendezvous hashing: ranks the declared servers for a chat.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{ChatKey, ServerId};

/// Returns the hash of a name, which is the same in all processes.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// Returns the rendezvous weight of `server` for `chat`. The server with the highest weight is the
/// chat's home.
pub fn rendezvous_weight(chat: &ChatKey, server: &ServerId) -> u64 {
    let seed = name_hash(server.as_str());
    xxh3_64_with_seed(chat.as_str().as_bytes(), seed)
}

/// Returns `servers` in descending order of their weight for `chat`, the chat's home first.
///
/// Removing a server doesn't change the order of the others. Routers whose server lists differ
/// therefore disagree only on the chats of the servers by which the lists differ.
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
