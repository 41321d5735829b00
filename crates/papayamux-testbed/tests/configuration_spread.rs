//! Routers spread the files of the configuration service: each change comes into force at all
//! routers, and no router returns to an older revision.

use std::error::Error;
use std::fmt::Write;
use std::time::Duration;

use nix::sys::signal::Signal;
use papayamux_standins::config_service::{ConfigFaults, ServedView};
use papayamux_testbed::{wait_until, SpreadFleet, SpreadPlan};
use papayamux_transport::runtime;

type TestResult = Result<(), Box<dyn Error>>;

/// Maximum wait for an event, far above the time that it needs.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Duration of a pause of the process that the timer service detects.
const PAUSE: Duration = Duration::from_secs(1);

fn team_file(team: &str, version: u64) -> String {
    format!("[team]\nname = {team}\n\n[model {team}-model]\nversion = {version}\nweights = w\n")
}

fn with_fleet(
    processes: usize,
    test: impl AsyncFnOnce(&mut SpreadFleet) -> TestResult,
) -> TestResult {
    let mut fleet = SpreadFleet::start(SpreadPlan::builder().processes(processes).build())?;
    runtime::run(test(&mut fleet))?
}

#[test]
fn a_change_comes_into_force_at_all_routers() -> TestResult {
    with_fleet(6, async |fleet| {
        fleet.put_file("caverns", &team_file("caverns", 1)).await?;
        let revision = fleet.put_file("pensions", &team_file("pensions", 1)).await?;
        assert!(fleet.wait_equal(revision, TIMEOUT).await?.is_some());
        let revision = fleet.put_file("caverns", &team_file("caverns", 2)).await?;
        let statuses =
            fleet.wait_equal(revision, TIMEOUT).await?.ok_or("the routers did not converge")?;
        let in_force = &statuses[0].in_force;
        assert_eq!((in_force.models, in_force.refused_files), (2, 0));
        assert!(statuses.iter().all(|status| status.in_force == *in_force));
        Ok(())
    })
}

#[test]
fn a_refused_revision_leaves_the_last_accepted_one_in_force_also_for_newcomers() -> TestResult {
    with_fleet(3, async |fleet| {
        let accepted = fleet.put_file("caverns", &team_file("caverns", 1)).await?;
        assert!(fleet.wait_equal(accepted, TIMEOUT).await?.is_some());
        let revision = fleet.put_file("caverns", "[team]\nname = caverns\n[model\n").await?;
        assert!(fleet.wait_equal(revision, TIMEOUT).await?.is_some());
        fleet.add()?;
        let statuses =
            fleet.wait_equal(revision, TIMEOUT).await?.ok_or("the routers did not converge")?;
        for status in statuses {
            let in_force = status.in_force;
            assert_eq!((in_force.models, in_force.refused_files), (1, 1));
        }
        Ok(())
    })
}

#[test]
fn a_router_that_starts_while_the_service_is_down_learns_from_its_peers() -> TestResult {
    with_fleet(4, async |fleet| {
        let revision = fleet.put_file("caverns", &team_file("caverns", 1)).await?;
        assert!(fleet.wait_equal(revision, TIMEOUT).await?.is_some());
        let down = ConfigFaults { unavailable: true, ..ConfigFaults::default() };
        fleet.set_faults(down).await?;
        fleet.add()?;
        assert!(fleet.wait_equal(revision, TIMEOUT).await?.is_some());
        Ok(())
    })
}

#[test]
fn a_rolled_back_service_takes_nothing_back() -> TestResult {
    with_fleet(4, async |fleet| {
        let old = fleet.put_file("caverns", &team_file("caverns", 1)).await?;
        let revision = fleet.put_file("caverns", &team_file("caverns", 2)).await?;
        assert!(fleet.wait_equal(revision, TIMEOUT).await?.is_some());
        let rolled_back = ConfigFaults { view: ServedView::At(old), ..ConfigFaults::default() };
        fleet.set_faults(rolled_back).await?;
        let newcomer = fleet.add()?;
        assert!(fleet.wait_equal(revision, TIMEOUT).await?.is_some());
        let newcomer = &fleet.processes[newcomer].handle;
        let settled = newcomer.wait_for_line("configuration settled", TIMEOUT)?;
        assert_eq!(
            settled["revision"], revision,
            "the router settled on an older revision than its peers hold"
        );
        fleet.set_faults(ConfigFaults::default()).await?;
        let revision = fleet.put_file("caverns", &team_file("caverns", 3)).await?;
        assert!(fleet.wait_equal(revision, TIMEOUT).await?.is_some());
        Ok(())
    })
}

