//! Runs each rule over the same histories and prints one JSON line per rule and share of shared
//! names.

use std::collections::BTreeSet;
use std::error::Error;

use papayamux_declarations::{
    ConfigurationInForce, DeclarationFile, FileName, FileRevision, FileSet,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde_json::json;

use super::history::{generate_history, sample_received, HistoryPlan};
use super::rules::{ConflictRule, RuleProcess};

const HISTORIES: u64 = 100;
const PROCESSES: usize = 4;
/// Percentage of submissions missed, and maximum number of positions by which the others are
/// late.
const LOSS_AND_DELAY: (u32, usize) = (20, 6);
/// Percentages of new items whose name any team may use.
const SHARED_NAMES: [u32; 3] = [0, 20, 60];

#[derive(Debug, Default)]
struct RuleTally {
    declared: u64,
    effective: u64,
    received: u64,
    stepped_down: u64,
    displaced: u64,
    diverged: u64,
}

/// Compares all rules and prints the results; the same seed gives the same figures.
pub fn measure_conflicts(seed: u64) -> Result<(), Box<dyn Error>> {
    for shared_names in SHARED_NAMES {
        for rule in ConflictRule::ALL {
            let mut tally = RuleTally::default();
            for number in 0..HISTORIES {
                run_history(rule, shared_names, seed.wrapping_add(number), &mut tally);
            }
            let share = tally.effective as f64 / tally.declared.max(1) as f64;
            println!(
                "{}",
                json!({
                    "measure": "conflicts",
                    "seed": seed,
                    "rule": rule.label(),
                    "shared_names_percent": shared_names,
                    "histories": HISTORIES,
                    "processes": PROCESSES,
                    "revisions_heard": tally.received,
                    "items_effective": (share * 10_000.0).round() / 10_000.0,
                    "stepped_down": tally.stepped_down,
                    "displaced_by_others": tally.displaced,
                    "diverged_histories": tally.diverged,
                })
            );
        }
    }
    Ok(())
}

fn run_history(rule: ConflictRule, shared_names: u32, seed: u64, tally: &mut RuleTally) {
    let mut random = StdRng::seed_from_u64(seed);
    let plan = HistoryPlan { teams: 8, submissions: 40, shared_names, invalid: 10 };
    let history = generate_history(plan, &mut random);
    let mut processes: Vec<_> = (0..PROCESSES).map(|_| RuleProcess::new(rule)).collect();
    for process in &mut processes {
        run_process(process, &sample_received(&history, LOSS_AND_DELAY, &mut random), tally);
    }
    let ends = processes.iter_mut().map(|process| settle(process, &history));
    let ends: BTreeSet<_> = ends.collect();
    tally.diverged += u64::from(ends.len() > 1);
}

/// Delivers the newest valid revision of each file to a process, as its peers do, and returns the
/// digest of the configuration then in force.
fn settle(process: &mut RuleProcess, history: &[DeclarationFile]) -> u64 {
    let mut all = FileSet::default();
    for file in history {
        all.offer(file.clone());
    }
    let mut digest = 0;
    for (_, record) in all.records() {
        if let Some(file) = record.valid() {
            digest = process.receive(file).digest().get();
        }
    }
    digest
}

fn run_process(process: &mut RuleProcess, received: &[DeclarationFile], tally: &mut RuleTally) {
    let mut previous = ConfigurationInForce::default();
    for file in received {
        let current = process.receive(file);
        tally.received += 1;
        tally.stepped_down += count_steps_down(&previous, &current);
        tally.displaced += count_displaced(&previous, &current, &file.name);
        let (declared, effective) = count_items(process.received(), &current);
        tally.declared += declared;
        tally.effective += effective;
        previous = current;
    }
}

fn count_steps_down(previous: &ConfigurationInForce, current: &ConfigurationInForce) -> u64 {
    let files = previous.files.iter();
    files.filter(|(name, revision)| current.files.get(*name) < Some(revision)).count() as u64
}

type ItemLocation<'a> = (&'a FileName, FileRevision, usize);

/// Returns the locations of all items in force that are not blocked by a conflict.
fn effective_locations(in_force: &ConfigurationInForce) -> BTreeSet<ItemLocation<'_>> {
    let blocked = in_force.blocked.iter().filter(|blocked| blocked.reason.is_conflict());
    let blocked: BTreeSet<_> = blocked.map(|blocked| &blocked.origin).collect();
    let organisations = in_force.organisations.values().map(|declared| &declared.origin);
    let origins = organisations
        .chain(in_force.models.values().map(|declared| &declared.origin))
        .chain(in_force.adapters.values().map(|declared| &declared.origin))
        .chain(in_force.servers.values().map(|declared| &declared.origin))
        .chain(in_force.routes.values().map(|declared| &declared.origin));
    origins
        .filter(|origin| !blocked.contains(origin))
        .map(|origin| (&origin.file, origin.revision, origin.line))
        .collect()
}

/// Counts the items that lost their effect although the submission was of another file.
fn count_displaced(
    previous: &ConfigurationInForce,
    current: &ConfigurationInForce,
    submitted: &FileName,
) -> u64 {
    let kept = effective_locations(current);
    let lost = effective_locations(previous)
        .into_iter()
        .filter(|location| location.0 != submitted && !kept.contains(location));
    lost.count() as u64
}

/// Counts the items in the newest valid revisions, and those of them with full effect.
fn count_items(received: &FileSet, in_force: &ConfigurationInForce) -> (u64, u64) {
    let locations = effective_locations(in_force);
    let (mut declared, mut effective) = (0, 0);
    for (name, record) in received.records() {
        let Some((file, parsed)) = record.valid().zip(record.parsed()) else { continue };
        declared += parsed.item_count() as u64;
        let newest =
            locations.iter().filter(|location| (location.0, location.1) == (name, file.revision));
        effective += newest.count() as u64;
    }
    (declared, effective)
}
