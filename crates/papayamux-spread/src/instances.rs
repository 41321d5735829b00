//! The platform's list of instances, in the form in which it is distributed.

use std::collections::BTreeSet;
use std::time::{SystemTime, UNIX_EPOCH};

use papayamux_protocol::platform::{InstanceList, InstanceStatus};
use papayamux_state::ids::ServerId;

use crate::files::FileStore;

/// File name under which the list is distributed. The platform can't use this name for a file of
/// its own.
pub const INSTANCES_FILE: &str = "@instances";

/// Returns whether `name` is that of the instance list. Its revisions are independent of the
/// configuration service's.
pub(crate) fn is_instances(name: &str) -> bool {
    name == INSTANCES_FILE
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}

/// Serializes the list in its canonical form: sorted by address, so that equal lists have equal
/// texts.
pub(crate) fn canonical_text(mut list: InstanceList) -> Result<String, serde_json::Error> {
    list.instances.sort_by_key(|instance| instance.address);
    serde_json::to_string(&list)
}

/// Returns the servers that the stored instance list marks as leaving.
pub(crate) fn leaving_servers(files: &FileStore) -> BTreeSet<ServerId> {
    let Some(version) = files.newest(INSTANCES_FILE) else { return BTreeSet::new() };
    let list: InstanceList = serde_json::from_str(&version.text).unwrap_or_default();
    let leaving =
        list.instances.iter().filter(|instance| instance.status == InstanceStatus::Leaving);
    leaving.filter_map(|instance| instance.server.as_ref()?.parse().ok()).collect()
}
