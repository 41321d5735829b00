//! File distribution as a process uses it.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc;
use futures_util::StreamExt;
use papayamux_protocol::proof::SharedSecret;
use papayamux_state::ids::{FailureDomain, Incarnation};
use papayamux_transport::listen::listen;
use papayamux_transport::timer::{TimerService, TimerSubscription};
use serde_json::json;

use crate::core::SpreadCore;
use crate::exchange::{accept_peers, dial_peers};
use crate::files::{FileCheck, FileStore};
use crate::metrics::SpreadMetrics;
use crate::service::{read_instances, read_service};
use crate::settings::SpreadSettings;

/// Interval between summaries sent to peers.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(2);
/// Number of summaries between two peer lists on a connection.
const SUMMARIES_PER_PEER_LIST: u64 = 3;
/// Interval at which the background tasks check for work.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Identity of a process among its peers.
#[derive(Debug, Clone)]
pub struct SpreadIdentity {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Failure domain of the process.
    pub domain: FailureDomain,
    /// The fleet's shared secret, if peers must prove that they know it.
    pub secret: Option<SharedSecret>,
}

/// File distribution in this process. Clones share the state.
#[derive(Clone)]
pub struct SpreadNode {
    core: Rc<SpreadCore>,
}

/// Wakes its subscriber after changes; several changes may share one wake-up.
pub struct ChangeSubscription {
    receiver: mpsc::Receiver<()>,
}

impl ChangeSubscription {
    /// Waits for the next change. Returns `false` once distribution has stopped.
    pub async fn changed(&mut self) -> bool {
        self.receiver.next().await.is_some()
    }
}

impl SpreadNode {
    /// Starts distribution on the current runtime. Versions that fail `check` are still
    /// distributed, but the newest version of the file that passes is kept beside them.
    pub fn start(
        settings: SpreadSettings,
        identity: SpreadIdentity,
        check: FileCheck,
        metrics: SpreadMetrics,
        timer: &TimerService,
    ) -> io::Result<Self> {
        let listener = listen(settings.listen)?;
        let own_address = listener.local_addr()?;
        log::info!(peers:% = own_address; "listening for peers");
        let store = FileStore::new(check);
        let core = SpreadCore::new(settings, identity, own_address, store, metrics);
        let core = Rc::new(core);
        monoio::spawn(accept_peers(core.clone(), listener));
        monoio::spawn(dial_peers(core.clone(), timer.every(POLL_INTERVAL)));
        monoio::spawn(send_summaries(core.clone(), timer.every(SUMMARY_INTERVAL)));
        monoio::spawn(watch_clock(core.clone(), timer.every(POLL_INTERVAL)));
        monoio::spawn(read_service(core.clone(), timer.every(POLL_INTERVAL)));
        monoio::spawn(read_instances(core.clone(), timer.every(POLL_INTERVAL)));
        Ok(Self { core })
    }

    /// Returns the address on which this process listens for peers.
    pub fn address(&self) -> std::net::SocketAddr {
        self.core.own_address
    }

    /// Returns whether the process has compared its files with its peers since it started or was
    /// last paused.
    pub fn is_settled(&self) -> bool {
        self.core.is_settled()
    }

    /// Calls `read` with the store of file versions.
    pub fn with_files<T>(&self, read: impl FnOnce(&FileStore) -> T) -> T {
        read(&self.core.store.borrow())
    }

    pub(crate) fn metrics(&self) -> &SpreadMetrics {
        &self.core.metrics
    }

    /// Subscribes to changes of the stored versions and of the settled state.
    pub fn subscribe(&self) -> ChangeSubscription {
        ChangeSubscription { receiver: self.core.subscribe() }
    }

    /// Returns the state for the status report.
    pub fn status(&self) -> serde_json::Value {
        let core = &self.core;
        let store = core.store.borrow();
        let now = Instant::now();
        json!({
            "peers_listen": core.own_address.to_string(),
            "settled": core.is_settled(),
            "revision": store.revision(),
            "known_revision": core.known_revision(),
            "digest": format!("{:016x}", store.digest()),
            "age_ms": core.age().map(|age| age.as_millis() as u64),
            "files": store.files(),
            "bytes": store.bytes(),
            "watching": core.metrics.watching.get() == 1,
            "links": core.links.borrow().len(),
            "known_peers": core.table.borrow().alive_count(now),
            "sent_bytes": core.metrics.sent_bytes.get(),
            "received_bytes": core.metrics.received_bytes.get(),
            "service_bytes": core.metrics.service_bytes.get(),
        })
    }
}

async fn send_summaries(core: Rc<SpreadCore>, mut ticks: TimerSubscription) {
    let mut count = 0_u32;
    while ticks.tick().await.is_some() {
        count = count.wrapping_add(1);
        for link in core.links.borrow().values() {
            link.queue_summary(false);
            if (link.id + u64::from(count)).is_multiple_of(SUMMARIES_PER_PEER_LIST) {
                link.queue_peers();
            }
        }
    }
}

/// Detects pauses of the process, after which it must query its peers again before it counts as
/// settled. Also updates the gauges.
async fn watch_clock(core: Rc<SpreadCore>, mut ticks: TimerSubscription) {
    while let Some(tick) = ticks.tick().await {
        if let Some(paused) = tick.paused {
            core.metrics.pauses.inc();
            log::warn!(paused_ms = paused.as_millis() as u64; "the process was paused");
            core.restart_settling();
        }
        core.update_settling();
        set_gauges(&core);
    }
}

fn set_gauges(core: &SpreadCore) {
    let store = core.store.borrow();
    let metrics = &core.metrics;
    metrics.revision.set(store.revision() as i64);
    metrics.age_seconds.set(core.age().map_or(-1, |age| age.as_secs() as i64));
    metrics.digest.set((store.digest() & u64::from(u32::MAX)) as i64);
    metrics.files.set(store.files() as i64);
    metrics.file_bytes.set(store.bytes() as i64);
    metrics.known_peers.set(core.table.borrow().alive_count(Instant::now()) as i64);
}
