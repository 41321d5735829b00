//! Tags that callers in tests set on their requests, so that the runs of a request can be counted
//! independently of what the caller learns about them.

/// Header of the tag, forwarded to the backend server like any other header.
pub const TAG_HEADER: &str = "x-standin-tag";
/// Path of the number of started requests per tag.
pub const TAG_RUNS_PATH: &str = "/standin/tag-runs";
