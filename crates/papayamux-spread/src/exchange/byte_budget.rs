//! The bytes that a process may exchange with its peers, both ways together.

use std::time::Instant;

use local_sync::semaphore::Semaphore;
use papayamux_state::quantities::ByteCount;

use crate::rate_limit::TokenBucket;

/// The longest message that need not wait its turn behind parts of bodies, in bytes.
const MAX_URGENT_BYTES: u64 = 1_024;
/// Share of a second's bytes that may be saved up.
const BURST_SHARE: f64 = 0.1;
/// Share of a second's bytes that urgent messages may overdraw.
const URGENT_DEBT_SHARE: f64 = 0.15;

/// The budget. Short messages may overdraw it a little; parts of bodies wait until all is paid,
/// one at a time, so that a large file holds up no announcement.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    bucket: TokenBucket,
    urgent_debt: f64,
    bulk_permit: Semaphore,
}

impl ByteBudget {
    /// A budget of `rate` bytes a second.
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

    /// Waits until `bytes` of a body may be sent or asked for.
    pub(crate) async fn take_bulk(&self, bytes: u64) {
        let _permit = self.bulk_permit.acquire().await;
        self.bucket.take(bytes as f64, 0.0).await;
    }

    /// Counts bytes received, of which `prepaid` were taken beforehand.
    pub(crate) fn charge(&self, bytes: u64, prepaid: u64) {
        match bytes.checked_sub(prepaid) {
            Some(more) => {
                self.bucket.reserve(more as f64, 0.0, Instant::now());
            }
            None => self.bucket.refund((prepaid - bytes) as f64),
        }
    }
}
