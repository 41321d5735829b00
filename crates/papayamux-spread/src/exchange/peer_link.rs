//! A connection to a peer and its outgoing messages.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Instant;

use futures_channel::{mpsc, oneshot};
use papayamux_protocol::peer::{
    BodyPart, FetchRequest, PeerHello, PeerMessage, VersionKey, MAX_VERSIONS,
};
use papayamux_transport::link::LinkSender;
use papayamux_transport::shutdown::ShutdownSignal;

use crate::core::SpreadCore;

/// Maximum number of queued requests of one peer.
const MAX_PENDING_REQUESTS: usize = 16;
/// Number of peer records sent in addition to the watchers.
const NON_WATCHER_RECORDS: usize = 4;

/// Answer of a peer to a fetch request.
#[derive(Debug)]
pub(crate) enum FetchAnswer {
    /// A part of a body.
    Part(BodyPart),
    /// The peer doesn't have the version.
    Absent,
}

/// Short messages queued for sending.
#[derive(Debug, Default)]
struct PendingMessages {
    summary: Option<bool>,
    announced: BTreeMap<String, VersionKey>,
    fetches: VecDeque<FetchRequest>,
    absent: VecDeque<VersionKey>,
    buckets: bool,
    inventory: BTreeSet<usize>,
    peers: bool,
}

/// A connection after its handshake.
pub(crate) struct PeerLink {
    /// Number of the link within this process.
    pub(crate) id: u64,
    /// Address on which the peer listens.
    pub(crate) address: SocketAddr,
    /// Hello message of the peer.
    pub(crate) hello: PeerHello,
    /// `true` if this process opened the connection.
    pub(crate) outgoing: bool,
    /// Time of the last received message.
    pub(crate) last_contact: Cell<Instant>,
    /// `true` if the peer was settled and had the same versions as this process when it last sent a
    /// summary with the same digest.
    pub(crate) agreed: Cell<bool>,
    /// Settled state of the peer; `None` until its first summary.
    pub(crate) peer_settled: Cell<Option<bool>>,
    /// Number of consecutive summaries with another digest than this process's.
    pub(crate) differing: Cell<u32>,
    sender: LinkSender<PeerMessage>,
    pending: RefCell<PendingMessages>,
    requests: RefCell<VecDeque<FetchRequest>>,
    message_wake: RefCell<mpsc::Sender<()>>,
    request_wake: RefCell<mpsc::Sender<()>>,
    pending_fetches: RefCell<HashMap<VersionKey, oneshot::Sender<FetchAnswer>>>,
    closed: ShutdownSignal,
}

/// Wake-ups of a link's two writer tasks.
pub(crate) struct LinkWakes {
    /// A short message is queued.
    pub(crate) messages: mpsc::Receiver<()>,
    /// A request of the peer is queued.
    pub(crate) requests: mpsc::Receiver<()>,
}

impl PeerLink {
    /// Creates a link after its handshake.
    pub(crate) fn new(
        id: u64,
        hello: PeerHello,
        outgoing: bool,
        sender: LinkSender<PeerMessage>,
    ) -> (Self, LinkWakes) {
        let (message_wake, messages) = mpsc::channel(1);
        let (request_wake, requests) = mpsc::channel(1);
        let link = Self {
            id,
            address: hello.listen,
            hello,
            outgoing,
            last_contact: Cell::new(Instant::now()),
            agreed: Cell::new(false),
            peer_settled: Cell::new(None),
            differing: Cell::new(0),
            sender,
            pending: RefCell::default(),
            requests: RefCell::default(),
            message_wake: RefCell::new(message_wake),
            request_wake: RefCell::new(request_wake),
            pending_fetches: RefCell::default(),
            closed: ShutdownSignal::new(),
        };
        (link, LinkWakes { messages, requests })
    }

    /// Closes the link.
    pub(crate) fn close(&self) {
        self.closed.trigger();
        self.message_wake.borrow_mut().close_channel();
        self.request_wake.borrow_mut().close_channel();
        self.pending_fetches.borrow_mut().clear();
    }

    /// Waits until the link is closed.
    pub(crate) async fn closed(&self) {
        self.closed.triggered().await;
    }

    fn update_pending(&self, change: impl FnOnce(&mut PendingMessages)) {
        change(&mut self.pending.borrow_mut());
        let _ = self.message_wake.borrow_mut().try_send(());
    }

    /// Queues a summary. `asks` requests a summary in return.
    pub(crate) fn queue_summary(&self, asks: bool) {
        self.update_pending(|pending| {
            pending.summary = Some(asks || pending.summary == Some(true))
        });
    }

    /// Queues the announcement of a version, which replaces a queued announcement of the same file.
    pub(crate) fn queue_announcement(&self, key: VersionKey) {
        self.update_pending(|pending| {
            pending.announced.insert(key.name.clone(), key);
        });
    }

