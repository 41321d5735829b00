//! Records of servers that crashed under a suspect, which routers send to one another.

use std::time::Duration;

use crate::crash_suspect::CrashSuspect;

/// How often servers completed requests with a suspect or crashed under them. Of two records of a
/// suspect the greater one includes more events: a completed run outweighs all crashes before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashRecord {
    /// The number of times a completed run has cleared the suspect.
    pub cleared: u32,
    /// The number of servers that crashed under the suspect since it was last cleared. Each received
    /// its request after the previous one had crashed.
    pub crashes: u32,
}

impl CrashRecord {
    /// Returns the record after one more server has crashed.
    pub fn after_crash(self) -> Self {
        Self { crashes: self.crashes.saturating_add(1), ..self }
    }

    /// Returns the record after a server has completed a request with the suspect.
    pub fn after_run(self) -> Self {
        Self { cleared: self.cleared.saturating_add(1), crashes: 0 }
    }
}

/// The crash record of one suspect as sent between routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashNotice {
    /// The suspect.
    pub suspect: CrashSuspect,
    /// The crash record of the suspect.
    pub record: CrashRecord,
    /// The remaining time for which requests with the suspect are quarantined.
    pub quarantine_left: Duration,
    /// `true` if a router has just sent a request with the quarantined suspect, to find out whether
    /// servers still crash on it.
    pub is_on_trial: bool,
}
