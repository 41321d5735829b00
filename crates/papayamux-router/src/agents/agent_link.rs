//! A connection to an agent and its streams.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{select, Either};
use local_sync::mpsc::unbounded;
use papayamux_protocol::link::{
    AgentClock, AgentMessage, AgentWelcome, AnswerEnd, ClaimNotice, ClaimReply, ClaimRequest,
    LoadProbe, MovedChat, OpenRequest, ProbeReply, RecallRequest, ResumePoint, RetryRule,
    RouterMessage,
};
use papayamux_protocol::wire::{agent_control_length, router_control_length};
use papayamux_state::ids::RequestId;
use papayamux_transport::agent_link::{AgentReceiver, AuthenticatedLink, CONTROL_STREAM};
use papayamux_transport::link::{LinkError, LinkSender};

use super::pending_probes::PendingProbes;
use super::silence_detector::SilenceDetector;
use super::stream_state::{StreamOrigin, StreamState};
use super::{AgentUpdates, StreamEvent, StreamHandle};
use crate::metrics::RouterMetrics;

/// Interval at which a connection with open streams is checked for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A sample of the agent's clock.
#[derive(Debug, Clone, Copy)]
struct ClockSample {
    clock: AgentClock,
    sampled_at: Instant,
}

/// A connection to an agent, over which requests are sent.
pub struct AgentLink {
    sender: LinkSender<RouterMessage>,
    welcome: AgentWelcome,
    sample: Cell<ClockSample>,
    streams: RefCell<HashMap<u64, Rc<StreamState>>>,
    claims: RefCell<HashMap<u64, unbounded::Tx<ClaimReply>>>,
    next_stream: Cell<u64>,
    open: Cell<bool>,
    draining: Cell<bool>,
    probes: PendingProbes,
    updates: Rc<AgentUpdates>,
    metrics: RouterMetrics,
}

impl AgentLink {
    /// Creates the link for a connection whose ends are authenticated. The caller has to read the
    /// returned receiver with [`read_messages`].
    pub fn new(
        proved: AuthenticatedLink,
        updates: Rc<AgentUpdates>,
        metrics: RouterMetrics,
    ) -> (Rc<Self>, AgentReceiver) {
        let AuthenticatedLink { sender, receiver, welcome } = proved;
        let server = welcome.server.clone();
        let sample = ClockSample { clock: welcome.clock, sampled_at: Instant::now() };
        let link = Self {
            sender,
            welcome,
            sample: Cell::new(sample),
            streams: RefCell::default(),
            claims: RefCell::default(),
            next_stream: Cell::new(CONTROL_STREAM + 1),
            open: Cell::new(true),
            draining: Cell::new(false),
            probes: PendingProbes::new(server, updates.loads.clone()),
            updates,
            metrics,
        };
        (Rc::new(link), receiver)
    }

    /// Returns whether requests may be sent on this connection.
    pub fn is_open(&self) -> bool {
        self.open.get() && !self.sender.is_closed()
    }

    /// Returns whether the agent is draining and accepts no new requests.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns the agent's welcome message.
    pub fn welcome(&self) -> &AgentWelcome {
        &self.welcome
    }

    /// Returns an estimate of the agent's clock that is never ahead of it.
    pub fn agent_clock(&self) -> AgentClock {
        let sample = self.sample.get();
        sample.clock.after(sample.sampled_at.elapsed())
    }

    /// Opens a stream. Returns `None` if the connection is lost or the agent is draining; nothing
    /// was sent then.
    pub fn open_stream(self: &Rc<Self>, open: OpenRequest) -> Option<StreamHandle> {
        if self.is_draining() {
            return None;
        }
        let origin = StreamOrigin {
            id: open.id,
            agent: Some(open.agent),
            organisation: open.organisation.clone(),
            start_before: Some(open.start_before),
            idempotent: open.retry_rule == RetryRule::Idempotent,
        };
        let (events, inbox) = unbounded::channel();
        let state = StreamState::new(origin, ResumePoint::Offset(0), events);
        let sent = self.attach_stream(&state, RouterMessage::Open(Box::new(open)));
        sent.then(|| StreamHandle::new(state, inbox))
    }

    /// Opens a stream with the rest of an answer, whichever router began it.
    pub fn resume_stream(
        self: &Rc<Self>,
        origin: StreamOrigin,
        from: ResumePoint,
    ) -> Option<StreamHandle> {
        let (events, inbox) = unbounded::channel();
        let state = StreamState::new(origin, from, events);
        self.reattach_stream(&state).then(|| StreamHandle::new(state, inbox))
    }

