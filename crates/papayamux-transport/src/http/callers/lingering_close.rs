//! Closes a connection on which an answer was sent before the request was received completely.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::time::Duration;

use monoio::io::poll_io::{AsyncRead, ReadBuf};

use super::caller_connection::CallerConnection;

/// Maximum time for which further bytes are read and dropped.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that are read at once.
const BUFFER_BYTES: usize = 8 * 1024;

/// Drops what still arrives on a connection whose sending half has ended, until the caller has closed it as well. If
/// a connection is closed while received bytes are unread, the kernel resets it, and the caller may lose the answer.
pub(in crate::http) async fn close_lingering<S: AsyncRead + Unpin>(
    mut stream: S,
    connection: &CallerConnection,
) {
    let drain = async {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut pieces = 0;
        while !connection.evicted().is_triggered() {
            let mut unfilled = ReadBuf::new(&mut buffer);
            poll_fn(|context| Pin::new(&mut stream).poll_read(context, &mut unfilled)).await?;
            if unfilled.filled().is_empty() {
                break;
            }
            connection.pacer().wait_for_turn(pieces).await;
            pieces = pieces.wrapping_add(1);
        }
        io::Result::Ok(())
    };
    if let Ok(Err(error)) = monoio::time::timeout(LINGER_TIMEOUT, drain).await {
        log::debug!(error:% = error; "the caller closed its connection after its answer");
    }
}
