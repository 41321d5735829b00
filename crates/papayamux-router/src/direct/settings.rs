//! Settings of a router that asks backend servers directly.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bon::Builder;
use papayamux_coordination::cold_servers::ColdAllowance;
use papayamux_coordination::fleet_knowledge::SourceReaders;
use papayamux_coordination::key_freshness::longest_key_age;
use papayamux_coordination::mechanism::DisabledMechanisms;
use papayamux_coordination::placement::PlacementPolicy;
use papayamux_coordination::recent_departures::DepartureBounds;
use papayamux_coordination::service_retry_budget::RetryAllowance;
use papayamux_coordination::source_pace::ReadBounds;
use papayamux_settings::{DurationSetting, Findings, IniFile};
use papayamux_state::ids::{FailureDomain, Region};
use papayamux_transport::http::upstream::PoolLimits;

/// What bounds decisions.
#[derive(Debug, Clone, Builder)]
pub struct FleetSettings {
    /// Where the other routers know this one.
    pub address: IpAddr,
    /// Whether there are other routers, by the addresses to begin with.
    #[builder(default)]
    pub expects_others: bool,
    /// Who reads the source.
    #[builder(default)]
    pub readers: SourceReaders,
    /// The router's own failure domain.
    pub domain: FailureDomain,
    /// The regions of the failure domains.
    #[builder(default)]
    pub regions: HashMap<FailureDomain, Region>,
    /// How soon a key that was taken away must stop working; `None` where keys may be used
    /// however old the configuration is.
    pub revoke_within: Option<Duration>,
    /// How soon a new configuration must be in force.
    pub apply_within: Option<Duration>,
    /// How soon a draining server must get nothing more.
    pub drain_within: Option<Duration>,
    /// How soon the evacuation of a failure domain must have an effect.
    pub evacuate_within: Option<Duration>,
    /// How far all routers together may go beyond what cold servers bear; `None` where nothing bounds it.
    pub cold_allowance: Option<ColdAllowance>,
    /// The pause between two renewals of a server's entry.
    #[builder(default = DEFAULT_RENEWAL)]
    pub renewal_every: Duration,
    /// The bound on a server's requests, as a multiple of the mean.
    #[builder(default = 2.0)]
    pub load_factor: f64,
    /// How servers for prompts are chosen.
    #[builder(default)]
    pub policy: PlacementPolicy,
    /// Mechanisms that an experiment has switched off.
    #[builder(default)]
    pub disabled: DisabledMechanisms,
    /// The budget for repeats.
    #[builder(default)]
    pub retries: RetryAllowance,
    /// Connections to servers.
    #[builder(default)]
    pub pool: PoolLimits,
}

impl FleetSettings {
    /// What the source's reads have to keep.
    pub fn read_bounds(&self) -> ReadBounds {
        ReadBounds {
            apply_within: self.apply_within,
            drain_within: self.drain_within,
            evacuate_within: self.evacuate_within,
            key_age: self.revoke_within.map(longest_key_age),
        }
    }

    /// How servers renew their entries and leave.
    pub fn departure_bounds(&self) -> DepartureBounds {
        let linger = self.drain_within.unwrap_or_default();
        DepartureBounds { renewal: self.renewal_every, linger }
    }

    /// Age of the configuration up to which a request is refused for its key or route by it. A
    /// part of the bound within which a new configuration is in force, so that nobody is refused
    /// by one that was replaced longer ago.
    pub fn negative_age(&self) -> Duration {
        self.apply_within.map_or(DEFAULT_NEGATIVE_AGE, |bound| bound.mul_f64(NEGATIVE_PART))
    }
}

/// The pause between two renewals where nothing is said: a usual heartbeat.
const DEFAULT_RENEWAL: Duration = Duration::from_millis(1_200);
/// Part of the bound on a new configuration's coming into force that a refusal's one may be old.
const NEGATIVE_PART: f64 = 0.75;
/// The same where there is no bound.
const DEFAULT_NEGATIVE_AGE: Duration = Duration::from_millis(1_500);

/// Where a router listens, and what it needs to know at its start.
#[derive(Debug, Clone, Builder)]
pub struct DirectSettings {
    /// The instance's name, for logs.
    pub instance: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// File descriptors that the process may have open.
    pub descriptors: usize,
    /// Where the balancer asks whether the router is ready, and operators for status.
    pub operations: SocketAddr,
    /// The path of that question.
    pub ready_path: String,
    /// Where metrics are served, where they have an address of their own.
    pub metrics: Option<SocketAddr>,
    /// Where the source of the configuration and of the servers answers.
    pub source: SocketAddr,
    /// Where the other routers' reports arrive.
    pub peers: SocketAddr,
    /// Routers to begin with; their addresses may be stale.
    pub seeds: Vec<IpAddr>,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Bounds on decisions.
    pub fleet: FleetSettings,
}

/// Descriptors where nothing is said: the usual limit of a service.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// Descriptors that are not connections: listeners, the source, files.
const OTHER_DESCRIPTORS: usize = 400;
/// Part of the rest that is for callers. Their requests need fewer connections to servers than they
/// have themselves: some are idle, and some wait for a place.
const CALLERS_PART: f64 = 0.6;

