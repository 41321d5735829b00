//! Fetching of versions from peers.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use papayamux_protocol::peer::{BodyPart, FetchRequest, VersionKey};
use rand::seq::IndexedRandom;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use super::link_writer::PART_BYTES;
use super::peer_link::{FetchAnswer, PeerLink};
use super::shared_fetch::fetch_shared;
use crate::core::{SpreadCore, VersionSource};
use crate::files::{BodyError, EncodedBody, FileVersion, MAX_BODY_BYTES};

/// Maximum number of concurrent fetches.
const MAX_CONCURRENT_FETCHES: usize = 4;
/// Maximum number of versions that are fetched or queued.
const MAX_WANTED_VERSIONS: usize = 8_192;
/// Maximum number of peers recorded as sources of a version.
const MAX_SOURCES: usize = 16;
/// Timeout for receiving a part.
const PART_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes reserved in the budget for a first part, whose length isn't known yet.
const FIRST_PART_BYTES: u64 = 512;
/// Bodies larger than this are fetched from several peers, and their parts are sent to others while
/// the rest arrives.
const SHARED_FETCH_THRESHOLD_BYTES: u64 = 16 * 1024;
/// Approximate overhead of a part beyond its data, in bytes.
pub(crate) const PART_OVERHEAD: u64 = 128;

/// The error of fetching a version from a peer.
#[derive(Debug, Error)]
pub(crate) enum FetchError {
    /// The connection ended.
    #[error("the connection ended")]
    LinkLost,
    /// No part arrived within the timeout.
    #[error("no part arrived within the timeout")]
    Timeout,
    /// The peer doesn't have the version, or not yet.
    #[error("the peer doesn't have the version")]
    Absent,
    /// The parts don't fit together.
    #[error("the parts of the body don't fit together")]
    Parts,
    /// The body doesn't decode to its version.
    #[error(transparent)]
    Body(#[from] BodyError),
}

impl FetchError {
    /// Returns the reason's label in metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            FetchError::LinkLost => "link_lost",
            FetchError::Timeout => "timeout",
            FetchError::Absent => "absent",
            FetchError::Parts => "parts",
            FetchError::Body(_) => "body",
        }
    }
}

/// Versions that are fetched or queued, each with the links to peers that have it.
#[derive(Debug, Default)]
pub(crate) struct FetchTracker {
    sources: HashMap<VersionKey, Vec<u64>>,
    queue: VecDeque<VersionKey>,
    running: usize,
}

impl FetchTracker {
    /// Returns whether nothing is fetched or queued.
    pub(crate) fn is_idle(&self) -> bool {
        self.sources.is_empty()
    }

    /// Records that a peer has a version. Returns `true` if a new fetch task must be started.
    fn add_source(&mut self, key: &VersionKey, link: u64) -> bool {
        if let Some(sources) = self.sources.get_mut(key) {
            if sources.len() < MAX_SOURCES && !sources.contains(&link) {
                sources.push(link);
            }
            return false;
        }
        if self.sources.len() >= MAX_WANTED_VERSIONS {
            return false;
        }
        self.sources.insert(key.clone(), vec![link]);
        self.queue.push_back(key.clone());
        let starts = self.running < MAX_CONCURRENT_FETCHES;
        self.running += usize::from(starts);
        starts
    }

    fn next(&mut self) -> Option<VersionKey> {
        let next = self.queue.pop_front();
        self.running -= usize::from(next.is_none());
        next
    }

    /// Returns the links to peers known to have a version that is being fetched.
    pub(crate) fn sources_of(&self, key: &VersionKey) -> &[u64] {
        self.sources.get(key).map_or(&[], Vec::as_slice)
    }
}

/// Records that the peer on `link` has these versions, and fetches those that are needed.
pub(crate) fn request_versions(core: &Rc<SpreadCore>, link: &PeerLink, keys: Vec<VersionKey>) {
    for key in keys {
        if !core.store.borrow().wants(&key) {
            continue;
        }
        if key.removed {
            let version = FileVersion::removed(&key.name, key.revision);
            core.store_version(version, VersionSource::Peer, Some(link.id));
            continue;
        }
        if core.fetches.borrow_mut().add_source(&key, link.id) {
            monoio::spawn(run_fetches(core.clone()));
        }
    }
}

