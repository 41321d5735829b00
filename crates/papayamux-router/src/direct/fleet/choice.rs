//! The choice of a server for a request.

use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::cache_survey::CacheListing;
use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::placement::{
    is_placeable, place, HolderUpdate, Placement, PlacementCandidate, PlacementRequest,
    PlacementTuning, ServerLoad,
};
use papayamux_coordination::server_evidence::ServerStanding;
use papayamux_coordination::server_profile::ServerSpeed;
use papayamux_coordination::stream_origins::VersionRule;
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::durations::duration_from_millis;
use papayamux_state::ids::{ServerId, ServerKey, ServiceId};
use papayamux_state::prompt::{PromptChain, WarmParts};
use papayamux_state::quantities::TokenCount;
use papayamux_state::service_config::{EngineProfile, HomeRegions};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Fleet;
use crate::direct::{CallHead, NotRunReason};

/// Cache capacity of an engine if the configuration doesn't give it; the router's record of a cache
/// has a bound of its own.
const UNKNOWN_CACHE_CAPACITY: TokenCount = TokenCount::new(u64::MAX);

/// The servers to which a request is restricted.
#[derive(Debug, Clone, Copy)]
pub struct ServerFilter<'a> {
    /// The home regions of the route.
    pub route_homes: &'a HomeRegions,
    /// The home regions of the organisation, if the request has a key.
    pub organisation_homes: Option<&'a HomeRegions>,
    /// The software versions at which the request may run.
    pub versions: &'a VersionRule,
}

/// The result of a server choice.
#[derive(Debug, Clone)]
pub struct ChosenServer {
    /// The server.
    pub server: Rc<BackendServer>,
    /// The load that the request adds to the server.
    pub load: ServerLoad,
    /// A server from which the chosen one should fetch the missing parts of the prompt.
    pub fetch_from: Option<Rc<BackendServer>>,
    /// The placement on which the choice is based.
    pub placement: Placement,
    /// Duration of the transfer from that server, without its set-up.
    pub transfer: Option<Duration>,
    /// Tokens that the server probably has to prefill although it is assumed to hold them.
    pub missing: TokenCount,
    /// Expected time to the first event.
    pub expected: Duration,
    /// `true` if the server prefills prompts of other requests.
    pub is_prefilling: bool,
    /// The factor by which work at the server was expected to take longer than usual.
    pub slowdown: f64,
    /// The age of the report from which that was expected; `None` if the server reports nothing.
    pub slowdown_age: Option<Duration>,
}

impl Fleet {
    /// Chooses a server of `service` that isn't among `tried`: `granted` if the request holds a
    /// slot there and the server still passes all checks. `nobody_holds` tells that no server holds
    /// the shared part of the prompt.
    pub fn choose(
        &self,
        service: &ServiceId,
        call: &CallHead,
        tried: &[ServerId],
        nobody_holds: bool,
        granted: Option<ServerKey>,
        filter: ServerFilter<'_>,
    ) -> Option<ChosenServer> {
        let now = Instant::now();
        let prompt = &call.prompt;
        let mut servers = self.candidate_servers(service, tried, now);
        servers.retain(|server| self.is_admitted(server, filter));
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
            sample: rand::random(),
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
        let index_of = |key| servers.iter().position(|server| ServerKey::from(&server.id) == key);
        let granted = granted.and_then(index_of);
        let granted = granted.filter(|index| is_placeable(&candidates, *index, tuning));
        let placement = match granted {
            Some(index) => place(request, &only_accepting(&candidates, index), tuning)?,
            None => place(request, &candidates, tuning)?,
        };
        let server = servers[placement.server].clone();
        self.evidence.borrow_mut().begin_trial(&server.id, now);
        let chosen = &candidates[placement.server];
        let backlog = TokenCount::new(chosen.load.backlog);
        let transfer = transfer_time(&request, &placement);
        let copying =
            transfer.map_or(Duration::ZERO, |transfer| transfer + chosen.speed.copy_time());
        let requests = chosen.load.requests;
        let slot_wait = chosen.speed.slot_wait(chosen.slots, requests, request.answer);
        let missing = chosen.speed.expected_misses(placement.assumed);
        let cold = placement.cold + missing;
        let slowdown_age = self.slowdowns.borrow().report_age(&server.id, now);
        Some(ChosenServer {
            server,
            slowdown: chosen.speed.slowdown,
            slowdown_age,
            transfer,
            missing,
            load: ServerLoad { requests: 1, backlog: cold.get() },
            expected: chosen.speed.time_to_first_event(backlog + cold) + copying + slot_wait,
            is_prefilling: chosen.load.backlog > 0,
            fetch_from: placement.fetch_from.map(|index| servers[index].clone()),
            placement,
        })
    }

