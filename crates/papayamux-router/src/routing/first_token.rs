//! The default policy: routes a chat to the server with the shortest expected time to first token.
//!
//! A chat's candidates are its home, chosen by rendezvous hashing of the chat, and the top-ranked
//! servers for the prefix of its prompt, which other chats may share. Candidates depend only on the
//! request and the declared servers, so all routers probe the same agents without coordination.

use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::route_cost::{route_cost, PromptCheckpoints};
use papayamux_coordination::server_evidence::ServerStanding;
use papayamux_protocol::chat::ChatCall;
use papayamux_protocol::engine::{block_hashes, prompt_tokens, render_prompt, root_hash};
use papayamux_protocol::link::{LoadProbe, ProbeReply};
use papayamux_state::chat_key::chat_hash;
use papayamux_state::ids::ServerId;
use papayamux_state::load::{GroupId, GroupLoad};
use papayamux_state::placement::rendezvous_weight;
use papayamux_state::quantities::TokenCount;

use super::probe::probe_all;
use super::route_plan::{ChatHome, PlanBound, PlannedServer, RoutePlan};
use super::route_planner::RoutePlanner;
use crate::directory::ServerRecord;

/// Number of leading blocks that identify a shared prompt prefix. Shorter prefixes are ignored:
/// computing them takes no longer than finding them in a cache.
const PREFIX_BLOCKS: usize = 64;
/// Maximum number of servers probed in one round.
const PROBES_PER_ROUND: usize = 2;
/// Maximum age of a load report that replaces a probe.
const MAX_LOAD_AGE: Duration = Duration::from_millis(150);
/// Maximum prefill backlog at which a home is chosen without a probe.
const MAX_HOME_BACKLOG: Duration = Duration::from_millis(20);
/// Wait budget at a home that was not probed.
const HOME_WAIT_BUDGET: Duration = Duration::from_millis(30);
/// Factor by which the wait may have grown between the probe and the arrival of the request.
const WAIT_TOLERANCE_FACTOR: f64 = 1.5;
/// Minimum wait budget at a server that was chosen by cost.
const MIN_WAIT_BUDGET: Duration = Duration::from_millis(10);
/// Cost margin over the next server where its cost is unknown, and the wait budget at servers that
/// were not probed.
const DEFAULT_COST_MARGIN: Duration = Duration::from_millis(50);
/// Backlog at the best probed server above which a second round of probes is sent.
const SECOND_ROUND_BACKLOG: Duration = Duration::from_millis(40);

/// A server that replied to a probe.
struct ProbedServer {
    record: Rc<ServerRecord>,
    reply: ProbeReply,
}

/// The inputs of one routing decision.
pub(super) struct ChatDecision<'a> {
    planner: &'a RoutePlanner,
    group: GroupId,
    group_load: Option<GroupLoad>,
    servers: Vec<Rc<ServerRecord>>,
    home: Rc<ServerRecord>,
    candidates: Vec<Rc<ServerRecord>>,
    checkpoints: PromptCheckpoints,
    chat: u64,
    is_returning: bool,
}

impl<'a> ChatDecision<'a> {
    /// Prepares a decision on a chat among the servers of its model. Returns `None` if `servers` is
    /// empty.
    pub fn new(
        planner: &'a RoutePlanner,
        call: &ChatCall,
        servers: Vec<Rc<ServerRecord>>,
    ) -> Option<Self> {
        let prompt = render_prompt(&call.request.messages);
        let adapter = call.adapter.as_ref().map(|adapter| adapter.as_str());
        let hashes = block_hashes(root_hash(call.model.as_str(), adapter), &prompt);
        let tokens = TokenCount::new(prompt_tokens(prompt.len()));
        let by_chat = ranked(&servers, |server| rendezvous_weight(&call.chat, server));
        let home = by_chat.first()?.clone();
        let prefix_hash = hashes.get(PREFIX_BLOCKS - 1).copied();
        let others = match prefix_hash.and_then(|hash| format!("{hash:016x}").parse().ok()) {
            Some(key) => ranked(&servers, |server| rendezvous_weight(&key, server)),
            None => by_chat,
        };
        let mut candidates = vec![home.clone()];
        let others = others.into_iter().filter(|record| !Rc::ptr_eq(record, &home));
        candidates.extend(others.take(PROBES_PER_ROUND - 1));
        let group = GroupId::named(call.model.as_str());
        Some(Self {
            planner,
            group,
            group_load: planner.loads().group_load(group, &servers),
            servers,
            home,
            candidates,
            checkpoints: PromptCheckpoints::new(&hashes, tokens),
            chat: chat_hash(&call.chat),
            is_returning: prefix_hash.is_none() && call.request.messages.len() > 1,
        })
    }

