//! The body of a caller's request, while it is being received.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{select, Either};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use papayamux_coordination::caller_memory::{HolderStage, MemoryShortage};
use thiserror::Error;

use super::caller_connection::CallerConnection;
use super::segment_buffer::SegmentBuffer;
use crate::http::RequestBody;

/// Size of a body that is dropped after an answer that didn't need it, so that the connection can be used again.
const MAX_DRAINED_BYTES: u64 = 64 * 1024;
/// Time within which such a body must have arrived: it was usually sent together with its head.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);

/// The reason that a body was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyReadError {
    /// The body exceeds the size limit.
    #[error("the body is longer than {limit} bytes")]
    TooLong {
        /// Maximum size in bytes.
        limit: u64,
    },
    /// The body did not arrive completely, or not in time.
    #[error("the body did not arrive")]
    Incomplete,
    /// There is no memory for the body.
    #[error("there is no memory for the body")]
    NoMemory,
}

impl From<MemoryShortage> for BodyReadError {
    fn from(_: MemoryShortage) -> Self {
        Self::NoMemory
    }
}

/// A body that has not been read yet, with the connection that pays for it.
pub struct CallerBody {
    incoming: UnreadBody,
    connection: Rc<CallerConnection>,
}

/// A body until somebody reads it. Clones share it.
#[derive(Clone)]
pub(in crate::http) struct UnreadBody(Rc<RefCell<Option<Incoming>>>);

impl UnreadBody {
    pub(in crate::http) fn new(incoming: Incoming) -> Self {
        Self(Rc::new(RefCell::new(Some(incoming))))
    }

    fn take(&self) -> Option<Incoming> {
        self.0.borrow_mut().take()
    }

    /// Drops a short body that arrives right away, so that its connection can be used again. Returns whether it was
    /// complete.
    pub(in crate::http) async fn drain(&self) -> bool {
        let Some(mut incoming) = self.take() else { return false };
        if incoming.size_hint().upper().is_none_or(|bytes| bytes > MAX_DRAINED_BYTES) {
            return false;
        }
        let drain = async {
            while let Some(frame) = incoming.frame().await {
                if frame.is_err() {
                    return false;
                }
            }
            true
        };
        monoio::time::timeout(DRAIN_TIMEOUT, drain).await.unwrap_or(false)
    }
}

impl CallerBody {
    pub(in crate::http) fn new(incoming: UnreadBody, connection: Rc<CallerConnection>) -> Self {
        Self { incoming, connection }
    }

    /// Returns the account of the connection.
    pub fn connection(&self) -> Rc<CallerConnection> {
        self.connection.clone()
    }

    /// Reads the complete body within `within`, so that it can be sent more than once. Fails early if the body
    /// exceeds `max_bytes` or others need the memory.
    pub async fn read(
        self,
        max_bytes: u64,
        within: Duration,
    ) -> Result<RequestBody, BodyReadError> {
        let Some(incoming) = self.incoming.take() else { return Err(BodyReadError::Incomplete) };
        if incoming.size_hint().lower() > max_bytes {
            return Err(BodyReadError::TooLong { limit: max_bytes });
        }
        let connection = self.connection.clone();
        connection.set_stage(HolderStage::Receiving);
        let read = monoio::time::timeout(within, self.collect(incoming, max_bytes));
        let evicted = std::pin::pin!(connection.evicted().triggered());
        match select(evicted, std::pin::pin!(read)).await {
            Either::Left(_) => Err(BodyReadError::NoMemory),
            Either::Right((Err(_), _)) => Err(BodyReadError::Incomplete),
            Either::Right((Ok(result), _)) => result,
        }
    }

    async fn collect(
        self,
        mut incoming: Incoming,
        max_bytes: u64,
    ) -> Result<RequestBody, BodyReadError> {
        let declared = incoming.size_hint().exact();
        let mut segments = SegmentBuffer::new(self.connection.hold(), declared);
        let mut pieces = 0;
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_| BodyReadError::Incomplete)?;
            if let Ok(piece) = frame.into_data() {
                self.connection.record_progress();
                self.connection.record_bytes(piece.len());
                if segments.len() + piece.len() as u64 > max_bytes {
                    return Err(BodyReadError::TooLong { limit: max_bytes });
                }
                segments.append(&piece)?;
            }
            self.connection.pacer().wait_for_turn(pieces).await;
            pieces = pieces.saturating_add(1);
        }
        self.connection.record_body_end();
        let (segments, hold) = segments.into_parts();
        Ok(RequestBody::new(segments, hold))
    }
}
