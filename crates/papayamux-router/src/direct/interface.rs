//! What an interface has to translate: callers' requests, servers' requests and their answers.
//!
//! Implementations only translate. They hold no state and decide nothing.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts as ResponseParts;
use http::{request, Request, Response};
use papayamux_state::backend::{ReportedQueue, ServerNotice};
use papayamux_state::ids::{OrganisationId, ServerName, ServerStart};
use papayamux_state::prompt::PromptPart;
use papayamux_transport::http::AnswerBody;
use thiserror::Error;

use super::{CallFailure, CallHead};

/// What one sending of a request carries beside what the caller sent.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// The server that is meant.
    pub server: &'a ServerName,
    /// Where the server should take what it lacks of the prompt, before it reads it.
    pub fetch_from: Option<SocketAddr>,
    /// The organisation of the caller's key.
    pub organisation: Option<&'a OrganisationId>,
    /// Time that is left.
    pub left: Option<Duration>,
    /// Rank at the server; 0 goes first.
    pub priority: u32,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What a server's answer says of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// It is the request's answer.
    Answer,
    /// The server has not run the request.
    NotRun,
    /// Another server has the address; it has not run the request.
    OtherServer,
    /// It doesn't belong to the request, or can't be told to.
    Foreign,
}

/// What an engine says of its cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheList {
    /// When the engine started that says it, where it tells that.
    pub start: Option<ServerStart>,
    /// What it holds.
    pub parts: Vec<PromptPart>,
}

/// Why a list of a cache can't be read.
#[derive(Debug, Error)]
#[error("the list of the cache can't be read: {0}")]
pub struct CacheListError(pub String);

/// Translates between the product and the interface that callers and servers speak.
pub trait CallInterface {
    /// Reads the head of a caller's request.
    fn read_call(&self, head: request::Parts) -> Result<CallHead, CallFailure>;
    /// The answer that tells a caller of a failure.
    fn failure(&self, failure: &CallFailure) -> Response<AnswerBody>;
    /// The request for a backend server.
    fn server_request(
        &self,
        call: &CallHead,
        dispatch: &Dispatch<'_>,
        body: Bytes,
    ) -> Request<Bytes>;
    /// What a server says of its queue with an answer.
    fn reported_queue(&self, head: &ResponseParts) -> Option<ReportedQueue>;
    /// What a server says of itself with an answer, whatever its status.
    fn server_notice(&self, head: &ResponseParts) -> ServerNotice;
    /// The request for a list of what an engine's cache holds.
    fn cache_request(&self, server: &ServerName) -> Request<Bytes>;
    /// What such a list says.
    fn cache_list(&self, body: &[u8]) -> Result<CacheList, CacheListError>;
    /// What an answer is.
    fn verdict(&self, call: &CallHead, head: &ResponseParts) -> AnswerVerdict;
}
