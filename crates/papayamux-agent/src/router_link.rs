//! Connections of routers: one task each, and one for each stream.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{select, Either};
use monoio::net::{TcpListener, TcpStream};
use papayamux_coordination::admission::AdmissionBook;
use papayamux_protocol::link::{
    Addressed, AgentClock, AgentMessage, AgentWelcome, OpenRequest, PongNotice, RefusalNotice,
    RouterHello, RouterMessage, PROTOCOL_VERSION,
};
use papayamux_protocol::wire::{AgentFrame, RouterFrame};
use papayamux_state::ids::{FailureDomain, Incarnation, ServerId};
use papayamux_state::refusal::RefusalReason;
use papayamux_transport::http::HttpClient;
use papayamux_transport::link::{start_link, LinkError, LinkReceiver, LinkSender};
use papayamux_transport::shutdown::ShutdownSignal;

use crate::metrics::AgentMetrics;
use crate::run::{run_request, StreamControl};

type RouterReceiver = LinkReceiver<AgentFrame, RouterFrame>;

/// How long a router may take to say hello.
const HELLO_WITHIN: Duration = Duration::from_secs(5);
/// Streams open at once on one connection.
const MOST_STREAMS: usize = 4_096;
/// Connections of routers open at once.
const MOST_LINKS: i64 = 2_048;
/// How long the listener waits after it could not accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time after which a refused router may ask again.
const RETRY_AFTER_MS: u32 = 500;
/// The stream number of the connection itself.
const CONNECTION: u64 = 0;

/// What all connections of an agent share.
pub struct AgentCore {
    /// The agent's life.
    pub incarnation: Incarnation,
    /// The backend server.
    pub server: ServerId,
    /// The agent's failure domain.
    pub domain: FailureDomain,
    /// What was admitted.
    pub book: Rc<AdmissionBook>,
    /// Requests to the backend server.
    pub client: HttpClient,
    /// The agent's metrics.
    pub metrics: AgentMetrics,
    /// When the agent started.
    pub started: Instant,
    /// Given when the agent leaves.
    pub leaving: ShutdownSignal,
}

impl AgentCore {
    /// The agent's clock.
    pub fn clock(&self) -> AgentClock {
        AgentClock::default().after(self.started.elapsed())
    }
}

/// Accepts connections of routers for as long as the agent lives.
pub async fn accept_routers(core: Rc<AgentCore>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "accepting failed");
                monoio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if core.metrics.router_links.get() >= MOST_LINKS {
            core.metrics.link_failures.count("too_many");
            continue;
        }
        let core = core.clone();
        monoio::spawn(async move {
            core.metrics.router_links.inc();
            serve_router(&core, stream).await;
            core.metrics.router_links.dec();
        });
    }
}

async fn serve_router(core: &Rc<AgentCore>, stream: TcpStream) {
    let outcome = match start_link(stream) {
        Ok((sender, receiver)) => serve_link(core, sender, receiver).await,
        Err(error) => Err(error),
    };
    if let Err(error) = outcome {
        core.metrics.link_failures.count("broken");
        log::warn!(error:% = error; "connection of a router broke");
    }
}

async fn serve_link(
    core: &Rc<AgentCore>,
    sender: LinkSender<AgentMessage>,
    mut receiver: RouterReceiver,
) -> Result<(), LinkError> {
    let Some(hello) = receive_hello(&mut receiver).await? else {
        core.metrics.link_failures.count("no_hello");
        return Ok(());
    };
    sender.send(CONNECTION, AgentMessage::Welcome(welcome(core)));
    if hello.version != PROTOCOL_VERSION {
        core.metrics.link_failures.count("version");
        return Ok(());
    }
    let link = RouterLink { core: core.clone(), sender, streams: Rc::default() };
    let outcome = link.serve(&mut receiver).await;
    link.lose();
    outcome
}

