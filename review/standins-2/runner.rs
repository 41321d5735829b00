//! Stand-in for an application runner.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::http::{Message, Reader};

/// A request that the runner ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub runner: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    service: String,
}

impl Runner {
    /// Starts a runner. `answer` writes the answer to a request that was run, and returns whether the
    /// connection stays open.
    pub fn start(
        id: &str,
        service: &str,
        runs: &Runs,
        answer: impl Fn(&Message, &mut Reader) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (runner, runs, answer) = (id.to_string(), runs.clone(), Arc::new(answer));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runner, runs, answer) = (runner.clone(), runs.clone(), answer.clone());
                std::thread::spawn(move || {
                    let mut reader = Reader::new(stream);
                    while let Ok(request) = reader.message() {
                        let expected = request.header("expected-instance");
                        if expected.is_some_and(|expected| expected != runner) {
                            let head = "Not-Executed: 1\r\n";
                            if !reply(&request, &mut reader, 421, head, "") {
                                return;
                            }
                            continue;
                        }
                        let header =
                            |name: &str| request.header(name).unwrap_or_default().to_string();
                        runs.lock().expect("the lock").push(Run {
                            at: Instant::now(),
                            id: header("attempt-id"),
                            runner: runner.clone(),
                        });
                        if !answer(&request, &mut reader) {
                            return;
                        }
                    }
                });
            }
        });
        Self { id: id.to_string(), address, service: service.to_string() }
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// The runner's entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"qigu-hall\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            self.service, self.address
        )
    }
}

/// Writes a signed answer that echoes the request's id.
pub fn reply(
    request: &Message,
    reader: &mut Reader,
    status: u16,
    headers: &str,
    body: &str,
) -> bool {
    use std::io::Write;
    let id = request.header("attempt-id").unwrap_or_default();
    let text = format!(
        "HTTP/1.1 {status} S\r\nAttempt-Id: {id}\r\nResponse-Signature: s.{id}\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    reader.stream.write_all(text.as_bytes()).is_ok()
}
