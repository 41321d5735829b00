//! The router's settings.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use papayamux_protocol::proof::SharedSecret;
use papayamux_settings::{Findings, IniFile, Millis};
use papayamux_spread::settings::{read_spread, SpreadSettings, SPREAD_SECTION};
use papayamux_state::address_range::AddressRange;
use papayamux_state::ids::{FailureDomain, ModelId, OrganisationId, ServerId};
use papayamux_state::quantities::ByteCount;

use crate::claims::ClaimSettings;
use crate::routing::RoutingPolicy;

/// How long a request may wait before it has to start, where nothing else is set.
const DEFAULT_START_TIMEOUT: Duration = Duration::from_secs(30);

/// One backend server as the router knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Where its agent listens.
    pub agent: SocketAddr,
    /// Its failure domain, where it is declared.
    pub domain: Option<FailureDomain>,
    /// Models it serves; none for a plain service.
    pub models: Vec<ModelId>,
    /// Path prefixes that lead to it; none for a model engine.
    pub paths: Vec<String>,
    /// Whether its calls may be run again; chats always may.
    pub idempotent: bool,
}

/// The priority class of organisations for which none is set.
pub const DEFAULT_PRIORITY: u32 = 2;

/// What is set for one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrganisationEntry {
    /// The priority class; 0 goes first.
    pub priority: u32,
    /// The weight among the organisations that wait in the same class.
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
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub operations: SocketAddr,
    /// The router's failure domain.
    pub domain: FailureDomain,
    /// Bytes of the longest request body.
    #[builder(default = ByteCount::new(4 * 1024 * 1024))]
    pub longest_body: ByteCount,
    /// How long a request may wait before it has to start.
    #[builder(default = DEFAULT_START_TIMEOUT)]
    pub start_within: Duration,
    /// Servers that one request may be offered to.
    #[builder(default = 4)]
    pub most_offers: usize,
    /// How long the balancer needs to see that the router is not ready.
    #[builder(default = Duration::from_secs(2))]
    pub balancer_delay: Duration,
    /// How long requests in flight may take to finish at a shutdown.
    #[builder(default = Duration::from_secs(600))]
    pub drain_within: Duration,
    /// How long streams of a lost connection to an agent wait for another one.
    #[builder(default = Duration::from_secs(8))]
    pub resume_within: Duration,
    /// How long a caller may take nothing of what is written to it.
    #[builder(default = Duration::from_secs(30))]
    pub caller_stall: Duration,
    /// The fleet's secret, where agents have to know it.
    pub secret: Option<SharedSecret>,
    /// Addresses that callers may connect from; all where it is empty.
    #[builder(default)]
    pub allow: Vec<AddressRange>,
    /// Claims of idempotency keys.
    #[builder(default = ClaimSettings::builder().build())]
    pub claims: ClaimSettings,
    /// How servers are chosen.
    #[builder(default)]
    pub policy: RoutingPolicy,
    /// What is set for single organisations.
    #[builder(default)]
    pub organisations: HashMap<OrganisationId, OrganisationEntry>,
    /// The backend servers, where no configuration is spread.
    pub servers: Vec<ServerEntry>,
    /// How the configuration is spread, where it is.
    pub spread: Option<SpreadSettings>,
}

impl RouterSettings {
    /// What is set for an organisation.
    pub fn organisation(&self, organisation: &OrganisationId) -> OrganisationEntry {
        self.organisations.get(organisation).copied().unwrap_or_default()
    }

    /// Reads the settings from the text of an INI file, or reports all that is wrong with it.
    pub fn read(name: &str, text: &str) -> Result<Self, Findings> {
        let file = IniFile::parse(name, text)?;
        let settings = read_router(&file);
        file.finish(|| settings)
    }
}

fn read_router(file: &IniFile) -> Option<RouterSettings> {
    let kinds = ["server", "witness", "organisation"];
    file.refuse_other_sections(&["router", "claims", SPREAD_SECTION], &kinds);
    let section = file.section("router");
    let listen = section.required("listen");
    let operations = section.required("operations");
    let domain = section.required("failure_domain");
    let longest_body = section.optional("longest_body");
    let start_within = section.optional("start_within");
    let most_offers = section.optional("most_offers");
    let balancer_delay = section.optional("balancer_delay");
    let drain_within = section.optional("drain_within");
    let resume_within = section.optional("resume_within");
    let caller_stall = section.optional("caller_stall");
    let secret = section.hidden("secret");
    let allow = section.list("allow");
    let policy = section.optional("policy");
    section.refuse_other_keys();
    let start_longest = start_within.map_or(DEFAULT_START_TIMEOUT, |within: Millis| within.0);
    let claims = ClaimSettings::read(file, start_longest);
    let spread = read_spread(file);
    let servers: Vec<_> =
        file.names_of("server").iter().map(|name| read_server(file, name)).collect();
    let servers = servers.into_iter().collect::<Option<Vec<_>>>();
    let organisations: Vec<_> =
        file.names_of("organisation").iter().map(|name| read_organisation(file, name)).collect();
    let organisations = organisations.into_iter().collect::<Option<HashMap<_, _>>>();
    let settings = RouterSettings::builder()
        .listen(listen?)
        .operations(operations?)
        .domain(domain?)
        .maybe_longest_body(longest_body)
        .maybe_start_within(start_within.map(|within: Millis| within.0))
        .claims(claims)
        .maybe_most_offers(most_offers)
        .maybe_balancer_delay(balancer_delay.map(|delay: Millis| delay.0))
        .maybe_drain_within(drain_within.map(|within: Millis| within.0))
        .maybe_resume_within(resume_within.map(|within: Millis| within.0))
        .maybe_caller_stall(caller_stall.map(|stall: Millis| stall.0))
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
    let organisation = section.own_name();
    let defaults = OrganisationEntry::default();
    let priority = section.or("priority", defaults.priority);
    let share = section.or("share", defaults.share);
    if share == 0 {
        section.report("share", "the share must be at least 1", "");
    }
    section.refuse_other_keys();
    Some((organisation?, OrganisationEntry { priority, share }))
}

fn read_server(file: &IniFile, name: &str) -> Option<ServerEntry> {
    let section = file.section(&format!("server {name}"));
    let server = section.own_name();
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
    section.refuse_other_keys();
    Some(ServerEntry { server: server?, agent: agent?, domain, models, paths, idempotent })
}
