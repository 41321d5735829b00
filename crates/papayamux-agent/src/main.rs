//! The agent daemon.

use std::process::ExitCode;

use papayamux_agent::daemon::run_agent;
use papayamux_agent::settings::AgentSettings;
use papayamux_daemon::command_line::{daemon_main, DaemonInfo};

const NAME: DaemonInfo = DaemonInfo {
    program: "papayamux-agent",
    purpose: "admits the requests of routers to one backend server and runs them there",
};

fn main() -> ExitCode {
    daemon_main(NAME, AgentSettings::read, run_agent)
}
