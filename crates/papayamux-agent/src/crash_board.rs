//! Requests under which servers end, as the agent tells them to routers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Instant;

use papayamux_coordination::crash_quarantine::{CrashQuarantine, NoticeOrigin};
use papayamux_protocol::link::{AgentMessage, OpenRequest};
use papayamux_state::crash_record::CrashRecord;
use papayamux_state::request_fingerprint::RequestFingerprint;
use papayamux_transport::agent_link::CONTROL_STREAM;
use papayamux_transport::link::LinkSender;

/// Notices in one message.
const MOST_NOTICES: usize = 64;

/// A request that is about to run.
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

/// What the agent has seen of such requests, and whom it tells.
#[derive(Default)]
pub struct CrashBoard {
    quarantine: RefCell<CrashQuarantine>,
    routers: RefCell<HashMap<u64, LinkSender<AgentMessage>>>,
}

impl CrashBoard {
    /// Tells a router on a new connection what is held, and from now on what changes.
    pub fn connect(&self, link: u64, sender: LinkSender<AgentMessage>) {
        let held = self.quarantine.borrow_mut().next_held(MOST_NOTICES, Instant::now());
        if !held.is_empty() {
            sender.send(CONTROL_STREAM, AgentMessage::Crashes(held));
        }
        self.routers.borrow_mut().insert(link, sender);
    }

    /// Forgets a connection.
    pub fn disconnect(&self, link: u64) {
        self.routers.borrow_mut().remove(&link);
    }

    /// Notes that the server ended under a request. Routers hear of it before they hear that its answer
    /// is lost, so that none of them sends it elsewhere without that knowledge.
    pub fn note_crash(&self, content: RunningContent) {
        let RunningContent { fingerprint, sent_after } = content;
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.forget_old(Instant::now());
        if quarantine.note_crash(fingerprint, sent_after, 0.0, Instant::now()).is_some() {
            let crashes = sent_after.crashes + 1;
            log::warn!(fingerprint:% = fingerprint, crashes = crashes; "server ended under a request");
        }
        self.tell(&mut quarantine);
    }

    /// Notes that the server has run a request to its end.
    pub fn note_run(&self, content: RunningContent) {
        let RunningContent { fingerprint, sent_after } = content;
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.note_run(fingerprint, sent_after, Instant::now()) {
            log::info!(fingerprint:% = fingerprint; "suspect request was served");
        }
        self.tell(&mut quarantine);
    }

    fn tell(&self, quarantine: &mut CrashQuarantine) {
        let notices = quarantine.next_untold(NoticeOrigin::Seen, MOST_NOTICES, Instant::now());
        if notices.is_empty() {
            return;
        }
        for router in self.routers.borrow().values() {
            router.send(CONTROL_STREAM, AgentMessage::Crashes(notices.clone()));
        }
    }
}
