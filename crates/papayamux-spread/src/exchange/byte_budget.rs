//! Limit on the bytes that a process exchanges with its peers, both directions combined.

use std::time::Instant;

use local_sync::semaphore::Semaphore;
use papayamux_state::quantities::ByteCount;

use crate::rate_limit::TokenBucket;

/// Maximum size in bytes of a message that doesn't queue behind body parts.
const MAX_URGENT_BYTES: u64 = 1_024;
/// Burst allowance, as a share of the bytes per second.
const BURST_SHARE: f64 = 0.1;
/// Debt that urgent messages may cause, as a share of the bytes per second.
const URGENT_DEBT_SHARE: f64 = 0.15;

/// Byte budget. Short messages may overdraw it slightly. Body parts wait until all debt is paid,
/// one at a time, so that a large file doesn't delay announcements.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    bucket: TokenBucket,
    urgent_debt: f64,
    bulk_permit: Semaphore,
}

impl ByteBudget {
    /// Creates a budget of `rate` bytes per second.
    pub(crate) fn new(rate: ByteCount) -> Self {
        let rate = rate.get() as f64;
        let burst = rate * BURST_SHARE;
        Self {
            bucket: TokenBucket::new(rate, burst, burst, Instant::now()),
            urgent_debt: rate * URGENT_DEBT_SHARE,
            bulk_permit: Semaphore::new(1),
        }
    }

    /// Waits until `bytes` may be sent.
    pub(crate) async fn take(&self, bytes: u64) {
        match bytes <= MAX_URGENT_BYTES {
            true => self.bucket.take(bytes as f64, self.urgent_debt).await,
            false => self.take_bulk(bytes).await,
        }
    }

    /// Waits until `bytes` of a body may be sent or requested.
    pub(crate) async fn take_bulk(&self, bytes: u64) {
        let _permit = self.bulk_permit.acquire().await;
        self.bucket.take(bytes as f64, 0.0).await;
    }

    /// Charges received bytes, of which `prepaid` were reserved before. Returns the unused part of
    /// the reservation.
    pub(crate) fn charge(&self, bytes: u64, prepaid: u64) {
        match bytes.checked_sub(prepaid) {
            Some(more) => {
                self.bucket.reserve(more as f64, 0.0, Instant::now());
            }
            None => self.bucket.refund((prepaid - bytes) as f64),
        }
    }
}
