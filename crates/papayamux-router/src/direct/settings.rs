//! Settings of a router that sends requests directly to backend servers.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bon::Builder;
use papayamux_coordination::cold_servers::ColdAllowance;
use papayamux_coordination::fleet_knowledge::SourceReaders;
use papayamux_coordination::key_freshness::max_key_age;
use papayamux_coordination::mechanism::DisabledMechanisms;
use papayamux_coordination::placement::PlacementPolicy;
use papayamux_coordination::recent_departures::DepartureBounds;
use papayamux_coordination::service_retry_budget::RetryAllowance;
use papayamux_coordination::source_polling::ReadBounds;
use papayamux_settings::{DurationSetting, FactorSetting, Findings, IniFile, MegabyteSetting};
use papayamux_state::capacity_class::{CapacityClass, ProcessorShare};
use papayamux_state::ids::{FailureDomain, Region};
use papayamux_state::quantities::ByteCount;
use papayamux_transport::http::upstream::PoolLimits;

/// Bounds and policies of the router's decisions.
#[derive(Debug, Clone, Builder)]
pub struct FleetSettings {
    /// The address by which other routers know this one.
    pub address: IpAddr,
    /// `true` if the seeds contain other routers.
    #[builder(default)]
    pub expects_others: bool,
    /// Which routers read the source.
    #[builder(default)]
    pub readers: SourceReaders,
    /// The router's own failure domain.
    pub domain: FailureDomain,
    /// The regions of the failure domains.
    #[builder(default)]
    pub regions: HashMap<FailureDomain, Region>,
    /// Maximum time until a revoked key stops working; `None` if keys may be used regardless of the
    /// age of the configuration.
    pub revoke_within: Option<Duration>,
    /// Maximum time until a new configuration is in force.
    pub apply_within: Option<Duration>,
    /// Maximum time until a draining server receives no more requests.
    pub drain_within: Option<Duration>,
    /// Maximum time until the evacuation of a failure domain takes effect.
    pub evacuate_within: Option<Duration>,
    /// How far all routers together may exceed the request rate that cold servers sustain; `None`
    /// for no limit.
    pub cold_allowance: Option<ColdAllowance>,
    /// Interval between two renewals of a server's entry.
    #[builder(default = DEFAULT_RENEWAL)]
    pub renewal_every: Duration,
    /// Maximum number of requests at a server, as a multiple of the mean.
    #[builder(default = DEFAULT_LOAD_FACTOR)]
    pub load_factor: f64,
    /// Maximum size of an answer that is no stream of events.
    #[builder(default = DEFAULT_LONGEST_ANSWER)]
    pub longest_answer: ByteCount,
    /// The policy that places prompts on servers.
    #[builder(default)]
    pub policy: PlacementPolicy,
    /// Mechanisms that an experiment has disabled.
    #[builder(default)]
    pub disabled: DisabledMechanisms,
    /// The budget for retries.
    #[builder(default)]
    pub retries: RetryAllowance,
    /// The processor capacity of the router.
    #[builder(default)]
    pub capacity: CapacityClass,
    /// Limits of the connections to servers.
    #[builder(default)]
    pub pool: PoolLimits,
}

impl FleetSettings {
    /// Returns the bounds that the schedule of the source's reads must meet.
    pub fn read_bounds(&self) -> ReadBounds {
        ReadBounds {
            apply_within: self.apply_within,
            drain_within: self.drain_within,
            evacuate_within: self.evacuate_within,
            key_age: self.revoke_within.map(max_key_age),
        }
    }

    /// Returns how servers renew their entries and depart.
    pub fn departure_bounds(&self) -> DepartureBounds {
        let linger = self.drain_within.unwrap_or_default();
        DepartureBounds { renewal_interval: self.renewal_every, termination_grace: linger }
    }

    /// Returns the maximum age of a configuration by which a request may be refused for its key or
    /// route. It is a fraction of the bound within which a new configuration is in force, so that
    /// no request is refused by a configuration that was replaced longer ago.
    pub fn negative_age(&self) -> Duration {
        self.apply_within.map_or(DEFAULT_NEGATIVE_AGE, |bound| bound.mul_f64(NEGATIVE_AGE_RATIO))
    }
}

/// Default maximum number of requests at a server, as a multiple of the mean.
const DEFAULT_LOAD_FACTOR: f64 = 2.0;
/// Default interval between two renewals: a common heartbeat interval.
const DEFAULT_RENEWAL: Duration = Duration::from_millis(1_200);
/// Default maximum size of an answer.
const DEFAULT_LONGEST_ANSWER: ByteCount = ByteCount::new(16 * 1024 * 1024);
/// Maximum age of a configuration by which a request is refused, as a fraction of the bound within
/// which a new configuration is in force.
const NEGATIVE_AGE_RATIO: f64 = 0.75;
/// Maximum age of a configuration by which a request is refused if there is no such bound.
const DEFAULT_NEGATIVE_AGE: Duration = Duration::from_millis(1_500);

