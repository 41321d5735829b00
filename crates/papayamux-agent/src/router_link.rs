//! Serves connections of routers, with one task per connection and one per stream.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{select, Either};
use monoio::net::TcpStream;
use papayamux_protocol::link::{
    Addressed, AgentMessage, ClaimReply, ClaimRequest, LoadProbe, OpenRequest, PongNotice,
    ProbeReply, RecallRequest, RefusalNotice, ResumeRequest, RouterMessage,
};
use papayamux_protocol::wire::{agent_control_length, router_control_length};
use papayamux_state::ids::RequestId;
use papayamux_state::refusal::RefusalReason;
use papayamux_transport::agent_link::CONTROL_STREAM;
use papayamux_transport::link::{start_link, LinkError, LinkSender};
use papayamux_transport::shutdown::ShutdownSignal;

use crate::admitted_run::{run_admitted, OpenedStream};
use crate::agent_core::AgentCore;
use crate::answers::{AnswerRecord, Attachment, AttachmentKey};
use crate::claims::{serve_recall, RecallStream};
use crate::link_shutdown::{LinkShutdown, SHUTDOWN_PING};
use crate::trust::{AcceptedLink, HandshakeError, RouterReceiver, TrustedLink};

/// The time without a frame after which a router with unsent streams is pinged.
const PING_IDLE_TIME: Duration = Duration::from_secs(2);
/// Number of consecutive pings without any frame after which the connection counts as silent.
const MAX_UNANSWERED_PINGS: u32 = 3;
/// Maximum number of open streams on one connection.
const MAX_STREAMS: usize = 4_096;
/// Retry delay of a refused request in milliseconds.
const RETRY_AFTER_MS: u32 = 500;
/// Serves one connection until it ends.
pub async fn serve_router(core: &Rc<AgentCore>, stream: TcpStream) {
    let peer = stream.peer_addr().map(|address| address.to_string()).unwrap_or_default();
    let link = match open_link(core, stream).await {
        Ok(link) => link,
        Err(error) => {
            core.metrics.link_failures.count(error.label());
            log::warn!(peer = peer, error:% = error; "connection of a router refused");
            return;
        }
    };
    let number = core.next_link.get();
    core.next_link.set(number + 1);
    let TrustedLink { sender, mut receiver } = link;
    let link = RouterLink {
        core: core.clone(),
        number,
        sender,
        streams: RefCell::default(),
        recalls: RefCell::default(),
        link_shutdown: LinkShutdown::default(),
    };
    core.crashes.connect(number, link.sender.clone());
    let end = link.serve(&mut receiver).await;
    core.crashes.disconnect(number);
    link.handle_disconnect();
    match end {
        LinkEnd::Closed => {}
        LinkEnd::Silent => {
            core.metrics.link_failures.count("silent");
            log::warn!(peer = peer; "connection of a router went silent");
        }
        LinkEnd::Broken(error) => {
            core.metrics.link_failures.count("broken");
            log::warn!(peer = peer, error:% = error; "connection of a router broke");
        }
    }
}

async fn open_link(core: &AgentCore, stream: TcpStream) -> Result<TrustedLink, HandshakeError> {
    let (sender, receiver) = start_link(stream)?;
    AcceptedLink::new(sender, receiver).receive_hello(core).await?.verify().await
}

/// The reason why a connection ended.
enum LinkEnd {
    Closed,
    Silent,
    Broken(LinkError),
}

/// One connection of a router that has passed the handshake.
struct RouterLink {
    core: Rc<AgentCore>,
    number: u64,
    sender: LinkSender<AgentMessage>,
    streams: RefCell<HashMap<u64, Rc<AnswerRecord>>>,
    recalls: RefCell<HashMap<u64, ShutdownSignal>>,
    link_shutdown: LinkShutdown,
}

impl RouterLink {
    /// Reads messages until the connection ends, and notifies the router when the agent drains.
    async fn serve(&self, receiver: &mut RouterReceiver) -> LinkEnd {
        let read = std::pin::pin!(self.read_messages(receiver));
        let draining = std::pin::pin!(self.core.draining.triggered());
        match select(draining, read).await {
            Either::Left(((), read)) => {
                self.sender.send(CONTROL_STREAM, AgentMessage::Leaving);
                let link_shutdown =
                    std::pin::pin!(self.link_shutdown.run(&self.core.closing, &self.sender));
                match select(link_shutdown, read).await {
                    Either::Left(_) => LinkEnd::Closed,
                    Either::Right((outcome, _)) => outcome,
                }
            }
            Either::Right((outcome, _)) => outcome,
        }
    }

