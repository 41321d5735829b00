//! Waiting for a state of the fleet that is read again and again.

use std::fmt::Debug;
use std::time::{Duration, Instant};

use crate::process::TestbedError;

/// How often the state is read.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Reads a state until it is as wanted, and gives it; fails after `within`.
pub async fn wait_until<T: Debug>(
    within: Duration,
    mut read: impl AsyncFnMut() -> Result<T, TestbedError>,
    is_wanted: impl Fn(&T) -> bool,
) -> Result<T, TestbedError> {
    let deadline = Instant::now() + within;
    loop {
        let state = read().await?;
        if is_wanted(&state) {
            return Ok(state);
        }
        if Instant::now() > deadline {
            return Err(TestbedError::NotReached { found: format!("{state:?}"), within });
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
