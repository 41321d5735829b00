//! Configurations as the operator writes them.

/// A route of a configuration.
pub struct RouteDraft<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub anonymous: bool,
}

/// A tenant of a configuration.
pub struct TenantDraft<'a> {
    pub name: &'a str,
    pub keys: &'a [&'a str],
}

pub const HOST: &str = "ficu95.example";

pub fn configuration(
    version: u64,
    routes: &[RouteDraft<'_>],
    further_routes: usize,
    tenants: &[TenantDraft<'_>],
) -> String {
    let route = |name: &str, kind: &str, service: &str, anonymous: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":5000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"{service}\",\
             \"attempts\":2,\"allow_anonymous\":{anonymous},\"sticky_sessions\":false,\
             \"resume_streams\":false}}"
        )
    };
    let mut all: Vec<_> = routes
        .iter()
        .map(|draft| route(draft.name, draft.kind, draft.service, draft.anonymous))
        .collect();
    for number in 0..further_routes {
        all.push(route(&format!("further{number:05}"), "safe", "ticket-core", false));
    }
    let tenants: Vec<_> = tenants
        .iter()
        .map(|tenant| {
            let keys: Vec<_> = tenant.keys.iter().map(|key| format!("\"{key}\"")).collect();
            let keys = keys.join(",");
            format!("{{\"name\":\"{}\",\"api_keys\":[{keys}],\"priority\":1}}", tenant.name)
        })
        .collect();
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"connection_limit\":110,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\"limits\":{{\
         \"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        all.join(","),
        service("ticket-core"),
        service("ticket-next"),
        tenants.join(",")
    )
}
