//! Polling for a state of the fleet.

use std::fmt::Debug;
use std::time::{Duration, Instant};

use crate::process::TestbedError;

/// Pause between two reads of the state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls a state until `is_wanted` accepts it, and returns it. Fails with
/// [`TestbedError::NotReached`] after `within`.
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