async fn run_fetches(core: Rc<SpreadCore>) {
    loop {
        let next = core.fetches.borrow_mut().next();
        let Some(key) = next else { return };
        fetch_version(&core, &key).await;
        core.fetches.borrow_mut().sources.remove(&key);
        if core.is_fetch_idle() {
            core.query_peers_if_unsettled();
        }
    }
}

/// Tries one peer after the other until the version, or a later one, is stored.
async fn fetch_version(core: &Rc<SpreadCore>, key: &VersionKey) {
    let mut tried = Vec::new();
    while core.store.borrow().wants(key) {
        let Some(link) = pick_source(core, key, &tried) else {
            core.metrics.fetch_retries.count("no_source");
            return;
        };
        match fetch_from(core, &link, key).await {
            Ok(version) => {
                let fetched = version.key.clone();
                core.store_version(version, VersionSource::Peer, Some(link.id));
                if fetched.revision >= key.revision {
                    return;
                }
            }
            Err(error) => {
                core.metrics.fetch_retries.count(error.label());
                log::debug!(peer:% = link.address, file = key.name, error:% = error; "fetching a version from a peer failed");
                tried.push(link.id);
            }
        }
    }
}

fn pick_source(core: &SpreadCore, key: &VersionKey, tried: &[u64]) -> Option<Rc<PeerLink>> {
    let fetches = core.fetches.borrow();
    let links = core.links.borrow();
    let open: Vec<_> = fetches
        .sources_of(key)
        .iter()
        .filter(|id| !tried.contains(id))
        .filter_map(|id| links.get(id))
        .collect();
    open.choose(&mut rand::rng()).map(|link| (*link).clone())
}

async fn fetch_from(
    core: &Rc<SpreadCore>,
    link: &PeerLink,
    key: &VersionKey,
) -> Result<FileVersion, FetchError> {
    let base = core.store.borrow().newest(&key.name).cloned();
    let base_key = base.as_ref().filter(|base| !base.key.removed).map(|base| &base.key);
    let base_id = base_key.map(|base| (base.revision, base.checksum));
    let mut body = BytesMut::new();
    let mut expected = FIRST_PART_BYTES;
    loop {
        match body.is_empty() {
            true => core.budget.take(expected).await,
            false => core.budget.take_bulk(expected).await,
        }
        let offset = body.len() as u64;
        let request = FetchRequest { key: key.clone(), base: base_id, offset };
        let part = receive_part(link, request).await?;
        core.budget.charge(part.data.len() as u64 + PART_OVERHEAD, expected);
        check_part(&part, offset)?;
        if offset == 0 && part.total > SHARED_FETCH_THRESHOLD_BYTES && part.key == *key {
            return fetch_shared(core, part).await;
        }
        body.extend_from_slice(&part.data);
        if body.len() as u64 == part.total {
            if xxh3_64(&body) != part.body_checksum {
                return Err(FetchError::Parts);
            }
            let base = base.as_ref().map_or("", |base| base.text.as_str());
            return Ok(EncodedBody::decode(&part.key, &body, base)?);
        }
        let left = part.total - body.len() as u64;
        expected = left.min(PART_BYTES as u64) + PART_OVERHEAD;
    }
}

pub(crate) async fn receive_part(
    link: &PeerLink,
    request: FetchRequest,
) -> Result<BodyPart, FetchError> {
    match monoio::time::timeout(PART_TIMEOUT, link.request_part(request)).await {
        Ok(Ok(FetchAnswer::Part(part))) => Ok(part),
        Ok(Ok(FetchAnswer::Absent)) => Err(FetchError::Absent),
        Ok(Err(_)) => Err(FetchError::LinkLost),
        Err(_) => Err(FetchError::Timeout),
    }
}

fn check_part(part: &BodyPart, offset: u64) -> Result<(), FetchError> {
    let end = offset + part.data.len() as u64;
    let fits = part.offset == offset
        && part.key.name == part.asked.name
        && !part.data.is_empty()
        && part.total <= MAX_BODY_BYTES as u64
        && end <= part.total;
    match fits {
        true => Ok(()),
        false => Err(FetchError::Parts),
    }
}
