//! The daemons use no io_uring and start no child processes, which the users' platform forbids.

use std::error::Error;

use bytes::Bytes;
use http::Method;
use papayamux_testbed::{Caller, Fleet, FleetPlan, FLEET_PATH};
use papayamux_transport::runtime;

#[test]
fn daemons_use_epoll_and_start_no_process() -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::start(FleetPlan::builder().routers(1).engines(0).build())?;
    let caller = Caller::new(fleet.routers[0].listen()?, "yanchang-desk");
    runtime::run(async { caller.call(Method::GET, FLEET_PATH, &[], Bytes::new()).await })??;
    for process in [&fleet.routers[0], &fleet.servers[0].agent] {
        let folder = format!("/proc/{}", process.id());
        let mut targets = Vec::new();
        for entry in std::fs::read_dir(format!("{folder}/fd"))? {
            targets.push(std::fs::read_link(entry?.path())?.to_string_lossy().into_owned());
        }
        assert!(targets.iter().any(|target| target.contains("eventpoll")), "{targets:?}");
        assert!(!targets.iter().any(|target| target.contains("io_uring")), "{targets:?}");
        for thread in std::fs::read_dir(format!("{folder}/task"))? {
            let children = std::fs::read_to_string(thread?.path().join("children"))?;
            assert_eq!(children.trim(), "");
        }
    }
    Ok(())
}
