//! Choosing a server for a call to a plain service.
//!
//! Plain services hold no context, so that any of them is as good as the least loaded one. What is
//! known of their loads decides, without a question: a question costs a round trip, and the agents'
//! bound corrects a wrong guess at the price of one hop.

use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_protocol::link::LoadProbe;
use papayamux_state::load::GroupId;
use rand::seq::SliceRandom;

use super::probe::probe_all;
use super::route_plan::{PlanBound, PlannedServer, RoutePlan};
use super::route_planner::RoutePlanner;
use crate::directory::ServerRecord;

/// Servers whose loads are compared; the rest follow in random order.
const COMPARED_SERVERS: usize = 4;
/// Age up to which a server's own report is believed; an older one counts as the mean.
const FRESH: Duration = Duration::from_millis(200);
/// Age of a report up to which its server needs no question whether it still answers.
const HEARD_WITHIN: Duration = Duration::from_secs(2);
/// Servers that are asked where the best one was not heard of lately.
const PROBED_SERVERS: usize = 2;
const MILLI: f64 = 1_000.0;

/// Plans a call among the servers of its path.
///
/// A call never waits at a server while there are others: it is refused and goes on.
pub(super) async fn plan_service_call(
    planner: &RoutePlanner,
    group: GroupId,
    servers: Vec<Rc<ServerRecord>>,
) -> RoutePlan {
    let mut order = by_expected_load(planner, group, servers);
    let heard = order.first().is_some_and(|record| was_heard(planner, record));
    planner.metrics().decisions.count(if heard { "service_known" } else { "service_probed" });
    match heard {
        true => planner.begin_trials(&order[..1]),
        false => ask_first(planner, group, &mut order).await,
    }
    let group_load = planner.loads().group_load(group, &order);
    let patience = Duration::ZERO;
    let planned = order.into_iter().map(|record| PlannedServer { record, patience }).collect();
    RoutePlan::new(planned, PlanBound::MeanLoad(group_load))
}

fn was_heard(planner: &RoutePlanner, record: &ServerRecord) -> bool {
    let now = Instant::now();
    let known = planner.loads().get(&record.entry.server, now);
    known.is_some_and(|load| now.saturating_duration_since(load.received_at) < HEARD_WITHIN)
}

/// Asks the first servers for their loads. Those with a place go first, and those without an answer
/// or a place last; where none has one, the order stays.
async fn ask_first(planner: &RoutePlanner, group: GroupId, order: &mut Vec<Rc<ServerRecord>>) {
    let group_load = planner.loads().group_load(group, order);
    let rest = order.split_off(order.len().min(PROBED_SERVERS));
    planner.begin_trials(order);
    let probe = LoadProbe { checkpoints: Vec::new(), chat: 0, group_load };
    let replies = probe_all(order, &probe).await;
    let (mut open, mut closed) = (Vec::new(), Vec::new());
    for (record, reply) in order.drain(..).zip(replies) {
        planner.note_probe(&record.entry.server, reply.is_some());
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

/// The servers in random order, but the reliable ones first, and the least loaded first among
/// those that are compared.
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
        let fresh = known.filter(|load| now.saturating_duration_since(load.received_at) < FRESH);
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
