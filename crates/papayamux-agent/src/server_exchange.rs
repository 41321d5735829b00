//! Exchanges with the backend server that detect a lack of progress.
//!
//! A server that is slow but alive is never abandoned: after a time without progress, it is
//! checked over another connection. A model engine is asked to resume the stream there, which
//! also replaces a connection that has become permanently silent.

use std::future::Future;
use std::pin::Pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{select, Either};
use http::{Request, StatusCode};
use monoio::time::Sleep;
use papayamux_protocol::engine::{resume_path, LOAD_PATH};
use papayamux_state::ids::RequestId;
use papayamux_state::quantities::ByteCount;
use papayamux_transport::http::upstream::{probe_listener, ProbeResult};
use papayamux_transport::http::{ClientAnswer, HttpClientError};
use thiserror::Error;

use crate::agent_core::AgentCore;
use crate::answers::EventTooLong;

/// The time within which the server must answer a check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout of a probe of the server's listener. It is short because the server runs on the
/// agent's own instance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of consecutive unanswered checks after which the server counts as silent.
const MAX_FAILED_CHECKS: u32 = 2;
/// Delays before each attempt to resume a stream whose connection broke.
const RESUME_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(100), Duration::from_millis(400)];

/// The error of an exchange with the server.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The connection failed.
    #[error(transparent)]
    Client(#[from] HttpClientError),
    /// The connection failed, and nothing listens at the server's address any more.
    #[error("the server has ended: {0}")]
    Crashed(HttpClientError),
    /// The server's stream holds no events.
    #[error(transparent)]
    NoEvents(#[from] EventTooLong),
    /// The answer exceeds the size limit.
    #[error("the answer is longer than {limit} bytes")]
    TooLong {
        /// Maximum size of an answer.
        limit: ByteCount,
    },
    /// The server answered neither on this connection nor on another one.
    #[error("the server is silent on every connection")]
    Silent,
    /// The connection is silent, and the server said on another one that it does not know the
    /// stream.
    #[error("the server lives and does not know the stream")]
    UnknownStream,
}

/// Probes the server's listener after a connection failed with `error`, and returns whether the
/// server crashed or only the connection failed.
pub async fn broken_connection(core: &AgentCore, error: HttpClientError) -> ServerError {
    match probe_listener(core.client.address(), PROBE_TIMEOUT).await {
        ProbeResult::Refused => ServerError::Crashed(error),
        ProbeResult::Accepted | ProbeResult::Unanswered => ServerError::Client(error),
    }
}

/// A stream of an engine and the event after which it resumes.
#[derive(Debug, Clone, Copy)]
pub struct ResumeTarget {
    /// The id of the request.
    pub id: RequestId,
    /// The number of events received so far.
    pub events: u64,
}

/// The result of waiting on a connection to the server.
pub enum ServerStep<T> {
    /// The output of the step.
    Ready(T),
    /// The stream resumes on another connection.
    Replaced(Box<ClientAnswer>),
    /// The server is alive and does not know the stream: the request was never received, or the
    /// stream has ended.
    UnknownStream,
    /// The server answered none of the checks.
    Silent,
}

enum ServerCheck {
    Replaced(Box<ClientAnswer>),
    Alive,
    UnknownStream,
    Silent,
}

/// Watches one exchange for progress, with a single timer for all of its steps.
pub struct ServerWatch<'a> {
    core: &'a AgentCore,
    timer: Pin<Box<Sleep>>,
    progress: Instant,
}

impl<'a> ServerWatch<'a> {
    /// Starts watching an exchange.
    pub fn new(core: &'a AgentCore) -> Self {
        let timer = Box::pin(monoio::time::sleep(core.progress_within));
        Self { core, timer, progress: Instant::now() }
    }

    /// Waits for `step`. Whenever the exchange has made no progress for the configured time, checks
    /// the server and asks it to resume `target`, if there is one.
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
            let is_stalled = self.progress.elapsed() >= self.core.progress_within;
            if is_stalled {
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
            self.rearm(is_stalled);
        }
    }

    /// Resets the timer to the earliest time at which the exchange can have been silent too long.
    fn rearm(&mut self, was_stalled: bool) {
        let from = if was_stalled { Instant::now() } else { self.progress };
        let next = from + self.core.progress_within;
        self.timer.as_mut().reset(next.into());
        self.progress = from;
    }
}

/// Asks the engine to resume a stream whose connection broke.
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
