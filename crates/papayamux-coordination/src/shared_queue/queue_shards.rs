//! Shards of the shared queue of a service with many servers, each with an owner of its own.

use papayamux_state::ids::{IdError, ServerKey, ServiceId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum mean number of slots of a shard. It bounds what one owner decides on, and leaves enough
/// slots for shares within a shard.
const SHARD_SLOTS: u32 = 64;

/// A part of a service's servers whose slots one owner grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueShard {
    /// The name of the shard's queue, by which its owner is found.
    pub queue: ServiceId,
    /// The servers of the shard.
    pub servers: Vec<ServerKey>,
    /// The slots of these servers.
    pub slots: u32,
}

/// Divides the servers of a service, each with its slots, into shards. Routers that know the same
/// servers have the same shards; a server that comes or goes moves others only when the number of
/// shards changes. A shard without servers is left out. A service with few slots has one shard with
/// the name of the service.
///
/// # Errors
///
/// If the name of the service is so long that it can't be extended.
pub fn queue_shards(
    service: &ServiceId,
    servers: &[(ServerKey, u32)],
) -> Result<Vec<QueueShard>, IdError> {
    let slots = servers.iter().fold(0u32, |sum, (_, slots)| sum.saturating_add(*slots));
    let count = slots.div_ceil(SHARD_SLOTS).max(1).next_power_of_two();
    let mut shards = Vec::new();
    for index in 0..count {
        let queue = shard_queue(service, index, count)?;
        shards.push(QueueShard { queue, servers: Vec::new(), slots: 0 });
    }
    for (server, slots) in servers {
        let hash = xxh3_64_with_seed(&server.0.to_le_bytes(), u64::from(SHARD_SLOTS));
        let shard = &mut shards[(hash % u64::from(count)) as usize];
        shard.servers.push(*server);
        shard.slots = shard.slots.saturating_add(*slots);
    }
    shards.iter_mut().for_each(|shard| shard.servers.sort_unstable());
    shards.retain(|shard| !shard.servers.is_empty());
    Ok(shards)
}

/// Returns the shard that a request takes, at random by slots. `sample` is between 0 and 1.
pub fn pick_shard(shards: &[QueueShard], sample: f64) -> Option<&QueueShard> {
    let slots: f64 = shards.iter().map(|shard| f64::from(shard.slots)).sum();
    let mut rest = sample * slots;
    for shard in shards {
        rest -= f64::from(shard.slots);
        if rest < 0.0 {
            return Some(shard);
        }
    }
    shards.last()
}

fn shard_queue(service: &ServiceId, index: u32, count: u32) -> Result<ServiceId, IdError> {
    match count {
        1 => Ok(service.clone()),
        _ => format!("{service}#{index}/{count}").parse(),
    }
}
