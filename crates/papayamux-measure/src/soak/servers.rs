//! The soak's backend servers, which remember what they ran.

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use papayamux_platform_standins::{ServerRequest, ServerStandIn};

use super::history::RunRecord;

/// Events of a stream.
pub(super) const EVENTS: u64 = 12;
/// Time between two events.
const EVENT_EVERY: Duration = Duration::from_millis(15);
/// How long a plain call takes.
const PLAIN_WORK: Duration = Duration::from_millis(10);

/// The runs of all servers.
#[derive(Debug, Clone)]
pub(super) struct RunBook {
    begun: Instant,
    runs: Arc<Mutex<Vec<RunRecord>>>,
}

impl RunBook {
    pub(super) fn new(begun: Instant) -> Self {
        Self { begun, runs: Arc::default() }
    }

    fn note(&self, request: &ServerRequest, service: &str) {
        let id = request.header("attempt-id").unwrap_or_default().to_string();
        let (server, service) = (request.server.clone(), service.to_string());
        let run = RunRecord { id, server, service, at: self.begun.elapsed() };
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    }

    pub(super) fn take(&self) -> Vec<RunRecord> {
        std::mem::take(&mut *self.runs.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Starts a server of `service`.
pub(super) fn start_server(id: &str, service: &str, book: &RunBook) -> ServerStandIn {
    let (book, name) = (book.clone(), service.to_string());
    ServerStandIn::start(id, service, move |request, stream| {
        if request.header("expected-instance") != Some(request.server.as_str()) {
            let head = request.answer_head(421, "not-executed: 1\r\ncontent-length: 0\r\n");
            return stream.write_all(head.as_bytes()).is_ok();
        }
        book.note(request, &name);
        match name.as_str() {
            "llm" => answer_stream(request, stream),
            _ => answer_plain(request, stream),
        }
    })
}

fn answer_plain(request: &ServerRequest, stream: &mut TcpStream) -> bool {
    std::thread::sleep(PLAIN_WORK);
    let id = request.header("attempt-id").unwrap_or_default();
    stream.write_all(request.answer(200, &plain_body(id)).as_bytes()).is_ok()
}

/// The body of a request's answer.
pub(super) fn plain_body(id: &str) -> String {
    format!("answer to {id}")
}

fn answer_stream(request: &ServerRequest, stream: &mut TcpStream) -> bool {
    let id = request.header("attempt-id").unwrap_or_default();
    let last = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0u64);
    let headers = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    if stream.write_all(request.answer_head(200, headers).as_bytes()).is_err() {
        return false;
    }
    for number in last + 1..=EVENTS {
        std::thread::sleep(EVENT_EVERY);
        let event = stream_event(id, number);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// One event of a request's stream.
pub(super) fn stream_event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}\n\n")
}