    /// Plans the order in which servers are offered the chat, probing them where needed.
    pub async fn plan(mut self) -> RoutePlan {
        if self.may_skip_probes() {
            self.planner.metrics().decisions.count("home");
            let (record, wait_budget) = (self.home.clone(), HOME_WAIT_BUDGET);
            let order = self.append_remaining(vec![PlannedServer { record, wait_budget }]);
            return self.into_plan(order).with_unprobed_home();
        }
        let mut probed = self.probe(self.not_ejected(&self.candidates)).await;
        let further = self.further_servers(&probed);
        let rounds = if further.is_empty() { "probed_once" } else { "probed_twice" };
        self.planner.metrics().decisions.count(rounds);
        if !further.is_empty() {
            probed.extend(self.probe(further).await);
        }
        let order = self.append_remaining(self.order_by_cost(probed));
        self.group_load = self.planner.loads().group_load(self.group, &self.servers);
        self.into_plan(order)
    }

    /// Returns the probed servers, cheapest first. The wait budget at each lasts until the next
    /// server would be cheaper.
    fn order_by_cost(&self, probed: Vec<ProbedServer>) -> Vec<PlannedServer> {
        let cost_of = |server: ProbedServer| {
            let cost = route_cost(&server.reply, &self.checkpoints)?;
            Some((cost, server.reply.load.backlog, server.record))
        };
        let mut costs: Vec<_> = probed.into_iter().filter_map(cost_of).collect();
        costs.sort_by_key(|(cost, _, _)| *cost);
        let next_costs: Vec<_> = costs.iter().skip(1).map(|(cost, _, _)| *cost).collect();
        let mut planned = Vec::new();
        for (index, (cost, backlog, record)) in costs.into_iter().enumerate() {
            let margin = next_costs.get(index).map_or(DEFAULT_COST_MARGIN, |next| *next - cost);
            planned.push(PlannedServer {
                record,
                wait_budget: backlog.mul_f64(WAIT_TOLERANCE_FACTOR) + margin + MIN_WAIT_BUDGET,
            });
        }
        planned
    }

    /// Returns whether a returning chat may be sent to its home without a probe.
    fn may_skip_probes(&self) -> bool {
        let (home, now) = (&self.home.entry.server, Instant::now());
        let standing = self.planner.standing(home, now);
        if !self.is_returning || standing != ServerStanding::Good {
            return false;
        }
        let is_open = self.home.peer.current_link().is_some_and(|link| !link.is_draining());
        let Some(load) = self.planner.loads().get(home, now) else { return false };
        let mean = self.group_load.map_or(0.0, |load| load.mean);
        is_open
            && now.saturating_duration_since(load.received_at) < MAX_LOAD_AGE
            && load.report.has_free_slot()
            && load.report.backlog < MAX_HOME_BACKLOG
            && load.report.running.get() as f64 <= mean + 1.0
    }