    async fn read_messages(&self, receiver: &mut RouterReceiver) -> LinkEnd {
        let mut unanswered = 0;
        loop {
            match monoio::time::timeout(PING_IDLE_TIME, receiver.receive()).await {
                Err(_) if !self.has_unsent_streams() => unanswered = 0,
                Err(_) if unanswered == MAX_UNANSWERED_PINGS => return LinkEnd::Silent,
                Err(_) => {
                    unanswered += 1;
                    self.send(CONTROL_STREAM, AgentMessage::Ping(u64::from(unanswered)));
                }
                Ok(None) => return LinkEnd::Closed,
                Ok(Some(Err(error))) => return LinkEnd::Broken(error),
                Ok(Some(Ok(Addressed { stream, message }))) => {
                    unanswered = 0;
                    self.take_message(stream, message);
                }
            }
        }
    }

    /// Returns whether the router must be pinged while it is silent. A stream whose end has been
    /// sent needs no ping, because a router that has not received the end resumes the stream.
    fn has_unsent_streams(&self) -> bool {
        let mut streams = self.streams.borrow_mut();
        let now = Instant::now();
        streams.retain(|_, record| !record.is_expired(now));
        streams.values().any(|record| record.has_unsent())
    }

    fn take_message(&self, stream: u64, message: RouterMessage) {
        self.core.metrics.control_bytes.record_received(router_control_length(&message));
        let key = AttachmentKey { link: self.number, stream };
        match message {
            RouterMessage::Open(open) => self.open(stream, *open),
            RouterMessage::Resume(resume) => self.resume(stream, &resume),
            RouterMessage::Acknowledge(offset) => {
                if let Some(record) = self.streams.borrow().get(&stream) {
                    record.acknowledge(key, offset);
                }
            }
            RouterMessage::Cancel => self.close(stream, |record| record.cancel(key)),
            RouterMessage::Received => self.close(stream, |record| record.acknowledge_end(key)),
            RouterMessage::Claim(claim) => self.answer_claim(stream, &claim),
            RouterMessage::ClaimNotice(notice) => self.core.witness.note(notice),
            RouterMessage::Recall(recall) => self.recall(stream, recall),
            RouterMessage::Ping(number) => {
                let pong = PongNotice { number, clock: self.core.clock() };
                self.send(CONTROL_STREAM, AgentMessage::Pong(pong));
            }
            RouterMessage::Probe(probe) => self.answer_probe(stream, &probe),
            RouterMessage::Moved(moved) => self.core.engine.record_moved(moved),
            RouterMessage::Pong(SHUTDOWN_PING) => self.link_shutdown.record_pong(),
            RouterMessage::Pong(_) => {}
            RouterMessage::AskServing(query) => {
                let answer = self.core.answer_query(&query);
                self.send(stream, AgentMessage::Serving(answer));
            }
            RouterMessage::Hello(_) => self.core.metrics.link_failures.count("second_hello"),
            RouterMessage::Prove(_) => self.core.metrics.link_failures.count("second_proof"),
        }
    }

    fn close(&self, stream: u64, act: impl FnOnce(&AnswerRecord)) {
        if let Some(closed) = self.recalls.borrow_mut().remove(&stream) {
            closed.trigger();
        }
        if let Some(record) = self.streams.borrow_mut().remove(&stream) {
            act(&record);
        }
    }

    fn attachment(&self, stream: u64) -> Attachment {
        let key = AttachmentKey { link: self.number, stream };
        Attachment { key, sender: self.sender.clone() }
    }

    fn open(&self, stream: u64, open: OpenRequest) {
        let opened = OpenedStream { core: &self.core, attachment: self.attachment(stream) };
        if self.streams.borrow().len() >= MAX_STREAMS {
            self.core.admissions.refuse_unseen(open.id, open.start_before, self.core.clock());
            return opened.refuse(&open, RefusalReason::AtCapacity, None);
        }
        if let Some(admitted) = opened.admit(&open) {
            self.streams.borrow_mut().insert(stream, admitted.record.clone());
            monoio::spawn(run_admitted(self.core.clone(), open, admitted));
        }
    }

