//! One connection to a peer, and what waits to be sent on it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Instant;

use futures_channel::{mpsc, oneshot};
use papayamux_protocol::peer::{
    BodyPart, FetchRequest, PeerHello, PeerMessage, VersionKey, MOST_VERSIONS,
};
use papayamux_transport::link::LinkSender;
use papayamux_transport::shutdown::ShutdownSignal;

use crate::core::SpreadCore;

/// Requests of one peer that may wait for their answers.
const MAX_PENDING_REQUESTS: usize = 16;
/// Peers passed on beside the watchers.
const NON_WATCHER_RECORDS: usize = 4;

/// What a peer answers to a fetch.
#[derive(Debug)]
pub(crate) enum FetchAnswer {
    /// A part of a body.
    Part(BodyPart),
    /// The peer can't give the version.
    Absent,
}

/// Short messages that wait to be sent.
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

/// A connection whose two sides have said hello.
pub(crate) struct PeerLink {
    /// Its number within this process.
    pub(crate) id: u64,
    /// Where the peer listens.
    pub(crate) address: SocketAddr,
    /// What the peer has said about itself.
    pub(crate) hello: PeerHello,
    /// Whether this process opened it.
    pub(crate) outgoing: bool,
    /// When the last message came.
    pub(crate) last_contact: Cell<Instant>,
    /// Whether a settled peer has held the same versions as this process.
    pub(crate) agreed: Cell<bool>,
    /// Whether the peer is settled, once it has said so.
    pub(crate) peer_settled: Cell<Option<bool>>,
    /// Summaries in a row with a digest other than this process's.
    pub(crate) differing: Cell<u32>,
    sender: LinkSender<PeerMessage>,
    pending: RefCell<PendingMessages>,
    requests: RefCell<VecDeque<FetchRequest>>,
    message_wake: RefCell<mpsc::Sender<()>>,
    request_wake: RefCell<mpsc::Sender<()>>,
    pending_fetches: RefCell<HashMap<VersionKey, oneshot::Sender<FetchAnswer>>>,
    closed: ShutdownSignal,
}

/// What wakes a link's two writers.
pub(crate) struct LinkWakes {
    /// A short message waits.
    pub(crate) messages: mpsc::Receiver<()>,
    /// A request waits for its answer.
    pub(crate) requests: mpsc::Receiver<()>,
}

impl PeerLink {
    /// A link after its hellos.
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

    /// Has the link end.
    pub(crate) fn close(&self) {
        self.closed.trigger();
        self.message_wake.borrow_mut().close_channel();
        self.request_wake.borrow_mut().close_channel();
        self.pending_fetches.borrow_mut().clear();
    }

    /// Waits until the link is to end.
    pub(crate) async fn closed(&self) {
        self.closed.triggered().await;
    }

    fn update_pending(&self, change: impl FnOnce(&mut PendingMessages)) {
        change(&mut self.pending.borrow_mut());
        let _ = self.message_wake.borrow_mut().try_send(());
    }

    /// Has a summary sent, which may ask for one in return.
    pub(crate) fn queue_summary(&self, asks: bool) {
        self.update_pending(|pending| {
            pending.summary = Some(asks || pending.summary == Some(true))
        });
    }

    /// Has a version announced; a later one of the same file takes its place.
    pub(crate) fn queue_announcement(&self, key: VersionKey) {
        self.update_pending(|pending| {
            pending.announced.insert(key.name.clone(), key);
        });
    }

    /// Has the digests of the buckets sent.
    pub(crate) fn queue_buckets(&self) {
        self.update_pending(|pending| pending.buckets = true);
    }

    /// Has the versions in `buckets` sent.
    pub(crate) fn queue_inventory(&self, buckets: impl Iterator<Item = usize>) {
        self.update_pending(|pending| pending.inventory.extend(buckets));
    }

    /// Has peers passed on.
    pub(crate) fn queue_peers(&self) {
        self.update_pending(|pending| pending.peers = true);
    }

    /// Asks for a part of a body; the answer comes through the receiver, which ends with the link.
    pub(crate) fn request_part(&self, request: FetchRequest) -> oneshot::Receiver<FetchAnswer> {
        let (sender, receiver) = oneshot::channel();
        self.pending_fetches.borrow_mut().insert(request.key.clone(), sender);
        self.update_pending(|pending| pending.fetches.push_back(request));
        receiver
    }

    /// Passes an answer on to the fetch that waits for it; `false` when none does.
    pub(crate) fn complete_fetch(&self, asked: &VersionKey, answer: FetchAnswer) -> bool {
        let pending_fetches = self.pending_fetches.borrow_mut().remove(asked);
        pending_fetches.is_some_and(|sender| sender.send(answer).is_ok())
    }

    /// Takes a request of the peer.
    pub(crate) fn queue_request(&self, request: FetchRequest) {
        let mut requests = self.requests.borrow_mut();
        if requests.len() >= MAX_PENDING_REQUESTS {
            self.queue_absent(request.key);
            return;
        }
        requests.push_back(request);
        let _ = self.request_wake.borrow_mut().try_send(());
    }

    /// Tells the peer that a version can't be given.
    pub(crate) fn queue_absent(&self, key: VersionKey) {
        self.update_pending(|pending| {
            if pending.absent.len() < MAX_PENDING_REQUESTS {
                pending.absent.push_back(key);
            }
        });
    }

    /// The next request that waits for its answer.
    pub(crate) fn next_request(&self) -> Option<FetchRequest> {
        self.requests.borrow_mut().pop_front()
    }

    /// The next short message, the most urgent first.
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

    /// The peers to pass on.
    pub(crate) fn peers_message(&self, core: &SpreadCore) -> PeerMessage {
        PeerMessage::Peers(core.table.borrow().records(NON_WATCHER_RECORDS, Instant::now()))
    }

    /// Sends a message that was paid for; `false` when the connection is gone.
    pub(crate) fn send(&self, core: &SpreadCore, message: PeerMessage) -> bool {
        core.metrics.sent_bytes.inc_by(message.wire_bytes());
        self.sender.send(0, message)
    }
}

fn next_announced(announced: &mut BTreeMap<String, VersionKey>) -> Vec<VersionKey> {
    let rest = match announced.keys().nth(MOST_VERSIONS).cloned() {
        Some(name) => announced.split_off(&name),
        None => BTreeMap::new(),
    };
    std::mem::replace(announced, rest).into_values().collect()
}

/// An inventory of `first` and of as many of the other buckets as one message may hold.
fn next_inventory(core: &SpreadCore, first: usize, rest: &mut BTreeSet<usize>) -> PeerMessage {
    let store = core.store.borrow();
    let mut buckets = vec![first as u32];
    let mut versions = store.inventory(|bucket| bucket == first);
    while let Some(next) = rest.first().copied() {
        let more = store.inventory(|bucket| bucket == next);
        if versions.len() + more.len() > MOST_VERSIONS {
            break;
        }
        rest.remove(&next);
        buckets.push(next as u32);
        versions.extend(more);
    }
    versions.truncate(MOST_VERSIONS);
    PeerMessage::Inventory { buckets, versions }
}
