//! Plans the servers that a request is offered to, according to the router's policy.

use std::rc::Rc;

use papayamux_protocol::chat::ChatCall;
use papayamux_state::load::GroupId;

use super::baselines::{defer_full, shuffled, two_choices};
use super::first_token::ChatDecision;
use super::route_plan::{PlanBound, PlannedServer, RoutePlan};
use super::route_planner::RoutePlanner;
use super::service_call::plan_service_call;
use super::RoutingPolicy;
use crate::directory::{PathRoute, ServerRecord};

impl RoutePlanner {
    /// Plans a chat among the `servers` of its model.
    pub async fn plan_chat(&self, call: &ChatCall, servers: Vec<Rc<ServerRecord>>) -> RoutePlan {
        let group = GroupId::named(call.model.as_str());
        let order = match self.policy {
            RoutingPolicy::Random => shuffled(&servers),
            RoutingPolicy::TwoChoices => two_choices(&servers).await,
            RoutingPolicy::ConsistentHash => self.rings.walk(group, &call.chat, &servers),
            RoutingPolicy::BoundedHash => {
                defer_full(self.rings.walk(group, &call.chat, &servers), self.loads())
            }
            RoutingPolicy::Papayamux => {
                if let Some(decision) = ChatDecision::new(self, call, servers) {
                    return decision.plan().await;
                }
                Vec::new()
            }
        };
        RoutePlan::new(PlannedServer::with_unbounded_wait(order), PlanBound::Capacity)
    }

    /// Plans a call to a plain service among the servers of its route.
    pub async fn plan_service(&self, route: PathRoute) -> RoutePlan {
        let group = GroupId::named(&route.prefix);
        let order = match self.policy {
            RoutingPolicy::TwoChoices => two_choices(&route.servers).await,
            RoutingPolicy::Papayamux => return plan_service_call(self, group, route.servers).await,
            _ => shuffled(&route.servers),
        };
        RoutePlan::new(PlannedServer::with_unbounded_wait(order), PlanBound::Capacity)
    }
}
