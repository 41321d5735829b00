//! Idle connections, by server.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;

use super::connection::UpstreamConnection;
use super::{UpstreamAnswer, UpstreamError};

/// Bounds on connections to servers.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// How long connecting may take. Within a region a round trip takes about a millisecond; the
    /// rest is for a busy server, and for one packet lost.
    pub connect_within: Duration,
    /// How long a connection may be idle, where the server doesn't say.
    pub idle_within: Duration,
    /// Minimum idle time of a connection after an answer before it is used again. A faulty server
    /// may send a second answer right after the first, which the next request would take for its
    /// own.
    pub min_idle: Duration,
    /// Idle connections kept for one server.
    pub idle_per_server: usize,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            connect_within: Duration::from_millis(250),
            idle_within: Duration::from_secs(4),
            min_idle: Duration::from_millis(20),
            idle_per_server: 32,
        }
    }
}

/// Open connections that have nothing under way.
#[derive(Default)]
pub(super) struct IdleConnections {
    by_server: HashMap<SocketAddr, Vec<UpstreamConnection>>,
}

/// Sends requests over kept connections; clones share them.
#[derive(Clone)]
pub struct UpstreamPool {
    limits: PoolLimits,
    idle: Rc<RefCell<IdleConnections>>,
}

impl UpstreamPool {
    /// A pool without connections.
    pub fn new(limits: PoolLimits) -> Self {
        Self { limits, idle: Rc::default() }
    }

    /// Sends a request once, over an idle connection where a sound one is there. One that proves
    /// dead before anything was written is replaced by a fresh one.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        if let Some(mut connection) = self.take(address) {
            match connection.send(request.clone()).await {
                Err(UpstreamError::NotSent { .. }) => {}
                Err(error) => return Err(error),
                Ok(response) => return Ok(self.answer(address, connection, response)),
            }
        }
        let mut connection = UpstreamConnection::open(address, self.limits.connect_within).await?;
        let response = connection.send(request).await?;
        Ok(self.answer(address, connection, response))
    }

    /// Closes the idle connections to a server.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().by_server.remove(&address);
    }

    /// Closes connections that were idle for too long.
    pub fn prune(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.by_server.retain(|_, connections| {
            connections.retain(|connection| !is_over(connection, now));
            !connections.is_empty()
        });
    }

    fn answer(
        &self,
        address: SocketAddr,
        connection: UpstreamConnection,
        response: http::Response<hyper::body::Incoming>,
    ) -> UpstreamAnswer {
        UpstreamAnswer::new(self.clone(), address, connection, response)
    }

    fn take(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.by_server.get_mut(&address)?;
        connections.retain(|connection| !is_over(connection, now));
        let usable = |connection: &UpstreamConnection| {
            let idle = now.saturating_duration_since(connection.idle_since);
            connection.is_ready() && idle >= self.limits.min_idle
        };
        let index = connections.iter().rposition(usable)?;
        Some(connections.remove(index))
    }

    pub(super) fn put(
        &self,
        address: SocketAddr,
        mut connection: UpstreamConnection,
        announced: Option<Duration>,
    ) {
        connection.idle_since = Instant::now();
        connection.idle_within = announced.unwrap_or(self.limits.idle_within);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.by_server.entry(address).or_default();
        if connections.len() < self.limits.idle_per_server {
            connections.push(connection);
        }
    }
}

fn is_over(connection: &UpstreamConnection, now: Instant) -> bool {
    connection.is_closed()
        || now.saturating_duration_since(connection.idle_since) >= connection.idle_within
}
