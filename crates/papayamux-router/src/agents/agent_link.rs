//! One connection to an agent, with its streams.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::mpsc::unbounded;
use papayamux_protocol::link::{
    AgentClock, AgentMessage, AgentWelcome, OpenRequest, RouterHello, RouterMessage,
    PROTOCOL_VERSION,
};
use papayamux_protocol::wire::{AgentFrame, RouterFrame};
use papayamux_state::ids::ServerId;
use papayamux_transport::link::{connect, start_link, LinkError, LinkReceiver, LinkSender};
use thiserror::Error;

use super::{StreamEvent, StreamHandle};
use crate::metrics::RouterMetrics;

type AgentReceiver = LinkReceiver<RouterFrame, AgentFrame>;

/// How long an agent may take to answer the hello.
const WELCOME_WITHIN: Duration = Duration::from_secs(2);
/// Silence on a connection with open streams after which a ping is sent.
const PING_AFTER: Duration = Duration::from_secs(1);
/// Pings without any frame in between after which the connection counts as silent.
const MOST_UNANSWERED: u32 = 3;
/// The stream number of the connection itself.
const CONNECTION: u64 = 0;

/// Why there is no connection to an agent.
#[derive(Debug, Error)]
pub enum AgentLinkError {
    /// The connection failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The agent did not welcome the router in time, or closed the connection.
    #[error("the agent gave no welcome")]
    NoWelcome,
    /// The agent speaks another version of the protocol.
    #[error("the agent speaks version {version}, this router {PROTOCOL_VERSION}")]
    Version {
        /// The agent's version.
        version: u32,
    },
    /// Another server's agent answered.
    #[error("the agent stands beside {found}, not beside {expected}")]
    OtherServer {
        /// The server that was expected.
        expected: ServerId,
        /// The server that answered.
        found: ServerId,
    },
}

/// A reading of the agent's clock.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock: AgentClock,
    read: Instant,
}

/// A connection on which the agent has welcomed the router.
pub struct AgentLink {
    sender: LinkSender<RouterMessage>,
    welcome: AgentWelcome,
    reading: Cell<ClockReading>,
    streams: RefCell<HashMap<u64, unbounded::Tx<StreamEvent>>>,
    next_stream: Cell<u64>,
    open: Cell<bool>,
    leaving: Cell<bool>,
}

