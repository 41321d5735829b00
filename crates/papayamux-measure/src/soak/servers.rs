//! The soak's backend servers, which remember what they ran.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayamux_platform_standins::{chunk, ServerRequest, ServerStandIn, LAST_CHUNK};
use parking_lot::Mutex;

use super::history::RunRecord;

/// Events of a stream.
pub(super) const EVENTS: u64 = 12;
/// Time between two events.
const EVENT_EVERY: Duration = Duration::from_millis(15);
/// How long a plain call takes.
const PLAIN_WORK: Duration = Duration::from_millis(10);

/// The body of the request under which servers end.
pub(super) const FATAL_BODY: &str = "fatal";
/// How long a server is away that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// The runs of all servers.
#[derive(Debug, Clone)]
pub(super) struct RunLog {
    begun: Instant,
    runs: Arc<Mutex<Vec<RunRecord>>>,
    fatal_runs: Arc<Mutex<Vec<RunRecord>>>,
    /// Whether a request is repeated under which engines end.
    is_fatal: bool,
}

impl RunLog {
    pub(super) fn new(begun: Instant, is_fatal: bool) -> Self {
        Self { begun, runs: Arc::default(), fatal_runs: Arc::default(), is_fatal }
    }

    /// Whether the servers of a service may end under a request. A proxy before them would accept
    /// connections all the same, so that they have none.
    pub(super) fn may_crash(&self, service: &str) -> bool {
        self.is_fatal && service == "llm"
    }

    fn record(&self, request: &ServerRequest, service: &str) -> RunRecord {
        let id = request.id().to_string();
        let (server, service) = (request.server.clone(), service.to_string());
        RunRecord { id, server, service, at: self.begun.elapsed() }
    }

    fn record_run(&self, request: &ServerRequest, service: &str) {
        self.runs.lock().push(self.record(request, service));
    }

    /// Notes a request if it is the one under which servers end, and returns whether it is.
    fn record_if_fatal(&self, request: &ServerRequest, service: &str) -> bool {
        let is_fatal = request.message.body == FATAL_BODY.as_bytes();
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

/// The service in whose name the runs of a server are noted that nobody may ask.
pub(super) const FOREIGN_SERVICE: &str = "nobody's";

/// Starts a server that only entries of other writers lead to.
pub(super) fn start_foreign_server(run_log: &RunLog) -> ServerStandIn {
    let run_log = run_log.clone();
    ServerStandIn::start("foreign", "plain", move |request, stream| {
        run_log.record_run(request, FOREIGN_SERVICE);
        answer_plain(request, stream)
    })
}

/// Starts a server of `service`.
pub(super) fn start_server(id: &str, service: &str, run_log: &RunLog) -> ServerStandIn {
    let (run_log, name) = (run_log.clone(), service.to_string());
    let (fatal_log, fatal_name) = (run_log.clone(), name.clone());
    let is_fatal = move |request: &ServerRequest, _: &mut TcpStream| {
        request.is_meant_here() && fatal_log.record_if_fatal(request, &fatal_name)
    };
    ServerStandIn::ending_on(id, service, RESTART_DELAY, is_fatal, move |request, stream| {
        if !request.is_meant_here() {
            return stream.write_all(request.refusal_of_other().as_bytes()).is_ok();
        }
        run_log.record_run(request, &name);
        match name.as_str() {
            "llm" => answer_stream(request, stream),
            _ => answer_plain(request, stream),
        }
    })
}

fn answer_plain(request: &ServerRequest, stream: &mut TcpStream) -> bool {
    std::thread::sleep(PLAIN_WORK);
    stream.write_all(request.answer(200, &plain_body(request.id())).as_bytes()).is_ok()
}

/// The body of a request's answer.
pub(super) fn plain_body(id: &str) -> String {
    format!("answer to {id}")
}

fn answer_stream(request: &ServerRequest, stream: &mut TcpStream) -> bool {
    if stream.write_all(request.stream_head(None).as_bytes()).is_err() {
        return false;
    }
    for number in request.last_event() + 1..=EVENTS {
        std::thread::sleep(EVENT_EVERY);
        let event = chunk(&stream_event(request.id(), number));
        if stream.write_all(event.as_bytes()).is_err() {
            return false;
        }
    }
    stream.write_all(LAST_CHUNK.as_bytes()).is_ok()
}

/// One event of a request's stream.
pub(super) fn stream_event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}\n\n")
}
