//! What a router believes of the configuration, the servers and the other routers, and the
//! decisions that it takes from that.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::key_freshness::KeyFreshness;
use papayamux_coordination::placement::{
    place, HolderNote, LoadLedger, PlacementCandidate, PlacementRequest, PlacementTuning,
    RecentHolders, ServerLoad,
};
use papayamux_coordination::server_evidence::{EvidenceBook, EvidenceKind, ServerStanding};
use papayamux_coordination::server_presence::{PresenceChange, ServerPresence};
use papayamux_coordination::server_pulse::PulseBook;
use papayamux_coordination::server_record::AnswerRecord;
use papayamux_coordination::service_retry_budget::ServiceRetryBudget;
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::boot_time::BootInstant;
use papayamux_state::ids::{ServerId, ServiceId};
use papayamux_state::prompt::{PromptChain, WarmParts};
use papayamux_state::quantities::TokenCount;
use papayamux_state::service_config::{ConfigVersion, ConfigurationSnapshot, EngineProfile};
use papayamux_transport::boot_clock::boot_now;
use papayamux_transport::http::upstream::UpstreamPool;
use papayamux_transport::shutdown::ShutdownSignal;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::attempt_watch::AttemptWatch;
use super::{DirectMetrics, FleetSettings};

/// Tokens of an engine's cache where the configuration doesn't say.
const DEFAULT_CACHE: TokenCount = TokenCount::new(300_000);
/// Silence of an engine with requests under way after which nothing more is sent to it: several
/// times a step that reads a full chunk of a prompt, at up to 100 ms.
const ENGINE_SILENCE: Duration = Duration::from_millis(600);
/// The same for a plain service: several times what a slow call takes.
const PLAIN_SILENCE: Duration = Duration::from_millis(250);

/// All that a router knows. It belongs to one thread; clones of the `Rc` share it.
pub struct Fleet {
    settings: FleetSettings,
    configuration: RefCell<Option<Rc<ConfigurationSnapshot>>>,
    freshness: RefCell<KeyFreshness>,
    confirmed: RefCell<ShutdownSignal>,
    poke: RefCell<ShutdownSignal>,
    presence: RefCell<ServerPresence>,
    ledger: RefCell<LoadLedger>,
    evidence: RefCell<EvidenceBook>,
    pulses: RefCell<HashMap<ServiceId, PulseBook>>,
    budget: RefCell<ServiceRetryBudget>,
    records: RefCell<HashMap<ServiceId, AnswerRecord>>,
    warm: RefCell<HashMap<ServerId, WarmParts>>,
    holders: RefCell<RecentHolders>,
    in_flight: Cell<usize>,
    watch: AttemptWatch,
    metrics: DirectMetrics,
    pool: UpstreamPool,
}

/// A server that was chosen.
#[derive(Debug, Clone)]
pub struct ChosenServer {
    /// The server.
    pub server: Rc<BackendServer>,
    /// What the request adds to its load.
    pub load: ServerLoad,
    /// A server from which it should take what it lacks of the prompt.
    pub fetch_from: Option<Rc<BackendServer>>,
}

impl Fleet {
    /// A router that knows nothing yet.
    pub fn new(settings: FleetSettings) -> Rc<Self> {
        let pool = UpstreamPool::new(settings.pool);
        Rc::new(Self {
            freshness: RefCell::new(KeyFreshness::new(settings.revoke_within)),
            budget: RefCell::new(ServiceRetryBudget::new(settings.retries)),
            settings,
            configuration: RefCell::default(),
            confirmed: RefCell::default(),
            poke: RefCell::default(),
            presence: RefCell::default(),
            ledger: RefCell::default(),
            evidence: RefCell::default(),
            pulses: RefCell::default(),
            records: RefCell::default(),
            warm: RefCell::default(),
            holders: RefCell::default(),
            in_flight: Cell::new(0),
            watch: AttemptWatch::default(),
            metrics: DirectMetrics::default(),
            pool,
        })
    }

    /// The settings.
    pub fn settings(&self) -> &FleetSettings {
        &self.settings
    }

