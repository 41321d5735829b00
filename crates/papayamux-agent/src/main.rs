//! The agent daemon.

use std::process::ExitCode;

use papayamux_agent::daemon::run_agent;
use papayamux_agent::settings::AgentSettings;
use papayamux_daemon::command_line::{daemon_main, DaemonInfo};

const NAME: DaemonInfo = DaemonInfo {
    program: "papayamux-agent",
    purpose: "stands beside one backend server, decides what it takes, and runs it there",
};

fn main() -> ExitCode {
    daemon_main(NAME, AgentSettings::read, run_agent)
}
