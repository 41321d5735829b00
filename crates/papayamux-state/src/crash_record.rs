//! Records of servers that crashed under a request, which routers send to one another.

use std::time::Duration;

use crate::request_fingerprint::RequestFingerprint;

/// How often servers completed one request or crashed under it. Of two records of a request the
/// greater one includes more events: a completed run outweighs all crashes before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashRecord {
    /// The number of times a completed run has cleared the request.
    pub cleared: u32,
    /// The number of servers that crashed under the request since it was last cleared. Each received
    /// the request after the previous one had crashed.
    pub crashes: u32,
}

impl CrashRecord {
    /// Returns the record after one more server has crashed.
    pub fn after_crash(self) -> Self {
        Self { crashes: self.crashes.saturating_add(1), ..self }
    }

    /// Returns the record after a server has completed the request.
    pub fn after_run(self) -> Self {
        Self { cleared: self.cleared.saturating_add(1), crashes: 0 }
    }
}

/// The crash record of one request as sent between routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashNotice {
    /// The fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// The crash record of the request.
    pub record: CrashRecord,
    /// The remaining time for which the request is quarantined.
    pub quarantine_left: Duration,
}
