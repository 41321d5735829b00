//! Names of the HTTP headers that papayamux reads or sets.

/// The calling organisation, as established by the platform's load balancer.
pub const ORGANISATION: &str = "x-papayamux-organisation";
/// The conversation to which a chat request belongs.
pub const CONVERSATION: &str = "x-conversation-id";
/// The id of the attempt, sent to backend servers and returned to callers.
pub const REQUEST_ID: &str = "x-request-id";
/// The idempotency key with which a non-idempotent call may be retried.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set on the answer to a retry if it replays the answer of the first run.
pub const IDEMPOTENCY_REPLAYED: &str = "idempotency-replayed";
/// The id of the last event of a streamed answer that the caller received.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// The backend server that produced the answer.
pub const SERVED_BY: &str = "x-papayamux-server";
/// The priority class, sent to engines.
pub const PRIORITY: &str = "x-priority";

/// Headers that apply to a single connection and are never forwarded.
pub const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
];
