//! Decides which queued requests a more urgent one displaces.

use std::time::Instant;

use super::flow_usage::FlowUsage;
use super::queue::WaitingFlows;
use super::work_ahead::WorkAhead;
use super::{FlowKey, QueuedRequest};

/// A queued request that a more urgent one may displace.
#[derive(Debug)]
struct DisplaceableRequest<'a> {
    flow: &'a FlowKey,
    cost: f64,
    /// The work of its flow up to its end.
    end: f64,
    answer_deadline: Instant,
}

/// Returns the flows whose last requests `request` displaces to have at most `max_work` ahead of
/// it, one entry for each displaced request. Returns `None` if that isn't possible.
///
/// Only requests of less urgent priorities are displaced, the least urgent and last ones first,
/// and only what their flows use for their weight beyond `share`, or beyond what the flow of
/// `request` uses.
pub(super) fn displaced_flows<T>(
    flows: &WaitingFlows<T>,
    usage: &FlowUsage,
    share: f64,
    request: &QueuedRequest,
    max_work: f64,
) -> Option<Vec<FlowKey>> {
    let mut ahead = WorkAhead::of(flows, request);
    let mut displaced = Vec::new();
    for other in displaceable(flows, usage, share, request) {
        ahead.remove(other.cost);
        if other.end <= other.cost {
            ahead.remove_weight(other.flow.weight());
        }
        displaced.push(other.flow.clone());
        if ahead.work() <= max_work {
            return Some(displaced);
        }
    }
    None
}

/// Returns the requests that `request` may displace, in the order in which they are displaced.
fn displaceable<'a, T>(
    flows: &'a WaitingFlows<T>,
    usage: &FlowUsage,
    share: f64,
    request: &QueuedRequest,
) -> Vec<DisplaceableRequest<'a>> {
    let own_flow = &request.flow;
    let own_work = flows.cost_where(own_flow, |_| true) + request.work.get() as f64;
    let now = request.time.arrived;
    let limit = share.min(usage.by_weight(own_flow, own_work, now));
    let less_urgent = flows.backlogged_keys().filter(|flow| flow.priority > own_flow.priority);
    let requests = less_urgent.flat_map(|flow| {
        let entries = flows.entries_of(flow);
        let beyond = entries.filter(|(_, end)| {
            usage.by_weight(flow, *end, now) > limit && !usage.is_due(flow, *end, share, now)
        });
        beyond.map(move |(waiting, end)| DisplaceableRequest {
            flow,
            cost: waiting.request.work.get() as f64,
            end,
            answer_deadline: waiting.request.time.answer_deadline(),
        })
    });
    let mut requests: Vec<_> = requests.collect();
    requests.sort_by(|left, right| {
        let by_priority = right.flow.priority.cmp(&left.flow.priority);
        by_priority
            .then_with(|| right.answer_deadline.cmp(&left.answer_deadline))
            .then_with(|| right.flow.cmp(left.flow))
            .then_with(|| right.end.total_cmp(&left.end))
    });
    requests
}
