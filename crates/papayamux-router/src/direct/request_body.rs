//! The body of a caller's request.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::{CallFailure, NotRunReason};

/// Reads the complete body, so that it can be sent more than once.
pub(super) async fn read_body(
    mut body: Incoming,
    max_bytes: u64,
    within: Duration,
) -> Result<Bytes, CallFailure> {
    if body.size_hint().lower() > max_bytes {
        return Err(CallFailure::TooLong);
    }
    let read = async {
        let mut collected = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Err(CallFailure::not_run(NotRunReason::Incomplete));
            };
            if let Ok(piece) = frame.into_data() {
                collected.extend_from_slice(&piece);
            }
            if collected.len() as u64 > max_bytes {
                return Err(CallFailure::TooLong);
            }
        }
        Ok(collected.freeze())
    };
    match monoio::time::timeout(within, read).await {
        Ok(result) => result,
        Err(_) => Err(CallFailure::not_run(NotRunReason::Incomplete)),
    }
}
