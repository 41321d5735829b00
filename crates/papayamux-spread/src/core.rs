//! State shared by the tasks of file distribution in one process.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc;
use papayamux_protocol::link::PROTOCOL_VERSION;
use papayamux_protocol::peer::{PeerHello, PeerSummary, ServiceReading, VersionKey};
use papayamux_protocol::proof::{ProofNonce, SharedSecret};
use papayamux_state::ids::{FailureDomain, Incarnation};
use rand::seq::IndexedRandom;

use crate::exchange::{ByteBudget, FetchTracker, PartialBody, PeerLink};
use crate::files::{EncodedBody, FileStore, FileVersion, JoinOutcome};
use crate::instances::is_instances;
use crate::metrics::SpreadMetrics;
use crate::node::SpreadIdentity;
use crate::peers::PeerTable;
use crate::settings::SpreadSettings;
use crate::settling::{SettlingFacts, SettlingState};

/// Number of encoded bodies cached for further parts and peers.
const MAX_CACHED_BODIES: usize = 8;

/// Source of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum VersionSource {
    /// The configuration service.
    Service,
    /// A peer.
    Peer,
}

impl VersionSource {
    fn label(self) -> &'static str {
        match self {
            VersionSource::Service => "service",
            VersionSource::Peer => "peer",
        }
    }
}

/// Cache of recently encoded bodies.
#[derive(Debug, Default)]
pub(crate) struct BodyCache(Vec<(bool, EncodedBody)>);

impl BodyCache {
    /// Returns the cached body of a version, or encodes and caches it.
    pub(crate) fn get_or(
        &mut self,
        key: &VersionKey,
        is_delta: bool,
        encode: impl FnOnce() -> EncodedBody,
    ) -> EncodedBody {
        let known = self.0.iter().find(|(delta, body)| *delta == is_delta && body.key == *key);
        if let Some((_, body)) = known {
            return body.clone();
        }
        let body = encode();
        if self.0.len() >= MAX_CACHED_BODIES {
            self.0.remove(0);
        }
        self.0.push((is_delta, body.clone()));
        body
    }
}

/// Known state of the configuration service.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceView {
    /// Highest service revision seen by any process, as far as known.
    known_revision: u64,
    /// Latest service read that the stored versions reflect: its revision and time.
    reading: Option<(u64, Instant)>,
}

/// State shared by all tasks of file distribution.
pub(crate) struct SpreadCore {
    pub(crate) settings: SpreadSettings,
    pub(crate) domain: FailureDomain,
    pub(crate) incarnation: Incarnation,
    pub(crate) own_address: SocketAddr,
    pub(crate) secret: Option<SharedSecret>,
    pub(crate) metrics: SpreadMetrics,
    pub(crate) store: RefCell<FileStore>,
    pub(crate) bodies: RefCell<BodyCache>,
    pub(crate) table: RefCell<PeerTable>,
    pub(crate) links: RefCell<HashMap<u64, Rc<PeerLink>>>,
    pub(crate) budget: ByteBudget,
    pub(crate) fetches: RefCell<FetchTracker>,
    pub(crate) partials: RefCell<HashMap<VersionKey, PartialBody>>,
    service_view: Cell<ServiceView>,
    settling: Cell<SettlingState>,
    last_link: Cell<u64>,
    subscribers: RefCell<Vec<mpsc::Sender<()>>>,
}

impl SpreadCore {
    pub(crate) fn new(
        settings: SpreadSettings,
        identity: SpreadIdentity,
        own_address: SocketAddr,
        store: FileStore,
        metrics: SpreadMetrics,
    ) -> Self {
        Self {
            domain: identity.domain,
            incarnation: identity.incarnation,
            secret: identity.secret,
            own_address,
            metrics,
            store: RefCell::new(store),
            bodies: RefCell::default(),
            table: RefCell::new(PeerTable::new(own_address, settings.watchers)),
            links: RefCell::default(),
            budget: ByteBudget::new(settings.bytes_per_second),
            fetches: RefCell::default(),
            partials: RefCell::default(),
            service_view: Cell::default(),
            settling: Cell::new(SettlingState::Querying(Instant::now())),
            last_link: Cell::new(0),
            subscribers: RefCell::default(),
            settings,
        }
    }

