//! The configuration in force in this process.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_channel::mpsc;
use papayamux_declarations::{
    ConfigurationInForce, DeclarationFile, FileName, FileSet, ParsedFile,
};
use papayamux_protocol::platform::InstanceList;
use papayamux_state::ids::ServerId;
use papayamux_transport::timer::TimerService;
use prometheus_client::registry::Registry;

use crate::files::{FileStore, FileVersion};
use crate::instances::{is_instances, leaving_servers};
use crate::metrics::SpreadMetrics;
use crate::node::{SpreadIdentity, SpreadNode};
use crate::settings::SpreadSettings;

/// Returns whether a file may come into force by itself: its name and its text are well-formed.
pub fn is_valid_file(name: &str, text: &str) -> bool {
    if is_instances(name) {
        return serde_json::from_str::<InstanceList>(text).is_ok();
    }
    let name: Result<FileName, _> = name.parse();
    name.is_ok_and(|name| ParsedFile::parse(&name, text).is_ok())
}

struct ConfigurationState {
    set: FileSet,
    in_force: Rc<ConfigurationInForce>,
    /// The store revision from which `in_force` was computed.
    revision: u64,
    leaving: Rc<BTreeSet<ServerId>>,
    subscribers: Vec<mpsc::Sender<()>>,
}

/// View of the configuration in force, recomputed after each change. Clones share the state.
#[derive(Clone)]
pub struct ConfigurationView {
    node: SpreadNode,
    state: Rc<RefCell<ConfigurationState>>,
}

impl ConfigurationView {
    /// Starts file distribution in a daemon and follows the files it stores.
    pub fn start(
        settings: SpreadSettings,
        identity: SpreadIdentity,
        registry: &mut Registry,
    ) -> io::Result<Self> {
        let metrics = SpreadMetrics::default();
        metrics.register(registry);
        let timer = TimerService::start();
        let node = SpreadNode::start(settings, identity, is_valid_file, metrics, &timer)?;
        Ok(Self::follow(node))
    }

    /// Returns the address on which this process listens for peers.
    pub fn address(&self) -> SocketAddr {
        self.node.address()
    }

    /// Creates a view that follows the files stored by `node`.
    pub fn follow(node: SpreadNode) -> Self {
        let state = ConfigurationState {
            set: FileSet::default(),
            in_force: Rc::default(),
            revision: 0,
            leaving: Rc::default(),
            subscribers: Vec::new(),
        };
        let view = Self { node, state: Rc::new(RefCell::new(state)) };
        monoio::spawn(view.clone().follow_changes());
        view
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Rc<ConfigurationInForce> {
        self.state.borrow().in_force.clone()
    }

    /// Returns the servers that the platform's instance list marks as leaving.
    pub fn leaving_servers(&self) -> Rc<BTreeSet<ServerId>> {
        self.state.borrow().leaving.clone()
    }

    /// Returns whether the process has compared its files with its peers since it started or was
    /// last paused.
    pub fn is_settled(&self) -> bool {
        self.node.is_settled()
    }

    /// Subscribes to changes of the configuration in force and of the settled state.
    pub fn subscribe(&self) -> mpsc::Receiver<()> {
        let (sender, receiver) = mpsc::channel(0);
        self.state.borrow_mut().subscribers.push(sender);
        receiver
    }

    /// Returns the state for the status report.
    pub fn status(&self) -> serde_json::Value {
        let mut status = self.node.status();
        let in_force = self.in_force();
        status["in_force"] = serde_json::json!({
            "revision": self.state.borrow().revision,
            "digest": in_force.digest().to_string(),
            "organisations": in_force.organisations.len(),
            "models": in_force.models.len(),
            "servers": in_force.servers.len(),
            "leaving_servers": self.leaving_servers().len(),
            "refused_files": in_force.refused.len(),
            "blocked_items": in_force.blocked.len(),
        });
        status
    }

    async fn follow_changes(self) {
        let mut changes = self.node.subscribe();
        while changes.changed().await {
            self.derive();
        }
    }

    fn derive(&self) {
        let mut state = self.state.borrow_mut();
        self.node.with_files(|files| offer_all(files, &mut state.set));
        state.in_force = Rc::new(ConfigurationInForce::compute(&state.set));
        state.revision = self.node.with_files(FileStore::revision);
        state.leaving = Rc::new(self.node.with_files(leaving_servers));
        let refused = state.in_force.refused.len();
        log::info!(
            revision = state.revision, generation:% = state.in_force.generation(), settled = self.node.is_settled();
            "configuration in force"
        );
        self.node.metrics().refused_files.set(refused as i64);
        state.subscribers.retain_mut(|subscriber| {
            let _ = subscriber.try_send(());
            !subscriber.is_closed()
        });
    }
}

/// Offers the stored versions to the set. Versions that the set is known to have refused aren't
/// parsed again.
fn offer_all(files: &FileStore, set: &mut FileSet) {
    for latest in files.latest() {
        for version in latest.accepted.into_iter().chain([latest.newest]) {
            if let Some(file) = declaration(version, set) {
                set.offer(file);
            }
        }
    }
}

/// Returns the version as a declaration file, or `None` if the set is known to have refused it.
fn declaration(version: &FileVersion, set: &FileSet) -> Option<DeclarationFile> {
    let name: FileName = version.key.name.parse().ok()?;
    let revision = version.key.revision.into();
    if let Some(record) = set.record(&name) {
        let head = record.head();
        if head.refused == Some(revision) {
            return None;
        }
    }
    Some(match version.key.removed {
        true => DeclarationFile::deleted(name, revision),
        false => DeclarationFile::new(name, revision, version.text.as_str()),
    })
}
