//! The `[spread]` section that routers and agents share.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use papayamux_settings::{DurationSetting, IniFile};
use papayamux_state::address_range::AddressRange;
use papayamux_state::quantities::ByteCount;

/// The section's name.
pub const SPREAD_SECTION: &str = "spread";

/// Settings of the spread of files.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct SpreadSettings {
    /// Where the platform's configuration service listens.
    pub service: SocketAddr,
    /// Where the platform's list of instances is read, if it is.
    pub instances: Option<SocketAddr>,
    /// Where peers connect.
    pub listen: SocketAddr,
    /// Processes to ask first.
    #[builder(default)]
    pub peers: Vec<SocketAddr>,
    /// Addresses that peers may connect from; all where it is empty.
    #[builder(default)]
    pub allow: Vec<AddressRange>,
    /// Connections that this process opens to peers.
    #[builder(default = 4)]
    pub fanout: usize,
    /// Watchers of the service in each failure domain.
    #[builder(default = 2)]
    pub watchers: usize,
    /// Bytes exchanged with peers a second, both ways together.
    #[builder(default = ByteCount::new(13_000))]
    pub bytes_per_second: ByteCount,
    /// Age of the latest reading from which a process reads for itself.
    #[builder(default = Duration::from_secs(20))]
    pub fresh_within: Duration,
    /// How long a process that starts may ask peers before it serves.
    #[builder(default = Duration::from_secs(10))]
    pub ask_within: Duration,
    /// How long a watch waits at the service.
    #[builder(default = Duration::from_secs(5))]
    pub watch_for: Duration,
}

/// Reads the section, `None` where there is none or it has findings.
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
    if bytes_per_second.is_some_and(|rate: ByteCount| rate.get() < LEAST_RATE) {
        section.report("bytes_per_second", &format!("must be at least {LEAST_RATE}"), "");
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

/// The lowest rate at which the exchange works at all.
const LEAST_RATE: u64 = 1_000;
