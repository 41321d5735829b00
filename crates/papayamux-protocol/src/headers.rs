//! Names of the HTTP headers that papayamux reads or sets.

/// The organisation that calls, as the platform's balancer has established it.
pub const ORGANISATION: &str = "x-papayamux-organisation";
/// The conversation that a chat request belongs to.
pub const CONVERSATION: &str = "x-conversation-id";
/// The id of the attempt, towards backend servers and back to callers.
pub const REQUEST_ID: &str = "x-request-id";
/// The key under which a non-idempotent call may be repeated.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set on the answer to a repeat, where it is the first run's answer.
pub const IDEMPOTENCY_REPLAYED: &str = "idempotency-replayed";
/// The id of the last event that a caller has received of a streamed answer.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// The backend server that gave an answer.
pub const SERVED_BY: &str = "x-papayamux-server";
/// The priority class, towards engines.
pub const PRIORITY: &str = "x-priority";

/// Headers that concern one connection only and are never passed on.
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
