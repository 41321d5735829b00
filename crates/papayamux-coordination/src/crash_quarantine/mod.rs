//! Quarantines queries of death: requests that crash every server that runs them.
//!
//! Such a request is retried like any failed one, through any router, and crashes one server after
//! the other. Its callers may also send ever new requests that have only a part of their prompts in
//! common. Crashes are therefore counted by suspect, that is by what requests have in common, and
//! all routers share the count. A suspect that was merely on a server that crashed is cleared by
//! the next completed run of a request with it.

mod held_suspect;
mod notice_origin;
mod quarantine;
mod quarantine_rule;
mod served_parts;
mod server_crashes;
mod suspect_record;

pub use held_suspect::HeldSuspect;
pub use notice_origin::NoticeOrigin;
pub use quarantine::{CrashQuarantine, QUARANTINED_PER_REPORT};
