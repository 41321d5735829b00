//! What agents tell unasked.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::crash_quarantine::CrashQuarantine;
use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::request_fingerprint::RequestFingerprint;

use crate::routing::LoadBook;

/// What agents tell unasked, shared by all their connections.
#[derive(Default)]
pub struct AgentNews {
    /// The loads of servers.
    pub loads: Rc<LoadBook>,
    /// Requests under which servers ended.
    pub quarantine: RequestQuarantine,
}

/// Requests under which servers ended.
#[derive(Default)]
pub struct RequestQuarantine(RefCell<CrashQuarantine>);

impl RequestQuarantine {
    /// Takes in what an agent tells.
    pub fn take_notices(&self, notices: &[CrashNotice]) {
        let (mut quarantine, now) = (self.0.borrow_mut(), Instant::now());
        quarantine.forget_old(now);
        for notice in notices {
            let is_new = quarantine.receive_notice(*notice, rand::random(), now);
            let held = quarantine.quarantine_left(notice.fingerprint, now).filter(|_| is_new);
            if let Some(held) = held {
                log::info!(
                    fingerprint:% = notice.fingerprint, crashes = notice.record.crashes,
                    held_ms = held.as_millis() as u64; "request is held by an agent's word"
                );
            }
        }
    }

    /// Whether no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// How long a request is still to be kept from servers.
    pub fn hold_left(&self, fingerprint: RequestFingerprint) -> Option<Duration> {
        self.0.borrow().quarantine_left(fingerprint, Instant::now())
    }

    /// Notes that a request is about to be sent; returns the crashes that it is sent after.
    pub fn begin_attempt(&self, fingerprint: RequestFingerprint) -> CrashRecord {
        self.0.borrow_mut().begin_attempt(fingerprint, Instant::now())
    }
}
