//! The settings of the orders, from the sections `[orders]` and `[peer NAME]`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bon::Builder;
use papayamux_coordination::orders::{LoadRate, PeerServer, ServerTarget};
use papayamux_declarations::EngineRole;
use papayamux_protocol::engine::DEFAULT_VERSION;
use papayamux_settings::{DurationSetting, IniFile, SectionReader};
use papayamux_state::ids::{AdapterId, IdError, ModelId, ServerId};
use papayamux_state::weights::WeightsRef;

/// Loads per second of the weight store if the settings give no rate.
const DEFAULT_LOAD_RATE: &str = "10";

const DEFAULT_LOOK_EVERY: Duration = Duration::from_secs(1);
const DEFAULT_EVIDENCE_FOR: Duration = Duration::from_secs(5);
/// Minimum number of poll intervals in the duration for which evidence is valid.
const MIN_POLLS_PER_EVIDENCE: u32 = 4;

/// The settings of the orders to the engine.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct OrderSettings {
    /// The target state of the engine, or `None` if the declarations determine it.
    pub target: Option<ServerTarget>,
    /// The number of loads per second that the weight store serves to the whole fleet.
    pub load_rate: LoadRate,
    /// Interval at which the engine's state is compared with its target.
    #[builder(default = DEFAULT_LOOK_EVERY)]
    pub look_every: Duration,
    /// The duration for which another server's confirmation that it serves is valid, and the time
    /// after its start during which this server gives none. Must be equal in the whole fleet.
    #[builder(default = DEFAULT_EVIDENCE_FOR)]
    pub evidence_for: Duration,
    /// The time within which running requests must complete before their model is unloaded.
    #[builder(default = Duration::from_secs(600))]
    pub unload_drain: Duration,
}

/// A name with a version: `itinerary@3`, or `itinerary` for version 1.
#[derive(Debug, Clone, PartialEq, Eq)]
struct VersionedName<N> {
    name: N,
    version: String,
}

impl<N: FromStr<Err = IdError>> FromStr for VersionedName<N> {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (name, version) = text.rsplit_once('@').unwrap_or((text, DEFAULT_VERSION));
        if version.is_empty() {
            return Err(IdError::Empty);
        }
        Ok(Self { name: name.parse()?, version: version.to_string() })
    }
}

impl<N: fmt::Display> fmt::Display for VersionedName<N> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.version)
    }
}

/// Reads the sections. Returns `None` without a section `[orders]`; the agent then gives no orders.
pub fn read_orders(file: &IniFile) -> Option<OrderSettings> {
    let peers = file.section_names("peer").into_iter().filter_map(|name| read_peer(file, &name));
    let peers: BTreeMap<ServerId, PeerServer> = peers.collect();
    let section = file.optional_section("orders");
    let load_rate = section.text("load_rate").unwrap_or(DEFAULT_LOAD_RATE).parse().ok();
    let _: Option<LoadRate> = section.optional("load_rate");
    let models: Vec<VersionedName<ModelId>> = section.list("models");
    let adapters: Vec<VersionedName<AdapterId>> = section.list("adapters");
    let in_force: Vec<ModelId> = section.list("in_force");
    let role: Option<EngineRole> = section.optional("role");
    let revision = section.optional("revision").unwrap_or_default();
    let look_every = section.optional("look_every").map(|every: DurationSetting| every.0);
    let evidence_for = section.optional("evidence_for").map(|time: DurationSetting| time.0);
    let unload_drain = section.optional("unload_drain").map(|time: DurationSetting| time.0);
    check_times(&section, look_every, evidence_for);
    section.report_unknown_keys();
    if !file.has_section("orders") {
        return None;
    }
    let weights = versions(models, adapters);
    let served = peers.values().flat_map(|peer| peer.weights.iter().cloned());
    let in_force = in_force.iter().map(WeightsRef::model).chain(weights.keys().cloned());
    let in_force = in_force.chain(served).collect();
    let role = role.unwrap_or(EngineRole::Both).to_string();
    let target = ServerTarget { revision, weights, role, peers, in_force };
    let has_target = section.text("models").is_some() || section.text("adapters").is_some();
    let settings = OrderSettings::builder()
        .maybe_target(has_target.then_some(target))
        .load_rate(load_rate?)
        .maybe_look_every(look_every)
        .maybe_evidence_for(evidence_for)
        .maybe_unload_drain(unload_drain)
        .build();
    Some(settings)
}

/// Checks that the evidence for an update stays valid from the poll before its slot to the slot.
fn check_times(
    section: &SectionReader<'_>,
    look_every: Option<Duration>,
    evidence_for: Option<Duration>,
) {
    let look_every = look_every.unwrap_or(DEFAULT_LOOK_EVERY);
    if evidence_for.unwrap_or(DEFAULT_EVIDENCE_FOR) < look_every * MIN_POLLS_PER_EVIDENCE {
        let help = format!("make evidence_for at least {MIN_POLLS_PER_EVIDENCE} times look_every");
        section.report("evidence_for", "evidence would expire between two polls", &help);
    }
}

fn versions(
    models: Vec<VersionedName<ModelId>>,
    adapters: Vec<VersionedName<AdapterId>>,
) -> BTreeMap<WeightsRef, String> {
    let models = models.into_iter().map(|named| (WeightsRef::model(&named.name), named.version));
    let adapters = adapters.into_iter();
    let adapters = adapters.map(|named| (WeightsRef::adapter(&named.name), named.version));
    models.chain(adapters).collect()
}

fn read_peer(file: &IniFile, name: &str) -> Option<(ServerId, PeerServer)> {
    let section = file.section(&format!("peer {name}"));
    let server = match name.parse() {
        Ok(server) => Some(server),
        Err(error) => {
            section.report("", &format!("{name:?} does not fit: {error}"), "");
            None
        }
    };
    let agent = section.required("agent");
    let models: Vec<ModelId> = section.list("models");
    let adapters: Vec<AdapterId> = section.list("adapters");
    section.report_unknown_keys();
    let models = models.iter().map(WeightsRef::model);
    let weights: BTreeSet<_> = models.chain(adapters.iter().map(WeightsRef::adapter)).collect();
    Some((server?, PeerServer { agent: agent?, weights }))
}
