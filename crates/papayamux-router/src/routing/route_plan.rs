//! The servers that one request is offered to, in order.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use papayamux_protocol::link::{MovedChat, PlacementRule};
use papayamux_state::ids::ServerId;
use papayamux_state::load::GroupLoad;

use crate::directory::ServerRecord;

/// How a plan's requests are bounded at the agents.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlanBound {
    /// By the agents' capacity only; a request waits where it arrives first.
    Capacity,
    /// By the mean load too, as far as it is known; a request goes on while it may find a place.
    MeanLoad(Option<GroupLoad>),
}

/// Where a chat is looked for when it returns.
pub struct ChatHome {
    /// The chat, as a hash.
    pub chat: u64,
    /// The server that is told where the chat went.
    pub home: Rc<ServerRecord>,
    /// Servers that are asked anyway when the chat returns.
    pub asked: Vec<Rc<ServerRecord>>,
}

/// A server that a request may be offered to.
#[derive(Clone)]
pub struct PlannedServer {
    /// The server.
    pub record: Rc<ServerRecord>,
    /// How long the request may be expected to wait there before the next server is better.
    pub patience: Duration,
}

impl PlannedServer {
    /// Servers at which the request waits as long as it has to.
    pub fn patient(records: Vec<Rc<ServerRecord>>) -> Vec<Self> {
        let patience = Duration::MAX;
        records.into_iter().map(|record| Self { record, patience }).collect()
    }
}

/// The servers not asked yet, the best first.
pub struct RoutePlan {
    untried: VecDeque<PlannedServer>,
    bound: PlanBound,
    home: Option<ChatHome>,
    share: u32,
    straight_home: bool,
    offers_left: usize,
}

/// A server to be asked now.
pub struct RouteCandidate {
    /// The server.
    pub record: Rc<ServerRecord>,
    /// What its agent may do with the request.
    pub placement: PlacementRule,
}

impl RoutePlan {
    /// A plan to ask servers in the order of `untried`.
    pub fn new(untried: Vec<PlannedServer>, bound: PlanBound) -> Self {
        Self {
            untried: untried.into(),
            bound,
            home: None,
            share: 1,
            straight_home: false,
            offers_left: usize::MAX,
        }
    }

    /// Gives the organisation's weight among those that wait.
    pub fn with_share(mut self, share: u32) -> Self {
        self.share = share;
        self
    }

    /// Offers the request to at most `most_offers` servers.
    pub fn with_offers(mut self, most_offers: usize) -> Self {
        self.offers_left = most_offers;
        self
    }

    /// Gives the chat's home.
    pub fn with_home(mut self, home: ChatHome) -> Self {
        self.home = Some(home);
        self
    }

    /// The first server was not asked for its warmth, and may say that it knows a better one.
    pub fn sent_straight_home(mut self) -> Self {
        self.straight_home = true;
        self
    }

    /// The next server: the one that an agent named, if it was not asked yet, else the best left.
    pub fn next(&mut self, named: Option<&ServerId>) -> Option<RouteCandidate> {
        self.offers_left = self.offers_left.checked_sub(1)?;
        let is_named = |planned: &PlannedServer| Some(&planned.record.entry.server) == named;
        let index = self.untried.iter().position(is_named).unwrap_or(0);
        let PlannedServer { record, patience } = self.untried.remove(index)?;
        let last = self.offers_left == 0 || self.untried.is_empty();
        let group_load = match self.bound {
            PlanBound::Capacity => None,
            PlanBound::MeanLoad(load) => load,
        };
        let placement = PlacementRule {
            share: self.share,
            wait_budget: if last { Duration::MAX } else { patience },
            may_redirect: std::mem::take(&mut self.straight_home),
            group_load,
        };
        Some(RouteCandidate { record, placement })
    }

    /// Tells the chat's home where the chat was served, if it could not be found there again.
    pub fn note_taken(&self, server: &ServerId) {
        let Some(ChatHome { chat, home, asked }) = &self.home else { return };
        if asked.iter().any(|record| record.entry.server == *server) {
            return;
        }
        if let Some(link) = home.peer.current_link() {
            link.tell_moved(MovedChat { chat: *chat, server: server.clone() });
        }
    }
}
