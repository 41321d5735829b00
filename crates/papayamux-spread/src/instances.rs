//! The platform's list of instances as it is spread.

use std::collections::BTreeSet;
use std::time::{SystemTime, UNIX_EPOCH};

use papayamux_protocol::platform::{InstanceList, InstanceStatus};
use papayamux_state::ids::ServerId;

use crate::files::FileStore;

/// The name under which the list is spread; no file of the platform may be called so.
pub const INSTANCES_FILE: &str = "@instances";

/// Whether a name is that of the list, whose revisions are not the service's.
pub(crate) fn is_instances(name: &str) -> bool {
    name == INSTANCES_FILE
}

/// Milliseconds since the epoch.
pub(crate) fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}

/// The list in the one form in which it is spread.
pub(crate) fn canonical_text(mut list: InstanceList) -> Result<String, serde_json::Error> {
    list.instances.sort_by_key(|instance| instance.address);
    serde_json::to_string(&list)
}

/// The servers that the list held says are leaving.
pub(crate) fn leaving_servers(files: &FileStore) -> BTreeSet<ServerId> {
    let Some(version) = files.newest(INSTANCES_FILE) else { return BTreeSet::new() };
    let list: InstanceList = serde_json::from_str(&version.text).unwrap_or_default();
    let leaving =
        list.instances.iter().filter(|instance| instance.status == InstanceStatus::Leaving);
    leaving.filter_map(|instance| instance.server.as_ref()?.parse().ok()).collect()
}