/// Addresses of a router and what it needs to know at its start.
#[derive(Debug, Clone, Builder)]
pub struct DirectSettings {
    /// The instance's name, for logs.
    pub instance: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Maximum number of open file descriptors of the process.
    pub descriptors: usize,
    /// Memory of the instance, of which callers may make the process hold a part.
    #[builder(default = DEFAULT_MEMORY)]
    pub memory: ByteCount,
    /// Where the balancer checks readiness and operators query the status.
    pub operations: SocketAddr,
    /// The path of the readiness check.
    pub ready_path: String,
    /// Where metrics are served, if they have an address of their own.
    pub metrics: Option<SocketAddr>,
    /// The address of the source of the configuration and of the servers.
    pub source: SocketAddr,
    /// Where reports of other routers are received.
    pub peers: SocketAddr,
    /// The first routers to contact; their addresses may be stale.
    pub seeds: Vec<IpAddr>,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Bounds and policies of decisions.
    pub fleet: FleetSettings,
}

/// Default number of descriptors: the usual limit of a service.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// Default memory of an instance.
const DEFAULT_MEMORY: ByteCount = ByteCount::new(256_000_000);
/// Descriptors that are not connections: listeners, the source, files.
const OTHER_DESCRIPTORS: usize = 400;
/// Share of the remaining descriptors for callers. Their requests need fewer connections to servers
/// than the callers hold open: some connections are idle, and some requests wait for a slot.
const CALLER_SHARE: f64 = 0.6;

/// Default grace period, which common process managers give at least.
const DEFAULT_GRACE: DurationSetting = DurationSetting(Duration::from_secs(8));

impl DirectSettings {
    /// Returns the maximum number of open connections of callers.
    pub fn max_callers(&self) -> usize {
        let remaining = self.descriptors.saturating_sub(OTHER_DESCRIPTORS) as f64;
        ((remaining * CALLER_SHARE) as usize).max(1)
    }

    /// Parses the settings from an INI file, or reports all its errors.
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
    let share: Option<ProcessorShare> = instance.optional("processor_share");
    let capacity = share.map(CapacityClass::from).unwrap_or_default();
    instance.report_unknown_keys();
    let listen = file.section("listen");
    let callers = listen.required("callers");
    let operations = listen.required("operations");
    let ready_path = listen.or("ready_path", "/ready".to_string());
    let metrics = listen.optional("metrics");
    let descriptors = listen.or("descriptors", DEFAULT_DESCRIPTORS);
    let memory: Option<MegabyteSetting> = listen.optional("memory_mb");
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
    let fleet = FleetSettings { readers, regions, expects_others, capacity, ..fleet };
    Some(
        DirectSettings::builder()
            .instance(name?)
            .listen(callers?)
            .descriptors(descriptors)
            .maybe_memory(memory.map(|memory| memory.0))
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

/// Reads the regions of failure domains; each key of the section is a domain.
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
        ratio: bounds.or("retry_ratio", FactorSetting(defaults.ratio)).0,
        slack: bounds.or("retry_slack", FactorSetting(defaults.slack)).0,
        window: bounds.or("retry_window", DurationSetting(defaults.window)).0,
    };
    let revoke_within = bounds.optional::<DurationSetting>("revoke_within").map(|millis| millis.0);
    let millis = |key: &str| bounds.optional::<DurationSetting>(key).map(|millis| millis.0);
    let (apply_within, drain_within) = (millis("apply_within"), millis("drain_within"));
    let evacuate_within = millis("evacuate_within");
    let overshoot: Option<FactorSetting> = bounds.optional("cold_overshoot");
    let slack = bounds.or("cold_slack", FactorSetting(0.0)).0;
    let cold_allowance =
        overshoot.map(|FactorSetting(overshoot)| ColdAllowance { overshoot, slack });
    let renewal_every = bounds.or("renewal_every", DurationSetting(DEFAULT_RENEWAL)).0;
    let placement = file.optional_section("placement");
    let policy = placement.or("policy", PlacementPolicy::default());
    placement.report_unknown_keys();
    let experiment = file.optional_section("experiment");
    let disabled = experiment.list("disable").into_iter().collect();
    experiment.report_unknown_keys();
    let load_factor = bounds.or("load_factor", FactorSetting(DEFAULT_LOAD_FACTOR)).0;
    let longest_answer = bounds.or("longest_answer", DEFAULT_LONGEST_ANSWER);
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
        .longest_answer(longest_answer)
        .policy(policy)
        .disabled(disabled)
        .retries(retries)
        .build();
    Some((grace, fleet))
}
