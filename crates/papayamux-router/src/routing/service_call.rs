//! Routes calls to plain services.
//!
//! Plain services hold no context, so the least loaded server is the best choice. The router
//! decides by the last known loads rather than by probes: a probe costs a round trip, while a wrong
//! choice is corrected by the load limit at the agent at the price of one extra hop.

use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_protocol::link::LoadProbe;
use papayamux_state::load::GroupId;
use rand::seq::SliceRandom;

use super::probe::probe_all;
use super::route_plan::{PlanBound, PlannedServer, RoutePlan};
use super::route_planner::RoutePlanner;
use crate::directory::ServerRecord;

/// Number of servers whose loads are compared; the rest follow in random order.
const COMPARED_SERVERS: usize = 4;
/// Maximum age of a load report that is used. A server with an older one is assumed to have the
/// mean load.
const MAX_LOAD_AGE: Duration = Duration::from_millis(200);
/// Maximum age of the last report of a server that is assumed reachable without a probe.
const MAX_UNPROBED_AGE: Duration = Duration::from_secs(2);
/// Number of servers probed if the best one sent no recent report.
const PROBED_SERVERS: usize = 2;
const MILLI: f64 = 1_000.0;

/// Plans a call among the servers of its path.
///
/// The wait budget is zero at all servers but the last: a server without a free slot refuses the
/// call, which is then offered to the next one.
pub(super) async fn plan_service_call(
    planner: &RoutePlanner,
    group: GroupId,
    servers: Vec<Rc<ServerRecord>>,
) -> RoutePlan {
    let mut order = by_expected_load(planner, group, servers);
    let recent = order.first().is_some_and(|record| has_recent_report(planner, record));
    planner.metrics().decisions.count(if recent { "service_known" } else { "service_probed" });
    match recent {
        true => planner.begin_trials(&order[..1]),
        false => probe_first(planner, group, &mut order).await,
    }
    let group_load = planner.loads().group_load(group, &order);
    let wait_budget = Duration::ZERO;
    let planned = order.into_iter().map(|record| PlannedServer { record, wait_budget }).collect();
    RoutePlan::new(planned, PlanBound::MeanLoad(group_load))
}

fn has_recent_report(planner: &RoutePlanner, record: &ServerRecord) -> bool {
    let now = Instant::now();
    let known = planner.loads().get(&record.entry.server, now);
    known.is_some_and(|load| now.saturating_duration_since(load.received_at) < MAX_UNPROBED_AGE)
}

/// Probes the first servers for their loads. Those with a free slot move to the front, least loaded
/// first; those without a reply or a free slot move to the end. If none of them has a free slot,
/// the order stays.
async fn probe_first(planner: &RoutePlanner, group: GroupId, order: &mut Vec<Rc<ServerRecord>>) {
    let group_load = planner.loads().group_load(group, order);
    let rest = order.split_off(order.len().min(PROBED_SERVERS));
    planner.begin_trials(order);
    let probe = LoadProbe { checkpoints: Vec::new(), chat: 0, group_load };
    let replies = probe_all(order, &probe).await;
    let (mut open, mut closed) = (Vec::new(), Vec::new());
    for (record, reply) in order.drain(..).zip(replies) {
        planner.record_probe(&record.entry.server, reply.is_some());
        match reply.map(|reply| reply.load).filter(|load| load.has_free_slot()) {
            Some(load) => open.push((load.running, record)),
            None => closed.push(record),
        }
    }
    open.sort_by_key(|(running, _)| *running);
    order.extend(open.into_iter().map(|(_, record)| record));
    let last = if order.is_empty() { [closed, rest] } else { [rest, closed] };
    order.extend(last.into_iter().flatten());
}

/// Returns the servers ordered by standing and otherwise at random. Among the first
/// [`COMPARED_SERVERS`], those of the same standing are ordered by expected load.
fn by_expected_load(
    planner: &RoutePlanner,
    group: GroupId,
    mut servers: Vec<Rc<ServerRecord>>,
) -> Vec<Rc<ServerRecord>> {
    let (loads, now) = (planner.loads(), Instant::now());
    let mean = loads.group_load(group, &servers).map_or(0.0, |load| load.mean);
    servers.shuffle(&mut rand::rng());
    let expected_load = |record: &Rc<ServerRecord>| {
        let server = &record.entry.server;
        let known = loads.get(server, now);
        let fresh =
            known.filter(|load| now.saturating_duration_since(load.received_at) < MAX_LOAD_AGE);
        let own = loads.in_flight(server) as f64;
        let reported =
            fresh.map_or(mean, |load| (load.report.running + load.report.waiting).get() as f64);
        (own.max(reported) * MILLI) as u64
    };
    servers.sort_by_cached_key(|record| planner.standing(&record.entry.server, now));
    let compared = servers.len().min(COMPARED_SERVERS);
    let standing = |record: &Rc<ServerRecord>| planner.standing(&record.entry.server, now);
    servers[..compared].sort_by_cached_key(|record| (standing(record), expected_load(record)));
    servers
}
