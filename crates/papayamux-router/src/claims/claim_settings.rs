//! Settings of claims, in section `[claims]` of the router's settings.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use papayamux_settings::{DurationSetting, IniFile};
use papayamux_state::claims::DeclaredServer;

/// Minimum ratio of the retention to the time that a call may wait for its start.
const MIN_RETENTION_FACTOR: u32 = 2;

/// A declared server whose agent is a witness. Listed only if the router doesn't know all declared
/// servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WitnessEntry {
    /// The server with its failure domain.
    pub declared: DeclaredServer,
    /// The address that its agent listens on.
    pub agent: SocketAddr,
}

/// Settings of claims. `retention` and `witnesses` must be the same in the whole fleet: the
/// digest of the fleet that a claim names covers them.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct ClaimSettings {
    /// The time for which a key is remembered.
    #[builder(default = Duration::from_secs(900))]
    pub retention: Duration,
    /// The number of witnesses of a key.
    #[builder(default = 3)]
    pub witnesses: usize,
    /// Maximum time that a witness may take to answer.
    #[builder(default = Duration::from_secs(1))]
    pub claim_within: Duration,
    /// All declared servers. If empty, the servers that the router knows.
    #[builder(default)]
    pub fleet: Vec<WitnessEntry>,
}

impl ClaimSettings {
    /// Reads section `[claims]` of a router whose calls must start within `start_within`.
    pub fn read(file: &IniFile, start_within: Duration) -> Self {
        let section = file.optional_section("claims");
        let settings = Self::builder()
            .maybe_retention(section.optional("retention").map(|time: DurationSetting| time.0))
            .maybe_witnesses(section.optional("witnesses"))
            .maybe_claim_within(
                section.optional("claim_within").map(|time: DurationSetting| time.0),
            )
            .fleet(read_fleet(file))
            .build();
        if settings.witnesses.is_multiple_of(2) {
            section.report("witnesses", "the number of witnesses must be odd", "take 3 or 5");
        }
        if settings.retention < start_within * MIN_RETENTION_FACTOR {
            let help = format!("a call may wait for {start_within:?} before it starts");
            section.report("retention", "the retention is too short", &help);
        }
        section.report_unknown_keys();
        settings
    }
}

fn read_fleet(file: &IniFile) -> Vec<WitnessEntry> {
    let names = file.section_names("witness");
    names.iter().filter_map(|name| read_witness(file, name)).collect()
}

fn read_witness(file: &IniFile, name: &str) -> Option<WitnessEntry> {
    let section = file.section(&format!("witness {name}"));
    let server = section.name_after_kind();
    let agent = section.required("agent");
    let domain = section.optional("failure_domain");
    section.report_unknown_keys();
    Some(WitnessEntry { declared: DeclaredServer { server: server?, domain }, agent: agent? })
}
