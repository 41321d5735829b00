//! TCP keepalive, by which the kernel detects a broken path under an idle connection.

use std::time::Duration;

use monoio::net::TcpStream;

/// Idle time after which the kernel sends probes.
const PROBE_IDLE_TIME: Duration = Duration::from_secs(10);
/// Interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Number of unanswered probes after which the connection counts as broken.
const MAX_PROBES: u32 = 3;

/// Sets the options of a connection: `TCP_NODELAY`, and keepalive probes while it is idle.
///
/// The remote kernel answers the probes, so a slow but running process is never taken for a crashed
/// one. A middlebox that answers in its place hides the crash; heartbeats and progress deadlines
/// detect that case.
pub fn set_stream_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_tcp_keepalive(Some(PROBE_IDLE_TIME), Some(PROBE_INTERVAL), Some(MAX_PROBES))
}
