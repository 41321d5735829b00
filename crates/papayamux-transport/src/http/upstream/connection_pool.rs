//! Pool of idle connections, by server.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::Request;

use super::connection::UpstreamConnection;
use super::{UpstreamAnswer, UpstreamError};
use crate::http::RequestBody;

/// Limits on connections to servers.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Timeout of connecting. Within a region a round trip takes about a millisecond; the rest
    /// allows for a busy server and for one lost packet.
    pub connect_timeout: Duration,
    /// Idle timeout of a connection whose server announces none.
    pub idle_timeout: Duration,
    /// Delay after an answer before a connection is reused. A faulty server may send a second
    /// answer after the first, which must not be taken for the answer to the next request.
    pub reuse_delay: Duration,
    /// Maximum number of idle connections per server.
    pub max_idle_per_server: usize,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            idle_timeout: Duration::from_secs(4),
            reuse_delay: Duration::from_millis(20),
            max_idle_per_server: 32,
        }
    }
}

/// Open connections without a request in flight.
#[derive(Default)]
pub(super) struct IdleConnections {
    by_server: HashMap<SocketAddr, Vec<UpstreamConnection>>,
}

/// Sends requests over pooled connections. Clones share the pool.
#[derive(Clone)]
pub struct UpstreamPool {
    limits: PoolLimits,
    idle: Rc<RefCell<IdleConnections>>,
}

impl UpstreamPool {
    /// Creates an empty pool.
    pub fn new(limits: PoolLimits) -> Self {
        Self { limits, idle: Rc::default() }
    }

    /// Sends a request once, over a usable idle connection if there is one. If that connection
    /// turns out to be closed before anything was written, a new one replaces it.
    pub async fn send<B: Into<RequestBody>>(
        &self,
        address: SocketAddr,
        request: Request<B>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let request = request.map(Into::into);
        match self.send_over_idle(address, request.clone()).await {
            None | Some(Err(UpstreamError::NotSent { .. })) => {}
            Some(outcome) => return outcome,
        }
        let connection = self.connect(address).await?;
        self.send_over(connection, request).await
    }

    /// Sends a request once over a usable idle connection; `None` if there is none.
    pub(in crate::http) async fn send_over_idle(
        &self,
        address: SocketAddr,
        request: Request<RequestBody>,
    ) -> Option<Result<UpstreamAnswer, UpstreamError>> {
        let connection = self.take(address)?;
        Some(self.send_over(connection, request).await)
    }

    /// Opens a connection.
    pub(in crate::http) async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<UpstreamConnection, UpstreamError> {
        UpstreamConnection::open(address, self.limits.connect_timeout).await
    }

    /// Sends a request once over this connection.
    pub(in crate::http) async fn send_over(
        &self,
        mut connection: UpstreamConnection,
        request: Request<RequestBody>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let response = connection.send(request).await?;
        Ok(UpstreamAnswer::new(self.clone(), connection, response))
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().by_server.remove(&address);
    }

    /// Closes connections that exceeded their idle timeout or have ended.
    pub fn prune(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.by_server.retain(|_, connections| {
            connections.retain(|connection| !is_expired(connection, now));
            !connections.is_empty()
        });
    }

    fn take(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.by_server.get_mut(&address)?;
        connections.retain(|connection| !is_expired(connection, now));
        let usable = |connection: &UpstreamConnection| {
            let idle = now.saturating_duration_since(connection.idle_since);
            connection.is_ready() && idle >= self.limits.reuse_delay
        };
        let index = connections.iter().rposition(usable)?;
        Some(connections.remove(index))
    }

    pub(super) fn put(&self, mut connection: UpstreamConnection, announced: Option<Duration>) {
        connection.idle_since = Instant::now();
        connection.idle_timeout = announced.unwrap_or(self.limits.idle_timeout);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.by_server.entry(connection.address()).or_default();
        if connections.len() < self.limits.max_idle_per_server {
            connections.push(connection);
        }
    }
}

fn is_expired(connection: &UpstreamConnection, now: Instant) -> bool {
    connection.is_closed()
        || now.saturating_duration_since(connection.idle_since) >= connection.idle_timeout
}
