//! Connections of callers, which may send anything and read nothing: what they hold is accounted for, and what they
//! cost others is bounded.

mod answer_buffer;
mod caller_body;
mod caller_connection;
mod caller_memory;
mod caller_stream;
mod lingering_close;
mod piece_pacer;
mod segment_buffer;

pub use answer_buffer::AnswerBuffer;
pub(super) use caller_body::UnreadBody;
pub use caller_body::{BodyReadError, CallerBody};
pub(super) use caller_connection::BusyResponse;
pub use caller_connection::{CallerConnection, MemoryHold};
pub use caller_memory::{CallerMemory, MemoryUsage};
pub(super) use caller_stream::{CallerStream, StreamLimits};
pub(super) use lingering_close::close_lingering;
pub(super) use segment_buffer::SegmentBuffer;
