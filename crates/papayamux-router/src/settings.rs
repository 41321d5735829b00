//! The router's settings.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use papayamux_protocol::proof::SharedSecret;
use papayamux_settings::{DurationSetting, Findings, IniFile, MegabyteSetting};
use papayamux_spread::settings::{read_spread, SpreadSettings, SPREAD_SECTION};
use papayamux_state::address_range::AddressRange;
use papayamux_state::ids::{FailureDomain, ModelId, OrganisationId, ServerId};
use papayamux_state::quantities::ByteCount;

use crate::claims::ClaimSettings;
use crate::routing::RoutingPolicy;

/// Default for the time that a request may wait before it starts.
const DEFAULT_START_TIMEOUT: Duration = Duration::from_secs(30);

/// Default memory of an instance.
const DEFAULT_MEMORY: ByteCount = ByteCount::new(256_000_000);

/// The router's entry for one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// The address that its agent listens on.
    pub agent: SocketAddr,
    /// Its failure domain, if declared.
    pub domain: Option<FailureDomain>,
    /// The models that it serves; empty for a plain service.
    pub models: Vec<ModelId>,
    /// The path prefixes that are routed to it; empty for a model engine.
    pub paths: Vec<String>,
    /// Whether its calls may be retried. Chats may always be.
    pub idempotent: bool,
}

/// The default priority class of an organisation.
pub const DEFAULT_PRIORITY: u32 = 2;

/// The settings of one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrganisationEntry {
    /// The priority class; 0 is the highest.
    pub priority: u32,
    /// The weight among organisations with queued requests in the same class.
    pub share: u32,
}

impl Default for OrganisationEntry {
    fn default() -> Self {
        Self { priority: DEFAULT_PRIORITY, share: 1 }
    }
}

/// All settings of a router.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct RouterSettings {
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address of the operations interface.
    pub operations: SocketAddr,
    /// The router's failure domain.
    pub domain: FailureDomain,
    /// Maximum length of a request body in bytes.
    #[builder(default = ByteCount::new(4 * 1024 * 1024))]
    pub longest_body: ByteCount,
    /// Memory of the instance, of which callers may make the process hold a part.
    #[builder(default = DEFAULT_MEMORY)]
    pub memory: ByteCount,
    /// Maximum time that a request may wait before it starts.
    #[builder(default = DEFAULT_START_TIMEOUT)]
    pub start_within: Duration,
    /// Maximum number of servers that one request is offered to.
    #[builder(default = 4)]
    pub most_offers: usize,
    /// Time that the load balancer needs to notice that the router is not ready.
    #[builder(default = Duration::from_secs(2))]
    pub balancer_delay: Duration,
    /// Maximum time that requests in flight may take to finish at a shutdown.
    #[builder(default = Duration::from_secs(600))]
    pub drain_within: Duration,
    /// Maximum time that streams of a lost connection to an agent wait to be resumed on a new one.
    #[builder(default = Duration::from_secs(8))]
    pub resume_within: Duration,
    /// Maximum time that a caller may read nothing of the response while data is pending.
    #[builder(default = Duration::from_secs(30))]
    pub caller_stall: Duration,
    /// The fleet's shared secret, if connections to agents are authenticated with one.
    pub secret: Option<SharedSecret>,
    /// The addresses that callers may connect from. If empty, all addresses are allowed.
    #[builder(default)]
    pub allow: Vec<AddressRange>,
    /// The settings of claims of idempotency keys.
    #[builder(default = ClaimSettings::builder().build())]
    pub claims: ClaimSettings,
    /// The policy by which servers are chosen.
    #[builder(default)]
    pub policy: RoutingPolicy,
    /// The settings of individual organisations.
    #[builder(default)]
    pub organisations: HashMap<OrganisationId, OrganisationEntry>,
    /// The backend servers, if no configuration is spread.
    pub servers: Vec<ServerEntry>,
    /// The settings of the spread of the configuration, if it is spread.
    pub spread: Option<SpreadSettings>,
}

impl RouterSettings {
    /// Returns the settings of an organisation, or the defaults if it has none.
    pub fn organisation(&self, organisation: &OrganisationId) -> OrganisationEntry {
        self.organisations.get(organisation).copied().unwrap_or_default()
    }