fn welcome(core: &AgentCore) -> AgentWelcome {
    AgentWelcome {
        version: PROTOCOL_VERSION,
        incarnation: core.incarnation,
        server: core.server.clone(),
        domain: core.domain.clone(),
        clock: core.clock(),
    }
}

async fn receive_hello(receiver: &mut RouterReceiver) -> Result<Option<RouterHello>, LinkError> {
    match monoio::time::timeout(HELLO_WITHIN, receiver.receive()).await {
        Ok(Some(Ok(Addressed { message: RouterMessage::Hello(hello), .. }))) => Ok(Some(hello)),
        Ok(Some(Err(error))) => Err(error),
        Ok(_) | Err(_) => Ok(None),
    }
}

type StreamTable = Rc<RefCell<HashMap<u64, Rc<StreamControl>>>>;

/// One connection of a router that has said hello.
struct RouterLink {
    core: Rc<AgentCore>,
    sender: LinkSender<AgentMessage>,
    streams: StreamTable,
}

impl RouterLink {
    /// Reads to the connection's end; says on the way when the agent leaves.
    async fn serve(&self, receiver: &mut RouterReceiver) -> Result<(), LinkError> {
        let read = std::pin::pin!(self.read_messages(receiver));
        let leaving = std::pin::pin!(self.core.leaving.given());
        match select(leaving, read).await {
            Either::Left(((), read)) => {
                self.sender.send(CONNECTION, AgentMessage::Leaving);
                read.await
            }
            Either::Right((outcome, _)) => outcome,
        }
    }

    async fn read_messages(&self, receiver: &mut RouterReceiver) -> Result<(), LinkError> {
        while let Some(received) = receiver.receive().await {
            let Addressed { stream, message } = received?;
            match message {
                RouterMessage::Open(open) => self.open(stream, *open),
                RouterMessage::Acknowledge(offset) => {
                    self.with_stream(stream, |control| control.acknowledge(offset));
                }
                RouterMessage::Cancel => self.with_stream(stream, StreamControl::cancel),
                RouterMessage::Ping(number) => {
                    let pong = PongNotice { number, clock: self.core.clock() };
                    self.sender.send(CONNECTION, AgentMessage::Pong(pong));
                }
                RouterMessage::Hello(_) => self.core.metrics.link_failures.count("second_hello"),
            }
        }
        Ok(())
    }

    fn with_stream(&self, stream: u64, act: impl FnOnce(&StreamControl)) {
        if let Some(control) = self.streams.borrow().get(&stream) {
            act(control);
        }
    }

    fn open(&self, stream: u64, open: OpenRequest) {
        if self.streams.borrow().len() >= MOST_STREAMS {
            return self.refuse(stream, RefusalReason::AtCapacity);
        }
        let permit = match self.core.book.admit(&open, self.core.clock()) {
            Ok(permit) => permit,
            Err(reason) => return self.refuse(stream, reason),
        };
        self.core.metrics.admitted.inc();
        let control = Rc::new(StreamControl::new(&open.repeat));
        self.streams.borrow_mut().insert(stream, control.clone());
        let (core, sender) = (self.core.clone(), self.sender.clone());
        let streams = self.streams.clone();
        monoio::spawn(async move {
            core.metrics.running.inc();
            let end = run_request(&core, open, &control, &sender, stream).await;
            streams.borrow_mut().remove(&stream);
            core.metrics.running.dec();
            core.metrics.answers.count(end.label());
            drop(permit);
        });
    }

    fn refuse(&self, stream: u64, reason: RefusalReason) {
        self.core.metrics.refusals.count(reason.label());
        let notice = RefusalNotice { reason, retry_after_ms: RETRY_AFTER_MS };
        self.sender.send(stream, AgentMessage::Refused(notice));
    }

    /// The router can't be reached any more: idempotent work is cancelled, other work runs on.
    fn lose(&self) {
        self.streams.borrow().values().for_each(|control| control.cancel());
    }
}
