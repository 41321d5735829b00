//! Limits of a listener.

use std::fmt;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use papayamux_state::quantities::ByteCount;

use super::callers::CallerMemory;

/// Decides whether an address may connect.
#[derive(Clone)]
pub struct AddressCheck(pub Rc<dyn Fn(IpAddr) -> bool>);

impl fmt::Debug for AddressCheck {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AddressCheck")
    }
}

/// Timeouts and the size of heads, which may change while connections are open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadLimits {
    /// Maximum size of a request's head in bytes.
    pub bytes: usize,
    /// Timeout for receiving a request's head, from its first byte on.
    pub timeout: Duration,
    /// Timeout of a connection that is idle before a request.
    pub idle_timeout: Duration,
}

impl Default for HeadLimits {
    fn default() -> Self {
        let timeout = Duration::from_secs(15);
        Self { bytes: 32 * 1024, timeout, idle_timeout: timeout }
    }
}

/// Returns the limits of heads in force.
#[derive(Clone)]
pub struct HeadLimitSource(pub Rc<dyn Fn() -> HeadLimits>);

impl Default for HeadLimitSource {
    fn default() -> Self {
        Self(Rc::new(HeadLimits::default))
    }
}

impl fmt::Debug for HeadLimitSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0().fmt(formatter)
    }
}

/// Limits of a listener.
#[derive(Debug, Clone)]
pub struct HttpLimits {
    /// Maximum number of open connections; further ones wait in the kernel's backlog.
    pub connections: usize,
    /// Limits of requests' heads.
    pub heads: HeadLimitSource,
    /// The memory that callers may hold; `None` for no limit.
    pub memory: Option<Rc<CallerMemory>>,
    /// Maximum time for which a write may wait without the other side accepting anything.
    pub write_timeout: Duration,
    /// What is buffered of an answer, here and by the handler, while its caller accepts nothing.
    pub unread_answer_bytes: ByteCount,
    /// Addresses that may connect; `None` allows all.
    pub admits: Option<AddressCheck>,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            heads: HeadLimitSource::default(),
            memory: None,
            write_timeout: Duration::from_secs(30),
            unread_answer_bytes: ByteCount::new(128 * 1024),
            admits: None,
        }
    }
}
