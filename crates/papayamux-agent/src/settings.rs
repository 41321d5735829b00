//! The agent's settings.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use papayamux_settings::{Findings, IniFile, Millis};
use papayamux_state::ids::{FailureDomain, ServerId};
use papayamux_state::quantities::RequestCount;

/// All settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct AgentSettings {
    /// Where routers connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub operations: SocketAddr,
    /// The agent's failure domain.
    pub domain: FailureDomain,
    /// The backend server beside it.
    pub server: ServerId,
    /// Where the backend server listens.
    pub server_address: SocketAddr,
    /// Requests that may run at once.
    #[builder(default = RequestCount::new(64))]
    pub capacity: RequestCount,
    /// How long requests in flight may take to finish at a shutdown.
    #[builder(default = Duration::from_secs(600))]
    pub drain_within: Duration,
}

impl AgentSettings {
    /// Reads the settings from the text of an INI file, or reports all that is wrong with it.
    pub fn read(name: &str, text: &str) -> Result<Self, Findings> {
        let file = IniFile::parse(name, text)?;
        let settings = read_agent(&file);
        file.finish(|| settings)
    }
}

fn read_agent(file: &IniFile) -> Option<AgentSettings> {
    file.refuse_other_sections(&["agent", "server"], &[]);
    let section = file.section("agent");
    let listen = section.required("listen");
    let operations = section.required("operations");
    let domain = section.required("failure_domain");
    let drain_within = section.optional("drain_within");
    section.refuse_other_keys();
    let section = file.section("server");
    let server = section.required("name");
    let server_address = section.required("address");
    let capacity = section.optional("capacity");
    section.refuse_other_keys();
    let settings = AgentSettings::builder()
        .listen(listen?)
        .operations(operations?)
        .domain(domain?)
        .server(server?)
        .server_address(server_address?)
        .maybe_capacity(capacity)
        .maybe_drain_within(drain_within.map(|within: Millis| within.0))
        .build();
    Some(settings)
}
