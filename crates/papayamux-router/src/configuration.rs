//! The router's use of what is in force.

use std::io;
use std::rc::Rc;

use futures_util::StreamExt;
use http::Method;
use papayamux_declarations::{InForce, MethodName, Route, Server, ServerTask};
use papayamux_spread::configuration::ConfigurationView;
use papayamux_spread::settings::SpreadSettings;
use papayamux_spread::SpreadIdentity;
use papayamux_state::ids::ServerId;
use prometheus_client::registry::Registry;

use crate::directory::ServerDirectory;
use crate::settings::ServerEntry;

/// Starts the spread of the configuration, where the settings ask for it.
pub(crate) fn start_configuration(
    settings: Option<SpreadSettings>,
    identity: SpreadIdentity,
    registry: &mut Registry,
) -> io::Result<Option<ConfigurationView>> {
    let Some(settings) = settings else { return Ok(None) };
    ConfigurationView::start(settings, identity, registry).map(Some)
}

/// Puts in force in `directory` what is in force in the fleet, after each change. Nothing is put
/// in force before the process has asked its peers. Servers that the platform says are leaving get
/// no new work.
pub(crate) async fn follow_configuration(view: ConfigurationView, directory: Rc<ServerDirectory>) {
    let mut changes = view.subscribe();
    while changes.next().await.is_some() {
        if view.is_settled() {
            directory.replace(server_entries(&view.in_force()));
            directory.set_draining(view.leaving_servers());
        }
    }
}

/// The servers in force as the directory holds them.
pub(crate) fn server_entries(in_force: &InForce) -> Vec<ServerEntry> {
    let servers = in_force.servers.iter();
    servers.map(|(server, declared)| server_entry(in_force, server, &declared.value)).collect()
}

fn server_entry(in_force: &InForce, name: &ServerId, server: &Server) -> ServerEntry {
    let models = match &server.task {
        ServerTask::Engine { models, .. } => models.iter().cloned().collect(),
        ServerTask::Service => Vec::new(),
    };
    let routes: Vec<_> =
        in_force.routes.iter().filter(|(_, route)| route.value.servers.contains(name)).collect();
    ServerEntry {
        server: name.clone(),
        agent: server.agent,
        domain: Some(server.domain.clone()),
        models,
        paths: routes.iter().map(|(prefix, _)| prefix.as_str().to_string()).collect(),
        idempotent: routes.iter().all(|(_, route)| may_repeat_all(&route.value)),
    }
}

/// A directory entry knows one answer for all methods: calls may be run again where those of the
/// method that is never idempotent by itself may.
fn may_repeat_all(route: &Route) -> bool {
    route.idempotent_methods.contains(&MethodName::of(&Method::POST))
}
