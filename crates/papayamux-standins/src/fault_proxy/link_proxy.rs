//! A proxied link from a listener to a target, and its connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{join, select};
use monoio::io::Splitable;
use monoio::net::{TcpListener, TcpStream};
use papayamux_transport::link::connect;
use papayamux_transport::shutdown::ShutdownSignal;
use serde::{Deserialize, Serialize};

use super::direction_pump::DirectionPump;
use super::link_faults::{FaultyWays, LinkDirection, LinkFaults};
use super::proxy_connection::ProxyConnection;

/// Maximum number of open connections; further ones are refused.
const MAX_CONNECTIONS: usize = 1_024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Connection and byte counts of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionReport {
    /// Number of open connections.
    pub open: u64,
    /// Number of connections accepted since the start, excluding those refused on arrival.
    pub total: u64,
    /// Number of connections refused, or closed because the target was unreachable.
    pub refused: u64,
    /// Number of bytes delivered to the target.
    pub bytes_to_target: u64,
    /// Number of bytes delivered to the client.
    pub bytes_to_client: u64,
    /// Number of bytes queued for the target.
    pub kept_to_target: u64,
    /// Number of bytes queued for the client.
    pub kept_to_client: u64,
}

#[derive(Default)]
struct ProxyState {
    connections: RefCell<HashMap<u64, Rc<ProxyConnection>>>,
    faults_of_new: Cell<LinkFaults>,
    past: Cell<ConnectionReport>,
}

/// A proxied link whose faults can be changed at runtime. Clones share its state.
#[derive(Clone)]
pub struct LinkProxy {
    target: SocketAddr,
    state: Rc<ProxyState>,
}

impl LinkProxy {
    /// Creates a link to `target` without faults.
    pub fn new(target: SocketAddr) -> Self {
        Self { target, state: Rc::default() }
    }

    /// Accepts connections until `shutdown`, then closes the open ones.
    pub async fn serve(&self, listener: TcpListener, shutdown: ShutdownSignal) -> io::Result<()> {
        let accept = std::pin::pin!(self.accept_all(listener));
        let triggered = std::pin::pin!(shutdown.triggered());
        let _ = select(accept, triggered).await;
        self.cut_all();
        Ok(())
    }

    /// Replaces the faults of open connections, and those of new connections, which have none if
    /// [`LinkFaults::only_existing`] is set.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.state.faults_of_new.set(faults.of_new_connections());
        for connection in self.open_connections() {
            connection.set_faults(faults);
        }
    }

    /// Closes all connections immediately.
    pub fn cut_all(&self) {
        self.open_connections().iter().for_each(|connection| connection.cut());
    }

    /// Closes the given directions of all open connections once their queued bytes are delivered.
    pub fn half_close_all(&self, directions: FaultyWays) {
        self.open_connections().iter().for_each(|connection| connection.half_close(directions));
    }

    /// Returns the current connection and byte counts.
    pub fn report(&self) -> ConnectionReport {
        let mut report = self.state.past.get();
        for connection in self.state.connections.borrow().values() {
            report.open += 1;
            report.bytes_to_target += connection.passed(LinkDirection::ToTarget);
            report.bytes_to_client += connection.passed(LinkDirection::ToClient);
            report.kept_to_target += connection.queue(LinkDirection::ToTarget).kept() as u64;
            report.kept_to_client += connection.queue(LinkDirection::ToClient).kept() as u64;
        }
        report
    }

    fn open_connections(&self) -> Vec<Rc<ProxyConnection>> {
        self.state.connections.borrow().values().cloned().collect()
    }

    async fn accept_all(&self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((client, _)) => self.accept_connection(client),
                Err(error) => {
                    log::warn!(error:% = error; "accepting failed");
                    monoio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn accept_connection(&self, client: TcpStream) {
        let faults = self.state.faults_of_new.get();
        let is_full = self.state.connections.borrow().len() >= MAX_CONNECTIONS;
        if faults.refuse || is_full {
            return self.record_refused();
        }
        let mut past = self.state.past.get();
        past.total += 1;
        self.state.past.set(past);
        let connection = Rc::new(ProxyConnection::new(faults));
        self.state.connections.borrow_mut().insert(past.total, connection.clone());
        let proxy = self.clone();
        monoio::spawn(async move {
            proxy.run_connection(&connection, client).await;
            proxy.forget_connection(past.total);
        });
    }

    async fn run_connection(&self, connection: &ProxyConnection, client: TcpStream) {
        let Ok(target) = connect(self.target).await else { return self.record_refused() };
        let _ = (client.set_nodelay(true), target.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (target_read, target_write) = target.into_split();
        let (to_target, to_client) = (LinkDirection::ToTarget, LinkDirection::ToClient);
        let forth = DirectionPump { connection, direction: to_target, opposite: to_client };
        let back = DirectionPump { connection, direction: to_client, opposite: to_target };
        let pumps = std::pin::pin!(join(
            forth.run(client_read, target_write),
            back.run(target_read, client_write)
        ));
        let cut = std::pin::pin!(connection.wait_cut());
        let _ = select(cut, pumps).await;
    }

    fn record_refused(&self) {
        let past = self.state.past.get();
        self.state.past.set(ConnectionReport { refused: past.refused + 1, ..past });
    }

    fn forget_connection(&self, number: u64) {
        let Some(connection) = self.state.connections.borrow_mut().remove(&number) else { return };
        let mut past = self.state.past.get();
        past.bytes_to_target += connection.passed(LinkDirection::ToTarget);
        past.bytes_to_client += connection.passed(LinkDirection::ToClient);
        self.state.past.set(past);
    }
}
