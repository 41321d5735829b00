//! The limit on the requests that a cold server may get.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

/// Fraction of the limit that is shared among the routers. The rest is kept for routers that don't
/// know one another yet.
const USED_FRACTION: f64 = 0.9;

/// How far the requests of all routers together may exceed the rate that a service declares for its
/// cold servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdAllowance {
    /// Multiple of the declared rate.
    pub overshoot: f64,
    /// Requests per second allowed in addition.
    pub slack: f64,
}

impl ColdAllowance {
    /// Returns the limit of a server that bears `per_second` requests while it is cold.
    pub fn limit(self, per_second: f64) -> ColdLimit {
        ColdLimit(per_second.max(0.0) * self.overshoot.max(0.0) + self.slack.max(0.0))
    }
}

/// Maximum number of requests that one cold server may get in any second from all routers together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct ColdLimit(pub f64);

impl ColdLimit {
    /// Returns the number of whole requests that are shared among the routers.
    pub fn shared_out(self) -> u32 {
        (self.0 * USED_FRACTION) as u32
    }
}

impl fmt::Display for ColdLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}

impl FromStr for ColdLimit {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, ParseFloatError> {
        text.strip_suffix("/s").unwrap_or(text).parse().map(Self)
    }
}
