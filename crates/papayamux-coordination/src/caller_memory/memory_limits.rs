//! The limits on what callers may make a process hold.

use papayamux_state::quantities::ByteCount;

/// Share of the machine's memory for what callers hold. The rest is for the process itself, for buffers of the
/// kernel and for unused parts of the heap.
const CALLER_SHARE: f64 = 0.55;
/// Share of the limit that only small holders may use.
const SMALL_RESERVE_SHARE: f64 = 0.25;

/// What a connection costs by itself: its task, its buffers, and bytes that the kernel holds for it.
pub const CONNECTION_BYTES: ByteCount = ByteCount::new(32 * 1024);
/// Size up to which a holder is small: a connection with a head and a body of usual length, and the buffered
/// beginning of an answer.
pub const SMALL_HOLDER_BYTES: ByteCount = ByteCount::new(160 * 1024);

/// The limits on what all callers together may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Limit of the sum over all holders.
    pub total: ByteCount,
    /// Limit of the sum above which only small holders get more.
    pub large: ByteCount,
}

impl MemoryLimits {
    /// Limits that no caller meets.
    pub const UNLIMITED: Self =
        Self { total: ByteCount::new(u64::MAX), large: ByteCount::new(u64::MAX) };

    /// Returns the limits on a machine with this much memory.
    pub fn of_machine(memory: ByteCount) -> Self {
        let total = memory.get() as f64 * CALLER_SHARE;
        let large = total * (1.0 - SMALL_RESERVE_SHARE);
        Self { total: ByteCount::new(total as u64), large: ByteCount::new(large as u64) }
    }

    /// Returns how many connections may be open so that they leave half of the limit to requests.
    pub fn max_connections(&self) -> usize {
        let count = self.total.get() / 2 / CONNECTION_BYTES.get();
        usize::try_from(count).unwrap_or(usize::MAX).max(1)
    }
}
