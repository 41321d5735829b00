//! Notifies routers of requests under which servers crash.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Instant;

use papayamux_coordination::crash_quarantine::{CrashQuarantine, NoticeOrigin};
use papayamux_protocol::link::{AgentMessage, OpenRequest};
use papayamux_state::crash_record::CrashRecord;
use papayamux_state::request_fingerprint::RequestFingerprint;
use papayamux_transport::agent_link::CONTROL_STREAM;
use papayamux_transport::link::LinkSender;

/// Maximum number of notices in one message.
const MAX_NOTICES: usize = 64;

/// The content of a request that is about to run.
#[derive(Debug, Clone, Copy)]
pub struct RunningContent {
    fingerprint: RequestFingerprint,
    sent_after: CrashRecord,
}

impl From<&OpenRequest> for RunningContent {
    fn from(open: &OpenRequest) -> Self {
        Self { fingerprint: open.fingerprint(), sent_after: open.sent_after }
    }
}

/// The agent's quarantine of requests under which servers crash, and the routers to notify.
#[derive(Default)]
pub struct CrashNotifier {
    quarantine: RefCell<CrashQuarantine>,
    routers: RefCell<HashMap<u64, LinkSender<AgentMessage>>>,
}

impl CrashNotifier {
    /// Sends the quarantined requests to a router on a new connection, and all later changes.
    pub fn connect(&self, link: u64, sender: LinkSender<AgentMessage>) {
        let held = self.quarantine.borrow_mut().next_quarantined(MAX_NOTICES, Instant::now());
        if !held.is_empty() {
            sender.send(CONTROL_STREAM, AgentMessage::Crashes(held));
        }
        self.routers.borrow_mut().insert(link, sender);
    }

    /// Removes a connection.
    pub fn disconnect(&self, link: u64) {
        self.routers.borrow_mut().remove(&link);
    }

    /// Records that the server crashed during a request. Routers are notified before they receive
    /// the failure of the answer, so that no router sends the request to another server without
    /// knowing of the crash.
    pub fn note_crash(&self, content: RunningContent) {
        let RunningContent { fingerprint, sent_after } = content;
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.forget_old(Instant::now());
        if quarantine.record_crash(&fingerprint.into(), sent_after, 0.0, Instant::now()).is_some() {
            let crashes = sent_after.crashes + 1;
            log::warn!(fingerprint:% = fingerprint, crashes = crashes; "server ended under a request");
        }
        self.announce(&mut quarantine);
    }

    /// Records that the server has completed a request.
    pub fn note_run(&self, content: RunningContent) {
        let RunningContent { fingerprint, sent_after } = content;
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.record_run(&fingerprint.into(), sent_after, Instant::now()) {
            log::info!(fingerprint:% = fingerprint; "suspect request was served");
        }
        self.announce(&mut quarantine);
    }

    fn announce(&self, quarantine: &mut CrashQuarantine) {
        let notices =
            quarantine.next_unannounced(NoticeOrigin::Observed, MAX_NOTICES, Instant::now());
        if notices.is_empty() {
            return;
        }
        for router in self.routers.borrow().values() {
            router.send(CONTROL_STREAM, AgentMessage::Crashes(notices.clone()));
        }
    }
}
