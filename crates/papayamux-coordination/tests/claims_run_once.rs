//! A key runs at most once within the guaranteed window, under lost and delayed messages, restarts,
//! pauses and changes of the declared fleet.

#![allow(clippy::unwrap_used)]

mod claim_model;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use claim_model::{Simulation, MAX_LAG, RETENTION, START_TIMEOUT};

const RANDOM_SCHEDULES: usize = 10_000;
/// Length of a schedule in bytes, each of which is one step.
const SCHEDULE_LENGTH: usize = 256;

/// Executes one byte of a random schedule.
fn step(simulation: &mut Simulation, byte: u8, routers: usize) {
    let (action, argument) = (byte % 16, usize::from(byte / 16));
    match action {
        0..=8 if !simulation.pending.is_empty() => {
            let message = argument % simulation.pending.len();
            simulation.deliver(message, action == 8);
        }
        9 if !simulation.pending.is_empty() => simulation.lose(argument % simulation.pending.len()),
        10 => simulation.advance(START_TIMEOUT / 4),
        11 => simulation.advance(START_TIMEOUT + Duration::from_millis(1)),
        12 if argument < 4 => simulation.advance(RETENTION / 2),
        12 => simulation.restart_witness(argument % 5),
        13 if argument < 2 => simulation.restart_router(argument % routers),
        13 if argument < 4 => simulation.change_fleet(),
        13 => simulation.apply_fleet_at_router(argument % routers),
        14 => simulation.apply_fleet_at_witness(argument % 5),
        _ if simulation.busy_attempts() < 3 => simulation.begin(argument % routers),
        _ => {}
    }
}

fn assert_run_once(simulation: &Simulation, min_distance: Duration) {
    if let Some(closest) = simulation.shortest_run_interval() {
        assert!(closest >= min_distance, "two runs within {closest:?}: {:?}", simulation.runs);
    }
}

fn random_schedules(routers: usize, fleets: &[&[usize]], min_distance: Duration) {
    let [schedules_tried, with_a_run, with_another_run] = [const { AtomicU64::new(0) }; 3];
    let count = |counter: &AtomicU64, counts: bool| {
        counter.fetch_add(u64::from(counts), Ordering::Relaxed);
    };
    bolero::check!()
        .with_iterations(RANDOM_SCHEDULES)
        .with_max_len(SCHEDULE_LENGTH)
        .with_type::<[u8; SCHEDULE_LENGTH]>()
        .for_each(|schedule| {
            let mut simulation = Simulation::new(routers, fleets);
            simulation.begin(0);
            schedule.iter().for_each(|byte| step(&mut simulation, *byte, routers));
            assert_run_once(&simulation, min_distance);
            count(&schedules_tried, true);
            count(&with_a_run, !simulation.runs.is_empty());
            count(&with_another_run, simulation.runs.len() > 1);
        });
    let [schedules_tried, with_a_run, with_another_run] =
        [schedules_tried, with_a_run, with_another_run].map(AtomicU64::into_inner);
    println!("{schedules_tried} random schedules, {with_a_run} with a run, {with_another_run} with another after the window");
    assert!(with_a_run > 0, "no schedule reached a run");
}
#[test]
fn no_second_run_after_losses_restarts_and_pauses() {
    random_schedules(2, &[&[0, 1, 2, 3, 4]], RETENTION - START_TIMEOUT);
}

#[test]
fn no_second_run_while_the_declared_fleet_changes() {
    random_schedules(3, &[&[0, 1, 2], &[0, 3, 4]], RETENTION - START_TIMEOUT - MAX_LAG);
}

#[test]
fn no_second_run_when_the_declared_fleet_is_replaced() {
    random_schedules(3, &[&[0, 1], &[2, 3, 4]], RETENTION - START_TIMEOUT - MAX_LAG);
}

/// Faults that an exhaustive search may still inject.
#[derive(Debug, Clone, Copy)]
struct FaultBudget {
    losses: u8,
    disturbances: u8,
}

/// Tries every order of deliveries, with the losses, restarts and pauses of the budget at every point;
/// returns the number of schedules tried.
fn search(simulation: &Simulation, budget: FaultBudget) -> u64 {
    if simulation.pending.is_empty() {
        assert_run_once(simulation, RETENTION - START_TIMEOUT);
        return 1;
    }
    let mut schedules_tried = 0;
    let mut go = |change: &dyn Fn(&mut Simulation), budget: FaultBudget| {
        let mut simulation = simulation.clone();
        change(&mut simulation);
        schedules_tried += search(&simulation, budget);
    };
    for message in
        (0..simulation.pending.len()).filter(|message| simulation.is_distinct_step(*message))
    {
        go(&|simulation| simulation.deliver_at_once(message), budget);
        if budget.losses > 0 {
            let budget = FaultBudget { losses: budget.losses - 1, ..budget };
            go(&|simulation| simulation.lose(message), budget);
        }
    }
    if budget.disturbances > 0 {
        let budget = FaultBudget { disturbances: budget.disturbances - 1, ..budget };
        for witness in 0..3 {
            go(&|simulation| simulation.restart_witness(witness), budget);
        }
        go(&|simulation| simulation.advance(RETENTION), budget);
    }
    schedules_tried
}

fn search_two_attempts(budget: FaultBudget) -> u64 {
    let mut simulation = Simulation::new(2, &[&[0, 1, 2]]);
    simulation.begin(0);
    simulation.begin(1);
    search(&simulation, budget)
}

#[test]
fn every_interleaving_of_two_attempts() {
    let schedules_tried = search_two_attempts(FaultBudget { losses: 0, disturbances: 0 });
    println!("{schedules_tried} interleavings of two attempts");
}

#[test]
fn every_interleaving_with_a_lost_message() {
    let schedules_tried = search_two_attempts(FaultBudget { losses: 1, disturbances: 0 });
    println!("{schedules_tried} interleavings of two attempts and a loss");
}

#[test]
fn every_interleaving_with_a_restart_or_a_pause() {
    let schedules_tried = search_two_attempts(FaultBudget { losses: 0, disturbances: 1 });
    println!("{schedules_tried} interleavings of two attempts and a restart or a pause");
}
