//! The router daemon.

use std::process::ExitCode;

use papayamux_daemon::command_line::{daemon_main, DaemonInfo};
use papayamux_router::daemon::run_router;
use papayamux_router::settings::RouterSettings;

const NAME: DaemonInfo = DaemonInfo {
    program: "papayamux-router",
    purpose: "accepts requests from callers and forwards them to the agents of backend servers",
};

fn main() -> ExitCode {
    daemon_main(NAME, RouterSettings::read, run_router)
}
