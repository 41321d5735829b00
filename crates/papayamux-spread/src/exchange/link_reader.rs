//! One connection to a peer from hello to end.

use std::rc::Rc;
use std::time::Instant;

use futures_util::future::{select, Either};
use monoio::net::TcpStream;
use papayamux_protocol::peer::{PeerHello, PeerMessage, PeerSummary, VersionKey};
use papayamux_protocol::proof::PeerSide;
use papayamux_protocol::wire::PeerFrame;
use papayamux_transport::link::start_link;

use super::fetch::want_versions;
use super::handshake::{shake_hands, PeerReceiver};
use super::link_writer::{write_bodies, write_messages};
use super::peer_error::{PeerError, SILENCE_WITHIN};
use super::peer_link::{FetchAnswer, PeerLink};
use crate::core::SpreadCore;
use crate::peers::KnownPeer;

/// Summaries in a row that differ before versions are compared: a change on its way makes one
/// or two differ.
const DIFFERING_BEFORE_COMPARE: u32 = 2;

/// Exchanges versions over `stream` until the link ends.
pub(crate) async fn run_link(
    core: &Rc<SpreadCore>,
    stream: TcpStream,
    outgoing: bool,
) -> Result<(), PeerError> {
    let (sender, mut receiver) = start_link::<PeerFrame, PeerFrame, PeerMessage>(stream)?;
    let side = if outgoing { PeerSide::Opener } else { PeerSide::Acceptor };
    let hello = shake_hands(core, &sender, &mut receiver, side).await?;
    let (link, wakes) = PeerLink::new(core.next_link(), hello, outgoing, sender);
    let link = Rc::new(link);
    core.links.borrow_mut().insert(link.id, link.clone());
    core.metrics.peer_links.inc();
    monoio::spawn(write_messages(core.clone(), link.clone(), wakes.messages));
    monoio::spawn(write_bodies(core.clone(), link.clone(), wakes.requests));
    greet(core, &link);
    let read = std::pin::pin!(read_messages(core, &link, &mut receiver));
    let outcome = match select(std::pin::pin!(link.closing()), read).await {
        Either::Left(_) => Ok(()),
        Either::Right((outcome, _)) => outcome,
    };
    core.links.borrow_mut().remove(&link.id);
    core.metrics.peer_links.dec();
    link.close();
    outcome
}

/// Passes peers on before anything else: a link to a seed may be closed soon to make room, and
/// what a process that starts needs most is to know others.
fn greet(core: &SpreadCore, link: &PeerLink) {
    note_heard(core, link);
    let peers = link.peers_message(core);
    core.budget.charge(peers.wire_bytes(), 0);
    link.send(core, peers);
    link.plan_summary(true);
}

async fn read_messages(
    core: &Rc<SpreadCore>,
    link: &Rc<PeerLink>,
    receiver: &mut PeerReceiver,
) -> Result<(), PeerError> {
    loop {
        let received = match monoio::time::timeout(SILENCE_WITHIN, receiver.receive()).await {
            Ok(Some(received)) => received?,
            Ok(None) => return Ok(()),
            Err(_) => return Err(PeerError::Silent),
        };
        note_heard(core, link);
        count_received(core, &received.message);
        take_message(core, link, received.message)?;
    }
}

fn note_heard(core: &SpreadCore, link: &PeerLink) {
    let now = Instant::now();
    link.heard.set(now);
    let PeerHello { incarnation, domain, listen, .. } = link.hello.clone();
    let peer = KnownPeer { address: listen, domain, incarnation, heard: now };
    core.table.borrow_mut().note(peer, now);
}

fn count_received(core: &SpreadCore, message: &PeerMessage) {
    let bytes = message.wire_bytes();
    core.metrics.received_bytes.inc_by(bytes);
    if !matches!(message, PeerMessage::Part(_)) {
        core.budget.charge(bytes, 0);
    }
}

fn take_message(
    core: &Rc<SpreadCore>,
    link: &Rc<PeerLink>,
    message: PeerMessage,
) -> Result<(), PeerError> {
    match message {
        PeerMessage::Hello(_) | PeerMessage::Proof(_) => return Err(PeerError::Turn),
        PeerMessage::Summary(summary) => take_summary(core, link, summary),
        PeerMessage::Buckets(digests) => take_buckets(core, link, &digests),
        PeerMessage::Inventory { buckets, versions } => {
            take_inventory(core, link, &buckets, versions);
        }
        PeerMessage::Announce(keys) => want_versions(core, link, keys),
        PeerMessage::Fetch(request) => link.take_request(request),
        PeerMessage::Part(part) => {
            let asked = part.asked.clone();
            if !link.answer_fetch(&asked, FetchAnswer::Part(part)) {
                core.metrics.dropped.count("stray_part");
            }
        }
        PeerMessage::Absent(key) => {
            link.answer_fetch(&key, FetchAnswer::Absent);
        }
        PeerMessage::Peers(records) => {
            let now = Instant::now();
            let mut table = core.table.borrow_mut();
            records.into_iter().for_each(|record| table.note_record(record, now));
        }
    }
    Ok(())
}

fn take_summary(core: &Rc<SpreadCore>, link: &PeerLink, summary: PeerSummary) {
    let is_first = link.peer_settled.get().is_none();
    link.peer_settled.set(Some(summary.settled));
    core.note_known_revision(summary.known_revision);
    if summary.asks {
        link.plan_summary(false);
    }
    if summary.digest == core.store.borrow().digest() {
        link.differing.set(0);
        link.agreed.set(summary.settled);
        core.adopt_reading(summary.reading);
        core.look_whether_settled();
        return;
    }
    let differing = link.differing.get() + 1;
    link.differing.set(differing);
    let compares = is_first || (differing >= DIFFERING_BEFORE_COMPARE && core.is_fetch_idle());
    if link.outgoing && compares {
        link.plan_buckets();
    }
}

fn take_buckets(core: &SpreadCore, link: &PeerLink, digests: &[u64]) {
    let store = core.store.borrow();
    let differing = store
        .buckets()
        .iter()
        .enumerate()
        .filter(|(bucket, own)| digests.get(*bucket).is_none_or(|digest| digest != *own));
    link.plan_inventory(differing.map(|(bucket, _)| bucket));
}

/// Fetches what the peer has and this process lacks, and announces the reverse.
fn take_inventory(
    core: &Rc<SpreadCore>,
    link: &Rc<PeerLink>,
    buckets: &[u32],
    versions: Vec<VersionKey>,
) {
    let own = core.store.borrow().inventory(|bucket| buckets.contains(&(bucket as u32)));
    own.into_iter().filter(|key| !versions.contains(key)).for_each(|key| {
        link.plan_announcement(key);
    });
    want_versions(core, link, versions);
}
