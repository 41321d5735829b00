//! One connection to an agent, with its streams.

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
use papayamux_transport::agent_link::{AgentReceiver, ProvedLink, CONNECTION};
use papayamux_transport::link::{LinkError, LinkSender};

use super::pending_probes::PendingProbes;
use super::silence_count::SilenceCount;
use super::stream_slot::{SlotOrigin, StreamSlot};
use super::{AgentNews, StreamEvent, StreamHandle};
use crate::metrics::RouterMetrics;

/// How often a connection with open streams is checked for silence.
const CHECK_EVERY: Duration = Duration::from_secs(1);

/// A reading of the agent's clock.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock: AgentClock,
    read: Instant,
}

/// A connection over which requests may be sent.
pub struct AgentLink {
    sender: LinkSender<RouterMessage>,
    welcome: AgentWelcome,
    reading: Cell<ClockReading>,
    streams: RefCell<HashMap<u64, Rc<StreamSlot>>>,
    claims: RefCell<HashMap<u64, unbounded::Tx<ClaimReply>>>,
    next_stream: Cell<u64>,
    open: Cell<bool>,
    leaving: Cell<bool>,
    probes: PendingProbes,
    news: Rc<AgentNews>,
    metrics: RouterMetrics,
}

impl AgentLink {
    /// Uses a connection whose ends have proved themselves; its messages have still to be read.
    pub fn new(
        proved: ProvedLink,
        news: Rc<AgentNews>,
        metrics: RouterMetrics,
    ) -> (Rc<Self>, AgentReceiver) {
        let ProvedLink { sender, receiver, welcome } = proved;
        let server = welcome.server.clone();
        let reading = ClockReading { clock: welcome.clock, read: Instant::now() };
        let link = Self {
            sender,
            welcome,
            reading: Cell::new(reading),
            streams: RefCell::default(),
            claims: RefCell::default(),
            next_stream: Cell::new(CONNECTION + 1),
            open: Cell::new(true),
            leaving: Cell::new(false),
            probes: PendingProbes::new(server, news.loads.clone()),
            news,
            metrics,
        };
        (Rc::new(link), receiver)
    }

    /// Whether requests may be sent here.
    pub fn is_open(&self) -> bool {
        self.open.get() && !self.sender.is_closed()
    }

    /// Whether the agent has said that it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// What the agent said of itself.
    pub fn welcome(&self) -> &AgentWelcome {
        &self.welcome
    }

    /// The agent's clock: never ahead of it.
    pub fn agent_clock(&self) -> AgentClock {
        let reading = self.reading.get();
        reading.clock.after(reading.read.elapsed())
    }

    /// Opens a stream; `None` where the connection is gone or the agent leaves, and nothing was
    /// sent.
    pub fn open_stream(self: &Rc<Self>, open: OpenRequest) -> Option<StreamHandle> {
        if self.is_leaving() {
            return None;
        }
        let origin = SlotOrigin {
            id: open.id,
            agent: Some(open.agent),
            organisation: open.organisation.clone(),
            start_before: Some(open.start_before),
            idempotent: open.repeat == RetryRule::Idempotent,
        };
        let (events, inbox) = unbounded::channel();
        let slot = StreamSlot::new(origin, ResumePoint::Offset(0), events);
        let sent = self.seat(&slot, RouterMessage::Open(Box::new(open)));
        sent.then(|| StreamHandle::new(slot, inbox))
    }

    /// Opens a stream with the rest of an answer that any router began.
    pub fn resume_stream(
        self: &Rc<Self>,
        origin: SlotOrigin,
        from: ResumePoint,
    ) -> Option<StreamHandle> {
        let (events, inbox) = unbounded::channel();
        let slot = StreamSlot::new(origin, from, events);
        self.resume_slot(&slot).then(|| StreamHandle::new(slot, inbox))
    }

    /// Opens a stream with the answer of an earlier run of a key.
    pub fn recall_stream(
        self: &Rc<Self>,
        id: RequestId,
        recall: RecallRequest,
    ) -> Option<StreamHandle> {
        let origin = SlotOrigin {
            id,
            agent: Some(self.welcome.incarnation),
            organisation: recall.organisation.clone(),
            start_before: None,
            idempotent: false,
        };
        let (events, inbox) = unbounded::channel();
        let slot = StreamSlot::new(origin, ResumePoint::Offset(0), events);
        let sent = self.seat(&slot, RouterMessage::Recall(recall));
        sent.then(|| StreamHandle::new(slot, inbox))
    }

    /// Asks the agent to grant a key; nothing where the connection is gone, or goes before the
    /// agent has answered.
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

    /// Says what became of a claim.
    pub fn tell_claim(&self, notice: ClaimNotice) {
        self.send(CONNECTION, RouterMessage::ClaimNotice(notice));
    }

    /// Lets a stream go on here; `false` where this connection is gone too.
    pub fn resume_slot(self: &Rc<Self>, slot: &Rc<StreamSlot>) -> bool {
        self.seat(slot, RouterMessage::Resume(Box::new(slot.resume_request())))
    }

    fn seat(self: &Rc<Self>, slot: &Rc<StreamSlot>, first: RouterMessage) -> bool {
        if !self.is_open() {
            return false;
        }
        let stream = self.next_number();
        slot.sit(self.clone(), stream);
        self.streams.borrow_mut().insert(stream, slot.clone());
        self.send(stream, first)
    }

    fn next_number(&self) -> u64 {
        let stream = self.next_stream.get();
        self.next_stream.set(stream + 1);
        stream
    }

