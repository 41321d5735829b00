//! Checks that the example and the pages on settings and metrics agree with the router.

use papayamux_router::metrics::RouterMetrics;
use papayamux_router::settings::RouterSettings;
use papayamux_spread::metrics::SpreadMetrics;
use prometheus_client::registry::Registry;

const EXAMPLE: &str = include_str!("../../../examples/router.ini");
const SETTINGS_PAGE: &str = include_str!("../../../docs/operators/settings.md");
const METRICS_PAGE: &str = include_str!("../../../docs/metrics.md");

/// One section of each kind, each with an unknown key.
const UNKNOWN_KEYS: &str = "[router]\nzzz = 1\n[claims]\nzzz = 1\n[spread]\nzzz = 1\n\
                            [server a]\nzzz = 1\n[witness a]\nzzz = 1\n[organisation a]\nzzz = 1\n";

#[test]
fn the_example_has_no_findings() {
    let settings = RouterSettings::read("router.ini", EXAMPLE);
    assert_eq!(settings.map(|settings| settings.servers.len()), Ok(3));
}

#[test]
fn the_page_of_settings_names_each_key() {
    let findings = RouterSettings::read("router.ini", UNKNOWN_KEYS).err().unwrap_or_default();
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
fn the_page_of_metrics_names_each_metric_and_no_other() {
    let mut registry = Registry::default();
    RouterMetrics::default().register(&mut registry);
    assert_page("papayamux_router_", &registry);
    let mut registry = Registry::default();
    SpreadMetrics::default().register(&mut registry);
    assert_page("papayamux_spread_", &registry);
}

/// Compares the metrics on the page with those of the registry. Uses the `Debug` form of the
/// registry, since its text encoding omits families without values.
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
