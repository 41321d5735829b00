//! Updates that agents send without a query.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::crash_quarantine::CrashQuarantine;
use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::request_fingerprint::RequestFingerprint;

use crate::routing::LoadTracker;

/// State that agents update without a query, shared by all connections to agents.
#[derive(Default)]
pub struct AgentUpdates {
    /// The loads of servers.
    pub loads: Rc<LoadTracker>,
    /// Requests under which servers crashed.
    pub quarantine: RequestQuarantine,
}

/// The quarantine of requests under which servers crashed.
#[derive(Default)]
pub struct RequestQuarantine(RefCell<CrashQuarantine>);

impl RequestQuarantine {
    /// Records the crash notices of an agent.
    pub fn record_notices(&self, notices: &[CrashNotice]) {
        let (mut quarantine, now) = (self.0.borrow_mut(), Instant::now());
        quarantine.forget_old(now);
        for notice in notices {
            let is_new = quarantine.receive_notice(notice.clone(), rand::random(), now);
            let quarantine_left =
                quarantine.quarantine_left(&notice.suspect, now).filter(|_| is_new);
            if let Some(quarantine_left) = quarantine_left {
                log::info!(
                    suspect:% = notice.suspect, crashes = notice.record.crashes,
                    held_ms = quarantine_left.as_millis() as u64; "request is held by an agent's word"
                );
            }
        }
    }

    /// Returns whether no request is suspected of crashing servers.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Returns the time for which a request stays quarantined, or `None` if it isn't.
    pub fn quarantine_left(&self, fingerprint: RequestFingerprint) -> Option<Duration> {
        self.0.borrow().quarantine_left(&fingerprint.into(), Instant::now())
    }

    /// Records that a request is about to be sent, and returns the crashes under it so far.
    pub fn begin_attempt(&self, fingerprint: RequestFingerprint) -> CrashRecord {
        self.0.borrow_mut().begin_attempt(&fingerprint.into(), Instant::now())
    }
}
