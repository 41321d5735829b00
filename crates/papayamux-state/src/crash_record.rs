//! What routers know, and tell one another, of servers that ended under a request.

use std::time::Duration;

use crate::request_fingerprint::RequestFingerprint;

/// How servers fared under one request. Of two records the greater one knows more: a run to its end
/// outweighs all crashes before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashRecord {
    /// How often a server that ran it to the end has cleared it.
    pub cleared: u32,
    /// Servers that ended under it since, each of which got it after the one before had ended.
    pub crashes: u32,
}

impl CrashRecord {
    /// The record after one more server has ended.
    pub fn after_crash(self) -> Self {
        Self { crashes: self.crashes.saturating_add(1), ..self }
    }

    /// The record after a server has run the request to its end.
    pub fn after_run(self) -> Self {
        Self { cleared: self.cleared.saturating_add(1), crashes: 0 }
    }
}

/// One request's record on its way between routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashNotice {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Its record.
    pub record: CrashRecord,
    /// For how long it is still kept from servers.
    pub held: Duration,
}