    /// Returns the hello message of this process.
    pub(crate) fn hello(&self, nonce: Option<ProofNonce>) -> PeerHello {
        PeerHello {
            version: PROTOCOL_VERSION,
            incarnation: self.incarnation,
            domain: self.domain.clone(),
            listen: self.own_address,
            nonce,
        }
    }

    /// Returns a summary of the stored versions and of the known service state. `asks` requests a
    /// summary in return.
    pub(crate) fn summary(&self, asks: bool) -> PeerSummary {
        PeerSummary {
            digest: self.store.borrow().digest(),
            known_revision: self.known_revision(),
            reading: self.service_view.get().reading.map(|(revision, read)| ServiceReading {
                revision,
                age_ms: read.elapsed().as_millis() as u64,
            }),
            settled: self.is_settled(),
            asks,
        }
    }

    /// Stores a version. If it is new, announces it to the peers that aren't known to have it and
    /// notifies the subscribers.
    pub(crate) fn store_version(
        &self,
        version: FileVersion,
        source: VersionSource,
        from: Option<u64>,
    ) -> JoinOutcome {
        let key = version.key.clone();
        let outcome = self.store.borrow_mut().join(version);
        match outcome {
            JoinOutcome::Stored => self.announce_version(&key, source, from),
            JoinOutcome::AlreadyStored => {}
            JoinOutcome::Older => self.metrics.dropped.count("older_version"),
            JoinOutcome::TooLarge => {
                self.metrics.dropped.count("too_large");
                log::error!(file = key.name, revision = key.revision; "a file exceeds the bounds");
            }
        }
        outcome
    }

    fn announce_version(&self, key: &VersionKey, source: VersionSource, from: Option<u64>) {
        self.metrics.taken.count(source.label());
        log::info!(
            file = key.name, revision = key.revision, source = source.label();
            "version taken"
        );
        if !is_instances(&key.name) {
            self.record_known_revision(key.revision);
        }
        let holders = self.fetches.borrow().sources_of(key).to_vec();
        for link in self.links.borrow().values() {
            if Some(link.id) != from && !holders.contains(&link.id) {
                link.queue_announcement(key.clone());
            }
        }
        self.notify_subscribers();
    }

    fn notify_subscribers(&self) {
        self.subscribers.borrow_mut().retain_mut(|subscriber| {
            let _ = subscriber.try_send(());
            !subscriber.is_closed()
        });
    }

    /// Returns a receiver that wakes after each change of the stored versions or of the settled
    /// state.
    pub(crate) fn subscribe(&self) -> mpsc::Receiver<()> {
        let (sender, receiver) = mpsc::channel(0);
        self.subscribers.borrow_mut().push(sender);
        receiver
    }

    /// Returns the highest service revision seen by any process, as far as known.
    pub(crate) fn known_revision(&self) -> u64 {
        self.service_view.get().known_revision
    }

    /// Returns the service revision that the stored versions reflect.
    pub(crate) fn reflected_revision(&self) -> Option<u64> {
        self.service_view.get().reading.map(|(revision, _)| revision)
    }

    /// Records that a process has seen the service at `revision`.
    pub(crate) fn record_known_revision(&self, revision: u64) {
        let mut service_view = self.service_view.get();
        service_view.known_revision = service_view.known_revision.max(revision);
        self.service_view.set(service_view);
    }

    /// Records a service read that the stored versions reflect. A read of a revision below the
    /// highest known, or not later than the recorded one, is ignored.
    pub(crate) fn record_reading(&self, revision: u64, read: Instant) {
        let mut service_view = self.service_view.get();
        let later = service_view.reading.is_none_or(|(_, known)| read > known);
        if revision >= service_view.known_revision && later {
            service_view.known_revision = revision;
            service_view.reading = Some((revision, read));
            self.service_view.set(service_view);
        }
    }

