//! The answer of the owner of a service's shared queue to a router.

use std::time::Duration;

use super::TicketNumber;
use crate::ids::{Incarnation, ServerKey, ServiceId};

/// The decision on a request in the shared queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// The request may be sent to this server.
    Granted(ServerKey),
    /// The request would wait longer than it can, or more urgent ones took its place.
    Refused {
        /// The expected or actual wait, from the request's arrival at its router.
        wait: Duration,
        /// The number of requests that wait in the whole fleet.
        waiting: u32,
    },
}

/// The decision on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketAnswer {
    /// The number of the request.
    pub number: TicketNumber,
    /// The decision.
    pub decision: QueueDecision,
}

/// What the owner tells a router: all decisions that the router's reports don't show yet, so that
/// the next answer repeats what a lost datagram carried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueAnswer {
    /// The service.
    pub service: ServiceId,
    /// The incarnation of the router that the answer is for.
    pub incarnation: Incarnation,
    /// The number of the latest report that the owner has received from the router.
    pub sequence: u64,
    /// The decisions.
    pub decisions: Vec<TicketAnswer>,
    /// `true` while the service is short of slots.
    pub is_contended: bool,
}
