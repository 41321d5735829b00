//! The interface between the router and the protocol of callers and servers: translates requests
//! and answers.
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
use papayamux_transport::http::{AnswerBody, RequestBody};
use thiserror::Error;

use super::{CallFailure, CallHead};

/// The data that an attempt carries in addition to what the caller sent.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// The server for which the request is meant.
    pub server: &'a ServerName,
    /// Where the server should fetch the missing parts of the prompt before it prefills.
    pub fetch_from: Option<SocketAddr>,
    /// The organisation of the caller's key.
    pub organisation: Option<&'a OrganisationId>,
    /// Time until the deadline.
    pub left: Option<Duration>,
    /// Priority at the server; 0 goes first.
    pub priority: u32,
    /// The last event that the caller has received.
    pub last_event: Option<u64>,
}

/// The meaning of a server's answer for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The answer belongs to the request.
    Answer,
    /// The server has not run the request.
    NotRun,
    /// Another server has the address; it has not run the request.
    OtherServer,
    /// The answer doesn't belong to the request, or can't be attributed to it.
    Foreign,
    /// The answer names no request, so that nothing it says can be attributed.
    Unidentified,
}

/// An engine's list of its cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheList {
    /// The start of the engine that sent the list, if the list contains it.
    pub start: Option<ServerStart>,
    /// The prompt parts that the engine holds.
    pub parts: Vec<PromptPart>,
}

/// The error of parsing a cache list.
#[derive(Debug, Error)]
#[error("malformed cache list: {0}")]
pub struct CacheListError(pub String);

/// Translates between the router and the protocol that callers and servers use.
pub trait CallInterface {
    /// Parses the head of a caller's request.
    fn read_call(&self, head: request::Parts) -> Result<CallHead, CallFailure>;
    /// Returns the answer that reports a failure to the caller.
    fn failure(&self, failure: &CallFailure) -> Response<AnswerBody>;
    /// Returns the request for a backend server.
    fn server_request(
        &self,
        call: &CallHead,
        dispatch: &Dispatch<'_>,
        body: RequestBody,
    ) -> Request<RequestBody>;
    /// Returns the queue that a server reports with an answer.
    fn reported_queue(&self, head: &ResponseParts) -> Option<ReportedQueue>;
    /// Returns what a server reports about its own state with an answer, regardless of the status.
    fn server_notice(&self, head: &ResponseParts) -> ServerNotice;
    /// Returns the request for the list of an engine's cache.
    fn cache_request(&self, server: &ServerName) -> Request<Bytes>;
    /// Parses the list of an engine's cache.
    fn cache_list(&self, body: &[u8]) -> Result<CacheList, CacheListError>;
    /// Returns whether an answer belongs to the request and whether the request has run.
    fn verdict(&self, call: &CallHead, head: &ResponseParts) -> AnswerVerdict;
}