    /// Asks the agent for its load; `None` where the connection is lost meanwhile.
    pub async fn probe(&self, probe: LoadProbe) -> Option<ProbeReply> {
        let stream = self.next_number();
        let reply = self.probes.begin(stream);
        if !self.is_open() || !self.send(stream, RouterMessage::Probe(probe)) {
            self.probes.end(stream);
            return None;
        }
        reply.await.ok()
    }

    /// Tells the agent that a chat of which it is the home was served elsewhere.
    pub fn tell_moved(&self, moved: MovedChat) {
        self.send(CONNECTION, RouterMessage::Moved(moved));
    }

    pub(super) fn send(&self, stream: u64, message: RouterMessage) -> bool {
        self.metrics.control_bytes.send(router_control_length(&message));
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

    pub(super) fn awaits_heads(&self) -> bool {
        self.streams.borrow().values().any(|slot| slot.awaits_head())
    }

    /// Closes the connection for new streams and gives those that were on it.
    fn lose(&self) -> Vec<Rc<StreamSlot>> {
        self.open.set(false);
        self.claims.borrow_mut().clear();
        self.probes.clear();
        self.streams.borrow_mut().drain().map(|(_, slot)| slot).collect()
    }

    fn take_clock(&self, clock: AgentClock) {
        if clock > self.agent_clock() {
            self.reading.set(ClockReading { clock, read: Instant::now() });
        }
    }

    fn slot(&self, stream: u64) -> Option<Rc<StreamSlot>> {
        self.streams.borrow().get(&stream).cloned()
    }
}

/// A claim that waits for its answer; dropping it ends the wait.
struct PendingClaim<'a> {
    link: &'a AgentLink,
    stream: u64,
}

impl Drop for PendingClaim<'_> {
    fn drop(&mut self) {
        self.link.claims.borrow_mut().remove(&self.stream);
    }
}

/// Why a connection ended.
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

/// Reads to the connection's end and gives the streams that were on it then.
pub async fn read_messages(
    link: Rc<AgentLink>,
    mut receiver: AgentReceiver,
    metrics: &RouterMetrics,
) -> Vec<Rc<StreamSlot>> {
    let end = read_until_end(&link, &mut receiver, metrics).await;
    let slots = link.lose();
    metrics.lost_links.count(end.label());
    let (server, streams, reason) = (&link.welcome.server, slots.len(), end.label());
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
    slots
}

async fn read_until_end(
    link: &AgentLink,
    receiver: &mut AgentReceiver,
    metrics: &RouterMetrics,
) -> LinkEnd {
    let mut silence = SilenceCount::default();
    let mut check = Box::pin(monoio::time::sleep(CHECK_EVERY));
    loop {
        let received = std::pin::pin!(receiver.receive());
        match select(received, check.as_mut()).await {
            Either::Right(_) => {
                check = Box::pin(monoio::time::sleep(CHECK_EVERY));
                if silence.check(link) {
                    return LinkEnd::Silent;
                }
            }
            Either::Left((None, _)) => return LinkEnd::Closed,
            Either::Left((Some(Err(error)), _)) => return LinkEnd::Broken(error),
            Either::Left((Some(Ok(addressed)), _)) => {
                silence.note(link, &addressed.message);
                if !take_message(link, addressed.stream, addressed.message) {
                    metrics.stray_frames.inc();
                }
            }
        }
    }
}

/// Acts on a message; `false` where it belongs to nothing.
fn take_message(link: &AgentLink, stream: u64, message: AgentMessage) -> bool {
    link.metrics.control_bytes.receive(agent_control_length(&message));
    match message {
        AgentMessage::Load(report) => link.probes.note_load(report),
        AgentMessage::Probed(reply) => return link.probes.take_reply(stream, reply),
        AgentMessage::Pong(pong) => link.take_clock(pong.clock),
        AgentMessage::Leaving => link.leaving.set(true),
        AgentMessage::Crashes(notices) => link.news.quarantine.take_notices(&notices),
        AgentMessage::Ping(number) => drop(link.send(CONNECTION, RouterMessage::Pong(number))),
        AgentMessage::Claim(reply) => {
            if let Some(waiting) = link.claims.borrow().get(&stream) {
                let _ = waiting.send(reply);
            }
        }
        AgentMessage::Welcome(_) | AgentMessage::Serving(_) => return false,
        message => {
            let Some(slot) = link.slot(stream) else { return false };
            return take_answer(&slot, message);
        }
    }
    true
}

/// Passes a stream's message on; one out of order ends the stream as lost.
fn take_answer(slot: &StreamSlot, message: AgentMessage) -> bool {
    let in_order = match message {
        AgentMessage::Resumed(notice) => slot.take_resumed(notice),
        AgentMessage::Data(data) => slot.take_data(data),
        AgentMessage::Head(head) => {
            slot.take_head(head);
            true
        }
        AgentMessage::Refused(notice) => {
            slot.take_end(StreamEvent::Refused(notice));
            true
        }
        AgentMessage::End(AnswerEnd::Whole(length)) if !slot.has_all(length) => false,
        AgentMessage::End(end) => {
            slot.take_end(StreamEvent::End(end));
            true
        }
        AgentMessage::NotHeld => {
            slot.take_end(StreamEvent::NotHeld);
            true
        }
        _ => false,
    };
    if !in_order {
        slot.close(RouterMessage::Cancel);
        slot.lose();
    }
    in_order
}