    /// Opens a stream with the answer of an earlier run under an idempotency key.
    pub fn recall_stream(
        self: &Rc<Self>,
        id: RequestId,
        recall: RecallRequest,
    ) -> Option<StreamHandle> {
        let origin = StreamOrigin {
            id,
            agent: Some(self.welcome.incarnation),
            organisation: recall.organisation.clone(),
            start_before: None,
            idempotent: false,
        };
        let (events, inbox) = unbounded::channel();
        let state = StreamState::new(origin, ResumePoint::Offset(0), events);
        let sent = self.attach_stream(&state, RouterMessage::Recall(recall));
        sent.then(|| StreamHandle::new(state, inbox))
    }

    /// Requests a claim of a key from the agent. Returns `None` if the connection is lost before
    /// the agent replies.
    pub async fn claim(&self, request: ClaimRequest) -> Option<ClaimReply> {
        if !self.is_open() {
            return None;
        }
        let stream = self.next_number();
        let (sender, mut reply) = unbounded::channel();
        self.claims.borrow_mut().insert(stream, sender);
        let _pending = PendingClaim { link: self, stream };
        if !self.send(stream, RouterMessage::Claim(request)) {
            return None;
        }
        reply.recv().await
    }

    /// Notifies the agent of a change of a claim.
    pub fn send_claim_notice(&self, notice: ClaimNotice) {
        self.send(CONTROL_STREAM, RouterMessage::ClaimNotice(notice));
    }

    /// Resumes a stream on this connection. Returns `false` if this connection is lost too.
    pub fn reattach_stream(self: &Rc<Self>, state: &Rc<StreamState>) -> bool {
        self.attach_stream(state, RouterMessage::Resume(Box::new(state.resume_request())))
    }

    fn attach_stream(self: &Rc<Self>, state: &Rc<StreamState>, first: RouterMessage) -> bool {
        if !self.is_open() {
            return false;
        }
        let stream = self.next_number();
        state.attach(self.clone(), stream);
        self.streams.borrow_mut().insert(stream, state.clone());
        self.send(stream, first)
    }

    fn next_number(&self) -> u64 {
        let stream = self.next_stream.get();
        self.next_stream.set(stream + 1);
        stream
    }

    /// Probes the agent for its load. Returns `None` if the connection is lost before the reply.
    pub async fn probe(&self, probe: LoadProbe) -> Option<ProbeReply> {
        let stream = self.next_number();
        let reply = self.probes.begin(stream);
        if !self.is_open() || !self.send(stream, RouterMessage::Probe(probe)) {
            self.probes.end(stream);
            return None;
        }
        reply.await.ok()
    }

    /// Notifies the agent that a chat whose home it is was served by another server.
    pub fn send_moved_chat(&self, moved: MovedChat) {
        self.send(CONTROL_STREAM, RouterMessage::Moved(moved));
    }

    pub(super) fn send(&self, stream: u64, message: RouterMessage) -> bool {
        self.metrics.control_bytes.record_sent(router_control_length(&message));
        self.sender.send(stream, message)
    }

    pub(super) fn close_stream(&self, stream: u64) {
        self.streams.borrow_mut().remove(&stream);
    }

    pub(super) fn has_streams(&self) -> bool {
        !self.streams.borrow().is_empty()
            || !self.claims.borrow().is_empty()
            || !self.probes.is_empty()
    }

    pub(super) fn awaits_any_head(&self) -> bool {
        self.streams.borrow().values().any(|state| state.awaits_head())
    }

    /// Closes the connection to new streams, and removes and returns the streams that were on it.
    fn take_streams(&self) -> Vec<Rc<StreamState>> {
        self.open.set(false);
        self.claims.borrow_mut().clear();
        self.probes.clear();
        self.streams.borrow_mut().drain().map(|(_, state)| state).collect()
    }

    fn update_clock(&self, clock: AgentClock) {
        if clock > self.agent_clock() {
            self.sample.set(ClockSample { clock, sampled_at: Instant::now() });
        }
    }

    fn state(&self, stream: u64) -> Option<Rc<StreamState>> {
        self.streams.borrow().get(&stream).cloned()
    }
}

/// A claim that awaits its reply; dropping it removes it from the link.
struct PendingClaim<'a> {
    link: &'a AgentLink,
    stream: u64,
}

