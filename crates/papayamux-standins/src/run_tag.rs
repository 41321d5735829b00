//! Tags that callers of a test put on their requests, so that its runs can be counted whatever the
//! caller learns of them.

/// The header with the tag, passed on to the backend server like any other.
pub const TAG_HEADER: &str = "x-standin-tag";
/// The path that says how often a request with each tag was started.
pub const TAG_RUNS_PATH: &str = "/standin/tag-runs";
