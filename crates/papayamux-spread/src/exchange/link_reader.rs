//! Lifetime of a peer connection: handshake, exchange of messages and close.

use std::rc::Rc;
use std::time::Instant;

use futures_util::future::{select, Either};
use monoio::net::TcpStream;
use papayamux_protocol::peer::{PeerHello, PeerMessage, PeerSummary, VersionKey};
use papayamux_protocol::proof::PeerSide;
use papayamux_protocol::wire::PeerFrame;
use papayamux_transport::link::start_link;

use super::fetch::request_versions;
use super::handshake::{perform_handshake, PeerReceiver};
use super::link_writer::{write_bodies, write_messages};
use super::peer_error::{PeerError, SILENCE_TIMEOUT};
use super::peer_link::{FetchAnswer, PeerLink};
use crate::core::SpreadCore;
use crate::peers::KnownPeer;

/// Number of consecutive differing summaries after which versions are compared. A change in transit
/// makes one or two summaries differ.
const MIN_DIFFERING_SUMMARIES: u32 = 2;

/// Exchanges versions over `stream` until the link ends.
pub(crate) async fn run_link(
    core: &Rc<SpreadCore>,
    stream: TcpStream,
    outgoing: bool,
) -> Result<(), PeerError> {
    let (sender, mut receiver) = start_link::<PeerFrame, PeerFrame, PeerMessage>(stream)?;
    let side = if outgoing { PeerSide::Opener } else { PeerSide::Acceptor };
    let hello = perform_handshake(core, &sender, &mut receiver, side).await?;
    let (link, wakes) = PeerLink::new(core.next_link(), hello, outgoing, sender);
    let link = Rc::new(link);
    core.links.borrow_mut().insert(link.id, link.clone());
    core.metrics.peer_links.inc();
    monoio::spawn(write_messages(core.clone(), link.clone(), wakes.messages));
    monoio::spawn(write_bodies(core.clone(), link.clone(), wakes.requests));
    send_first_messages(core, &link);
    let read = std::pin::pin!(read_messages(core, &link, &mut receiver));
    let outcome = match select(std::pin::pin!(link.closed()), read).await {
        Either::Left(_) => Ok(()),
        Either::Right((outcome, _)) => outcome,
    };
    core.links.borrow_mut().remove(&link.id);
    core.metrics.peer_links.dec();
    link.close();
    outcome
}

/// Sends the list of peers before anything else. A link to a seed may be closed soon in favour of a
/// newer one, and a starting process first needs to learn about other processes.
fn send_first_messages(core: &SpreadCore, link: &PeerLink) {
    record_contact(core, link);
    let peers = link.peers_message(core);
    core.budget.charge(peers.wire_bytes(), 0);
    link.send(core, peers);
    link.queue_summary(true);
}

async fn read_messages(
    core: &Rc<SpreadCore>,
    link: &Rc<PeerLink>,
    receiver: &mut PeerReceiver,
) -> Result<(), PeerError> {
    loop {
        let received = match monoio::time::timeout(SILENCE_TIMEOUT, receiver.receive()).await {
            Ok(Some(received)) => received?,
            Ok(None) => return Ok(()),
            Err(_) => return Err(PeerError::Silent),
        };
        record_contact(core, link);
        count_received(core, &received.message);
        handle_message(core, link, received.message)?;
    }
}

fn record_contact(core: &SpreadCore, link: &PeerLink) {
    let now = Instant::now();
    link.last_contact.set(now);
    let PeerHello { incarnation, domain, listen, .. } = link.hello.clone();
    let peer = KnownPeer { address: listen, domain, incarnation, last_contact: now };
    core.table.borrow_mut().update(peer, now);
}

fn count_received(core: &SpreadCore, message: &PeerMessage) {
    let bytes = message.wire_bytes();
    core.metrics.received_bytes.inc_by(bytes);
    if !matches!(message, PeerMessage::Part(_)) {
        core.budget.charge(bytes, 0);
    }
}

fn handle_message(
    core: &Rc<SpreadCore>,
    link: &Rc<PeerLink>,
    message: PeerMessage,
) -> Result<(), PeerError> {
    match message {
        PeerMessage::Hello(_) | PeerMessage::Proof(_) => return Err(PeerError::UnexpectedMessage),
        PeerMessage::Summary(summary) => handle_summary(core, link, summary),
        PeerMessage::Buckets(digests) => handle_buckets(core, link, &digests),
        PeerMessage::Inventory { buckets, versions } => {
            handle_inventory(core, link, &buckets, versions);
        }
        PeerMessage::Announce(keys) => request_versions(core, link, keys),
        PeerMessage::Fetch(request) => link.queue_request(request),
        PeerMessage::Part(part) => {
            let asked = part.asked.clone();
            if !link.complete_fetch(&asked, FetchAnswer::Part(part)) {
                core.metrics.dropped.count("stray_part");
            }
        }
        PeerMessage::Absent(key) => {
            link.complete_fetch(&key, FetchAnswer::Absent);
        }
        PeerMessage::Peers(records) => {
            let now = Instant::now();
            let mut table = core.table.borrow_mut();
            records.into_iter().for_each(|record| table.update_from_record(record, now));
        }
    }
    Ok(())
}

fn handle_summary(core: &Rc<SpreadCore>, link: &PeerLink, summary: PeerSummary) {
    let is_first = link.peer_settled.get().is_none();
    link.peer_settled.set(Some(summary.settled));
    core.record_known_revision(summary.known_revision);
    if summary.asks {
        link.queue_summary(false);
    }
    if summary.digest == core.store.borrow().digest() {
        link.differing.set(0);
        link.agreed.set(summary.settled);
        core.adopt_reading(summary.reading);
        core.update_settling();
        return;
    }
    let differing = link.differing.get() + 1;
    link.differing.set(differing);
    let compares = is_first || (differing >= MIN_DIFFERING_SUMMARIES && core.is_fetch_idle());
    if link.outgoing && compares {
        link.queue_buckets();
    }
}

fn handle_buckets(core: &SpreadCore, link: &PeerLink, digests: &[u64]) {
    let store = core.store.borrow();
    let differing = store
        .buckets()
        .iter()
        .enumerate()
        .filter(|(bucket, own)| digests.get(*bucket).is_none_or(|digest| digest != *own));
    link.queue_inventory(differing.map(|(bucket, _)| bucket));
}

/// Fetches the versions that only the peer has, and announces those that only this process has.
fn handle_inventory(
    core: &Rc<SpreadCore>,
    link: &Rc<PeerLink>,
    buckets: &[u32],
    versions: Vec<VersionKey>,
) {
    let own = core.store.borrow().inventory(|bucket| buckets.contains(&(bucket as u32)));
    own.into_iter().filter(|key| !versions.contains(key)).for_each(|key| {
        link.queue_announcement(key);
    });
    request_versions(core, link, versions);
}
