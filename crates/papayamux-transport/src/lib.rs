//! Connections, listeners and timers on a single-threaded `monoio` runtime.

pub mod agent_link;
pub mod boot_clock;
pub mod http;
pub mod keepalive;
pub mod link;
pub mod listen;
pub mod runtime;
pub mod shutdown;
pub mod timer;
