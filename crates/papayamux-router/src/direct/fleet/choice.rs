//! The choice of a server for a request.

use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::cache_survey::CacheListing;
use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::placement::{
    place, HolderNote, Placement, PlacementCandidate, PlacementRequest, PlacementTuning, ServerLoad,
};
use papayamux_coordination::server_evidence::ServerStanding;
use papayamux_coordination::server_profile::ServerSpeed;
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::ids::{ServerId, ServiceId};
use papayamux_state::prompt::{PromptChain, WarmParts};
use papayamux_state::quantities::TokenCount;
use papayamux_state::service_config::{EngineProfile, HomeRegions};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Fleet;
use crate::direct::{CallHead, NotRunReason};

/// Tokens of an engine's cache where the configuration doesn't say: what is remembered of it has a
/// bound of its own.
const UNKNOWN_CACHE: TokenCount = TokenCount::new(u64::MAX);

/// The regions that bind a request: its route's, and those of its organisation.
#[derive(Debug, Clone, Copy)]
pub struct RequestHomes<'a> {
    /// The route's.
    pub route: &'a HomeRegions,
    /// The organisation's, where it has a key.
    pub organisation: Option<&'a HomeRegions>,
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
    /// What the choice was based on.
    pub placement: Placement,
    /// How long the transfer of what it should take takes, beside what begins it.
    pub transfer: Option<Duration>,
    /// Tokens that it is likely to read of those that it is only believed to hold.
    pub missing: TokenCount,
    /// How long until its first event.
    pub expected: Duration,
    /// Whether it is reading prompts of other requests.
    pub is_reading: bool,
}

impl Fleet {
    /// Chooses a server of `service` that isn't among `tried`; `nobody_holds` tells that no server holds
    /// the prompt's shared part.
    pub fn choose(
        &self,
        service: &ServiceId,
        call: &CallHead,
        tried: &[ServerId],
        nobody_holds: bool,
        homes: RequestHomes<'_>,
    ) -> Option<ChosenServer> {
        let now = Instant::now();
        let prompt = &call.prompt;
        let mut servers = self.candidate_servers(service, tried, now);
        servers.retain(|server| self.is_home(server, homes));
        let ranks = self.group_ranks(prompt, &servers, now);
        let candidates: Vec<_> = servers
            .iter()
            .zip(ranks)
            .map(|(server, rank)| self.candidate(server, prompt, rank, now))
            .collect();
        let request = PlacementRequest {
            prompt: call.prompt_tokens.max(prompt.tokens()),
            answer: call.answer_tokens,
            shared: match self.uses(Mechanism::HomeBelief) {
                true => prompt.shared_tokens(),
                false => TokenCount::default(),
            },
            nobody_holds,
            draw: rand::random(),
            transfer_tokens_per_ms: self
                .engine_profile(service)
                .filter(|_| self.uses(Mechanism::Copies))
                .and_then(|profile| profile.transfer_tokens_per_ms),
        };
        let tuning = PlacementTuning {
            load_factor: match self.uses(Mechanism::LoadBound) {
                true => self.settings.load_factor,
                false => f64::INFINITY,
            },
            policy: self.settings.policy,
        };
        let placement = place(request, &candidates, tuning)?;
        let server = servers[placement.server].clone();
        self.evidence.borrow_mut().begin_trial(&server.id, now);
        let chosen = &candidates[placement.server];
        let backlog = TokenCount::new(chosen.load.backlog);
        let transfer = transfer_time(&request, &placement);
        let copying =
            transfer.map_or(Duration::ZERO, |transfer| transfer + chosen.speed.copy_time());
        let requests = chosen.load.requests;
        let slot_wait = chosen.speed.slot_wait(chosen.slots, requests, request.answer);
        let missing = chosen.speed.missing(placement.guessed);
        let cold = placement.cold + missing;
        Some(ChosenServer {
            server,
            transfer,
            missing,
            load: ServerLoad { requests: 1, backlog: cold.get() },
            expected: chosen.speed.time_to_first(backlog + cold) + copying + slot_wait,
            is_reading: chosen.load.backlog > 0,
            fetch_from: placement.fetch_from.map(|index| servers[index].clone()),
            placement,
        })
    }