    /// Returns the servers for a second round of probes: the server that the home suggests and, if
    /// all probed servers have a long backlog, servers that may have a shorter one.
    fn further_servers(&self, probed: &[ProbedServer]) -> Vec<Rc<ServerRecord>> {
        let is_new = |record: &&Rc<ServerRecord>| {
            !probed.iter().any(|server| Rc::ptr_eq(&server.record, record))
                && self.planner.standing(&record.entry.server, Instant::now())
                    != ServerStanding::Ejected
        };
        let of_home = probed.iter().find(|server| Rc::ptr_eq(&server.record, &self.home));
        let named = of_home.and_then(|home| home.reply.elsewhere.as_ref());
        let named = self.servers.iter().filter(|record| Some(&record.entry.server) == named);
        let mut further: Vec<_> = named.filter(is_new).cloned().collect();
        let shortest = probed.iter().map(|server| server.reply.load.backlog).min();
        if shortest.is_none_or(|wait| wait > SECOND_ROUND_BACKLOG) {
            let named = further.first().cloned();
            let is_named =
                |record: &Rc<ServerRecord>| named.as_ref().is_some_and(|it| Rc::ptr_eq(it, record));
            let rest = self.by_known_load();
            let rest = rest.iter().filter(is_new).filter(|record| !is_named(record));
            let rest = rest.filter(|record| self.may_be_shorter(record, shortest));
            further.extend(rest.take(PROBES_PER_ROUND).cloned());
        }
        further
    }

    /// Returns whether a server's backlog may be less than half of `wait`, by its last load report.
    /// Servers without a report always qualify.
    fn may_be_shorter(&self, record: &ServerRecord, wait: Option<Duration>) -> bool {
        let known = self.planner.loads().get(&record.entry.server, Instant::now());
        match (known, wait) {
            (Some(load), Some(wait)) => load.report.backlog < wait / 2,
            _ => true,
        }
    }

    fn not_ejected(&self, records: &[Rc<ServerRecord>]) -> Vec<Rc<ServerRecord>> {
        let now = Instant::now();
        let is_not_ejected = |record: &&Rc<ServerRecord>| {
            self.planner.standing(&record.entry.server, now) != ServerStanding::Ejected
        };
        records.iter().filter(is_not_ejected).cloned().collect()
    }

    async fn probe(&self, records: Vec<Rc<ServerRecord>>) -> Vec<ProbedServer> {
        let probe = LoadProbe {
            checkpoints: self.checkpoints.hashes().to_vec(),
            chat: self.chat,
            group_load: self.group_load,
        };
        self.planner.begin_trials(&records);
        let replies = probe_all(&records, &probe).await;
        let mut probed = Vec::new();
        for (record, reply) in records.into_iter().zip(replies) {
            self.planner.record_probe(&record.entry.server, reply.is_some());
            probed.extend(reply.map(|reply| ProbedServer { record, reply }));
        }
        probed
    }

    /// Returns all servers ordered by standing, then by last known load.
    fn by_known_load(&self) -> Vec<Rc<ServerRecord>> {
        by_known_load(self.planner, &self.servers)
    }

    fn append_remaining(&self, mut order: Vec<PlannedServer>) -> Vec<PlannedServer> {
        for record in self.by_known_load() {
            if !order.iter().any(|known| Rc::ptr_eq(&known.record, &record)) {
                order.push(PlannedServer { record, wait_budget: DEFAULT_COST_MARGIN });
            }
        }
        order
    }

    fn into_plan(self, order: Vec<PlannedServer>) -> RoutePlan {
        let home = ChatHome { chat: self.chat, home: self.home, probe_targets: self.candidates };
        RoutePlan::new(order, PlanBound::MeanLoad(self.group_load)).with_home(home)
    }
}

fn ranked(
    servers: &[Rc<ServerRecord>],
    weight: impl Fn(&ServerId) -> u64,
) -> Vec<Rc<ServerRecord>> {
    let mut ranked = servers.to_vec();
    ranked.sort_by_cached_key(|record| std::cmp::Reverse(weight(&record.entry.server)));
    ranked
}

fn by_known_load(planner: &RoutePlanner, servers: &[Rc<ServerRecord>]) -> Vec<Rc<ServerRecord>> {
    let now = Instant::now();
    let mut order = servers.to_vec();
    order.sort_by_cached_key(|record| {
        let server = &record.entry.server;
        let load = planner.loads().get(server, now).map(|dated| dated.report);
        let known = load.map_or(0, |report| (report.running + report.waiting).get());
        (planner.standing(server, now), known, rand::random::<u32>())
    });
    order
}