impl AgentLink {
    /// Connects to the agent of `server` and starts reading.
    pub async fn establish(
        server: &ServerId,
        address: std::net::SocketAddr,
        hello: RouterHello,
        metrics: RouterMetrics,
    ) -> Result<Rc<Self>, AgentLinkError> {
        let stream = connect(address).await?;
        let (sender, mut receiver) = start_link(stream)?;
        sender.send(CONNECTION, RouterMessage::Hello(hello));
        let welcome = receive_welcome(&mut receiver).await?;
        if welcome.version != PROTOCOL_VERSION {
            return Err(AgentLinkError::Version { version: welcome.version });
        }
        if welcome.server != *server {
            let expected = server.clone();
            return Err(AgentLinkError::OtherServer { expected, found: welcome.server });
        }
        let reading = ClockReading { clock: welcome.clock, read: Instant::now() };
        let link = Rc::new(Self {
            sender,
            welcome,
            reading: Cell::new(reading),
            streams: RefCell::default(),
            next_stream: Cell::new(CONNECTION + 1),
            open: Cell::new(true),
            leaving: Cell::new(false),
        });
        monoio::spawn(read_messages(link.clone(), receiver, metrics));
        Ok(link)
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

    /// Opens a stream; `None` where the connection is gone, and nothing was sent.
    pub fn open_stream(self: &Rc<Self>, open: OpenRequest) -> Option<StreamHandle> {
        if !self.is_open() {
            return None;
        }
        let stream = self.next_stream.get();
        self.next_stream.set(stream + 1);
        let (events, inbox) = unbounded::channel();
        self.streams.borrow_mut().insert(stream, events);
        let handle = StreamHandle::new(self.clone(), stream, inbox);
        self.send(stream, RouterMessage::Open(Box::new(open))).then_some(handle)
    }

    pub(super) fn send(&self, stream: u64, message: RouterMessage) -> bool {
        self.sender.send(stream, message)
    }

    pub(super) fn close_stream(&self, stream: u64) {
        self.streams.borrow_mut().remove(&stream);
    }

    fn has_streams(&self) -> bool {
        !self.streams.borrow().is_empty()
    }

    fn lose(&self) {
        self.open.set(false);
        for (_, events) in self.streams.borrow_mut().drain() {
            let _ = events.send(StreamEvent::Lost);
        }
    }

    fn take_clock(&self, clock: AgentClock) {
        if clock > self.agent_clock() {
            self.reading.set(ClockReading { clock, read: Instant::now() });
        }
    }

    fn deliver(&self, stream: u64, event: StreamEvent, metrics: &RouterMetrics) {
        let delivered = match self.streams.borrow().get(&stream) {
            Some(events) => events.send(event).is_ok(),
            None => false,
        };
        if !delivered {
            metrics.stray_frames.inc();
        }
    }
}

async fn receive_welcome(receiver: &mut AgentReceiver) -> Result<AgentWelcome, AgentLinkError> {
    let first = monoio::time::timeout(WELCOME_WITHIN, receiver.receive()).await;
    match first {
        Ok(Some(Ok(addressed))) => match addressed.message {
            AgentMessage::Welcome(welcome) => Ok(welcome),
            _ => Err(AgentLinkError::NoWelcome),
        },
        Ok(Some(Err(error))) => Err(error.into()),
        Ok(None) | Err(_) => Err(AgentLinkError::NoWelcome),
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

async fn read_messages(link: Rc<AgentLink>, mut receiver: AgentReceiver, metrics: RouterMetrics) {
    let end = read_until_end(&link, &mut receiver, &metrics).await;
    link.lose();
    metrics.lost_links.count(end.label());
    let server = &link.welcome.server;
    match end {
        LinkEnd::Broken(error) => {
            log::warn!(server:% = server, error:% = error; "connection to agent broke");
        }
        end => log::info!(server:% = server, reason = end.label(); "connection to agent ended"),
    }
}

async fn read_until_end(
    link: &AgentLink,
    receiver: &mut AgentReceiver,
    metrics: &RouterMetrics,
) -> LinkEnd {
    let mut unanswered = 0;
    loop {
        match monoio::time::timeout(PING_AFTER, receiver.receive()).await {
            Err(_) if !link.has_streams() => unanswered = 0,
            Err(_) if unanswered == MOST_UNANSWERED => return LinkEnd::Silent,
            Err(_) => {
                unanswered += 1;
                link.send(CONNECTION, RouterMessage::Ping(u64::from(unanswered)));
            }
            Ok(None) => return LinkEnd::Closed,
            Ok(Some(Err(error))) => return LinkEnd::Broken(error),
            Ok(Some(Ok(addressed))) => {
                unanswered = 0;
                take_message(link, addressed.stream, addressed.message, metrics);
            }
        }
    }
}

fn take_message(link: &AgentLink, stream: u64, message: AgentMessage, metrics: &RouterMetrics) {
    match message {
        AgentMessage::Refused(notice) => {
            link.deliver(stream, StreamEvent::Refused(notice), metrics)
        }
        AgentMessage::Head(head) => link.deliver(stream, StreamEvent::Head(head), metrics),
        AgentMessage::Data(data) => link.deliver(stream, StreamEvent::Data(data), metrics),
        AgentMessage::End(end) => link.deliver(stream, StreamEvent::End(end), metrics),
        AgentMessage::Pong(pong) => link.take_clock(pong.clock),
        AgentMessage::Leaving => link.leaving.set(true),
        AgentMessage::Welcome(_) => {
            metrics.stray_frames.inc();
        }
    }
}
