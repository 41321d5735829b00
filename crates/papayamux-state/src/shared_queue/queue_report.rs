//! The report of a router to the owner of a service's shared queue.

use std::fmt;
use std::time::Duration;

use crate::backend::ServerSlowdown;
use crate::ids::{Incarnation, OrganisationId, ServerKey, ServiceId};
use crate::quantities::TokenCount;

/// The number of a request in the shared queue, unique within one incarnation of its router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketNumber(pub u64);

impl fmt::Display for TicketNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedTicket {
    /// The number of the request.
    pub number: TicketNumber,
    /// The organisation; `None` for callers without a key.
    pub organisation: Option<OrganisationId>,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The cost of the request for a server, in tokens of prefill.
    pub work: TokenCount,
    /// Time since the request arrived at its router.
    pub waited: Duration,
    /// Time from the caller's first attempt to the arrival of this one.
    pub since_first_attempt: Duration,
    /// Target for the answer, from the caller's first attempt; zero if the route has none.
    pub objective: Duration,
    /// Time from the arrival until the caller gives up.
    pub time_left: Duration,
    /// Time that an idle server takes for the request.
    pub service_time: Duration,
}

/// A slot that a router holds for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldSlot {
    /// The number of the request.
    pub number: TicketNumber,
    /// The server that the request was sent to, or is about to be sent to.
    pub server: ServerKey,
}

/// The requests of all routers at a server, as it reported them to a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerOccupancy {
    /// The server.
    pub server: ServerKey,
    /// Requests that were running.
    pub running: u32,
    /// Requests that were queued at the server.
    pub waiting: u32,
    /// How much other work slowed the server down.
    pub slowdown: Option<ServerSlowdown>,
    /// Age of the report.
    pub age: Duration,
}

/// All that a router has in the shared queue of a service. It replaces the router's earlier
/// reports, so that a lost, repeated or late datagram needs no handling of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueReport {
    /// The service.
    pub service: ServiceId,
    /// The incarnation of the router.
    pub incarnation: Incarnation,
    /// Number of the report; later reports of an incarnation have higher numbers.
    pub sequence: u64,
    /// The requests that wait.
    pub waiting: Vec<QueuedTicket>,
    /// The slots that the router holds.
    pub held: Vec<HeldSlot>,
    /// What servers reported to the router since its last report.
    pub occupancy: Vec<ServerOccupancy>,
}
