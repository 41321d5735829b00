//! The views of the declared fleet that a process has known within the retention.

use std::time::Duration;

use super::FleetDigest;

/// Maximum number of views. With more changes than this within one retention, further views can't
/// be recorded.
const MAX_VIEWS: usize = 32;

/// A view and the time until which it must be covered.
#[derive(Debug, Clone, Copy)]
struct KnownView {
    digest: FleetDigest,
    expires_at: Duration,
}

/// The digests of known views with their expiry times. All times are relative to the start of the
/// process.
#[derive(Debug, Clone, Default)]
pub struct ViewHistory {
    views: Vec<KnownView>,
}

impl ViewHistory {
    /// Records that `digest` is valid until `expires_at`, or until the recorded time if that is later. Returns
    /// `false` if too many views are known.
    pub fn record(&mut self, digest: FleetDigest, expires_at: Duration, now: Duration) -> bool {
        self.views.retain(|view| view.expires_at > now);
        if let Some(view) = self.views.iter_mut().find(|view| view.digest == digest) {
            view.expires_at = view.expires_at.max(expires_at);
            return true;
        }
        if self.views.len() >= MAX_VIEWS {
            return false;
        }
        self.views.push(KnownView { digest, expires_at });
        true
    }

    /// Sets the expiry time of `digest`, if it is known, to `expires_at`.
    pub fn retire(&mut self, digest: FleetDigest, expires_at: Duration) {
        if let Some(view) = self.views.iter_mut().find(|view| view.digest == digest) {
            view.expires_at = expires_at;
        }
    }

    /// Returns whether `digests` contains each view that is still valid at `now`.
    pub fn is_covered_by(&self, digests: &[FleetDigest], now: Duration) -> bool {
        let mut valid = self.views.iter().filter(|view| view.expires_at > now);
        valid.all(|view| digests.contains(&view.digest))
    }
}
