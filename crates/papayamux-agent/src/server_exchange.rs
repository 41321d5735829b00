//! Exchanges with the backend server that notice when nothing comes any more.
//!
//! A server that is slow but lives is never given up: after a time without progress it is asked
//! over another connection. A model engine is asked to go on with the stream there, which also
//! replaces a connection that went silent for good.

use std::future::Future;
use std::pin::Pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{select, Either};
use http::{Request, StatusCode};
use monoio::time::Sleep;
use papayamux_protocol::engine::{resume_path, LOAD_PATH};
use papayamux_state::ids::RequestId;
use papayamux_transport::http::upstream::{probe_listener, ProbeResult};
use papayamux_transport::http::{ClientAnswer, HttpClientError};
use thiserror::Error;

use crate::agent_core::AgentCore;

/// How long the server may take to answer whether it lives.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a probe whether the server listens may take. It stands on the agent's own instance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Checks in a row without an answer after which the server counts as silent.
const MAX_FAILED_CHECKS: u32 = 2;
/// Pauses between the attempts to resume a stream whose connection broke.
const RESUME_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(100), Duration::from_millis(400)];

/// Why there is no further answer from the server.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The connection failed.
    #[error(transparent)]
    Client(#[from] HttpClientError),
    /// The connection failed, and nothing listens at the server's address any more.
    #[error("the server has ended: {0}")]
    Crashed(HttpClientError),
    /// Neither this connection nor another one brought anything.
    #[error("the server is silent on every connection")]
    Silent,
    /// The connection is silent, and on another one the server does not know the stream.
    #[error("the server lives and does not know the stream")]
    UnknownStream,
}

/// Finds out whether the server has ended, after a connection to it failed with `error`.
pub async fn broken_connection(core: &AgentCore, error: HttpClientError) -> ServerError {
    match probe_listener(core.client.address(), PROBE_TIMEOUT).await {
        ProbeResult::Refused => ServerError::Crashed(error),
        ProbeResult::Accepted | ProbeResult::Unanswered => ServerError::Client(error),
    }
}

/// A stream of an engine and where it is to go on.
#[derive(Debug, Clone, Copy)]
pub struct ResumeTarget {
    /// The request's id.
    pub id: RequestId,
    /// Events that have come.
    pub events: u64,
}

/// What a wait on the server's connection came to.
pub enum ServerStep<T> {
    /// What was waited for.
    Ready(T),
    /// The stream goes on on another connection.
    Replaced(Box<ClientAnswer>),
    /// The server lives and does not know the stream: its request never came, or it has ended.
    UnknownStream,
    /// The server is silent.
    Silent,
}

enum ServerCheck {
    Replaced(Box<ClientAnswer>),
    Alive,
    UnknownStream,
    Silent,
}

/// Watches one exchange for progress, with one timer however many steps it has.
pub struct ServerWatch<'a> {
    core: &'a AgentCore,
    timer: Pin<Box<Sleep>>,
    progress: Instant,
}

impl<'a> ServerWatch<'a> {
    /// Watches from now on.
    pub fn new(core: &'a AgentCore) -> Self {
        let timer = Box::pin(monoio::time::sleep(core.progress_within));
        Self { core, timer, progress: Instant::now() }
    }

    /// Waits for `step`; whenever the exchange makes no progress for a while, the server is
    /// checked, and asked to go on with `target` where there is one.
    pub async fn wait_for<T>(
        &mut self,
        target: impl Fn() -> Option<ResumeTarget>,
        step: impl Future<Output = T>,
    ) -> ServerStep<T> {
        let mut step = std::pin::pin!(step);
        let mut failed_checks = 0;
        self.progress = Instant::now();
        loop {
            if let Either::Left((output, _)) = select(step.as_mut(), self.timer.as_mut()).await {
                return ServerStep::Ready(output);
            }
            let is_quiet = self.progress.elapsed() >= self.core.progress_within;
            if is_quiet {
                match check_server(self.core, target()).await {
                    ServerCheck::Replaced(answer) => {
                        self.core.metrics.server_streams.count("replaced");
                        return ServerStep::Replaced(answer);
                    }
                    ServerCheck::UnknownStream => {
                        self.core.metrics.server_streams.count("gone");
                        return ServerStep::UnknownStream;
                    }
                    ServerCheck::Alive => failed_checks = 0,
                    ServerCheck::Silent => failed_checks += 1,
                }
            }
            if failed_checks == MAX_FAILED_CHECKS {
                self.core.metrics.server_streams.count("silent");
                return ServerStep::Silent;
            }
            self.rearm(is_quiet);
        }
    }

    /// Lets the timer end once the exchange could have been quiet for long enough.
    fn rearm(&mut self, was_quiet: bool) {
        let from = if was_quiet { Instant::now() } else { self.progress };
        let next = from + self.core.progress_within;
        self.timer.as_mut().reset(next.into());
        self.progress = from;
    }
}

/// Asks the engine to go on with a stream whose connection broke.
pub async fn resume_stream(core: &AgentCore, target: ResumeTarget) -> Option<Box<ClientAnswer>> {
    for pause in RESUME_DELAYS {
        monoio::time::sleep(pause).await;
        match check_server(core, Some(target)).await {
            ServerCheck::Replaced(answer) => {
                core.metrics.server_streams.count("resumed");
                return Some(answer);
            }
            ServerCheck::Alive | ServerCheck::UnknownStream => break,
            ServerCheck::Silent => {}
        }
    }
    core.metrics.server_streams.count("not_resumed");
    None
}

async fn check_server(core: &AgentCore, target: Option<ResumeTarget>) -> ServerCheck {
    let path = match target {
        Some(target) => resume_path(&target.id.to_string(), target.events),
        None => LOAD_PATH.to_string(),
    };
    let request = Request::get(path)
        .header(http::header::HOST, core.client.address().to_string())
        .body(Bytes::new());
    let Ok(request) = request else { return ServerCheck::Alive };
    let exchange = core.client.send_once(request);
    match monoio::time::timeout(CHECK_TIMEOUT, exchange).await {
        Ok(Ok(answer)) if target.is_some() && answer.head.status == StatusCode::OK => {
            ServerCheck::Replaced(Box::new(answer))
        }
        Ok(Ok(answer)) if target.is_some() && answer.head.status == StatusCode::NOT_FOUND => {
            ServerCheck::UnknownStream
        }
        Ok(Ok(_)) => ServerCheck::Alive,
        Ok(Err(_)) | Err(_) => ServerCheck::Silent,
    }
}
