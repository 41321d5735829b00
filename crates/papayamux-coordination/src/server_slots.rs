//! The number of further requests that a server can take without making them wait long.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::backend::ReportedQueue;
use papayamux_state::ids::ServerId;

use crate::placement::ServerLoad;
use crate::server_profile::ServerSpeed;

/// Requests per slot of a plain server. One runs and one waits at the server, so that it is never
/// idle between an answer and the next request.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;
/// Number of waiting requests, as reported by an engine, from which it counts as full although it
/// has free slots: its cache memory is used up. A few requests wait whenever prompts of others are
/// prefilled.
const ENGINE_QUEUE: u32 = 4;
/// Age at which a server's queue report expires. A full server answers many times within it, and an
/// old report does not keep a server full that no longer answers.
const REPORT_EXPIRY: Duration = Duration::from_millis(400);

/// The way in which a server processes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerWork {
    /// Calls of some milliseconds, each in a slot.
    Plain,
    /// Prefill and generation, with all slots processed together.
    Engine,
}

/// Returns the number of free slots on a server with `slots` slots (0 if unknown), given the load
/// of all routers there and the number of waiting requests that it last reported.
pub fn free_slots(
    work: ServerWork,
    slots: u32,
    load: ServerLoad,
    waiting: u32,
    speed: &ServerSpeed,
) -> u32 {
    match (slots, work) {
        (0, _) => u32::MAX,
        (_, ServerWork::Engine)
            if load.backlog >= speed.max_backlog() || waiting >= ENGINE_QUEUE =>
        {
            0
        }
        (_, ServerWork::Engine) => slots.saturating_sub(load.requests),
        (_, ServerWork::Plain) => {
            slots.saturating_mul(PLAIN_REQUESTS_PER_SLOT).saturating_sub(load.requests)
        }
    }
}

/// The numbers of waiting requests that servers last reported.
#[derive(Debug, Default)]
pub struct QueueReports {
    servers: HashMap<ServerId, (u32, Instant)>,
}

impl QueueReports {
    /// Records the report of a server.
    pub fn record(&mut self, server: &ServerId, queue: ReportedQueue, now: Instant) {
        self.servers.insert(server.clone(), (queue.waiting, now));
    }

    /// Returns the number of requests that wait at a server; 0 if no recent report is known.
    pub fn waiting(&self, server: &ServerId, now: Instant) -> u32 {
        let known = self.servers.get(server);
        let recent = known
            .filter(|(_, received_at)| now.saturating_duration_since(*received_at) < REPORT_EXPIRY);
        recent.map_or(0, |(waiting, _)| *waiting)
    }

    /// Removes expired reports.
    pub fn forget_old(&mut self, now: Instant) {
        self.servers.retain(|_, (_, received_at)| {
            now.saturating_duration_since(*received_at) < REPORT_EXPIRY
        });
    }
}
