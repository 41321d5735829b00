//! TCP keepalive: the kernel finds a path that has died under an idle connection.

use std::time::Duration;

use monoio::net::TcpStream;

/// Idle time after which the kernel probes.
const PROBE_IDLE_TIME: Duration = Duration::from_secs(10);
/// Time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Unanswered probes after which the connection is dead.
const MAX_PROBES: u32 = 3;

/// Sets the options of every connection: no delay, and probes while it is idle.
///
/// The other side's kernel answers the probes, so that a slow but living process is never taken
/// for a dead one. A middlebox that answers in its place hides the death; heartbeats and progress
/// deadlines find that.
pub fn set_stream_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_tcp_keepalive(Some(PROBE_IDLE_TIME), Some(PROBE_INTERVAL), Some(MAX_PROBES))
}
