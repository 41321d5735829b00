//! The backend servers of a soak, which record the requests that they run.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayamux_platform_standins::{chunk, ServerRequest, ServerStandIn, LAST_CHUNK};
use parking_lot::Mutex;

use super::history::RunRecord;
use super::options::FatalKind;

/// Number of events of a stream.
pub(super) const EVENTS: u64 = 12;
/// Time between two events.
const EVENT_EVERY: Duration = Duration::from_millis(15);
/// Service time of a plain request.
const PLAIN_WORK: Duration = Duration::from_millis(10);

/// Body of the request that crashes servers.
pub(super) const FATAL_BODY: &str = "fatal";
/// Part of prompts that crashes servers.
pub(super) const FATAL_PART: u64 = 0xfa7a1;
/// Time that a crashed server stays down.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// Log of the runs at all servers.
#[derive(Debug, Clone)]
pub(super) struct RunLog {
    begun: Instant,
    runs: Arc<Mutex<Vec<RunRecord>>>,
    fatal_runs: Arc<Mutex<Vec<RunRecord>>>,
    /// What crashes engines.
    fatal: FatalKind,
}

impl RunLog {
    pub(super) fn new(begun: Instant, fatal: FatalKind) -> Self {
        Self { begun, runs: Arc::default(), fatal_runs: Arc::default(), fatal }
    }

    /// Returns whether the servers of a service may crash under a request.
    ///
    /// They run without a fault proxy, which would go on accepting connections while its server is
    /// down.
    pub(super) fn may_crash(&self, service: &str) -> bool {
        self.fatal != FatalKind::Absent && service == "llm"
    }

    fn record(&self, request: &ServerRequest, service: &str) -> RunRecord {
        let id = request.id().to_string();
        let (server, service) = (request.server.clone(), service.to_string());
        RunRecord { id, server, service, at: self.begun.elapsed() }
    }

    fn record_run(&self, request: &ServerRequest, service: &str) {
        self.runs.lock().push(self.record(request, service));
    }

    /// Records the request if it is one that crashes servers, and returns whether it is.
    fn record_if_fatal(&self, request: &ServerRequest, service: &str) -> bool {
        let is_fatal = match self.fatal {
            FatalKind::Absent => false,
            FatalKind::Content => request.message.body == FATAL_BODY.as_bytes(),
            FatalKind::Part => request.has_part(FATAL_PART),
        };
        if is_fatal {
            self.fatal_runs.lock().push(self.record(request, service));
        }
        is_fatal
    }

    pub(super) fn take_fatal(&self) -> Vec<RunRecord> {
        std::mem::take(&mut *self.fatal_runs.lock())
    }

    pub(super) fn take(&self) -> Vec<RunRecord> {
        std::mem::take(&mut *self.runs.lock())
    }
}

/// Service name for the runs at a server that routers must never use.
pub(super) const FOREIGN_SERVICE: &str = "nobody's";

/// Starts the server that only the entries of other writers point to.
pub(super) fn start_foreign_server(run_log: &RunLog) -> ServerStandIn {
    let run_log = run_log.clone();
    ServerStandIn::start("foreign", "plain", move |request, stream| {
        run_log.record_run(request, FOREIGN_SERVICE);
        answer_plain(request, stream)
    })
}

/// Starts a server of `service` with this software version.
pub(super) fn start_server(
    id: &str,
    service: &str,
    version: &str,
    run_log: &RunLog,
) -> ServerStandIn {
    let own_version = version.to_string();
    let (run_log, name) = (run_log.clone(), service.to_string());
    let (fatal_log, fatal_name) = (run_log.clone(), name.clone());
    let is_fatal = move |request: &ServerRequest, _: &mut TcpStream| {
        request.is_addressed_here() && fatal_log.record_if_fatal(request, &fatal_name)
    };
    let behaviour = move |request: &ServerRequest, stream: &mut TcpStream| {
        if !request.is_addressed_here() {
            return stream.write_all(request.misdirected_answer().as_bytes()).is_ok();
        }
        run_log.record_run(request, &name);
        match name.as_str() {
            "llm" => answer_stream(request, &own_version, stream),
            _ => answer_plain(request, stream),
        }
    };
    let server = ServerStandIn::crashing_on(id, service, RESTART_DELAY, is_fatal, behaviour);
    server.with_version(version)
}

fn answer_plain(request: &ServerRequest, stream: &mut TcpStream) -> bool {
    std::thread::sleep(PLAIN_WORK);
    stream.write_all(request.answer(200, &plain_body(request.id())).as_bytes()).is_ok()
}

/// Returns the answer body of a plain request.
pub(super) fn plain_body(id: &str) -> String {
    format!("answer to {id}")
}

fn answer_stream(request: &ServerRequest, version: &str, stream: &mut TcpStream) -> bool {
    if stream.write_all(request.stream_head(None).as_bytes()).is_err() {
        return false;
    }
    for number in request.last_event() + 1..=EVENTS {
        std::thread::sleep(EVENT_EVERY);
        let event = chunk(&stream_event(request.began_by(), version, number));
        if stream.write_all(event.as_bytes()).is_err() {
            return false;
        }
    }
    stream.write_all(LAST_CHUNK.as_bytes()).is_ok()
}

/// Returns one event of the stream that the attempt `began_by` began.
fn stream_event(began_by: &str, version: &str, number: u64) -> String {
    format!("id: {number}\ndata: {began_by} {version}\n\n")
}

/// The events that a caller received of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct ReceivedEvents {
    /// Number of the last complete event; 0 if there is none.
    pub(super) last: u64,
    /// Versions of the servers that wrote the events.
    pub(super) versions: BTreeSet<String>,
    /// `true` if the text holds nothing but events of this stream in their order.
    pub(super) is_sound: bool,
}

/// Reads the complete events of the stream that `began_by` began, which follow the event `after`.
pub(super) fn read_events(text: &str, began_by: &str, after: u64) -> ReceivedEvents {
    let mut received = ReceivedEvents { last: after, is_sound: true, ..ReceivedEvents::default() };
    for event in text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n")) {
        let version = event.trim_end().rsplit(' ').next().unwrap_or_default();
        received.last += 1;
        received.is_sound &= event == stream_event(began_by, version, received.last);
        received.versions.insert(version.to_string());
    }
    received
}
