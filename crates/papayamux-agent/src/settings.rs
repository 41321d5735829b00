//! The settings of the agent.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use papayamux_coordination::admission::AdmissionLimits;
use papayamux_protocol::proof::SharedSecret;
use papayamux_settings::{DurationSetting, Findings, IniFile, MegabyteSetting};
use papayamux_spread::settings::{read_spread, SpreadSettings, SPREAD_SECTION};
use papayamux_state::address_range::AddressRange;
use papayamux_state::ids::{FailureDomain, ServerId};
use papayamux_state::load::LoadFactor;
use papayamux_state::quantities::{ByteCount, RequestCount, TokenCount};

use crate::claims::ClaimSettings;
use crate::orders::{read_orders, OrderSettings};

/// Default memory of an instance.
const DEFAULT_MEMORY: ByteCount = ByteCount::new(192_000_000);

/// All settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct AgentSettings {
    /// The address on which the agent listens for routers.
    pub listen: SocketAddr,
    /// The address on which the agent listens for operators.
    pub operations: SocketAddr,
    /// The failure domain of the agent.
    pub domain: FailureDomain,
    /// The backend server of the agent.
    pub server: ServerId,
    /// The address on which the backend server listens.
    pub server_address: SocketAddr,
    /// Maximum number of concurrently running requests.
    #[builder(default = RequestCount::new(64))]
    pub capacity: RequestCount,
    /// Maximum number of queued requests. With 0, a request without a free slot is refused at once.
    #[builder(default = RequestCount::new(256))]
    pub queue: RequestCount,
    /// Maximum time for which a request is queued.
    #[builder(default = Duration::from_secs(10))]
    pub longest_wait: Duration,
    /// The factor by which the server's load may exceed the mean of its group.
    #[builder(default = LoadFactor::DEFAULT)]
    pub load_factor: LoadFactor,
    /// The number of prompt tokens that the engine prefills per second.
    #[builder(default = TokenCount::new(30_000))]
    pub prefill_rate: TokenCount,
    /// The time within which requests in flight must complete at shutdown.
    #[builder(default = Duration::from_secs(600))]
    pub drain_within: Duration,
    /// The duration for which an answer can be resumed after its router's connection was lost.
    #[builder(default = Duration::from_secs(10))]
    pub resume_within: Duration,
    /// The duration for which a streamed chat continues after its caller disconnected.
    #[builder(default = Duration::from_secs(2))]
    pub cancel_grace: Duration,
    /// The duration for which the events of a finished chat are kept.
    #[builder(default = Duration::from_secs(60))]
    pub keep_answers_for: Duration,
    /// Maximum number of bytes kept of all answers together. Unacknowledged bytes of running
    /// answers may exceed it.
    #[builder(default = ByteCount::new(8 * 1024 * 1024))]
    pub keep_answer_bytes: ByteCount,
    /// Maximum size of an answer that is no stream of events.
    #[builder(default = ByteCount::new(16 * 1024 * 1024))]
    pub longest_answer: ByteCount,
    /// Memory of the instance, of which the bodies of requests may take a part.
    #[builder(default = DEFAULT_MEMORY)]
    pub memory: ByteCount,
    /// The time without progress after which the server is checked.
    #[builder(default = Duration::from_secs(10))]
    pub progress_within: Duration,
    /// The secret of the fleet, or `None` if routers need no proof.
    pub secret: Option<SharedSecret>,
    /// The addresses from which routers may connect. If empty, all addresses are allowed.
    #[builder(default)]
    pub allow: Vec<AddressRange>,
    /// The settings of claims on idempotency keys.
    #[builder(default = ClaimSettings::builder().build())]
    pub claims: ClaimSettings,
    /// The settings of the configuration spread, or `None` if the agent takes no part in it.
    pub spread: Option<SpreadSettings>,
    /// The settings of the orders to the engine, or `None` if the agent gives no orders.
    pub orders: Option<OrderSettings>,
}

impl AgentSettings {
    /// Returns the limits for the admission of requests.
    pub fn limits(&self) -> AdmissionLimits {
        AdmissionLimits {
            capacity: self.capacity,
            queue: self.queue,
            max_wait: self.longest_wait,
            factor: self.load_factor,
        }
    }

    /// Reads the settings from the text of an INI file, or returns all findings.
    pub fn read(name: &str, text: &str) -> Result<Self, Findings> {
        let file = IniFile::parse(name, text)?;
        let settings = read_agent(&file);
        file.finish(|| settings)
    }
}

fn read_agent(file: &IniFile) -> Option<AgentSettings> {
    file.report_unknown_sections(
        &["agent", "server", "claims", "orders", SPREAD_SECTION],
        &["peer"],
    );
    let section = file.section("agent");
    let listen = section.required("listen");
    let operations = section.required("operations");
    let domain = section.required("failure_domain");
    let drain_within = section.optional("drain_within");
    let resume_within = section.optional("resume_within");
    let cancel_grace = section.optional("cancel_grace");
    let keep_answers_for = section.optional("keep_answers_for");
    let keep_answer_bytes = section.optional("keep_answer_bytes");
    let longest_answer = section.optional("longest_answer");
    let memory: Option<MegabyteSetting> = section.optional("memory_mb");
    let secret = section.optional_secret("secret");
    let allow = section.list("allow");
    section.report_unknown_keys();
    let section = file.section("server");
    let server = section.required("name");
    let server_address = section.required("address");
    let capacity = section.optional("capacity");
    let progress_within = section.optional("progress_within");
    let queue = section.optional("queue");
    let longest_wait = section.optional("longest_wait");
    let load_factor = section.optional("load_factor");
    let prefill_rate = section.optional("prefill_rate");
    section.report_unknown_keys();
    let claims = ClaimSettings::read(file);
    let spread = read_spread(file);
    let orders = read_orders(file);
    let settings = AgentSettings::builder()
        .listen(listen?)
        .operations(operations?)
        .domain(domain?)
        .server(server?)
        .server_address(server_address?)
        .maybe_capacity(capacity)
        .maybe_queue(queue)
        .maybe_longest_wait(longest_wait.map(|wait: DurationSetting| wait.0))
        .maybe_load_factor(load_factor)
        .maybe_prefill_rate(prefill_rate)
        .maybe_drain_within(drain_within.map(|within: DurationSetting| within.0))
        .maybe_resume_within(resume_within.map(|within: DurationSetting| within.0))
        .maybe_cancel_grace(cancel_grace.map(|grace: DurationSetting| grace.0))
        .maybe_keep_answers_for(keep_answers_for.map(|time: DurationSetting| time.0))
        .maybe_keep_answer_bytes(keep_answer_bytes)
        .maybe_longest_answer(longest_answer)
        .maybe_progress_within(progress_within.map(|within: DurationSetting| within.0))
        .maybe_memory(memory.map(|memory| memory.0))
        .maybe_secret(secret)
        .allow(allow)
        .claims(claims)
        .maybe_spread(spread)
        .maybe_orders(orders)
        .build();
    Some(settings)
}
