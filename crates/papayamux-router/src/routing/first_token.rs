//! The product's own policy: the shortest expected time to the first token.
//!
//! A chat's candidates are its home by rendezvous hashing, and the first servers for the opening
//! of its prompt, which other chats may share. All of them are functions of the request and of the
//! declared servers, so that each router asks the same agents without a word between routers.

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

/// Leading blocks by which prompts count as sharing their opening; shorter ones are as soon
/// computed as found.
const OPENING_BLOCKS: usize = 64;
/// Servers asked in one round.
const PROBES_PER_ROUND: usize = 2;
/// Age up to which a load report replaces a probe.
const FRESH: Duration = Duration::from_millis(150);
/// Prompt backlog up to which a home is taken unasked.
const SHORT_BACKLOG: Duration = Duration::from_millis(20);
/// How long a request may wait at a home that was not asked.
const HOME_PATIENCE: Duration = Duration::from_millis(30);
/// How much longer than expected the wait may have become when the request arrives.
const WAIT_NOISE: f64 = 1.5;
/// How long a request may wait at any server that was chosen by its cost.
const LEAST_PATIENCE: Duration = Duration::from_millis(10);
/// How long a request may wait where no other server's cost is known.
const LAST_LEAD: Duration = Duration::from_millis(50);
/// Expected wait beyond which further servers are asked.
const SHORT_WAIT: Duration = Duration::from_millis(40);

/// A server that answered.
struct ProbedServer {
    record: Rc<ServerRecord>,
    reply: ProbeReply,
}

/// What one decision goes by.
pub(super) struct ChatDecision<'a> {
    planner: &'a RoutePlanner,
    group: GroupId,
    group_load: Option<GroupLoad>,
    servers: Vec<Rc<ServerRecord>>,
    home: Rc<ServerRecord>,
    candidates: Vec<Rc<ServerRecord>>,
    checkpoints: PromptCheckpoints,
    chat: u64,
    returns: bool,
}

impl<'a> ChatDecision<'a> {
    /// A decision on a chat among the servers of its model; `None` where there are none.
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
        let opening = hashes.get(OPENING_BLOCKS - 1).copied();
        let others = match opening.and_then(|hash| format!("{hash:016x}").parse().ok()) {
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
            returns: opening.is_none() && call.request.messages.len() > 1,
        })
    }

    /// Plans the offers.
    pub async fn plan(mut self) -> RoutePlan {
        if self.home_is_fine() {
            self.planner.metrics().decisions.count("home");
            let (record, patience) = (self.home.clone(), HOME_PATIENCE);
            let order = self.with_rest(vec![PlannedServer { record, patience }]);
            return self.into_plan(order).sent_straight_home();
        }
        let mut probed = self.probe(self.reliable(&self.candidates)).await;
        let further = self.further_servers(&probed);
        let rounds = if further.is_empty() { "probed_once" } else { "probed_twice" };
        self.planner.metrics().decisions.count(rounds);
        if !further.is_empty() {
            probed.extend(self.probe(further).await);
        }
        let order = self.with_rest(self.in_order(probed));
        self.group_load = self.planner.loads().group_load(self.group, &self.servers);
        self.into_plan(order)
    }

    /// The servers by their cost. At each, the request waits as long as the next is no better.
    fn in_order(&self, probed: Vec<ProbedServer>) -> Vec<PlannedServer> {
        let cost_of = |server: ProbedServer| {
            let cost = route_cost(&server.reply, &self.checkpoints)?;
            Some((cost, server.reply.load.backlog, server.record))
        };
        let mut costs: Vec<_> = probed.into_iter().filter_map(cost_of).collect();
        costs.sort_by_key(|(cost, _, _)| *cost);
        let next_costs: Vec<_> = costs.iter().skip(1).map(|(cost, _, _)| *cost).collect();
        let mut planned = Vec::new();
        for (index, (cost, backlog, record)) in costs.into_iter().enumerate() {
            let lead = next_costs.get(index).map_or(LAST_LEAD, |next| *next - cost);
            planned.push(PlannedServer {
                record,
                patience: backlog.mul_f64(WAIT_NOISE) + lead + LEAST_PATIENCE,
            });
        }
        planned
    }

    /// Whether a returning chat may go to its home without a question.
    fn home_is_fine(&self) -> bool {
        let (home, now) = (&self.home.entry.server, Instant::now());
        let standing = self.planner.standing(home, now);
        if !self.returns || standing != ServerStanding::Good {
            return false;
        }
        let is_open = self.home.peer.current_link().is_some_and(|link| !link.is_leaving());
        let Some(load) = self.planner.loads().get(home, now) else { return false };
        let mean = self.group_load.map_or(0.0, |load| load.mean);
        is_open
            && now.saturating_duration_since(load.received_at) < FRESH
            && load.report.has_free_slot()
            && load.report.backlog < SHORT_BACKLOG
            && load.report.running.get() as f64 <= mean + 1.0
    }

    /// Where else to ask: at the place that the home names, and where places may be free if none
    /// of those asked has one.
    fn further_servers(&self, probed: &[ProbedServer]) -> Vec<Rc<ServerRecord>> {
        let is_new = |record: &&Rc<ServerRecord>| {
            !probed.iter().any(|server| Rc::ptr_eq(&server.record, record))
                && self.planner.standing(&record.entry.server, Instant::now())
                    != ServerStanding::Held
        };
        let of_home = probed.iter().find(|server| Rc::ptr_eq(&server.record, &self.home));
        let named = of_home.and_then(|home| home.reply.elsewhere.as_ref());
        let named = self.servers.iter().filter(|record| Some(&record.entry.server) == named);
        let mut further: Vec<_> = named.filter(is_new).cloned().collect();
        let shortest = probed.iter().map(|server| server.reply.load.backlog).min();
        if shortest.is_none_or(|wait| wait > SHORT_WAIT) {
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

    /// Whether the wait at a server may be much shorter than `wait`, by what is known of it.
    fn may_be_shorter(&self, record: &ServerRecord, wait: Option<Duration>) -> bool {
        let known = self.planner.loads().get(&record.entry.server, Instant::now());
        match (known, wait) {
            (Some(load), Some(wait)) => load.report.backlog < wait / 2,
            _ => true,
        }
    }

    fn reliable(&self, records: &[Rc<ServerRecord>]) -> Vec<Rc<ServerRecord>> {
        let now = Instant::now();
        let is_reliable = |record: &&Rc<ServerRecord>| {
            self.planner.standing(&record.entry.server, now) != ServerStanding::Held
        };
        records.iter().filter(is_reliable).cloned().collect()
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
            self.planner.note_probe(&record.entry.server, reply.is_some());
            probed.extend(reply.map(|reply| ProbedServer { record, reply }));
        }
        probed
    }

    /// All servers, the reliable first, and then those with the lowest load that is known.
    fn by_known_load(&self) -> Vec<Rc<ServerRecord>> {
        by_known_load(self.planner, &self.servers)
    }

    fn with_rest(&self, mut order: Vec<PlannedServer>) -> Vec<PlannedServer> {
        for record in self.by_known_load() {
            if !order.iter().any(|known| Rc::ptr_eq(&known.record, &record)) {
                order.push(PlannedServer { record, patience: LAST_LEAD });
            }
        }
        order
    }

    fn into_plan(self, order: Vec<PlannedServer>) -> RoutePlan {
        let home = ChatHome { chat: self.chat, home: self.home, asked: self.candidates };
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
