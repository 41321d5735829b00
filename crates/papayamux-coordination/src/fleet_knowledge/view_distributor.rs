//! Decides which routers receive a complete view from this one, and which are referred to others.
//!
//! When all routers start together, most of them ask the same few. Each hands its view to a few others and
//! refers the rest to these, so that the view spreads in a tree whose depth grows with the logarithm of the
//! fleet's size, while the bytes that each router sends don't grow with it.

use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Period over which transfers are limited.
const TRANSFER_PERIOD: Duration = Duration::from_secs(1);
/// Maximum size of all transfers within [`TRANSFER_PERIOD`]: a tenth of a second on the slowest link of
/// 20 Mbit/s.
const MAX_TRANSFER_BYTES: usize = 256 * 1024;
/// Number of transfers that are allowed at any size, as the tree must branch.
const MIN_RECIPIENTS: usize = 2;
/// Maximum number of transfers at any size.
const MAX_RECIPIENTS: usize = 16;
/// Number of routers named in a referral. One of them may have failed.
const REFERRED_ROUTERS: usize = 2;

/// Verdict on a request for a view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransferVerdict {
    /// The router receives the view.
    Send,
    /// The router is referred to these, which have received the view.
    Refer(Vec<IpAddr>),
}

/// The recent transfers of a router.
#[derive(Debug, Default)]
pub struct ViewDistributor {
    recipients: Vec<(IpAddr, Instant)>,
    referrals: usize,
}

impl ViewDistributor {
    /// Decides on a request of `router` for a view of `bytes` bytes.
    pub fn decide(&mut self, router: IpAddr, bytes: usize, now: Instant) -> TransferVerdict {
        self.recipients.retain(|(_, sent)| now.saturating_duration_since(*sent) < TRANSFER_PERIOD);
        let affordable = MAX_TRANSFER_BYTES / bytes.max(1);
        let allowed = affordable.clamp(MIN_RECIPIENTS, MAX_RECIPIENTS);
        if self.recipients.len() < allowed {
            self.recipients.push((router, now));
            return TransferVerdict::Send;
        }
        let others = self.recipients.iter().map(|(recipient, _)| *recipient);
        let others: Vec<_> = others.filter(|recipient| *recipient != router).collect();
        self.referrals = self.referrals.wrapping_add(1);
        let first = self.referrals % others.len().max(1);
        let referred = others.iter().cycle().skip(first).take(REFERRED_ROUTERS.min(others.len()));
        TransferVerdict::Refer(referred.copied().collect())
    }
}
