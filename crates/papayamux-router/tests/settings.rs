//! Tests parsing of the router's settings and the findings on invalid ones.

use papayamux_router::settings::RouterSettings;

const GOOD: &str = "\
[router]
listen = 127.0.0.1:8080
operations = 127.0.0.1:9090
failure_domain = tainan-a
start_within = 5s

[server engine-1]
agent = 127.0.0.1:7001
models = itinerary, tagger

[server gates]
agent = 127.0.0.1:7002
paths = /tickets
idempotent = true

[spread]
service = 127.0.0.1:6000
listen = 127.0.0.1:6001
peers = 127.0.0.1:6002, 127.0.0.1:6003
fanout = 3
";

#[test]
fn good_settings_are_read() {
    insta::assert_debug_snapshot!(RouterSettings::read("router.ini", GOOD).unwrap());
}

#[test]
fn all_findings_are_reported_with_line_numbers() {
    let text = GOOD
        .replace("127.0.0.1:8080", "localhost")
        .replace("failure_domain = tainan-a", "failure_domian = tainan-a")
        .replace("5s", "5 parsecs")
        .replace("/tickets", "tickets")
        .replace("itinerary, tagger", "")
        .replace("service = 127.0.0.1:6000", "servce = 127.0.0.1:6000")
        .replace("127.0.0.1:6003", "nowhere")
        .replace("fanout = 3", "fanout = 0\nbytes_per_second = 10");
    let findings = RouterSettings::read("router.ini", &text).unwrap_err();
    insta::assert_snapshot!(findings.to_string());
}
