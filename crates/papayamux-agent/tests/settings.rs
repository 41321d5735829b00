//! The settings of the agent and their findings.

use papayamux_agent::settings::AgentSettings;

#[test]
fn all_findings_are_reported_with_their_lines() {
    let text =
        "[agent]\nlisten = 1\noperations = 127.0.0.1:9\n[server]\nname = a b\ncapacity = x\n";
    let findings = AgentSettings::read("agent.ini", text).unwrap_err();
    insta::assert_snapshot!(findings.to_string());
}
