//! What requests have in common that servers may crash on.

use std::fmt;

use crate::ids::ServiceId;
use crate::prompt::PartId;
use crate::request_fingerprint::RequestFingerprint;

/// Something that requests share and that servers may crash on, whatever else the requests hold.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CrashSuspect {
    /// The whole content of a request, which each retry by its caller repeats.
    Content(RequestFingerprint),
    /// A part of prompts.
    Part(ServicePart),
}

/// A part of the prompts that a service receives.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServicePart {
    /// The service.
    pub service: ServiceId,
    /// The part.
    pub part: PartId,
}

impl CrashSuspect {
    /// Returns the name of the kind, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            CrashSuspect::Content(_) => "content",
            CrashSuspect::Part(_) => "part",
        }
    }
}

impl From<RequestFingerprint> for CrashSuspect {
    fn from(fingerprint: RequestFingerprint) -> Self {
        Self::Content(fingerprint)
    }
}

impl fmt::Display for CrashSuspect {
    /// Writes the fingerprint of a content, or `SERVICE/PART`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CrashSuspect::Content(fingerprint) => write!(formatter, "{fingerprint}"),
            CrashSuspect::Part(ServicePart { service, part }) => {
                write!(formatter, "{service}/{part}")
            }
        }
    }
}
