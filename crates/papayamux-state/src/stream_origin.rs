//! Where a stream began, and how routers identify it.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{IdError, OrganisationId, ServiceId, SoftwareVersion};

/// Identifies a stream among routers by the caller's attempt that began it. Two organisations that
/// use the same identifier for an attempt have different keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that the attempt `id` began.
    pub fn of_attempt(organisation: Option<&OrganisationId>, id: &str) -> Self {
        let organisation = organisation.map_or("", OrganisationId::as_str);
        // Organisations contain no line break.
        Self(xxh3_64(format!("{organisation}\n{id}").as_bytes()))
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for StreamKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let form = "16 hexadecimal digits";
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| IdError::Form { text: text.to_string(), form })
    }
}

/// Where a stream began. Only servers of the same service and software version can continue it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StreamOrigin {
    /// The service of the server that began the stream.
    pub service: ServiceId,
    /// The software version of that server.
    pub version: SoftwareVersion,
}