    /// Counters and histograms.
    pub fn metrics(&self) -> &DirectMetrics {
        &self.metrics
    }

    /// Connections to servers.
    pub fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    /// The watch over attempts.
    pub(super) fn watch(&self) -> &AttemptWatch {
        &self.watch
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Rc<ConfigurationSnapshot>> {
        self.configuration.borrow().clone()
    }

    /// The version in force, 0 where there is none.
    pub fn configuration_version(&self) -> ConfigVersion {
        self.configuration.borrow().as_ref().map(|known| known.version).unwrap_or_default()
    }

    /// Brings a configuration into force, unless it is older than the one in force.
    pub fn apply_configuration(&self, snapshot: ConfigurationSnapshot) {
        let mut configuration = self.configuration.borrow_mut();
        let known = configuration.as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= snapshot.version) {
            return;
        }
        log::info!(
            version:% = snapshot.version, routes = snapshot.routes.len(),
            services = snapshot.services.len(); "configuration in force"
        );
        *configuration = Some(Rc::new(snapshot));
    }

    /// Notes that a read sent at `sent` returned what was newest.
    pub fn confirm_configuration(&self, sent: BootInstant) {
        self.freshness.borrow_mut().confirm(sent);
        self.confirmed.take().give();
    }

    /// Whether API keys may be accepted.
    pub fn keys_are_fresh(&self) -> bool {
        self.freshness.borrow().is_fresh(boot_now())
    }

