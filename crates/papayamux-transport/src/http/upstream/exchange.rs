//! An answer of a server whose body has not been read yet.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::response::Parts;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use papayamux_state::answer_framing::AnswerFraming;
use papayamux_state::quantities::ByteCount;

use super::connection::UpstreamConnection;
use super::{answer_framing, UpstreamPool};

/// Margin by which an idle connection is closed before the timeout that the server announces, so
/// that no request is sent while the server closes the connection.
const CLOSE_MARGIN: Duration = Duration::from_millis(1_000);

/// Pieces of a body after which its reader pauses. The runtime fires timers only when no task is ready,
/// and a connection with many small pieces would keep two tasks ready by turns.
const PIECES_PER_PAUSE: u32 = 256;
/// Duration of such a pause: the resolution of timers.
const READ_PAUSE: Duration = Duration::from_millis(1);

/// An answer. Dropping it before its end closes the connection, which tells the server to stop.
pub struct UpstreamAnswer {
    pool: UpstreamPool,
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    connection: Option<UpstreamConnection>,
    connect_time: Option<Duration>,
    /// `true` if the body has ended without an error.
    is_read: bool,
    /// Pieces read since the last pause.
    pieces_since_pause: u32,
}

impl UpstreamAnswer {
    pub(super) fn new(
        pool: UpstreamPool,
        mut connection: UpstreamConnection,
        response: http::Response<Incoming>,
    ) -> Self {
        let (head, body) = response.into_parts();
        let connect_time = connection.take_connect_time();
        Self {
            pool,
            head,
            body,
            connection: Some(connection),
            connect_time,
            is_read: false,
            pieces_since_pause: 0,
        }
    }

    /// Returns the time that connecting took, if a new connection was opened for this answer.
    pub fn connect_time(&self) -> Option<Duration> {
        self.connect_time
    }

    /// Returns the next piece of the body, or `None` after the complete body.
    pub async fn next_piece(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        if self.pieces_since_pause >= PIECES_PER_PAUSE {
            monoio::time::sleep(READ_PAUSE).await;
            self.pieces_since_pause = 0;
        }
        self.pieces_since_pause += 1;
        loop {
            let Some(frame) = self.body.frame().await else {
                self.is_read = true;
                return None;
            };
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => return Some(Err(error)),
            };
            if let Ok(piece) = frame.into_data() {
                if let Some(connection) = &self.connection {
                    connection.record_progress();
                }
                self.is_read = self.body.is_end_stream();
                return Some(Ok(piece));
            }
        }
    }

    /// Returns whether reading failed because the server sent too much without a piece of the body.
    pub fn is_without_progress(&self) -> bool {
        self.connection.as_ref().is_some_and(UpstreamConnection::is_without_progress)
    }

    /// Returns whether the complete body was read. Only a declared length shows this together with the
    /// last piece.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> AnswerFraming {
        answer_framing(&self.head)
    }

    /// Returns the length that the server declares for the body. A length beside chunks doesn't count.
    pub fn declared_length(&self) -> Option<ByteCount> {
        if self.framing() != AnswerFraming::Length {
            return None;
        }
        self.head.headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
    }

    /// Returns the connection to the pool if the complete body was read. A connection that the
    /// server closes or wants to close is dropped.
    pub fn finish(mut self) {
        let Some(connection) = self.connection.take() else { return };
        if !self.is_read || self.framing() == AnswerFraming::CloseDelimited {
            return;
        }
        let idle_timeout = match idle_time(&self.head.headers) {
            IdleTime::Close => return,
            IdleTime::Announced(time) => Some(time),
            IdleTime::Unspecified => None,
        };
        self.pool.put(connection, idle_timeout);
    }
}

enum IdleTime {
    Close,
    Announced(Duration),
    Unspecified,
}

fn idle_time(headers: &HeaderMap) -> IdleTime {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(CONNECTION.as_str())
        .is_some_and(|value| value.split(',').any(|one| one.trim().eq_ignore_ascii_case("close")));
    if closes {
        return IdleTime::Close;
    }
    let timeout = text("keep-alive")
        .and_then(|value| value.split(',').find_map(|one| one.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse().ok());
    match timeout {
        Some(seconds) => {
            IdleTime::Announced(Duration::from_secs(seconds).saturating_sub(CLOSE_MARGIN))
        }
        None => IdleTime::Unspecified,
    }
}
