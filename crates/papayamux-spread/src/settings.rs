//! The `[spread]` section of the settings, shared by routers and agents.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use papayamux_settings::{DurationSetting, IniFile};
use papayamux_state::address_range::AddressRange;
use papayamux_state::quantities::ByteCount;

/// Name of the section.
pub const SPREAD_SECTION: &str = "spread";

/// Settings of file distribution.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct SpreadSettings {
    /// Address of the platform's configuration service.
    pub service: SocketAddr,
    /// Address from which the platform's list of instances is read, if configured.
    pub instances: Option<SocketAddr>,
    /// Address on which to listen for peers.
    pub listen: SocketAddr,
    /// Seed addresses of processes to contact first.
    #[builder(default)]
    pub peers: Vec<SocketAddr>,
    /// Address ranges from which peers may connect; empty allows all.
    #[builder(default)]
    pub allow: Vec<AddressRange>,
    /// Number of connections that this process opens to peers.
    #[builder(default = 4)]
    pub fanout: usize,
    /// Number of processes in each failure domain that watch the service.
    #[builder(default = 2)]
    pub watchers: usize,
    /// Bytes per second exchanged with peers, both directions combined.
    #[builder(default = ByteCount::new(13_000))]
    pub bytes_per_second: ByteCount,
    /// Age of the latest known service read above which a process reads the service directly.
    #[builder(default = Duration::from_secs(20))]
    pub fresh_within: Duration,
    /// Maximum duration for which a starting process queries its peers before it serves.
    #[builder(default = Duration::from_secs(10))]
    pub ask_within: Duration,
    /// Duration for which a watch call waits at the service.
    #[builder(default = Duration::from_secs(5))]
    pub watch_for: Duration,
}

/// Reads the section. Returns `None` if it is absent or incomplete.
pub fn read_spread(file: &IniFile) -> Option<SpreadSettings> {
    if !file.has_section(SPREAD_SECTION) {
        return None;
    }
    let section = file.section(SPREAD_SECTION);
    let service = section.required("service");
    let instances = section.optional("instances");
    let listen = section.required("listen");
    let peers = section.list("peers");
    let allow = section.list("allow");
    let fanout = section.optional("fanout");
    let watchers = section.optional("watchers");
    let bytes_per_second = section.optional("bytes_per_second");
    let fresh_within = section.optional("fresh_within");
    let ask_within = section.optional("ask_within");
    let watch_for = section.optional("watch_for");
    for (key, value) in [("fanout", fanout), ("watchers", watchers)] {
        if value == Some(0) {
            section.report(key, "must be at least 1", "");
        }
    }
    if bytes_per_second.is_some_and(|rate: ByteCount| rate.get() < MIN_BYTES_PER_SECOND) {
        section.report("bytes_per_second", &format!("must be at least {MIN_BYTES_PER_SECOND}"), "");
    }
    section.report_unknown_keys();
    let settings = SpreadSettings::builder()
        .service(service?)
        .maybe_instances(instances)
        .listen(listen?)
        .peers(peers)
        .allow(allow)
        .maybe_fanout(fanout)
        .maybe_watchers(watchers)
        .maybe_bytes_per_second(bytes_per_second)
        .maybe_fresh_within(fresh_within.map(|within: DurationSetting| within.0))
        .maybe_ask_within(ask_within.map(|within: DurationSetting| within.0))
        .maybe_watch_for(watch_for.map(|wait: DurationSetting| wait.0))
        .build();
    Some(settings)
}

/// Minimum rate at which the exchange between peers works.
const MIN_BYTES_PER_SECOND: u64 = 1_000;