    /// Queues the digests of all buckets.
    pub(crate) fn queue_buckets(&self) {
        self.update_pending(|pending| pending.buckets = true);
    }

    /// Queues an inventory of the versions in `buckets`.
    pub(crate) fn queue_inventory(&self, buckets: impl Iterator<Item = usize>) {
        self.update_pending(|pending| pending.inventory.extend(buckets));
    }

    /// Queues a list of peers.
    pub(crate) fn queue_peers(&self) {
        self.update_pending(|pending| pending.peers = true);
    }

    /// Requests a part of a body. The receiver yields the answer, or is cancelled when the link
    /// closes.
    pub(crate) fn request_part(&self, request: FetchRequest) -> oneshot::Receiver<FetchAnswer> {
        let (sender, receiver) = oneshot::channel();
        self.pending_fetches.borrow_mut().insert(request.key.clone(), sender);
        self.update_pending(|pending| pending.fetches.push_back(request));
        receiver
    }

    /// Passes an answer to the fetch that waits for it. Returns `false` if there is none.
    pub(crate) fn complete_fetch(&self, asked: &VersionKey, answer: FetchAnswer) -> bool {
        let pending_fetches = self.pending_fetches.borrow_mut().remove(asked);
        pending_fetches.is_some_and(|sender| sender.send(answer).is_ok())
    }

    /// Queues a request of the peer. If too many are queued, answers that the version isn't
    /// available.
    pub(crate) fn queue_request(&self, request: FetchRequest) {
        let mut requests = self.requests.borrow_mut();
        if requests.len() >= MAX_PENDING_REQUESTS {
            self.queue_absent(request.key);
            return;
        }
        requests.push_back(request);
        let _ = self.request_wake.borrow_mut().try_send(());
    }

    /// Queues the answer that a version isn't available.
    pub(crate) fn queue_absent(&self, key: VersionKey) {
        self.update_pending(|pending| {
            if pending.absent.len() < MAX_PENDING_REQUESTS {
                pending.absent.push_back(key);
            }
        });
    }

    /// Returns the next queued request.
    pub(crate) fn next_request(&self) -> Option<FetchRequest> {
        self.requests.borrow_mut().pop_front()
    }

    /// Returns the next short message, the most urgent first.
    pub(crate) fn next_message(&self, core: &SpreadCore) -> Option<PeerMessage> {
        let mut pending = self.pending.borrow_mut();
        if let Some(asks) = pending.summary.take() {
            return Some(PeerMessage::Summary(core.summary(asks)));
        }
        if !pending.announced.is_empty() {
            return Some(PeerMessage::Announce(next_announced(&mut pending.announced)));
        }
        if let Some(request) = pending.fetches.pop_front() {
            return Some(PeerMessage::Fetch(request));
        }
        if let Some(key) = pending.absent.pop_front() {
            return Some(PeerMessage::Absent(key));
        }
        if std::mem::take(&mut pending.buckets) {
            return Some(PeerMessage::Buckets(core.store.borrow().buckets().to_vec()));
        }
        if let Some(bucket) = pending.inventory.pop_first() {
            return Some(next_inventory(core, bucket, &mut pending.inventory));
        }
        if std::mem::take(&mut pending.peers) {
            return Some(self.peers_message(core));
        }
        None
    }

    /// Returns the message with the peer records to send.
    pub(crate) fn peers_message(&self, core: &SpreadCore) -> PeerMessage {
        PeerMessage::Peers(core.table.borrow().records(NON_WATCHER_RECORDS, Instant::now()))
    }

    /// Sends a message whose bytes were already taken from the budget. Returns `false` if the
    /// connection is closed.
    pub(crate) fn send(&self, core: &SpreadCore, message: PeerMessage) -> bool {
        core.metrics.sent_bytes.inc_by(message.wire_bytes());
        self.sender.send(0, message)
    }
}

fn next_announced(announced: &mut BTreeMap<String, VersionKey>) -> Vec<VersionKey> {
    let rest = match announced.keys().nth(MAX_VERSIONS).cloned() {
        Some(name) => announced.split_off(&name),
        None => BTreeMap::new(),
    };
    std::mem::replace(announced, rest).into_values().collect()
}

/// Returns an inventory of the bucket `first` and of as many of the other buckets as fit into one
/// message.
fn next_inventory(core: &SpreadCore, first: usize, rest: &mut BTreeSet<usize>) -> PeerMessage {
    let store = core.store.borrow();
    let mut buckets = vec![first as u32];
    let mut versions = store.inventory(|bucket| bucket == first);
    while let Some(next) = rest.first().copied() {
        let more = store.inventory(|bucket| bucket == next);
        if versions.len() + more.len() > MAX_VERSIONS {
            break;
        }
        rest.remove(&next);
        buckets.push(next as u32);
        versions.extend(more);
    }
    versions.truncate(MAX_VERSIONS);
    PeerMessage::Inventory { buckets, versions }
}