    /// The servers that may get the request, and those that have left but still hold prompts.
    fn candidate_servers(
        &self,
        service: &ServiceId,
        tried: &[ServerId],
        now: Instant,
    ) -> Vec<Rc<BackendServer>> {
        let presence = self.presence.borrow();
        let servers = presence.catalog().of_service(service).cloned();
        let departed = self.departures.borrow().of_service(service, now);
        let departed = departed.into_iter().filter(|_| self.uses(Mechanism::DepartedSources));
        servers.chain(departed).filter(|server| !tried.contains(&server.id)).collect()
    }

    fn candidate(
        &self,
        server: &BackendServer,
        prompt: &PromptChain,
        rank: u32,
        now: Instant,
    ) -> PlacementCandidate {
        let caches = self.warm.borrow();
        let cache = caches.get(&server.id);
        let speed = self.speed(server);
        let limit = match server_is_engine(prompt) {
            true => speed.engine_silence(),
            false => speed.call_silence(),
        };
        let standing = match self.is_silent(server, limit, now) {
            true => ServerStanding::Held,
            false => self.evidence.borrow().standing(&server.id, now),
        };
        let room = self.send_room(server, now);
        let takes = self.takes_requests(server);
        if takes && room.is_empty() {
            self.note_passed_over(server);
        }
        PlacementCandidate {
            accepts: takes && !room.is_empty() && !self.rests(server, now),
            serves: server.phase == ServerPhase::Serving,
            load: self.ledger.borrow().total(&server.id, now, speed.read_tokens_per_ms),
            waiting: self.queue_reports.borrow().waiting(&server.id, now),
            slots: server.slots,
            warm: cache.map(|cache| cache.warm_tokens(prompt)).unwrap_or_default(),
            nearly_full: cache.is_some_and(WarmParts::is_nearly_full)
                && self.uses(Mechanism::EvictionCost),
            rank,
            failing: self.excess_failures(server, now),
            held_up: self.link_excess(server, now),
            speed,
            standing,
            round_trip_ms: self.round_trips.borrow().usual_ms(&server.domain),
        }
    }

    /// Whether a request with these homes may run at a server.
    pub(super) fn is_home(&self, server: &BackendServer, homes: RequestHomes<'_>) -> bool {
        let region = self.settings.regions.get(&server.domain);
        homes.route.admit(region) && homes.organisation.is_none_or(|homes| homes.admit(region))
    }

    /// Why no server of a service takes a request with these homes; `None` where one may.
    pub(in crate::direct) fn closed_reason(
        &self,
        service: &ServiceId,
        homes: RequestHomes<'_>,
    ) -> Option<NotRunReason> {
        let presence = self.presence.borrow();
        let servers = presence.catalog().of_service(service);
        let stays = |server: &&Rc<BackendServer>| {
            server.phase == ServerPhase::Serving && !self.leaves(server)
        };
        let mut serving = servers.filter(stays).peekable();
        serving.peek()?;
        let mut at_home = serving.filter(|server| self.is_home(server, homes)).peekable();
        if at_home.peek().is_none() {
            return Some(NotRunReason::OutsideHomes);
        }
        let is_closed = at_home.all(|server| !self.takes_requests(server));
        is_closed.then_some(NotRunReason::Evacuated)
    }

    /// Whether new requests may be sent to a server.
    pub(in crate::direct) fn takes_requests(&self, server: &BackendServer) -> bool {
        server.phase == ServerPhase::Serving
            && !self.leaves(server)
            && !self.evacuations.borrow().covers(&server.domain)
    }

    /// The places of servers in the order of the part by which prompts are grouped, by rendezvous
    /// hashing: all routers find the same without a word between them, and a server that comes or goes
    /// moves only its own groups. A server that takes no requests has none, and one that is cold gets its
    /// groups when it bears them, unless all are.
    fn group_ranks(
        &self,
        prompt: &PromptChain,
        servers: &[Rc<BackendServer>],
        now: Instant,
    ) -> Vec<u32> {
        let mut ranks = vec![u32::MAX; servers.len()];
        let Some(shared) = prompt.longest_shared() else { return ranks };
        let weight =
            |server: &BackendServer| xxh3_64_with_seed(server.id.as_str().as_bytes(), shared.id.0);
        let mut serving: Vec<_> = (0..servers.len())
            .filter(|index| self.takes_requests(&servers[*index]))
            .map(|index| (!self.is_cold(&servers[index], now), weight(&servers[index]), index))
            .collect();
        serving.sort_unstable_by(|left, right| right.cmp(left));
        let any_is_warm = serving.first().is_some_and(|(is_warm, ..)| *is_warm);
        serving.retain(|(is_warm, ..)| *is_warm || !any_is_warm);
        for (rank, (_, _, index)) in (0u32..).zip(serving) {
            ranks[index] = rank;
        }
        ranks
    }

