//! The example settings, the settings page and the metrics page agree with the agent.

use papayamux_agent::metrics::AgentMetrics;
use papayamux_agent::orders::OrderMetrics;
use papayamux_agent::settings::AgentSettings;
use prometheus_client::registry::Registry;

const EXAMPLE: &str = include_str!("../../../examples/agent.ini");
const SETTINGS_PAGE: &str = include_str!("../../../docs/operators/settings.md");
const METRICS_PAGE: &str = include_str!("../../../docs/metrics.md");

/// One section of each kind, each with an unknown key.
const UNKNOWN_KEYS: &str =
    "[agent]\nzzz = 1\n[server]\nzzz = 1\n[claims]\nzzz = 1\n[spread]\nzzz = 1\n\
     [orders]\nzzz = 1\n[peer a]\nzzz = 1\n";

#[test]
fn the_example_has_no_findings() {
    let settings = AgentSettings::read("agent.ini", EXAMPLE);
    assert_eq!(settings.map(|settings| settings.claims.fleet.len()), Ok(3));
}

#[test]
fn the_settings_page_lists_every_key() {
    let findings = AgentSettings::read("agent.ini", UNKNOWN_KEYS).err().unwrap_or_default();
    let known: Vec<_> = findings
        .0
        .iter()
        .filter_map(|finding| Some((finding.place.split(']').next()?, &finding.help)))
        .filter_map(|(section, help)| Some((section, help.strip_prefix("known keys: ")?)))
        .collect();
    assert_eq!(known.len(), 6, "{findings}");
    for (section, keys) in known {
        for key in keys.split(", ") {
            let row = format!("| `{key}` |");
            assert!(SETTINGS_PAGE.contains(&row), "{section}] {key} is not on the page");
        }
    }
}

#[test]
fn the_metrics_page_lists_exactly_the_registered_metrics() {
    let mut registry = Registry::default();
    AgentMetrics::default().register(&mut registry);
    OrderMetrics::default().register(&mut registry);
    assert_page("papayamux_agent_", &registry);
}

/// Compares the registered metrics with the metrics page. Uses the `Debug` form of the registry,
/// because the text form omits families without values.
fn assert_page(prefix: &str, registry: &Registry) {
    let text = format!("{registry:?}");
    let mut registered: Vec<_> = text
        .split("name: \"")
        .skip(1)
        .filter_map(|rest| Some(format!("{prefix}{}", rest.split('"').next()?)))
        .collect();
    let mut listed: Vec<_> = METRICS_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .filter(|name| name.starts_with(prefix))
        .map(|name| name.trim_end_matches("_total").to_string())
        .collect();
    registered.sort();
    listed.sort();
    assert_eq!(registered, listed, "registered (left) and on the page (right)");
}