    /// Returns the servers that may get the request, and departed ones that still hold prompts.
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
        let speed = self.speed(server, now);
        let limit = match server_is_engine(prompt) {
            true => speed.engine_silence(),
            false => speed.call_silence(),
        };
        let standing = match self.is_silent(server, limit, now) {
            true => ServerStanding::Ejected,
            false => self.evidence.borrow().standing(&server.id, now),
        };
        let quota = self.send_quota(server, now);
        let takes = self.takes_requests(server);
        if takes && quota.is_empty() {
            self.record_passed_over_server(server);
        }
        PlacementCandidate {
            accepts: takes && !quota.is_empty() && !self.is_backing_off(server, now),
            serves: server.phase == ServerPhase::Serving,
            load: self.ledger.borrow().total(&server.id, now, speed.prefill_tokens_per_ms),
            waiting: self.queue_reports.borrow().waiting(&server.id, now),
            slots: server.slots,
            warm: cache.map(|cache| cache.warm_tokens(prompt)).unwrap_or_default(),
            nearly_full: cache.is_some_and(WarmParts::is_nearly_full)
                && self.uses(Mechanism::EvictionCost),
            rank,
            excess_failure_rate: self.excess_failures(server, now),
            excess_delay_rate: self.link_excess(server, now),
            speed,
            standing,
            round_trip_ms: self.round_trips.borrow().median_ms(&server.domain),
        }
    }

    /// Returns whether a request with these home regions may run at a server.
    pub(super) fn is_home(&self, server: &BackendServer, filter: ServerFilter<'_>) -> bool {
        let region = self.settings.regions.get(&server.domain);
        filter.route_homes.admit(region)
            && filter.organisation_homes.is_none_or(|homes| homes.admit(region))
    }

    /// Returns whether a request may run at a server, if the server accepts requests.
    pub(super) fn is_admitted(&self, server: &BackendServer, filter: ServerFilter<'_>) -> bool {
        self.is_home(server, filter) && filter.versions.admits(server)
    }

    /// Returns the reason that no server of a service takes a request; `None` if one may.
    pub(in crate::direct) fn closed_reason(
        &self,
        service: &ServiceId,
        filter: ServerFilter<'_>,
    ) -> Option<NotRunReason> {
        let presence = self.presence.borrow();
        let servers = presence.catalog().of_service(service);
        let stays = |server: &&Rc<BackendServer>| {
            server.phase == ServerPhase::Serving && !self.is_draining(server)
        };
        let mut serving = servers.filter(stays).peekable();
        serving.peek()?;
        let mut at_home = serving.filter(|server| self.is_home(server, filter)).peekable();
        if at_home.peek().is_none() {
            return Some(NotRunReason::OutsideHomes);
        }
        let mut admitted = at_home.filter(|server| filter.versions.admits(server)).peekable();
        if admitted.peek().is_none() {
            return Some(NotRunReason::NoServerOfVersion);
        }
        let is_closed = admitted.all(|server| !self.takes_requests(server));
        is_closed.then_some(NotRunReason::Evacuated)
    }

    /// Returns whether new requests may be sent to a server.
    pub(in crate::direct) fn takes_requests(&self, server: &BackendServer) -> bool {
        server.phase == ServerPhase::Serving
            && !self.is_draining(server)
            && !self.evacuations.borrow().covers(&server.domain)
    }

    /// Returns the rank of each server for the longest shared part of the prompt, by rendezvous
    /// hashing. All routers compute the same ranks without communication, and a server that is
    /// added or removed moves only its own groups of prompts. A server that takes no requests has
    /// no rank, and neither has a cold one, unless all servers are cold.
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

    /// Returns the load of a server by the requests of all routers.
    pub(in crate::direct) fn load_at(&self, server: &BackendServer, now: Instant) -> ServerLoad {
        let speed = self.speed(server, now).prefill_tokens_per_ms;
        self.ledger.borrow().total(&server.id, now, speed)
    }

    /// Returns the speed of a server, as far as other work on its machine leaves it.
    pub(in crate::direct) fn speed(&self, server: &BackendServer, now: Instant) -> ServerSpeed {
        let speed = self.profiles.borrow().speed(&server.service, &server.id);
        speed.slowed_by(self.slowdowns.borrow().factor(&server.id, now))
    }

    fn link_excess(&self, server: &BackendServer, now: Instant) -> f64 {
        match self.uses(Mechanism::LinkDelays) {
            true => self.links.borrow().excess(&server.domain, now),
            false => 0.0,
        }
    }

    pub(super) fn excess_failures(&self, server: &BackendServer, now: Instant) -> f64 {
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
        profile.map_or(UNKNOWN_CACHE_CAPACITY, |profile| profile.cache_tokens)
    }

    /// Returns what this router knows about the holders of shared parts, for the other routers.
    pub fn next_holder_updates(&self, now: Instant) -> Vec<HolderUpdate> {
        let updates = self.holders.borrow_mut().next_updates(now);
        if self.uses(Mechanism::HoldersTold) {
            updates
        } else {
            Vec::new()
        }
    }

    /// Records what another router knows about a server's cache.
    pub fn record_holder(&self, note: &HolderUpdate) {
        let Some(server) = self.presence.borrow().catalog().get(&note.server).cloned() else {
            return;
        };
        let capacity = self.cache_capacity(&server.service);
        let mut warm = self.warm.borrow_mut();
        let parts = warm.entry(server.id.clone()).or_insert_with(|| WarmParts::new(capacity));
        parts.record_prefixes(note.prefixes.iter().copied());
    }

    /// Records the cache contents that an engine lists.
    pub fn record_listing(&self, listing: &CacheListing) {
        let Some(server) = self.presence.borrow().catalog().get(&listing.server).cloned() else {
            return;
        };
        let capacity = self.cache_capacity(&server.service);
        let mut warm = self.warm.borrow_mut();
        let parts = warm.entry(server.id.clone()).or_insert_with(|| WarmParts::new(capacity));
        parts.record_listed(listing.parts.iter().copied());
    }

    /// Returns the servers that cache prompts, take requests and have no back-off requested.
    pub fn engines(&self) -> Vec<Rc<BackendServer>> {
        let (presence, now) = (self.presence.borrow(), Instant::now());
        let servers = presence.catalog().iter().filter(|server| self.takes_requests(server));
        let servers = servers.filter(|server| !self.is_backing_off(server, now));
        servers.filter(|server| self.engine_profile(&server.service).is_some()).cloned().collect()
    }
}

/// Returns the candidates with `index` as the only one that accepts requests.
fn only_accepting(candidates: &[PlacementCandidate], index: usize) -> Vec<PlacementCandidate> {
    let mut candidates = candidates.to_vec();
    for (other, candidate) in candidates.iter_mut().enumerate() {
        candidate.accepts &= other == index;
    }
    candidates
}

/// Returns the duration of the transfer of a copy; `None` if nothing is copied.
fn transfer_time(request: &PlacementRequest, placement: &Placement) -> Option<Duration> {
    placement.fetch_from?;
    let copied = request.prompt.saturating_sub(placement.held).saturating_sub(placement.cold);
    let span_ms = copied.get() as f64 / request.transfer_tokens_per_ms?;
    duration_from_millis(span_ms).ok()
}

fn server_is_engine(prompt: &PromptChain) -> bool {
    !prompt.parts().is_empty()
}
