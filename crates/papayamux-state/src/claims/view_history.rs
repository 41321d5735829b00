//! The views of the declared fleet that a process has known within the retention window.

use std::time::Duration;

use super::FleetDigest;

/// Views remembered at most; more changes than this within one window are not told apart.
const MAX_VIEWS: usize = 32;

/// One view with the time until which it must be reckoned with.
#[derive(Debug, Clone, Copy)]
struct KnownView {
    digest: FleetDigest,
    until: Duration,
}

/// Digests by the time until which they count. Times are since the process started.
#[derive(Debug, Clone, Default)]
pub struct ViewHistory {
    views: Vec<KnownView>,
}

impl ViewHistory {
    /// Notes that `digest` counts until `until`; `false` where too many are known.
    pub fn record(&mut self, digest: FleetDigest, until: Duration, now: Duration) -> bool {
        self.views.retain(|view| view.until > now);
        if let Some(view) = self.views.iter_mut().find(|view| view.digest == digest) {
            view.until = view.until.max(until);
            return true;
        }
        if self.views.len() >= MAX_VIEWS {
            return false;
        }
        self.views.push(KnownView { digest, until });
        true
    }

    /// Has `digest` count no longer than until `until`.
    pub fn retire(&mut self, digest: FleetDigest, until: Duration) {
        if let Some(view) = self.views.iter_mut().find(|view| view.digest == digest) {
            view.until = until;
        }
    }

    /// Whether each view that still counts at `now` is among `digests`.
    pub fn is_covered_by(&self, digests: &[FleetDigest], now: Duration) -> bool {
        let mut counting = self.views.iter().filter(|view| view.until > now);
        counting.all(|view| digests.contains(&view.digest))
    }
}