    /// The requests of all routers at a server.
    pub(in crate::direct) fn load_at(&self, server: &BackendServer, now: Instant) -> ServerLoad {
        let speed = self.speed(server).read_tokens_per_ms;
        self.ledger.borrow().total(&server.id, now, speed)
    }

    /// How fast a server is.
    pub(in crate::direct) fn speed(&self, server: &BackendServer) -> ServerSpeed {
        self.profiles.borrow().speed(&server.service, &server.id)
    }

    fn link_excess(&self, server: &BackendServer, now: Instant) -> f64 {
        match self.uses(Mechanism::LinkDelays) {
            true => self.links.borrow().excess(&server.domain, now),
            false => 0.0,
        }
    }

    fn excess_failures(&self, server: &BackendServer, now: Instant) -> f64 {
        if !self.uses(Mechanism::AnswerRecords) {
            return 0.0;
        }
        let records = self.records.borrow();
        let record = records.get(&server.service);
        record.map_or(0.0, |record| record.excess_failures(&server.id, now))
    }

    pub(super) fn engine_profile(&self, service: &ServiceId) -> Option<EngineProfile> {
        self.configuration.borrow().as_ref()?.services.get(service)?.engine
    }

    pub(super) fn cache_capacity(&self, service: &ServiceId) -> TokenCount {
        let profile = self.engine_profile(service);
        profile.map_or(UNKNOWN_CACHE, |profile| profile.cache_tokens)
    }

    /// What this router knows of who holds which shared part, for the other routers.
    pub fn next_holder_notes(&self, now: Instant) -> Vec<HolderNote> {
        let notes = self.holders.borrow_mut().next_notes(now);
        if self.uses(Mechanism::HoldersTold) {
            notes
        } else {
            Vec::new()
        }
    }

    /// Takes in what another router knows of a server's cache.
    pub fn note_holder(&self, note: &HolderNote) {
        let Some(server) = self.presence.borrow().catalog().get(&note.server).cloned() else {
            return;
        };
        let capacity = self.cache_capacity(&server.service);
        let mut warm = self.warm.borrow_mut();
        let parts = warm.entry(server.id.clone()).or_insert_with(|| WarmParts::new(capacity));
        parts.record_prefixes(note.prefixes.iter().copied());
    }

    /// Takes in what an engine lists of its cache.
    pub fn note_listing(&self, listing: &CacheListing) {
        let Some(server) = self.presence.borrow().catalog().get(&listing.server).cloned() else {
            return;
        };
        let capacity = self.cache_capacity(&server.service);
        let mut warm = self.warm.borrow_mut();
        let parts = warm.entry(server.id.clone()).or_insert_with(|| WarmParts::new(capacity));
        parts.record_listed(listing.parts.iter().copied());
    }

    /// The servers that have caches of prompts, take requests and don't rest.
    pub fn engines(&self) -> Vec<Rc<BackendServer>> {
        let (presence, now) = (self.presence.borrow(), Instant::now());
        let servers = presence.catalog().iter().filter(|server| self.takes_requests(server));
        let servers = servers.filter(|server| !self.rests(server, now));
        servers.filter(|server| self.engine_profile(&server.service).is_some()).cloned().collect()
    }
}

/// How long what is copied takes on its way; nothing where nothing is.
fn transfer_time(request: &PlacementRequest, placement: &Placement) -> Option<Duration> {
    placement.fetch_from?;
    let copied = request.prompt.saturating_sub(placement.held).saturating_sub(placement.cold);
    let span_ms = copied.get() as f64 / request.transfer_tokens_per_ms?;
    Duration::try_from_secs_f64(span_ms / 1_000.0).ok()
}

fn server_is_engine(prompt: &PromptChain) -> bool {
    !prompt.parts().is_empty()
}
