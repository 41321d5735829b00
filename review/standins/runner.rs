//! Stand-in for a runner: its entry in the store and the connections that it serves.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Handles a request; returns whether the connection stays open.
type Behaviour = dyn Fn(&Runner, &Message, &mut Connection) -> bool + Send + Sync;

/// What differs between the kinds of runners.
#[derive(Clone)]
pub struct RunnerKind {
    pub service: &'static str,
    pub slots: u32,
    pub is_engine: bool,
}

struct State {
    crashed: AtomicBool,
    /// `true` once the entry was removed; locked while the entry is written.
    left: Mutex<bool>,
    running: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
}

/// A runner. Clones are the same runner.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub kind: RunnerKind,
    state: Arc<State>,
}

impl Runner {
    /// Starts a runner and registers it in the store.
    pub fn start(
        ip: &str,
        id: &str,
        kind: RunnerKind,
        store: &Store,
        behaviour: impl Fn(&Runner, &Message, &mut Connection) -> bool + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = State {
            crashed: AtomicBool::new(false),
            left: Mutex::new(false),
            running: AtomicU64::new(0),
            streams: Mutex::default(),
        };
        let runner = Self {
            id: id.to_string(),
            address: listener.local_addr()?,
            kind,
            state: Arc::new(state),
        };
        let (serving, behaviour): (_, Arc<Behaviour>) = (runner.clone(), Arc::new(behaviour));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_crashed() {
                    // The listener closes with this thread.
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.state.streams.lock().unwrap().push(copy);
                }
                let (runner, behaviour) = (serving.clone(), behaviour.clone());
                std::thread::spawn(move || runner.serve(Connection::new(stream), &*behaviour));
            }
        });
        let (beating, store) = (runner.clone(), store.clone());
        std::thread::spawn(move || {
            let mut sequence = 0;
            while !beating.has_crashed() {
                sequence += 1;
                beating.renew(&store, sequence);
                std::thread::sleep(HEARTBEAT);
            }
            // The entry lapses after three intervals of silence.
            std::thread::sleep(HEARTBEAT * 2);
            store.delete(&format!("servers/{}", beating.id));
        });
        Ok(runner)
    }

    fn entry(&self, sequence: u64) -> String {
        let engine = match self.kind.is_engine {
            true => {
                "\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            }
            false => "",
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"qigu-hall\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,{engine}\"sequence\":{sequence}}}",
            self.kind.service, self.address, self.kind.slots
        )
    }

    fn serve(&self, mut connection: Connection, behaviour: &Behaviour) {
        while let Some(request) = connection.read_request() {
            if self.has_crashed() {
                return;
            }
            if request.target().starts_with("/-/kv-list") {
                let body = "{\"epoch\":1,\"next\":1,\"held\":[]}";
                let answer =
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                if !connection.send(&answer) {
                    return;
                }
                continue;
            }
            let expected = request.header("expected-instance");
            if expected.is_some_and(|id| id != self.id) {
                let head = self.head(&request, "421 Misdirected Request", false);
                if !connection.send(&format!("{head}Content-Length: 0\r\n\r\n")) {
                    return;
                }
                continue;
            }
            self.state.running.fetch_add(1, Ordering::SeqCst);
            let stays = behaviour(self, &request, &mut connection);
            self.state.running.fetch_sub(1, Ordering::SeqCst);
            if !stays {
                let _ = connection.stream().shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Returns the head of an answer up to its framing headers.
    pub fn head(&self, request: &Message, status: &str, is_signed: bool) -> String {
        let id = request.header("attempt-id").unwrap_or_default();
        let running = self.state.running.load(Ordering::SeqCst);
        let signature = match is_signed {
            true => format!("Response-Signature: {}.{id}\r\n", self.id),
            false => format!("Instance-Id: {}\r\n", self.id),
        };
        format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{signature}Server-Load: {running},0,{}\r\n\
             Keep-Alive: timeout=10\r\n",
            self.kind.slots
        )
    }

    /// Returns the number of requests that the runner works on.
    pub fn running(&self) -> u64 {
        self.state.running.load(Ordering::SeqCst)
    }

    pub fn has_crashed(&self) -> bool {
        self.state.crashed.load(Ordering::SeqCst)
    }

    /// Writes the entry, unless the runner has left.
    fn renew(&self, store: &Store, sequence: u64) {
        let left = self.state.left.lock().unwrap();
        if !*left {
            store.put(&format!("servers/{}", self.id), &self.entry(sequence));
        }
    }

    /// Removes the entry without a notice, as some runners do before they end. The runner serves on.
    pub fn leave(&self, store: &Store) {
        let mut left = self.state.left.lock().unwrap();
        *left = true;
        store.delete(&format!("servers/{}", self.id));
    }

    /// Ends the runner as a crash of its process does: its listener and all of its connections close, and
    /// it renews its entry no more.
    pub fn crash(&self) {
        self.state.crashed.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.state.streams.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
