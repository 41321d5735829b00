//! What routers and the owner of a service's shared queue tell one another.

mod queue_answer;
mod queue_report;

pub use queue_answer::{QueueAnswer, QueueDecision, TicketAnswer};
pub use queue_report::{HeldSlot, QueueReport, QueuedTicket, ServerOccupancy, TicketNumber};
