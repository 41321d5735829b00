//! The requests of one router, as the owner of a shared queue knows them.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::ops::RangeInclusive;
use std::time::Instant;

use papayamux_state::ids::{Incarnation, ServerKey};
use papayamux_state::quantities::TokenCount;
use papayamux_state::shared_queue::{QueueDecision, TicketAnswer, TicketNumber};

use crate::service_queue::{QueueRefusal, WorkRate};

/// One run of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RouterRun {
    pub(super) address: IpAddr,
    pub(super) incarnation: Incarnation,
}

impl RouterRun {
    /// Returns the range of all runs of a router.
    pub(super) fn all_of(address: IpAddr) -> RangeInclusive<Self> {
        let first = Self { address, incarnation: Incarnation::from(u64::MIN) };
        first..=Self { address, incarnation: Incarnation::from(u64::MAX) }
    }
}

/// A request in the queue of the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TicketKey {
    pub(super) run: RouterRun,
    pub(super) number: TicketNumber,
}

/// What was decided on a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum TicketState {
    /// Nothing yet.
    Waiting,
    /// The request has a slot.
    Granted {
        server: ServerKey,
        granted_at: Instant,
        /// Whether a report of the router shows it.
        is_shown: bool,
    },
    /// The request is refused.
    Refused(QueueRefusal),
}

/// A request of a router.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct OwnerTicket {
    pub(super) work: TokenCount,
    pub(super) state: TicketState,
}

/// The requests of one run of a router.
#[derive(Debug)]
pub(super) struct RouterTickets {
    /// The number of the latest report.
    pub(super) sequence: u64,
    pub(super) heard_at: Instant,
    /// A later run of the router has reported: this one has ended.
    pub(super) is_superseded: bool,
    /// The rate of its requests.
    pub(super) arrivals: WorkRate,
    pub(super) tickets: BTreeMap<TicketNumber, OwnerTicket>,
}

impl RouterTickets {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            sequence: 0,
            heard_at: now,
            is_superseded: false,
            arrivals: WorkRate::default(),
            tickets: BTreeMap::new(),
        }
    }

    /// Returns the decisions that the router's reports don't show yet.
    pub(super) fn undelivered(&self) -> Vec<TicketAnswer> {
        let answers = self.tickets.iter().filter_map(|(number, ticket)| {
            let decision = match &ticket.state {
                TicketState::Granted { server, is_shown: false, .. } => {
                    QueueDecision::Granted(*server)
                }
                TicketState::Refused(refusal) => refused(refusal),
                TicketState::Waiting | TicketState::Granted { is_shown: true, .. } => return None,
            };
            Some(TicketAnswer { number: *number, decision })
        });
        answers.collect()
    }
}

fn refused(refusal: &QueueRefusal) -> QueueDecision {
    let waiting = u32::try_from(refusal.waiting).unwrap_or(u32::MAX);
    QueueDecision::Refused { wait: refusal.wait, waiting }
}
