//! Control of the faults on one link of a fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use papayamux_standins::fault_proxy::{
    ConnectionReport, FaultyWays, HalfCloseOrder, LinkFaults, CONNECTIONS_PATH, CUT_PATH,
    FAULTS_PATH, HALF_CLOSE_PATH,
};
use serde::Serialize;

use crate::http_reader::read_json;
use crate::process::{ProcessHandle, TestbedError};
use crate::waiting::wait_until;

/// Maximum wait in [`LinkControl::wait_report`].
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// A link through its own fault proxy. Clones share the proxy.
#[derive(Debug, Clone)]
pub struct LinkControl {
    proxy: Arc<ProcessHandle>,
}

impl LinkControl {
    /// Starts a proxy in front of `target`.
    pub fn start(target: SocketAddr) -> Result<Self, TestbedError> {
        let arguments = ["fault-proxy".to_string(), "--target".to_string(), target.to_string()];
        Ok(Self { proxy: Arc::new(ProcessHandle::start("papayamux-standins", &arguments)?) })
    }

    /// Returns the proxy's address, to connect to instead of the target's.
    pub fn listen(&self) -> Result<SocketAddr, TestbedError> {
        self.proxy.listen()
    }

    /// Replaces the faults of the link.
    pub async fn set(&self, faults: LinkFaults) -> Result<ConnectionReport, TestbedError> {
        self.order(FAULTS_PATH, Some(&faults)).await
    }

    /// Removes all faults. Held bytes are delivered; connections that have dropped bytes stay
    /// silent.
    pub async fn heal(&self) -> Result<ConnectionReport, TestbedError> {
        self.set(LinkFaults::default()).await
    }

    /// Holds all bytes in both directions, also on new connections, until the link is healed.
    pub async fn hold(&self) -> Result<ConnectionReport, TestbedError> {
        self.hold_ways(FaultyWays::Both).await
    }

    /// Holds all bytes in the given directions, also on new connections, until the link is healed.
    pub async fn hold_ways(&self, ways: FaultyWays) -> Result<ConnectionReport, TestbedError> {
        self.set(LinkFaults { hold: ways, ..LinkFaults::default() }).await
    }

    /// Permanently drops all bytes of the open connections. New connections work.
    pub async fn silence(&self) -> Result<ConnectionReport, TestbedError> {
        let drop = FaultyWays::Both;
        self.set(LinkFaults { drop, only_existing: true, ..LinkFaults::default() }).await
    }

    /// Delays every byte by `late`.
    pub async fn delay(&self, late: Duration) -> Result<ConnectionReport, TestbedError> {
        let delay_ms = late.as_millis() as u64;
        self.set(LinkFaults { delay_ms, ..LinkFaults::default() }).await
    }

    /// Closes new connections immediately.
    pub async fn refuse(&self) -> Result<ConnectionReport, TestbedError> {
        self.set(LinkFaults { refuse: true, ..LinkFaults::default() }).await
    }

    /// Closes each open connection after `bytes` more bytes to the client side.
    pub async fn cut_after(&self, bytes: u64) -> Result<ConnectionReport, TestbedError> {
        let cut_after_bytes = Some(bytes);
        self.set(LinkFaults { cut_after_bytes, only_existing: true, ..LinkFaults::default() }).await
    }

    /// Closes the open connections immediately.
    pub async fn cut(&self) -> Result<ConnectionReport, TestbedError> {
        self.order(CUT_PATH, None::<&()>).await
    }

    /// Shuts down the given directions of the open connections after their pending bytes.
    pub async fn half_close(&self, ways: FaultyWays) -> Result<ConnectionReport, TestbedError> {
        self.order(HALF_CLOSE_PATH, Some(&HalfCloseOrder { ways })).await
    }

    /// Reads the report of the link's connections and bytes.
    pub async fn report(&self) -> Result<ConnectionReport, TestbedError> {
        read_json(self.proxy.operations()?, Method::GET, CONNECTIONS_PATH, Bytes::new()).await
    }

    /// Waits until `is_wanted` accepts the report, and returns it.
    pub async fn wait_report(
        &self,
        is_wanted: impl Fn(&ConnectionReport) -> bool,
    ) -> Result<ConnectionReport, TestbedError> {
        wait_until(REPORT_TIMEOUT, async || self.report().await, is_wanted).await
    }

    async fn order(
        &self,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<ConnectionReport, TestbedError> {
        let body = body.map_or_else(|| Ok(Vec::new()), serde_json::to_vec)?;
        read_json(self.proxy.operations()?, Method::POST, path, body.into()).await
    }
}