    /// How old the last confirmation of the configuration is.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.freshness.borrow().age(boot_now())
    }

    /// Asks for a confirmation at once and waits for one, up to `limit`.
    pub async fn refresh_configuration(&self, limit: Duration) {
        let confirmed = self.confirmed.borrow().clone();
        self.poke.take().give();
        // A refusal follows where no confirmation came, so that the timeout needs no handling.
        let _ = monoio::time::timeout(limit, confirmed.given()).await;
    }

    /// Waits until somebody asks for a confirmation.
    pub async fn poked(&self) {
        let poke = self.poke.borrow().clone();
        poke.given().await;
    }

    /// Notes that the list of servers answered.
    pub fn note_list_contact(&self, failed: bool, now: Instant) {
        self.presence.borrow_mut().note_contact(failed, now);
    }

    /// Whether lapsed servers may still come back.
    pub fn awaits_renewals(&self) -> bool {
        self.presence.borrow().awaits_renewals()
    }

    /// Gives up servers whose entries have lapsed for too long.
    pub(super) fn expire_lapsed(&self) {
        if !self.awaits_renewals() {
            return;
        }
        let lapsed = self.presence.borrow_mut().expire_lapsed(Instant::now());
        for id in lapsed {
            self.forget_server(&id);
            log::info!(server:% = id; "lapsed server did not come back");
        }
    }

    /// Takes in one entry of the list.
    pub fn note_server(&self, server: BackendServer) {
        let id = server.id.clone();
        let change = self.presence.borrow_mut().note_entry(server);
        self.note_presence(&id, change);
    }

    /// Takes in that an entry is gone.
    pub fn note_server_gone(&self, id: &ServerId, now: Instant) {
        let change = self.presence.borrow_mut().note_removal(id, now);
        self.note_presence(id, change);
    }

    /// Takes in the whole list.
    pub fn note_server_list(&self, servers: Vec<BackendServer>, now: Instant) {
        let changes = self.presence.borrow_mut().note_list(servers, now);
        for (id, change) in changes {
            self.note_presence(&id, change);
        }
    }

    fn note_presence(&self, id: &ServerId, change: PresenceChange) {
        match change {
            PresenceChange::Unchanged => {}
            PresenceChange::Departed => {
                self.forget_server(id);
                log::info!(server:% = id; "server is gone");
            }
            PresenceChange::Arrived => log::info!(server:% = id; "server is there"),
            PresenceChange::Draining => log::info!(server:% = id; "server is draining"),
            PresenceChange::Lapsed => log::info!(server:% = id; "server's entry has lapsed"),
        }
    }

    fn forget_server(&self, id: &ServerId) {
        self.warm.borrow_mut().remove(id);
    }

    /// Servers that are known.
    pub fn server_count(&self) -> usize {
        self.presence.borrow().catalog().len()
    }

    /// The requests that are under way at this router.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    pub(super) fn count_in_flight(&self, begun: bool) {
        let count = self.in_flight.get();
        self.in_flight.set(if begun { count + 1 } else { count.saturating_sub(1) });
    }

    /// Loads at servers, own and others'.
    pub fn ledger(&self) -> &RefCell<LoadLedger> {
        &self.ledger
    }

    /// The budget for repeats.
    pub fn budget(&self) -> &RefCell<ServiceRetryBudget> {
        &self.budget
    }

    /// Chooses a server of `service` that isn't among `tried`.
    pub fn choose(
        &self,
        service: &ServiceId,
        prompt: &PromptChain,
        prompt_tokens: TokenCount,
        tried: &[ServerId],
    ) -> Option<ChosenServer> {
        let now = Instant::now();
        let servers = self.candidate_servers(service, tried);
        let ranks = group_ranks(prompt, &servers);
        let candidates: Vec<_> = servers
            .iter()
            .zip(ranks)
            .map(|(server, rank)| self.candidate(server, prompt, rank, now))
            .collect();
        let request = PlacementRequest {
            prompt: prompt_tokens.max(prompt.tokens()),
            shared: prompt.shared_tokens(),
            draw: rand::random(),
            transfer_tokens_per_ms: self
                .engine_profile(service)
                .and_then(|profile| profile.transfer_tokens_per_ms),
        };
        let tuning = PlacementTuning {
            load_factor: self.settings.load_factor,
            policy: self.settings.policy,
        };
        let placement = place(request, &candidates, tuning)?;
        let server = servers[placement.server].clone();
        self.evidence.borrow_mut().begin_trial(&server.id, now);
        Some(ChosenServer {
            server,
            load: ServerLoad { requests: 1, backlog: placement.cold.get() },
            fetch_from: placement.fetch_from.map(|index| servers[index].clone()),
        })
    }

    fn candidate_servers(&self, service: &ServiceId, tried: &[ServerId]) -> Vec<Rc<BackendServer>> {
        let presence = self.presence.borrow();
        let servers = presence.catalog().of_service(service);
        servers.filter(|server| !tried.contains(&server.id)).cloned().collect()
    }

    fn candidate(
        &self,
        server: &BackendServer,
        prompt: &PromptChain,
        rank: u32,
        now: Instant,
    ) -> PlacementCandidate {
        let warm = self.warm.borrow().get(&server.id).map(|warm| warm.warm_tokens(prompt));
        let silence = self.silence(server, now);
        let limit = if server_is_engine(prompt) { ENGINE_SILENCE } else { PLAIN_SILENCE };
        let standing = match silence.is_some_and(|silence| silence > limit) {
            true => ServerStanding::Held,
            false => self.evidence.borrow().standing(&server.id, now),
        };
        PlacementCandidate {
            accepts: server.phase == ServerPhase::Serving,
            load: self.ledger.borrow().total(&server.id),
            slots: server.slots,
            warm: warm.unwrap_or_default(),
            rank,
            failing: self.excess_failures(server, now),
            standing,
            near: server.domain == self.settings.domain,
        }
    }

    fn excess_failures(&self, server: &BackendServer, now: Instant) -> f64 {
        let records = self.records.borrow();
        let record = records.get(&server.service);
        record.map_or(0.0, |record| record.excess_failures(&server.id, now))
    }

    /// Notes whether a server's answer was a failure of its own.
    pub(super) fn note_answer(&self, server: &BackendServer, failed: bool) {
        let mut records = self.records.borrow_mut();
        let record = records.entry(server.service.clone()).or_default();
        record.note(&server.id, failed, Instant::now());
    }

    /// Forgets what is too old to matter.
    pub(super) fn forget_old(&self) {
        let now = Instant::now();
        self.records.borrow_mut().values_mut().for_each(|record| record.forget_faded(now));
        self.pool.prune();
    }

    /// What this router knows of who holds which shared part, for the other routers.
    pub fn next_holder_notes(&self, now: Instant) -> Vec<HolderNote> {
        self.holders.borrow_mut().next_notes(now)
    }

    /// Takes in what another router knows of a server's cache.
    pub fn note_holder(&self, note: &HolderNote) {
        let Some(server) = self.presence.borrow().catalog().get(&note.server).cloned() else {
            return;
        };
        let capacity = self.cache_capacity(&server.service);
        let mut warm = self.warm.borrow_mut();
        let parts = warm.entry(server.id.clone()).or_insert_with(|| WarmParts::new(capacity));
        parts.note_prefixes(note.prefixes.iter().copied());
    }

    /// How long a server has owed a sign of life.
    pub fn silence(&self, server: &BackendServer, now: Instant) -> Option<Duration> {
        self.pulses.borrow().get(&server.service)?.silence(&server.id, now)
    }

    /// Counts a request that is sent to a server.
    pub(super) fn begin_request(&self, chosen: &ChosenServer, prompt: &PromptChain) {
        let server = &chosen.server;
        self.ledger.borrow_mut().begin(&server.id, chosen.load);
        let mut pulses = self.pulses.borrow_mut();
        pulses.entry(server.service.clone()).or_default().begin(&server.id, Instant::now());
        if !prompt.parts().is_empty() {
            let capacity = self.cache_capacity(&server.service);
            let mut warm = self.warm.borrow_mut();
            let parts = warm.entry(server.id.clone()).or_insert_with(|| WarmParts::new(capacity));
            parts.note_use(prompt);
            self.holders.borrow_mut().note_use(&server.id, prompt, Instant::now());
        }
    }

    /// Counts that a request at a server has ended, with the load that is still counted.
    pub(super) fn end_request(&self, server: &BackendServer, load: ServerLoad) {
        self.ledger.borrow_mut().end(&server.id, load);
        if let Some(pulses) = self.pulses.borrow_mut().get_mut(&server.service) {
            pulses.end(&server.id);
        }
    }

    /// Notes a sign of life of a server.
    pub(super) fn hear_server(&self, server: &BackendServer) {
        let now = Instant::now();
        if let Some(pulses) = self.pulses.borrow_mut().get_mut(&server.service) {
            pulses.hear(&server.id, now);
        }
        self.evidence.borrow_mut().note_answer(&server.id, now);
    }

    /// Notes evidence against a server.
    pub(super) fn note_evidence(&self, server: &BackendServer, kind: EvidenceKind) {
        self.evidence.borrow_mut().note(&server.id, kind, Instant::now());
        if kind == EvidenceKind::Unreachable {
            self.pool.forget(server.address);
        }
    }

    fn engine_profile(&self, service: &ServiceId) -> Option<EngineProfile> {
        self.configuration.borrow().as_ref()?.services.get(service)?.engine
    }

    fn cache_capacity(&self, service: &ServiceId) -> TokenCount {
        let profile = self.engine_profile(service);
        profile.map_or(DEFAULT_CACHE, |profile| profile.cache_tokens)
    }
}

fn server_is_engine(prompt: &PromptChain) -> bool {
    !prompt.parts().is_empty()
}

/// The places of servers in the order of the part by which prompts are grouped, by rendezvous
/// hashing: all routers find the same without a word between them, and a server that comes or goes
/// moves only its own groups. A server that is draining has none.
fn group_ranks(prompt: &PromptChain, servers: &[Rc<BackendServer>]) -> Vec<u32> {
    let mut ranks = vec![u32::MAX; servers.len()];
    let Some(shared) = prompt.longest_shared() else { return ranks };
    let weight =
        |server: &BackendServer| xxh3_64_with_seed(server.id.as_str().as_bytes(), shared.id.0);
    let mut serving: Vec<_> = (0..servers.len())
        .filter(|index| servers[*index].phase == ServerPhase::Serving)
        .map(|index| (weight(&servers[index]), index))
        .collect();
    serving.sort_unstable_by(|left, right| right.cmp(left));
    for (rank, (_, index)) in (0u32..).zip(serving) {
        ranks[index] = rank;
    }
    ranks
}
