//! What callers, servers and the operator saw, on one clock.

use std::time::Duration;

/// What may be repeated of a request, and what its answer looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// May run on two servers.
    Idempotent,
    /// May run once.
    Once,
    /// A stream that may be resumed, on three servers in all.
    ResumableStream,
    /// A stream that may run once.
    OnceStream,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [CallKind; 4] =
        [CallKind::Idempotent, CallKind::Once, CallKind::ResumableStream, CallKind::OnceStream];

    /// Servers that may run one request.
    pub fn max_runs(self) -> usize {
        match self {
            CallKind::Idempotent => 2,
            CallKind::ResumableStream => 3,
            CallKind::Once | CallKind::OnceStream => 1,
        }
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::ResumableStream | CallKind::OnceStream)
    }
}

/// What a caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    /// A whole answer, as it should be.
    Served,
    /// An answer that looks whole and is not the request's own.
    Wrong(String),
    /// That the request has not run and will not.
    NotRun,
    /// Any other refusal or failure, with its status.
    Failed(u16),
    /// An answer that ended early, or none.
    Nothing,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The request.
    pub id: String,
    /// Its kind.
    pub kind: CallKind,
    /// The router that it was sent to.
    pub router: usize,
    /// The key that it carried.
    pub key: String,
    /// When it was sent.
    pub sent: Duration,
    /// When its answer ended.
    pub ended: Duration,
    /// What the caller was told.
    pub told: Told,
}

/// One run of a request at a server.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// The request.
    pub id: String,
    /// The server.
    pub server: String,
    /// The server's service.
    pub service: String,
    /// When the request had arrived.
    pub at: Duration,
}

/// A configuration that the operator wrote.
#[derive(Debug, Clone)]
pub struct ConfigurationRecord {
    /// When the store had taken it.
    pub at: Duration,
    /// The service that plain requests go to.
    pub service: String,
    /// The keys that are good.
    pub keys: Vec<String>,
}

/// What a disturbance concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// One router, its processes or its links.
    Router(usize),
    /// The store, and so every router's knowledge.
    Store,
    /// Servers or the links to them.
    Servers,
    /// Nothing: an order of the operator.
    Order,
}

/// A span in which something was disturbed.
#[derive(Debug, Clone, Copy)]
pub struct DisturbanceRecord {
    /// What.
    pub subject: Subject,
    /// From when.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
    /// Whether it is a graceful shutdown.
    pub graceful: bool,
}

/// All that was seen in a soak.
#[derive(Debug, Default)]
pub struct SoakHistory {
    /// The requests.
    pub calls: Vec<CallRecord>,
    /// The runs.
    pub runs: Vec<RunRecord>,
    /// The configurations, in order.
    pub configurations: Vec<ConfigurationRecord>,
    /// When servers said that they drain, by their identifiers.
    pub drains: Vec<(String, Duration)>,
    /// What was disturbed.
    pub disturbances: Vec<DisturbanceRecord>,
    /// Routers that were asked to end and did not within their grace, and when they were given up.
    pub stuck_ends: Vec<(usize, Duration)>,
    /// Starts of each router's processes.
    pub starts: Vec<(usize, Duration)>,
    /// Calls with the request under which engines end.
    pub fatal_calls: Vec<CallRecord>,
    /// Its runs, each of which ended an engine.
    pub fatal_runs: Vec<RunRecord>,
    /// When the last disturbance was over.
    pub calm_from: Duration,
}

impl SoakHistory {
    /// Whether `subject` was undisturbed from `from` to `until`.
    pub fn is_calm(&self, subject: Subject, from: Duration, until: Duration) -> bool {
        let mut concerned = self.disturbances.iter().filter(|one| one.subject == subject);
        !concerned.any(|one| one.from <= until && one.until >= from)
    }
}
