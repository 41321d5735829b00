//! The ordered list of servers that one request is offered to.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use papayamux_protocol::link::{MovedChat, PlacementRule};
use papayamux_state::ids::ServerId;
use papayamux_state::load::GroupLoad;

use crate::directory::ServerRecord;

/// The limit that agents apply to the requests of a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlanBound {
    /// The agent's capacity only: a request waits at the first server it reaches.
    Capacity,
    /// The mean load as well, where it is known: a request moves on while another server may have a
    /// free slot.
    MeanLoad(Option<GroupLoad>),
}

/// The servers where a chat is looked up when it returns.
pub struct ChatHome {
    /// The hash of the chat.
    pub chat: u64,
    /// The server that is notified if another one serves the chat.
    pub home: Rc<ServerRecord>,
    /// The servers that are probed in any case when the chat returns.
    pub probe_targets: Vec<Rc<ServerRecord>>,
}

/// A server that a request may be offered to.
#[derive(Clone)]
pub struct PlannedServer {
    /// The server.
    pub record: Rc<ServerRecord>,
    /// The longest expected wait at which the request stays there, before the next server is a
    /// better choice.
    pub wait_budget: Duration,
}

impl PlannedServer {
    /// Returns planned servers at which the request waits without a limit.
    pub fn with_unbounded_wait(records: Vec<Rc<ServerRecord>>) -> Vec<Self> {
        let wait_budget = Duration::MAX;
        records.into_iter().map(|record| Self { record, wait_budget }).collect()
    }
}

/// The servers that have not been offered the request yet, best first.
pub struct RoutePlan {
    untried: VecDeque<PlannedServer>,
    bound: PlanBound,
    home: Option<ChatHome>,
    share: u32,
    home_unprobed: bool,
    offers_left: usize,
}

/// The server that is offered the request next.
pub struct RouteCandidate {
    /// The server.
    pub record: Rc<ServerRecord>,
    /// The rule by which its agent queues, refuses or redirects the request.
    pub placement: PlacementRule,
}

impl RoutePlan {
    /// Creates a plan that offers the request to servers in the order of `untried`.
    pub fn new(untried: Vec<PlannedServer>, bound: PlanBound) -> Self {
        Self {
            untried: untried.into(),
            bound,
            home: None,
            share: 1,
            home_unprobed: false,
            offers_left: usize::MAX,
        }
    }

    /// Sets the organisation's weight among those with queued requests.
    pub fn with_share(mut self, share: u32) -> Self {
        self.share = share;
        self
    }

    /// Limits the number of servers that are offered the request to `most_offers`.
    pub fn with_offers(mut self, most_offers: usize) -> Self {
        self.offers_left = most_offers;
        self
    }

    /// Sets the chat's home.
    pub fn with_home(mut self, home: ChatHome) -> Self {
        self.home = Some(home);
        self
    }

    /// Marks the first server as a home that was not probed, so that it may redirect the request to
    /// a server that it knows to be better.
    pub fn with_unprobed_home(mut self) -> Self {
        self.home_unprobed = true;
        self
    }

    /// Removes and returns the next server: the one that an agent suggested as `named`, if it has
    /// not been offered the request yet, otherwise the best of the rest.
    pub fn next(&mut self, named: Option<&ServerId>) -> Option<RouteCandidate> {
        self.offers_left = self.offers_left.checked_sub(1)?;
        let is_named = |planned: &PlannedServer| Some(&planned.record.entry.server) == named;
        let index = self.untried.iter().position(is_named).unwrap_or(0);
        let PlannedServer { record, wait_budget } = self.untried.remove(index)?;
        let last = self.offers_left == 0 || self.untried.is_empty();
        let group_load = match self.bound {
            PlanBound::Capacity => None,
            PlanBound::MeanLoad(load) => load,
        };
        let placement = PlacementRule {
            share: self.share,
            wait_budget: if last { Duration::MAX } else { wait_budget },
            may_redirect: std::mem::take(&mut self.home_unprobed),
            group_load,
        };
        Some(RouteCandidate { record, placement })
    }

    /// Records the server that accepted the request. If a returning chat wouldn't be looked up
    /// there, notifies the chat's home of it.
    pub fn record_accepted(&self, server: &ServerId) {
        let Some(ChatHome { chat, home, probe_targets }) = &self.home else { return };
        if probe_targets.iter().any(|record| record.entry.server == *server) {
            return;
        }
        if let Some(link) = home.peer.current_link() {
            link.send_moved_chat(MovedChat { chat: *chat, server: server.clone() });
        }
    }
}