    fn answer_probe(&self, stream: u64, probe: &LoadProbe) {
        let core = &self.core;
        if let Some(load) = &probe.group_load {
            core.admissions.record_mean_load(load, core.clock());
        }
        let reply = ProbeReply {
            load: core.load(probe.group_load.map(|load| load.group)),
            warm: core.engine.warm_checkpoints(probe),
            prefill_rate: core.engine.prefill_rate(),
            elsewhere: core.engine.elsewhere(probe.chat),
        };
        self.send(stream, AgentMessage::Probed(reply));
    }

    fn send(&self, stream: u64, message: AgentMessage) {
        self.core.metrics.control_bytes.record_sent(agent_control_length(&message));
        self.sender.send(stream, message);
    }

    /// Resumes an answer on this connection, or replies with the state of its request.
    fn resume(&self, stream: u64, resume: &ResumeRequest) {
        let core = &self.core;
        let same_incarnation = resume.agent.is_none_or(|agent| agent == core.incarnation);
        let has_room = self.streams.borrow().len() < MAX_STREAMS;
        let record = core.answers.find(&resume.id).filter(|_| same_incarnation && has_room);
        if let Some(record) = record.filter(|record| record.belongs_to(&resume.organisation)) {
            let attached = record.attach(self.attachment(stream), resume.from);
            core.metrics.resumes.count(if attached { "resumed" } else { "not_held" });
            match attached {
                true => drop(self.streams.borrow_mut().insert(stream, record)),
                false => drop(self.sender.send(stream, AgentMessage::NotHeld)),
            }
            return;
        }
        if let Some(notice) = core.answers.refusal(&resume.id) {
            core.metrics.resumes.count("refused");
            self.sender.send(stream, AgentMessage::Refused(notice));
            return;
        }
        let unseen = same_incarnation
            && resume.start_before.is_some_and(|start_before| {
                core.admissions.refuse_unseen(resume.id, start_before, core.clock())
            });
        if unseen {
            core.metrics.resumes.count("never_arrived");
            return self.refuse(stream, resume.id, RefusalReason::NeverArrived);
        }
        core.metrics.resumes.count("not_held");
        self.sender.send(stream, AgentMessage::NotHeld);
    }

    fn answer_claim(&self, stream: u64, claim: &ClaimRequest) {
        let reply = self.core.witness.answer(claim, self.core.started.elapsed());
        match &reply {
            ClaimReply::Granted => {
                self.core.metrics.claims_granted.inc();
            }
            ClaimReply::Refused { notice, .. } => {
                self.core.metrics.claim_refusals.count(notice.reason.label());
            }
        }
        self.send(stream, AgentMessage::Claim(reply));
    }

    /// Answers a retry with the answer of the first run once that has ended.
    fn recall(&self, stream: u64, recall: RecallRequest) {
        if self.recalls.borrow().len() >= MAX_STREAMS {
            let notice = RefusalNotice::new(RefusalReason::AtCapacity, RETRY_AFTER_MS);
            self.core.metrics.refusals.count(notice.reason.label());
            self.sender.send(stream, AgentMessage::Refused(notice));
            return;
        }
        let closed = ShutdownSignal::new();
        self.recalls.borrow_mut().insert(stream, closed.clone());
        let (core, sender) = (self.core.clone(), self.sender.clone());
        monoio::spawn(async move {
            core.recalls.set(core.recalls.get() + 1);
            serve_recall(&core, &recall, RecallStream { sender, stream, closed }).await;
            core.recalls.set(core.recalls.get() - 1);
        });
    }

    fn refuse(&self, stream: u64, id: RequestId, reason: RefusalReason) {
        self.core.metrics.refusals.count(reason.label());
        let notice = RefusalNotice::new(reason, RETRY_AFTER_MS);
        self.core.answers.record_refusal(id, notice.clone());
        self.send(stream, AgentMessage::Refused(notice));
    }

    /// Detaches the streams of a lost connection. Its router may resume them on another one.
    fn handle_disconnect(&self) {
        for (stream, record) in self.streams.borrow_mut().drain() {
            record.handle_disconnect(AttachmentKey { link: self.number, stream });
        }
        self.recalls.borrow_mut().drain().for_each(|(_, closed)| closed.trigger());
    }
}
