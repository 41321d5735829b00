//! The refusal of a request that finds no slot in time.

use std::time::Duration;

use super::{FlowKey, RateEvidence};

/// The details of a refusal.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueueRefusal {
    /// The expected or actual wait of the request, from its arrival.
    pub wait: Duration,
    /// The number of queued requests.
    pub waiting: usize,
    /// The number of free slots when they were last counted.
    pub free_slots: u32,
    /// What the expected wait rests on.
    pub evidence: RateEvidence,
    /// The flow of the request that displaced this one, if one did.
    pub displaced_by: Option<FlowKey>,
}
