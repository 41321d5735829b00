//! How many more requests a server can take without a long wait of their own.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::backend::ReportedQueue;
use papayamux_state::ids::ServerId;

use crate::placement::ServerLoad;
use crate::server_profile::ServerSpeed;

/// Requests for each slot of a plain server: one runs and one waits there, so that the server is
/// never idle between an answer and the next request.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;
/// Requests that may wait at an engine, by its own report, before it counts as full, although it has
/// slots: its cache's memory is taken. A few wait while others' prompts are read.
const ENGINE_QUEUE: u32 = 4;
/// Age up to which a server's report of its queue is believed. Full servers answer many times in that
/// time; one that no longer answers is not kept full by an old report.
const REPORT_EXPIRY: Duration = Duration::from_millis(400);

/// How a server takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerWork {
    /// It runs calls of some milliseconds, each in a slot.
    Plain,
    /// It reads prompts and generates, all slots together.
    Engine,
}

/// The places that are free at a server with `slots` slots, 0 where their number isn't known, given
/// the requests that all routers have there and what it said last of those that wait.
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

/// What servers said last of the requests that wait there.
#[derive(Debug, Default)]
pub struct QueueReports {
    servers: HashMap<ServerId, (u32, Instant)>,
}

impl QueueReports {
    /// Notes what a server said.
    pub fn note(&mut self, server: &ServerId, queue: ReportedQueue, now: Instant) {
        self.servers.insert(server.clone(), (queue.waiting, now));
    }

    /// Requests that wait at a server; 0 where nothing recent is known.
    pub fn waiting(&self, server: &ServerId, now: Instant) -> u32 {
        let known = self.servers.get(server);
        let recent = known
            .filter(|(_, received_at)| now.saturating_duration_since(*received_at) < REPORT_EXPIRY);
        recent.map_or(0, |(waiting, _)| *waiting)
    }

    /// Forgets what is no longer believed.
    pub fn forget_old(&mut self, now: Instant) {
        self.servers.retain(|_, (_, received_at)| {
            now.saturating_duration_since(*received_at) < REPORT_EXPIRY
        });
    }
}