#[test]
fn partitioned_halves_converge_without_loss() -> TestResult {
    with_fleet(3, async |left| {
        let mut right = SpreadFleet::start(SpreadPlan::builder().processes(3).build())?;
        left.put_file("caverns", &team_file("caverns", 1)).await?;
        let left_revision = left.put_file("caverns", &team_file("caverns", 2)).await?;
        right.put_file("caverns", &team_file("caverns", 1)).await?;
        right.put_file("pensions", &team_file("pensions", 1)).await?;
        let revision = right.put_file("pensions", &team_file("pensions", 2)).await?;
        assert!(left.wait_equal(left_revision, TIMEOUT).await?.is_some());
        assert!(right.wait_equal(revision, TIMEOUT).await?.is_some());
        let seeds = [left.processes[0].peers, right.processes[0].peers];
        right.add_with(right.service.listen()?, &seeds)?;
        let left_statuses =
            left.wait_equal(revision, TIMEOUT).await?.ok_or("the left half did not converge")?;
        let right_statuses =
            right.wait_equal(revision, TIMEOUT).await?.ok_or("the right half did not converge")?;
        assert_eq!(left_statuses[0].digest, right_statuses[0].digest);
        Ok(())
    })
}

#[test]
fn a_process_without_the_secret_is_not_taken_for_a_peer() -> TestResult {
    let plan = SpreadPlan::builder().processes(2);
    let plan = plan.router_lines("secret = a-secret-of-this-fleet".to_string()).build();
    let mut fleet = SpreadFleet::start(plan)?;
    runtime::run(async {
        let revision = fleet.put_file("caverns", &team_file("caverns", 1)).await?;
        assert!(fleet.wait_equal(revision, TIMEOUT).await?.is_some());
        let service = SpreadFleet::start(SpreadPlan::builder().processes(0).build())?;
        fleet.plan.router_lines = "secret = another-secret-altogether".to_string();
        let seeds = [fleet.processes[0].peers];
        let stranger = fleet.add_with(service.service.listen()?, &seeds)?;
        let stranger = &fleet.processes[stranger].handle;
        let lost = "papayamux_spread_lost_links_total";
        stranger.wait_metric(lost, "reason=\"proof\"", 2.0, TIMEOUT).await?;
        let asked = &fleet.processes[0].handle;
        asked.wait_metric(lost, "reason=\"proof\"", 1.0, TIMEOUT).await?;
        assert_eq!(stranger.metrics().await?.sum("papayamux_spread_files", ""), 0.0);
        Ok(())
    })?
}

#[test]
fn a_large_file_comes_in_parts_from_several_peers() -> TestResult {
    let lines = "bytes_per_second = 1000000".to_string();
    let plan = SpreadPlan::builder().processes(8).domains(1).spread_lines(lines).build();
    let fleet = SpreadFleet::start(plan)?;
    runtime::run(async {
        let mut text = team_file("caverns", 1);
        for number in 0_u64..4_000 {
            let name = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let _ = write!(text, "\n[model m-{name:016x}]\nversion = {number}\nweights = w\n");
        }
        let revision = fleet.put_file("caverns", &text).await?;
        let statuses =
            fleet.wait_equal(revision, TIMEOUT).await?.ok_or("the routers did not converge")?;
        assert!(statuses.iter().all(|status| status.in_force.models == 4_001));
        let revision = fleet.put_file("caverns", &text.replacen("= 17\n", "= 18\n", 1)).await?;
        assert!(fleet.wait_equal(revision, TIMEOUT).await?.is_some());
        Ok(())
    })?
}

#[test]
fn a_router_that_was_paused_asks_its_peers_before_anything_else() -> TestResult {
    with_fleet(4, async |fleet| {
        let revision = fleet.put_file("caverns", &team_file("caverns", 1)).await?;
        assert!(fleet.wait_equal(revision, TIMEOUT).await?.is_some());
        let paused = fleet.processes.pop().ok_or("no router")?;
        paused.handle.signal(Signal::SIGSTOP)?;
        let revision = fleet.put_file("caverns", &team_file("caverns", 2)).await?;
        assert!(fleet.wait_equal(revision, TIMEOUT).await?.is_some());
        monoio::time::sleep(PAUSE).await;
        paused.handle.signal(Signal::SIGCONT)?;
        paused.handle.wait_metric("papayamux_spread_pauses_total", "", 1.0, TIMEOUT).await?;
        fleet.processes.push(paused);
        assert!(fleet.wait_equal(revision, TIMEOUT).await?.is_some());
        Ok(())
    })
}

#[test]
fn a_fleet_that_knows_three_seeds_soon_agrees_on_its_watchers() -> TestResult {
    let fleet = SpreadFleet::start(SpreadPlan::builder().processes(80).domains(2).build())?;
    runtime::run(async {
        let revision = fleet.put_file("caverns", &team_file("caverns", 1)).await?;
        assert!(fleet.wait_equal(revision, TIMEOUT).await?.is_some());
        let read = async || {
            let statuses = fleet.statuses().await?;
            Ok(statuses.iter().filter(|status| status.watching).count())
        };
        wait_until(TIMEOUT, read, |watching| *watching == 4).await?;
        Ok(())
    })?
}