    /// Reads the settings from the text of an INI file. Returns all findings if any part is
    /// invalid.
    pub fn read(name: &str, text: &str) -> Result<Self, Findings> {
        let file = IniFile::parse(name, text)?;
        let settings = read_router(&file);
        file.finish(|| settings)
    }
}

fn read_router(file: &IniFile) -> Option<RouterSettings> {
    let kinds = ["server", "witness", "organisation"];
    file.report_unknown_sections(&["router", "claims", SPREAD_SECTION], &kinds);
    let section = file.section("router");
    let listen = section.required("listen");
    let operations = section.required("operations");
    let domain = section.required("failure_domain");
    let longest_body = section.optional("longest_body");
    let memory: Option<MegabyteSetting> = section.optional("memory_mb");
    let start_within = section.optional("start_within");
    let most_offers = section.optional("most_offers");
    let balancer_delay = section.optional("balancer_delay");
    let drain_within = section.optional("drain_within");
    let resume_within = section.optional("resume_within");
    let caller_stall = section.optional("caller_stall");
    let secret = section.optional_secret("secret");
    let allow = section.list("allow");
    let policy = section.optional("policy");
    section.report_unknown_keys();
    let start_longest =
        start_within.map_or(DEFAULT_START_TIMEOUT, |within: DurationSetting| within.0);
    let claims = ClaimSettings::read(file, start_longest);
    let spread = read_spread(file);
    let servers: Vec<_> =
        file.section_names("server").iter().map(|name| read_server(file, name)).collect();
    let servers = servers.into_iter().collect::<Option<Vec<_>>>();
    let organisations: Vec<_> = file
        .section_names("organisation")
        .iter()
        .map(|name| read_organisation(file, name))
        .collect();
    let organisations = organisations.into_iter().collect::<Option<HashMap<_, _>>>();
    let settings = RouterSettings::builder()
        .listen(listen?)
        .operations(operations?)
        .domain(domain?)
        .maybe_longest_body(longest_body)
        .maybe_memory(memory.map(|memory| memory.0))
        .maybe_start_within(start_within.map(|within: DurationSetting| within.0))
        .claims(claims)
        .maybe_most_offers(most_offers)
        .maybe_balancer_delay(balancer_delay.map(|delay: DurationSetting| delay.0))
        .maybe_drain_within(drain_within.map(|within: DurationSetting| within.0))
        .maybe_resume_within(resume_within.map(|within: DurationSetting| within.0))
        .maybe_caller_stall(caller_stall.map(|stall: DurationSetting| stall.0))
        .maybe_secret(secret)
        .allow(allow)
        .maybe_policy(policy)
        .organisations(organisations?)
        .servers(servers?)
        .maybe_spread(spread)
        .build();
    Some(settings)
}

fn read_organisation(file: &IniFile, name: &str) -> Option<(OrganisationId, OrganisationEntry)> {
    let section = file.section(&format!("organisation {name}"));
    let organisation = section.name_after_kind();
    let defaults = OrganisationEntry::default();
    let priority = section.or("priority", defaults.priority);
    let share = section.or("share", defaults.share);
    if share == 0 {
        section.report("share", "the share must be at least 1", "");
    }
    section.report_unknown_keys();
    Some((organisation?, OrganisationEntry { priority, share }))
}

fn read_server(file: &IniFile, name: &str) -> Option<ServerEntry> {
    let section = file.section(&format!("server {name}"));
    let server = section.name_after_kind();
    let agent = section.required("agent");
    let domain = section.optional("failure_domain");
    let models = section.list("models");
    let paths: Vec<String> = section.list("paths");
    let idempotent = section.or("idempotent", false);
    if models.is_empty() == paths.is_empty() {
        section.report("models", "either models or paths must be given", "");
    }
    for path in paths.iter().filter(|path| !path.starts_with('/')) {
        section.report("paths", &format!("{path:?} does not start with a slash"), "");
    }
    section.report_unknown_keys();
    Some(ServerEntry { server: server?, agent: agent?, domain, models, paths, idempotent })
}
