//! Fetching of large bodies from several peers at once, while the parts that have arrived are
//! already sent to others.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use papayamux_protocol::peer::{BodyPart, FetchRequest, VersionKey};
use rand::seq::IteratorRandom;
use xxhash_rust::xxh3::xxh3_64;

use super::fetch::{receive_part, FetchError, PART_OVERHEAD};
use super::link_writer::PART_BYTES;
use super::partial_body::PartialBody;
use super::peer_link::PeerLink;
use crate::core::SpreadCore;
use crate::files::{EncodedBody, FileVersion};

/// Maximum number of parts requested at once, each from another peer.
const MAX_CONCURRENT_PARTS: usize = 2;
/// Delay before the next attempt if a peer doesn't have a part yet.
const ABSENT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without a new part after which the fetch fails.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// Fetches the rest of a body whose first part has arrived.
pub(crate) async fn fetch_shared(
    core: &Rc<SpreadCore>,
    first: BodyPart,
) -> Result<FileVersion, FetchError> {
    let key = first.key.clone();
    let body = PartialBody::from_first_part(first).ok_or(FetchError::Parts)?;
    core.partials.borrow_mut().insert(key.clone(), body);
    core.links.borrow().values().for_each(|link| link.queue_announcement(key.clone()));
    let outcome = fetch_parts(core, &key).await;
    let body = core.partials.borrow_mut().remove(&key);
    outcome?;
    let (bytes, checksum) = body.ok_or(FetchError::Parts)?.assemble();
    match xxh3_64(&bytes) == checksum {
        true => Ok(EncodedBody::decode(&key, &bytes, "")?),
        false => Err(FetchError::Parts),
    }
}

struct PartOutcome {
    link: u64,
    offset: u64,
    part: Result<BodyPart, FetchError>,
}

async fn fetch_parts(core: &Rc<SpreadCore>, key: &VersionKey) -> Result<(), FetchError> {
    let mut asked: Vec<(u64, u64)> = Vec::new();
    let mut running = FuturesUnordered::new();
    let mut last_progress = Instant::now();
    while !is_complete(core, key) {
        while running.len() < MAX_CONCURRENT_PARTS {
            let Some((link, offset)) = pick_next(core, key, &asked) else { break };
            asked.push((link.id, offset));
            running.push(fetch_part(core, link, key, offset));
        }
        match running.next().await {
            Some(outcome) => {
                asked.retain(|(link, _)| *link != outcome.link);
                if handle_outcome(core, key, outcome) {
                    last_progress = Instant::now();
                }
            }
            None => monoio::time::sleep(ABSENT_RETRY_DELAY).await,
        }
        if last_progress.elapsed() > PROGRESS_TIMEOUT {
            return Err(FetchError::Timeout);
        }
    }
    Ok(())
}

fn is_complete(core: &SpreadCore, key: &VersionKey) -> bool {
    core.partials.borrow().get(key).is_none_or(PartialBody::is_complete)
}

/// Selects a missing part and a peer from which no other part is requested.
fn pick_next(
    core: &SpreadCore,
    key: &VersionKey,
    asked: &[(u64, u64)],
) -> Option<(Rc<PeerLink>, u64)> {
    let offsets: Vec<_> = asked.iter().map(|(_, offset)| *offset).collect();
    let offset = core.partials.borrow().get(key)?.pick_missing(&offsets)?;
    let (fetches, links) = (core.fetches.borrow(), core.links.borrow());
    let sources = fetches.sources_of(key).iter().filter_map(|id| links.get(id));
    let free = sources.filter(|link| asked.iter().all(|(busy, _)| *busy != link.id));
    Some((free.choose(&mut rand::rng())?.clone(), offset))
}

async fn fetch_part(
    core: &SpreadCore,
    link: Rc<PeerLink>,
    key: &VersionKey,
    offset: u64,
) -> PartOutcome {
    let prepaid = PART_BYTES as u64 + PART_OVERHEAD;
    core.budget.take_bulk(prepaid).await;
    let request = FetchRequest { key: key.clone(), base: None, offset };
    let part = receive_part(&link, request).await;
    let received = part.as_ref().map_or(0, |part| part.data.len() as u64 + PART_OVERHEAD);
    core.budget.charge(received, prepaid);
    if matches!(part, Err(FetchError::Absent)) {
        monoio::time::sleep(ABSENT_RETRY_DELAY).await;
    }
    PartOutcome { link: link.id, offset, part }
}

/// Adds a received part. Returns `true` if it fits.
fn handle_outcome(core: &SpreadCore, key: &VersionKey, outcome: PartOutcome) -> bool {
    match outcome.part {
        Ok(part) => {
            let mut partials = core.partials.borrow_mut();
            let fits = part.offset == outcome.offset
                && partials.get_mut(key).is_some_and(|body| body.add_part(part));
            if !fits {
                core.metrics.fetch_retries.count(FetchError::Parts.label());
            }
            fits
        }
        // A peer that fetches the same body doesn't have all parts yet.
        Err(FetchError::Absent) => false,
        Err(error) => {
            core.metrics.fetch_retries.count(error.label());
            false
        }
    }
}
