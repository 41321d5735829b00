//! HTTP servers and clients for callers, operators and backend servers.

mod body;
mod client;
mod server;
mod stall_guard;
pub mod upstream;

pub use body::{AnswerBody, BodyError};
pub use client::{ClientAnswer, HttpClient, HttpClientError};
pub use server::{serve, AddressCheck, HttpLimits};
