//! Event ids of streamed answers, with which a caller resumes an answer at any router.

use std::fmt;
use std::str::FromStr;

use papayamux_state::ids::{IdError, RequestId, ServerId};

const EVENT_ID_FORMAT: &str = "SERVER/REQUEST/NUMBER";

/// The id of a server-sent event: the server that holds the answer, the attempt that the answer
/// belongs to, and the event's number in the answer, counted from 1.
///
/// ```
/// use papayamux_protocol::event_id::EventId;
/// let id: EventId = "engine-0/00000000000000ab-1f/7".parse().unwrap();
/// assert_eq!((id.server.as_str(), id.number), ("engine-0", 7));
/// assert_eq!(id.to_string(), "engine-0/00000000000000ab-1f/7");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventId {
    /// The backend server whose agent holds the answer.
    pub server: ServerId,
    /// The attempt to which the answer belongs.
    pub request: RequestId,
    /// The event's number.
    pub number: u64,
}

impl fmt::Display for EventId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.server, self.request, self.number)
    }
}

impl FromStr for EventId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let malformed = || IdError::Form { text: text.to_string(), form: EVENT_ID_FORMAT };
        let mut parts = text.rsplitn(3, '/');
        let number = parts.next().and_then(|part| part.parse().ok()).ok_or_else(malformed)?;
        let request = parts.next().ok_or_else(malformed)?.parse()?;
        let server = parts.next().ok_or_else(malformed)?.parse()?;
        Ok(Self { server, request, number })
    }
}