/// The grace of the usual process managers, less than which none gives.
const DEFAULT_GRACE: DurationSetting = DurationSetting(Duration::from_secs(8));

impl DirectSettings {
    /// Connections of callers open at once.
    pub fn most_callers(&self) -> usize {
        let rest = self.descriptors.saturating_sub(OTHER_DESCRIPTORS) as f64;
        ((rest * CALLERS_PART) as usize).max(1)
    }

    /// Reads the settings from the text of an INI file, or reports all that is wrong with it.
    pub fn read(name: &str, text: &str) -> Result<Self, Findings> {
        let file = IniFile::parse(name, text)?;
        let settings = read_settings(&file);
        file.report_unknown_sections(
            &[
                "instance",
                "listen",
                "source",
                "peers",
                "bounds",
                "placement",
                "experiment",
                "regions",
            ],
            &[],
        );
        file.finish(|| settings)
    }
}

fn read_settings(file: &IniFile) -> Option<DirectSettings> {
    let instance = file.section("instance");
    let name: Option<String> = instance.required("name");
    let domain = instance.required("failure_domain");
    instance.report_unknown_keys();
    let listen = file.section("listen");
    let callers = listen.required("callers");
    let operations = listen.required("operations");
    let ready_path = listen.or("ready_path", "/ready".to_string());
    let metrics = listen.optional("metrics");
    let descriptors = listen.or("descriptors", DEFAULT_DESCRIPTORS);
    listen.report_unknown_keys();
    let source_section = file.section("source");
    let source = source_section.required("address");
    let readers = source_section.or("readers", SourceReaders::default());
    source_section.report_unknown_keys();
    let peers_section = file.section("peers");
    let peers = peers_section.required("listen");
    let seeds: Vec<SocketAddr> = peers_section.list("seeds");
    peers_section.report_unknown_keys();
    let regions = read_regions(file);
    let (grace, fleet) = read_bounds(file, domain, peers)?;
    let expects_others = seeds.iter().any(|seed| Some(seed.ip()) != peers.map(|own| own.ip()));
    let fleet = FleetSettings { readers, regions, expects_others, ..fleet };
    Some(
        DirectSettings::builder()
            .instance(name?)
            .listen(callers?)
            .descriptors(descriptors)
            .operations(operations?)
            .ready_path(ready_path)
            .maybe_metrics(metrics)
            .source(source?)
            .peers(peers?)
            .seeds(seeds.iter().map(SocketAddr::ip).collect())
            .grace(grace)
            .fleet(fleet)
            .build(),
    )
}

/// The regions of failure domains, each domain a key of the section.
fn read_regions(file: &IniFile) -> HashMap<FailureDomain, Region> {
    let section = file.optional_section("regions");
    let mut regions = HashMap::new();
    for key in section.keys() {
        let region = section.required(key);
        match key.parse::<FailureDomain>() {
            Ok(domain) => regions.extend(region.map(|region| (domain, region))),
            Err(error) => section.report(key, &format!("{key:?} does not fit: {error}"), ""),
        }
    }
    regions
}

fn read_bounds(
    file: &IniFile,
    domain: Option<FailureDomain>,
    peers: Option<SocketAddr>,
) -> Option<(Duration, FleetSettings)> {
    let bounds = file.section("bounds");
    let defaults = RetryAllowance::default();
    let retries = RetryAllowance {
        ratio: bounds.or("retry_ratio", defaults.ratio),
        slack: bounds.or("retry_slack", defaults.slack),
        window: bounds.or("retry_window", DurationSetting(defaults.window)).0,
    };
    let revoke_within = bounds.optional::<DurationSetting>("revoke_within").map(|millis| millis.0);
    let millis = |key: &str| bounds.optional::<DurationSetting>(key).map(|millis| millis.0);
    let (apply_within, drain_within) = (millis("apply_within"), millis("drain_within"));
    let evacuate_within = millis("evacuate_within");
    let overshoot: Option<f64> = bounds.optional("cold_overshoot");
    let slack = bounds.or("cold_slack", 0.0);
    let cold_allowance = overshoot.map(|overshoot| ColdAllowance { overshoot, slack });
    let renewal_every = bounds.or("renewal_every", DurationSetting(DEFAULT_RENEWAL)).0;
    let placement = file.optional_section("placement");
    let policy = placement.or("policy", PlacementPolicy::default());
    placement.report_unknown_keys();
    let experiment = file.optional_section("experiment");
    let disabled = experiment.list("disable").into_iter().collect();
    experiment.report_unknown_keys();
    let load_factor = bounds.or("load_factor", 2.0);
    let grace = bounds.or("grace", DEFAULT_GRACE).0;
    bounds.report_unknown_keys();
    let fleet = FleetSettings::builder()
        .address(peers?.ip())
        .domain(domain?)
        .maybe_revoke_within(revoke_within)
        .maybe_apply_within(apply_within)
        .maybe_drain_within(drain_within)
        .maybe_evacuate_within(evacuate_within)
        .maybe_cold_allowance(cold_allowance)
        .renewal_every(renewal_every)
        .load_factor(load_factor)
        .policy(policy)
        .disabled(disabled)
        .retries(retries)
        .build();
    Some((grace, fleet))
}
