//! A key runs at most once within the window that the design note promises, whatever is lost,
//! late, restarted, paused or changed.

#![allow(clippy::unwrap_used)]

mod claim_model;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use claim_model::{World, MOST_LAG, RETENTION, START_WITHIN};

const RANDOM_SCHEDULES: usize = 10_000;
/// Bytes of a schedule, each of which is one step.
const SCHEDULE_LENGTH: usize = 256;

/// What one byte of a random schedule does.
fn step(world: &mut World, byte: u8, routers: usize) {
    let (action, argument) = (byte % 16, usize::from(byte / 16));
    match action {
        0..=8 if !world.pending.is_empty() => {
            let message = argument % world.pending.len();
            world.deliver(message, action == 8);
        }
        9 if !world.pending.is_empty() => world.lose(argument % world.pending.len()),
        10 => world.advance(START_WITHIN / 4),
        11 => world.advance(START_WITHIN + Duration::from_millis(1)),
        12 if argument < 4 => world.advance(RETENTION / 2),
        12 => world.restart(argument % 5),
        13 if argument < 2 => world.restart_router(argument % routers),
        13 if argument < 4 => world.change_fleet(),
        13 => world.learn_router(argument % routers),
        14 => world.learn_witness(argument % 5),
        _ if world.busy_attempts() < 3 => world.begin(argument % routers),
        _ => {}
    }
}

fn assert_run_once(world: &World, promised: Duration) {
    if let Some(closest) = world.closest_runs() {
        assert!(closest >= promised, "two runs within {closest:?}: {:?}", world.runs);
    }
}

fn random_schedules(routers: usize, fleets: &[&[usize]], promised: Duration) {
    let [tried, ran, again] = [const { AtomicU64::new(0) }; 3];
    let count = |counter: &AtomicU64, counts: bool| {
        counter.fetch_add(u64::from(counts), Ordering::Relaxed);
    };
    bolero::check!()
        .with_iterations(RANDOM_SCHEDULES)
        .with_max_len(SCHEDULE_LENGTH)
        .with_type::<[u8; SCHEDULE_LENGTH]>()
        .for_each(|schedule| {
            let mut world = World::new(routers, fleets);
            world.begin(0);
            schedule.iter().for_each(|byte| step(&mut world, *byte, routers));
            assert_run_once(&world, promised);
            count(&tried, true);
            count(&ran, !world.runs.is_empty());
            count(&again, world.runs.len() > 1);
        });
    let [tried, ran, again] = [tried, ran, again].map(AtomicU64::into_inner);
    println!("{tried} random schedules, {ran} with a run, {again} with another after the window");
    assert!(ran > 0, "the schedules must reach a run");
}
#[test]
fn losses_restarts_and_pauses() {
    random_schedules(2, &[&[0, 1, 2, 3, 4]], RETENTION - START_WITHIN);
}

#[test]
fn the_declared_fleet_changes() {
    random_schedules(3, &[&[0, 1, 2], &[0, 3, 4]], RETENTION - START_WITHIN - MOST_LAG);
}

#[test]
fn the_declared_fleet_changes_altogether() {
    random_schedules(3, &[&[0, 1], &[2, 3, 4]], RETENTION - START_WITHIN - MOST_LAG);
}

/// What an exhaustive search may still do besides delivering.
#[derive(Debug, Clone, Copy)]
struct Budget {
    losses: u8,
    disturbances: u8,
}

/// Tries every order of deliveries, and every place for the losses, restarts and pauses of the
/// budget; gives how many schedules that were.
fn search(world: &World, budget: Budget) -> u64 {
    if world.pending.is_empty() {
        assert_run_once(world, RETENTION - START_WITHIN);
        return 1;
    }
    let mut tried = 0;
    let mut go = |change: &dyn Fn(&mut World), budget: Budget| {
        let mut world = world.clone();
        change(&mut world);
        tried += search(&world, budget);
    };
    for message in (0..world.pending.len()).filter(|message| world.stands_alone(*message)) {
        go(&|world| world.deliver_at_once(message), budget);
        if budget.losses > 0 {
            let budget = Budget { losses: budget.losses - 1, ..budget };
            go(&|world| world.lose(message), budget);
        }
    }
    if budget.disturbances > 0 {
        let budget = Budget { disturbances: budget.disturbances - 1, ..budget };
        for witness in 0..3 {
            go(&|world| world.restart(witness), budget);
        }
        go(&|world| world.advance(RETENTION), budget);
    }
    tried
}

fn search_two_attempts(budget: Budget) -> u64 {
    let mut world = World::new(2, &[&[0, 1, 2]]);
    world.begin(0);
    world.begin(1);
    search(&world, budget)
}

#[test]
fn every_order_of_two_attempts() {
    let tried = search_two_attempts(Budget { losses: 0, disturbances: 0 });
    println!("{tried} interleavings of two attempts");
}

#[test]
fn every_order_with_a_loss() {
    let tried = search_two_attempts(Budget { losses: 1, disturbances: 0 });
    println!("{tried} interleavings of two attempts and a loss");
}

#[test]
fn every_order_with_a_restart_or_a_pause() {
    let tried = search_two_attempts(Budget { losses: 0, disturbances: 1 });
    println!("{tried} interleavings of two attempts and a restart or a pause");
}
