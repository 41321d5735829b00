//! HTTP servers and clients for callers, operators and backend servers.

mod body;
mod callers;
mod client;
mod http_limits;
mod open_connections;
mod request_body;
mod server;
pub mod upstream;

pub use body::{AnswerBody, BodyError};
pub use callers::{
    AnswerBuffer, BodyReadError, CallerBody, CallerConnection, CallerMemory, MemoryHold,
    MemoryUsage,
};
pub use client::{ClientAnswer, HttpClient, HttpClientError};
pub use http_limits::{AddressCheck, HeadLimitSource, HeadLimits, HttpLimits};
pub use request_body::RequestBody;
pub use server::{serve, serve_callers};
