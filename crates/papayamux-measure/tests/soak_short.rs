//! Short soaks on real processes, each with a fixed seed.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::Duration;

use papayamux_measure::soak::{run_soak, FatalKind, SoakOptions};

#[test]
fn no_promise_is_broken_in_a_short_soak() {
    let options = SoakOptions::builder().seed(3).length(Duration::from_secs(10)).build();
    run_soak(&options).unwrap();
}

#[test]
fn no_promise_is_broken_while_servers_restart_and_foreign_entries_appear() {
    let length = Duration::from_secs(10);
    let options = SoakOptions::builder().seed(5).length(length).entries(true).build();
    run_soak(&options).unwrap();
}

#[test]
fn no_promise_is_broken_while_a_request_crashes_engines() {
    let length = Duration::from_secs(10);
    let options = SoakOptions::builder().seed(6).length(length).fatal(FatalKind::Content).build();
    run_soak(&options).unwrap();
}

#[test]
fn no_promise_is_broken_while_a_part_of_prompts_crashes_engines() {
    let length = Duration::from_secs(10);
    let options = SoakOptions::builder().seed(10).length(length).fatal(FatalKind::Part).build();
    run_soak(&options).unwrap();
}

#[test]
fn no_promise_is_broken_during_rollouts_of_three_software_versions() {
    let length = Duration::from_secs(10);
    let options = SoakOptions::builder().seed(8).length(length).servers(6).versions(true).build();
    run_soak(&options).unwrap();
}

#[test]
fn no_promise_is_broken_while_outages_of_the_store_overlap() {
    let length = Duration::from_secs(10);
    let options = SoakOptions::builder().seed(9).length(length).outages(true).build();
    run_soak(&options).unwrap();
}

#[test]
fn no_promise_is_broken_while_the_store_comes_back_from_copies() {
    let length = Duration::from_secs(10);
    let options = SoakOptions::builder().seed(7).length(length).restores(true).build();
    run_soak(&options).unwrap();
}
