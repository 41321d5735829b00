//! One process of the fleet, with its log.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use parking_lot::{Condvar, Mutex};
use serde_json::Value;
use thiserror::Error;

/// The environment variable that, when set, has all logs of the fleet printed.
const SHOW_LOGS: &str = "PAPAYAMUX_SHOW_LOGS";
/// How long a process may take to say that it has started.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a process of the fleet can't be used.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// The program could not be started.
    #[error("{program}: {source}")]
    Start {
        /// The program.
        program: String,
        /// What failed.
        source: std::io::Error,
    },
    /// The expected log line did not come.
    #[error("{program}: no log line {message:?} within {within:?}; its log:\n{log}")]
    NoLine {
        /// The program.
        program: String,
        /// The line that was waited for.
        message: String,
        /// How long it was waited for.
        within: Duration,
        /// What it logged instead.
        log: String,
    },
    /// A log line lacks an address.
    #[error("{program}: its start line has no address {field:?}")]
    NoAddress {
        /// The program.
        program: String,
        /// The field that was expected.
        field: &'static str,
    },
    /// A file or socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A signal could not be sent.
    #[error("signal: {0}")]
    Signal(#[from] nix::Error),
    /// A process could not be asked.
    #[error(transparent)]
    Client(#[from] papayamux_transport::http::HttpClientError),
    /// A request to a process could not be built.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// A process answered with other JSON than expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A process refused to answer.
    #[error("{path}: status {status}: {body}")]
    Status {
        /// The path asked for.
        path: String,
        /// The status.
        status: http::StatusCode,
        /// The body.
        body: String,
    },
    /// A state that was waited for did not come.
    #[error("still {found} after {within:?}")]
    NotReached {
        /// The state last seen.
        found: String,
        /// How long it was waited for.
        within: Duration,
    },
    /// The fleet has no such link, router or server.
    #[error("the fleet has no {0}")]
    NoPart(String),
    /// The process did not end.
    #[error("{program}: did not end within {within:?}")]
    NoExit {
        /// The program.
        program: String,
        /// How long it was waited for.
        within: Duration,
    },
}

#[derive(Debug, Default)]
struct ProcessLog {
    lines: Mutex<Vec<Value>>,
    grown: Condvar,
}

/// A running process; dropping it kills it.
#[derive(Debug)]
pub struct ProcessHandle {
    program: String,
    child: Child,
    log: Arc<ProcessLog>,
    start_line: Value,
    started: Instant,
}

/// The folder that holds the workspace's programs: that of the running program, or its parent
/// for a test.
fn program_folder() -> std::io::Result<PathBuf> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder)
}

impl ProcessHandle {
    /// Starts `program` and waits until it logs that it has started.
    pub fn start(program: &str, arguments: &[String]) -> Result<Self, TestbedError> {
        let started = |source| TestbedError::Start { program: program.to_string(), source };
        let path = program_folder()?.join(program);
        let mut child = Command::new(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(started)?;
        let log = Arc::new(ProcessLog::default());
        if let Some(stdout) = child.stdout.take() {
            let log = log.clone();
            std::thread::spawn(move || collect_log(BufReader::new(stdout), &log));
        }
        let program = program.to_string();
        let started = Instant::now();
        let mut process = Self { program, child, log, start_line: Value::Null, started };
        process.start_line = process.wait_for_line("started", START_TIMEOUT)?;
        Ok(process)
    }

    /// Waits until a log line's message contains `part`.
    pub fn wait_for_line(&self, part: &str, within: Duration) -> Result<Value, TestbedError> {
        let deadline = Instant::now() + within;
        let mut lines = self.log.lines.lock();
        loop {
            let found = lines
                .iter()
                .find(|line| line["message"].as_str().is_some_and(|text| text.contains(part)));
            if let Some(line) = found {
                return Ok(line.clone());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let log = lines.iter().map(|line| format!("{line}\n")).collect();
                let (program, message) = (self.program.clone(), part.to_string());
                return Err(TestbedError::NoLine { program, message, within, log });
            }
            self.log.grown.wait_for(&mut lines, left);
        }
    }

    /// All log lines whose message contains `part`.
    pub fn lines_with(&self, part: &str) -> Vec<Value> {
        let lines = self.log.lines.lock();
        let has_part =
            |line: &&Value| line["message"].as_str().is_some_and(|text| text.contains(part));
        lines.iter().filter(has_part).cloned().collect()
    }

    /// Where the process listens for peers.
    pub fn peers(&self) -> Result<SocketAddr, TestbedError> {
        self.address("peers")
    }

    /// Where the process listens.
    pub fn listen(&self) -> Result<SocketAddr, TestbedError> {
        self.address("listen")
    }

    /// Where the process answers operators.
    pub fn operations(&self) -> Result<SocketAddr, TestbedError> {
        self.address("operations")
    }

    fn address(&self, field: &'static str) -> Result<SocketAddr, TestbedError> {
        self.start_line[field]
            .as_str()
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| TestbedError::NoAddress { program: self.program.clone(), field })
    }

    /// How long ago the process was started.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> Result<(), TestbedError> {
        Ok(kill(Pid::from_raw(self.child.id() as i32), signal)?)
    }

    /// Stops the process where it stands (SIGSTOP), until [`Self::wake`].
    pub fn pause(&self) -> Result<(), TestbedError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a paused process go on (SIGCONT).
    pub fn wake(&self) -> Result<(), TestbedError> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks the process to end gracefully (SIGTERM).
    pub fn terminate(&self) -> Result<(), TestbedError> {
        self.signal(Signal::SIGTERM)
    }

    /// Asks the process to read its settings again (SIGHUP).
    pub fn reload(&self) -> Result<(), TestbedError> {
        self.signal(Signal::SIGHUP)
    }

    /// Ends the process at once (SIGKILL) and waits until it has gone.
    pub fn kill(&mut self) -> Result<(), TestbedError> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// How the process ended, if it has.
    pub fn try_exit(&mut self) -> Result<Option<ExitStatus>, TestbedError> {
        Ok(self.child.try_wait()?)
    }

    /// Waits for the process to end.
    pub fn wait_exit(&mut self, within: Duration) -> Result<ExitStatus, TestbedError> {
        let deadline = Instant::now() + within;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() > deadline {
                return Err(TestbedError::NoExit { program: self.program.clone(), within });
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for ProcessHandle {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

fn collect_log(reader: impl BufRead, log: &ProcessLog) {
    let shown = std::env::var_os(SHOW_LOGS).is_some();
    for line in reader.lines().map_while(Result::ok) {
        if shown {
            eprintln!("{line}");
        }
        let value =
            serde_json::from_str(&line).unwrap_or_else(|_| serde_json::json!({ "message": line }));
        log.lines.lock().push(value);
        log.grown.notify_all();
    }
}
