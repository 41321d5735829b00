//! Observations of callers, servers and the operator on one shared clock.

use std::collections::BTreeSet;
use std::time::Duration;

use super::options::FatalKind;
use super::scarce_history::ScarceHistory;

/// How often a request may run and the form of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// May run on two servers.
    Idempotent,
    /// May run once.
    Once,
    /// A stream that may be resumed and may run on three servers in all.
    ResumableStream,
    /// A stream that may run once.
    OnceStream,
}

impl CallKind {
    /// Every kind.
    pub const ALL: [CallKind; 4] =
        [CallKind::Idempotent, CallKind::Once, CallKind::ResumableStream, CallKind::OnceStream];

    /// Returns the maximum number of servers that may run one request.
    pub fn max_runs(self) -> usize {
        match self {
            CallKind::Idempotent => 2,
            CallKind::ResumableStream => 3,
            CallKind::Once | CallKind::OnceStream => 1,
        }
    }

    /// Returns whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::ResumableStream | CallKind::OnceStream)
    }
}

/// The result that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The complete and correct answer.
    Served,
    /// An answer that looks complete but isn't the one to this request.
    Wrong(String),
    /// A refusal that guarantees that the request has not run and will not run.
    NotRun,
    /// Any other refusal or failure, with its HTTP status.
    Failed(u16),
    /// A truncated answer, or none.
    Nothing,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Identifier of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: CallKind,
    /// Index of the router that received it.
    pub router: usize,
    /// The key that it carried.
    pub key: String,
    /// Time when it was sent.
    pub sent: Duration,
    /// Time when its answer ended.
    pub ended: Duration,
    /// The result that the caller received.
    pub result: CallResult,
}

/// One run of a request at a server.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// Identifier of the request.
    pub id: String,
    /// Identifier of the server.
    pub server: String,
    /// The server's service.
    pub service: String,
    /// Time when the request had arrived at the server.
    pub at: Duration,
}

/// A stream as its caller received it, over all attempts.
#[derive(Debug, Clone)]
pub struct StreamRecord {
    /// Identifier of the attempt that began it.
    pub began_by: String,
    /// Software versions of the servers that wrote its events.
    pub versions: BTreeSet<String>,
    /// The attempt that resumed it.
    pub resumed: CallRecord,
}

/// A time span in which an engine was listed as accepting requests.
#[derive(Debug, Clone)]
pub struct ListingRecord {
    /// The engine's software version.
    pub version: String,
    /// Start of the span.
    pub from: Duration,
    /// End of the span; `None` if it lasted to the end of the soak.
    pub until: Option<Duration>,
}

/// A configuration that the operator wrote.
#[derive(Debug, Clone)]
pub struct ConfigurationRecord {
    /// Time when the store had accepted it.
    pub at: Duration,
    /// Service that plain requests are routed to.
    pub service: String,
    /// The valid keys.
    pub keys: Vec<String>,
}

/// The part of the fleet that a disturbance affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// One router: its process or its links.
    Router(usize),
    /// The store, and thereby every router's view of it.
    Store,
    /// Servers or the links to them.
    Servers,
    /// No part: planned work by the operator.
    Order,
}

/// A time span in which part of the fleet was disturbed.
#[derive(Debug, Clone, Copy)]
pub struct DisturbanceRecord {
    /// The affected part.
    pub subject: Subject,
    /// Start of the span.
    pub from: Duration,
    /// End of the span.
    pub until: Duration,
    /// `true` for a graceful shutdown.
    pub graceful: bool,
}

/// Everything recorded during a soak.
#[derive(Debug, Default)]
pub struct SoakHistory {
    /// Requests sent by callers.
    pub calls: Vec<CallRecord>,
    /// Runs at the servers.
    pub runs: Vec<RunRecord>,
    /// Configurations, in the order written.
    pub configurations: Vec<ConfigurationRecord>,
    /// Identifiers of drained servers and the times when they were listed as draining.
    pub drains: Vec<(String, Duration)>,
    /// Disturbances.
    pub disturbances: Vec<DisturbanceRecord>,
    /// Routers that did not exit within their grace period after a shutdown request, and the times
    /// when they were killed.
    pub stuck_ends: Vec<(usize, Duration)>,
    /// Restarts of routers and their times.
    pub starts: Vec<(usize, Duration)>,
    /// What crashed engines.
    pub fatal: FatalKind,
    /// Calls with requests that crash engines.
    pub fatal_calls: Vec<CallRecord>,
    /// Runs of these requests, each of which crashed an engine.
    pub fatal_runs: Vec<RunRecord>,
    /// Streams that callers resumed.
    pub streams: Vec<StreamRecord>,
    /// What callers and servers of the small service saw.
    pub scarce: ScarceHistory,
    /// Listings of engines.
    pub listings: Vec<ListingRecord>,
    /// Time when the last disturbance was over.
    pub calm_from: Duration,
}

impl SoakHistory {
    /// Returns whether `subject` was undisturbed from `from` to `until`.
    pub fn is_calm(&self, subject: Subject, from: Duration, until: Duration) -> bool {
        let mut concerned = self.disturbances.iter().filter(|one| one.subject == subject);
        !concerned.any(|one| one.from <= until && one.until >= from)
    }
}