    /// Adopts the service read of a peer with the same versions.
    pub(crate) fn adopt_reading(&self, reading: Option<ServiceReading>) {
        let Some(reading) = reading else { return };
        let age = Duration::from_millis(reading.age_ms);
        if let Some(read) = Instant::now().checked_sub(age) {
            self.record_reading(reading.revision, read);
        }
    }

    /// Returns the time since the service read that the stored versions reflect.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.service_view.get().reading.map(|(_, read)| read.elapsed())
    }

    /// Returns whether the process may serve with the files that it stores.
    pub(crate) fn is_settled(&self) -> bool {
        self.settling.get() == SettlingState::Settled
    }

    /// Makes the process query its peers again before it counts as settled.
    pub(crate) fn restart_settling(&self) {
        self.settling.set(SettlingState::Querying(Instant::now()));
        for link in self.links.borrow().values() {
            link.agreed.set(false);
            link.peer_settled.set(None);
            link.queue_summary(true);
        }
    }

    /// Queries all peers for a summary immediately, unless the process is settled.
    pub(crate) fn query_peers_if_unsettled(&self) {
        if !self.is_settled() {
            self.links.borrow().values().for_each(|link| link.queue_summary(true));
        }
    }

    /// Marks the process as settled if the current facts allow it.
    pub(crate) fn update_settling(&self) {
        let SettlingState::Querying(started_at) = self.settling.get() else { return };
        if self.settling_facts(started_at).is_settled(self.settings.ask_within) {
            self.settling.set(SettlingState::Settled);
            log::info!(
                revision = self.store.borrow().revision(), asked_ms = started_at.elapsed().as_millis() as u64;
                "configuration settled"
            );
            self.links.borrow().values().for_each(|link| link.queue_summary(false));
            self.notify_subscribers();
        }
    }

    fn settling_facts(&self, started_at: Instant) -> SettlingFacts {
        let links = self.links.borrow();
        let responded = links.values().filter(|link| link.peer_settled.get().is_some());
        let agreed = links.values().filter(|link| link.agreed.get()).count();
        let settled = links.values().filter(|link| link.peer_settled.get() == Some(true));
        SettlingFacts {
            query_time: started_at.elapsed(),
            has_peers: !self.settings.peers.is_empty() || !links.is_empty(),
            responded: responded.count(),
            agreed,
            disagreed: settled.filter(|link| !link.agreed.get()).count(),
            has_read_service: self
                .service_view
                .get()
                .reading
                .is_some_and(|(_, read)| read >= started_at),
            holds_files: self.store.borrow().files() > 0,
            is_fetching: !self.is_fetch_idle(),
        }
    }

    /// Returns whether no version is being fetched.
    pub(crate) fn is_fetch_idle(&self) -> bool {
        self.fetches.borrow().is_idle()
    }

    /// Returns the number of a new link.
    pub(crate) fn next_link(&self) -> u64 {
        self.last_link.set(self.last_link.get() + 1);
        self.last_link.get()
    }

    /// Returns the number of open links that this process opened (`outgoing`) or that its peers
    /// opened.
    pub(crate) fn count_links(&self, outgoing: bool) -> usize {
        self.links.borrow().values().filter(|link| link.outgoing == outgoing).count()
    }

    /// Returns whether there is a link to the peer at `address`.
    pub(crate) fn is_linked(&self, address: SocketAddr) -> bool {
        self.links.borrow().values().any(|link| link.address == address)
    }

    /// Closes a random link among those that this process opened.
    pub(crate) fn close_opened_link(&self) {
        let links = self.links.borrow();
        let opened: Vec<_> = links.values().filter(|link| link.outgoing).collect();
        if let Some(link) = opened.choose(&mut rand::rng()) {
            link.close();
        }
    }

    /// Closes the oldest of the links that peers opened.
    pub(crate) fn close_accepted_link(&self) {
        let links = self.links.borrow();
        let accepted = links.values().filter(|link| !link.outgoing);
        if let Some(link) = accepted.min_by_key(|link| link.id) {
            link.close();
        }
    }
}
