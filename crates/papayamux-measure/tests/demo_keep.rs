//! Test of `demo --keep`, which keeps the fleet running for clients.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

#[test]
fn kept_fleet_prints_how_to_call_it_and_stops_on_an_interrupt() {
    let mut demo = Command::new(env!("CARGO_BIN_EXE_papayamux-measure"))
        .args(["demo", "--keep"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(demo.stdout.take().unwrap()).lines().map_while(Result::ok);
    let printed: Vec<_> = lines.by_ref().take_while(|line| line != "Ctrl-C ends it.").collect();
    assert!(
        printed.iter().any(|line| line.starts_with("curl -N http://127.0.0.1:")),
        "{printed:?}"
    );
    kill(Pid::from_raw(demo.id() as i32), Signal::SIGINT).unwrap();
    assert_eq!(lines.last().as_deref(), Some("the fleet ends"));
    assert_eq!(demo.wait().unwrap().code(), Some(0));
}
