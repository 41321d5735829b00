//! A process of the fleet and its log.

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

/// Environment variable that, if set, prints the logs of all processes to standard error.
const SHOW_LOGS: &str = "PAPAYAMUX_SHOW_LOGS";
/// Maximum time until a process logs that it has started.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// An error of starting, controlling or querying a process of the fleet.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// The program couldn't be started.
    #[error("{program}: {source}")]
    Start {
        /// The name of the program.
        program: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The process didn't log the expected line in time.
    #[error("{program}: no log line with {message:?} within {within:?}; log:\n{log}")]
    NoLine {
        /// The name of the program.
        program: String,
        /// The expected part of the message.
        message: String,
        /// The timeout.
        within: Duration,
        /// The log of the process up to the timeout.
        log: String,
    },
    /// The start line of a process's log has no valid address in the expected field.
    #[error("{program}: the start line of the log has no valid address in the field {field:?}")]
    NoAddress {
        /// The name of the program.
        program: String,
        /// The expected field.
        field: &'static str,
    },
    /// An operation on a file or socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A signal couldn't be sent.
    #[error("can't send the signal: {0}")]
    Signal(#[from] nix::Error),
    /// An HTTP request to a process failed.
    #[error(transparent)]
    Client(#[from] papayamux_transport::http::HttpClientError),
    /// A request to a process couldn't be built.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// JSON sent to or received from a process couldn't be encoded or decoded.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A process answered with an error status.
    #[error("{path}: status {status}: {body}")]
    Status {
        /// The requested path.
        path: String,
        /// The HTTP status of the answer.
        status: http::StatusCode,
        /// The body of the answer.
        body: String,
    },
    /// The expected state wasn't reached in time.
    #[error("state not reached within {within:?}; last state: {found}")]
    NotReached {
        /// The last observed state.
        found: String,
        /// The timeout.
        within: Duration,
    },
    /// The fleet has no such part, for example a link, router or server.
    #[error("the fleet has no {0}")]
    NoPart(String),
    /// The process didn't exit in time.
    #[error("{program}: did not exit within {within:?}")]
    NoExit {
        /// The name of the program.
        program: String,
        /// The timeout.
        within: Duration,
    },
}

#[derive(Debug, Default)]
struct ProcessLog {
    lines: Mutex<Vec<Value>>,
    grown: Condvar,
}

/// A running process. Dropping the handle kills it.
#[derive(Debug)]
pub struct ProcessHandle {
    program: String,
    child: Child,
    log: Arc<ProcessLog>,
    start_line: Value,
    started: Instant,
}

/// Returns the folder of the workspace's programs: the folder of the running program, or its parent
/// if that is a test.
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

    /// Waits for a log line whose message contains `part`, and returns the first one.
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

    /// Returns all log lines whose message contains `part`.
    pub fn lines_with(&self, part: &str) -> Vec<Value> {
        let lines = self.log.lines.lock();
        let has_part =
            |line: &&Value| line["message"].as_str().is_some_and(|text| text.contains(part));
        lines.iter().filter(has_part).cloned().collect()
    }

    /// Returns the address at which the process accepts peers.
    pub fn peers(&self) -> Result<SocketAddr, TestbedError> {
        self.address("peers")
    }

    /// Returns the address at which the process serves its clients.
    pub fn listen(&self) -> Result<SocketAddr, TestbedError> {
        self.address("listen")
    }

    /// Returns the address of the process's port for operators.
    pub fn operations(&self) -> Result<SocketAddr, TestbedError> {
        self.address("operations")
    }

    fn address(&self, field: &'static str) -> Result<SocketAddr, TestbedError> {
        self.start_line[field]
            .as_str()
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| TestbedError::NoAddress { program: self.program.clone(), field })
    }

    /// Returns the time since the process was started.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the operating system's process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<(), TestbedError> {
        Ok(kill(Pid::from_raw(self.child.id() as i32), signal)?)
    }

    /// Suspends the process (SIGSTOP) until [`Self::wake`].
    pub fn pause(&self) -> Result<(), TestbedError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn wake(&self) -> Result<(), TestbedError> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests a graceful shutdown (SIGTERM).
    pub fn terminate(&self) -> Result<(), TestbedError> {
        self.signal(Signal::SIGTERM)
    }

    /// Requests a reload of the settings (SIGHUP).
    pub fn reload(&self) -> Result<(), TestbedError> {
        self.signal(Signal::SIGHUP)
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    pub fn kill(&mut self) -> Result<(), TestbedError> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Returns the exit status if the process has exited.
    pub fn try_exit(&mut self) -> Result<Option<ExitStatus>, TestbedError> {
        Ok(self.child.try_wait()?)
    }

    /// Waits until the process has exited and returns its exit status.
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
