//! A caller's connection, as one of those who hold memory.

use std::fmt;
use std::time::{Duration, Instant};

use papayamux_state::quantities::ByteCount;

use super::memory_limits::SMALL_HOLDER_BYTES;

/// Time without progress after which a holder counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Number of bytes that count as progress. A caller that sends less in [`STALL_TIME`] is stalled.
const PROGRESS_BYTES: u64 = 16 * 1024;

/// Identifies a holder in its ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub(super) u64);

impl fmt::Display for HolderId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// What a holder does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderStage {
    /// No request has arrived completely: the connection is idle, or a head is being received.
    Waiting,
    /// The body of a request is being received.
    Receiving,
    /// A complete request waits for a server or runs there.
    Busy,
    /// The caller doesn't read its answer.
    Unread,
}

#[derive(Debug)]
pub(super) struct Holder {
    pub(super) held: ByteCount,
    pub(super) stage: HolderStage,
    /// Whether the caller has accepted the answer to one of its requests, and reads on if there is another.
    pub(super) is_served: bool,
    pub(super) is_evicted: bool,
    progressed_at: Instant,
    bytes_since_progress: u64,
}

impl Holder {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            held: ByteCount::default(),
            stage: HolderStage::Waiting,
            is_served: false,
            is_evicted: false,
            progressed_at: now,
            bytes_since_progress: 0,
        }
    }

    pub(super) fn set_stage(&mut self, stage: HolderStage, now: Instant) {
        self.stage = stage;
        self.record_progress(now);
    }

    pub(super) fn record_bytes(&mut self, bytes: u64, now: Instant) {
        self.bytes_since_progress += bytes;
        if self.bytes_since_progress >= PROGRESS_BYTES {
            self.record_progress(now);
        }
    }

    fn record_progress(&mut self, now: Instant) {
        self.progressed_at = now;
        self.bytes_since_progress = 0;
    }

    pub(super) fn is_small(&self) -> bool {
        self.held <= SMALL_HOLDER_BYTES
    }

    pub(super) fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.progressed_at)
    }

    pub(super) fn is_stalled(&self, now: Instant) -> bool {
        self.idle_time(now) >= STALL_TIME
    }

    /// Returns whether the holder may be evicted: no request of it is under way, or its caller doesn't read.
    pub(super) fn may_yield(&self) -> bool {
        !self.is_evicted && self.stage != HolderStage::Busy
    }

    /// Returns whether the connection is kept for a caller that has accepted its last answer.
    pub(super) fn is_kept(&self) -> bool {
        self.is_served && self.stage == HolderStage::Waiting
    }
}
