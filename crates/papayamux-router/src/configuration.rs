//! Applies the configuration in force to the router.

use std::io;
use std::rc::Rc;

use futures_util::StreamExt;
use http::Method;
use papayamux_declarations::{ConfigurationInForce, MethodName, Route, Server, ServerTask};
use papayamux_spread::configuration::ConfigurationView;
use papayamux_spread::settings::SpreadSettings;
use papayamux_spread::SpreadIdentity;
use papayamux_state::ids::ServerId;
use prometheus_client::registry::Registry;

use crate::directory::ServerDirectory;
use crate::settings::ServerEntry;

/// Starts the spread of the configuration between routers, if the settings enable it.
pub(crate) fn start_configuration(
    settings: Option<SpreadSettings>,
    identity: SpreadIdentity,
    registry: &mut Registry,
) -> io::Result<Option<ConfigurationView>> {
    let Some(settings) = settings else { return Ok(None) };
    ConfigurationView::start(settings, identity, registry).map(Some)
}

/// Applies each change of the configuration in force in the fleet to `directory`. Nothing is applied
/// before the process has queried its peers. Servers that the platform reports as draining get no
/// new requests.
pub(crate) async fn follow_configuration(view: ConfigurationView, directory: Rc<ServerDirectory>) {
    let mut changes = view.subscribe();
    while changes.next().await.is_some() {
        if view.is_settled() {
            directory.replace(server_entries(&view.in_force()));
            directory.set_draining(view.leaving_servers());
        }
    }
}

/// Returns the servers in force as entries of the directory.
pub(crate) fn server_entries(in_force: &ConfigurationInForce) -> Vec<ServerEntry> {
    let servers = in_force.servers.iter();
    servers.map(|(server, declared)| server_entry(in_force, server, &declared.value)).collect()
}

fn server_entry(in_force: &ConfigurationInForce, name: &ServerId, server: &Server) -> ServerEntry {
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

/// Returns whether all calls of a route may be retried. A directory entry has one flag for all
/// methods, so this is decided by POST, which is never idempotent by itself.
fn may_repeat_all(route: &Route) -> bool {
    route.idempotent_methods.contains(&MethodName::of(&Method::POST))
}