impl Drop for PendingClaim<'_> {
    fn drop(&mut self) {
        self.link.claims.borrow_mut().remove(&self.stream);
    }
}

/// The reason for the end of a connection.
enum LinkEnd {
    Closed,
    Silent,
    Broken(LinkError),
}

impl LinkEnd {
    fn label(&self) -> &'static str {
        match self {
            LinkEnd::Closed => "closed",
            LinkEnd::Silent => "silent",
            LinkEnd::Broken(_) => "broken",
        }
    }
}

/// Reads messages until the connection ends, and returns the streams that were on it at that time.
pub async fn read_messages(
    link: Rc<AgentLink>,
    mut receiver: AgentReceiver,
    metrics: &RouterMetrics,
) -> Vec<Rc<StreamState>> {
    let end = read_until_end(&link, &mut receiver, metrics).await;
    let states = link.take_streams();
    metrics.lost_links.count(end.label());
    let (server, streams, reason) = (&link.welcome.server, states.len(), end.label());
    match end {
        LinkEnd::Broken(error) => log::warn!(
            server:% = server, streams = streams, error:% = error;
            "connection to agent broke"
        ),
        LinkEnd::Closed | LinkEnd::Silent => log::info!(
            server:% = server, streams = streams, reason = reason;
            "connection to agent ended"
        ),
    }
    states
}

async fn read_until_end(
    link: &AgentLink,
    receiver: &mut AgentReceiver,
    metrics: &RouterMetrics,
) -> LinkEnd {
    let mut silence = SilenceDetector::default();
    let mut check = Box::pin(monoio::time::sleep(SILENCE_CHECK_INTERVAL));
    loop {
        let received = std::pin::pin!(receiver.receive());
        match select(received, check.as_mut()).await {
            Either::Right(_) => {
                check = Box::pin(monoio::time::sleep(SILENCE_CHECK_INTERVAL));
                if silence.check(link) {
                    return LinkEnd::Silent;
                }
            }
            Either::Left((None, _)) => return LinkEnd::Closed,
            Either::Left((Some(Err(error)), _)) => return LinkEnd::Broken(error),
            Either::Left((Some(Ok(addressed)), _)) => {
                silence.record_message(link, &addressed.message);
                if !handle_message(link, addressed.stream, addressed.message) {
                    metrics.stray_frames.inc();
                }
            }
        }
    }
}

/// Handles a message. Returns `false` if it matches no stream, probe or state of the connection.
fn handle_message(link: &AgentLink, stream: u64, message: AgentMessage) -> bool {
    link.metrics.control_bytes.record_received(agent_control_length(&message));
    match message {
        AgentMessage::Load(report) => link.probes.record_load(report),
        AgentMessage::Probed(reply) => return link.probes.deliver_reply(stream, reply),
        AgentMessage::Pong(pong) => link.update_clock(pong.clock),
        AgentMessage::Leaving => link.draining.set(true),
        AgentMessage::Crashes(notices) => link.updates.quarantine.record_notices(&notices),
        AgentMessage::Ping(number) => drop(link.send(CONTROL_STREAM, RouterMessage::Pong(number))),
        AgentMessage::Claim(reply) => {
            if let Some(waiting) = link.claims.borrow().get(&stream) {
                let _ = waiting.send(reply);
            }
        }
        AgentMessage::Welcome(_) | AgentMessage::Serving(_) => return false,
        message => {
            let Some(state) = link.state(stream) else { return false };
            return handle_answer_message(&state, message);
        }
    }
    true
}

/// Passes a message to its stream. Returns `false` if it is out of order, which cancels the stream
/// and reports it as lost.
fn handle_answer_message(state: &StreamState, message: AgentMessage) -> bool {
    let in_order = match message {
        AgentMessage::Resumed(notice) => state.receive_resumed(notice),
        AgentMessage::Data(data) => state.receive_data(data),
        AgentMessage::Head(head) => {
            state.receive_head(head);
            true
        }
        AgentMessage::Refused(notice) => {
            state.receive_end(StreamEvent::Refused(notice));
            true
        }
        AgentMessage::End(AnswerEnd::Complete(length)) if !state.has_all(length) => false,
        AgentMessage::End(end) => {
            state.receive_end(StreamEvent::End(end));
            true
        }
        AgentMessage::NotHeld => {
            state.receive_end(StreamEvent::NotHeld);
            true
        }
        _ => false,
    };
    if !in_order {
        state.close(RouterMessage::Cancel);
        state.mark_lost();
    }
    in_order
}
