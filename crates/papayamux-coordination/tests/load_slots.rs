//! The loads of a fleet stay within the weight store's rate.

#![allow(clippy::unwrap_used, reason = "a test, which may panic")]

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bolero::check;
use papayamux_coordination::orders::{LoadBackoff, LoadRate, LoadSlots, MAX_SLOT_LATENESS};
use papayamux_state::ids::ServerId;
use papayamux_state::weights::{WeightsKind, WeightsRef};

/// Number of inputs per property. Trying them takes at least a second in a debug build.
const GENERATED_INPUTS: usize = 5_000;

const SECOND: Duration = Duration::from_secs(1);

fn fleet(size: u8) -> BTreeSet<ServerId> {
    (0..size).map(|index| format!("engine-{index}").parse().unwrap()).collect()
}

#[test]
fn loads_never_exceed_the_rate_in_any_second_even_when_late() {
    check!().with_iterations(GENERATED_INPUTS).with_type::<(u8, u8, Vec<u8>)>().for_each(
        |(size, rate, lateness)| {
            let fleet = fleet(size % 40 + 1);
            let rate = LoadRate::try_from(u64::from(rate % 30 + 1)).unwrap();
            let mut loads = Vec::new();
            for (engine_index, server) in fleet.iter().enumerate() {
                let slots = LoadSlots::new(server, &fleet, rate);
                let mut now = Duration::from_secs(1_700_000_000);
                for round in 0..4 {
                    now += slots.until_next(now);
                    assert!(slots.open_slot(now).is_some());
                    let delay = lateness.get(engine_index * 4 + round).copied().unwrap_or_default();
                    let delay = MAX_SLOT_LATENESS * u32::from(delay) / 255;
                    let same = slots.open_slot(now + delay) == slots.open_slot(now);
                    assert!(same || delay >= slots.frame());
                    loads.push(now + delay);
                }
            }
            loads.sort_unstable();
            for (index, load) in loads.iter().enumerate() {
                let within =
                    loads[index..].iter().take_while(|other| **other < *load + SECOND).count();
                assert!(within as u64 <= rate.get(), "{within} loads in one second");
            }
        },
    );
}

#[test]
fn each_engine_has_a_slot_of_its_own() {
    let (fleet, rate) = (fleet(50), LoadRate::try_from(10).unwrap());
    let now = Duration::from_secs(1_700_000_000);
    let waits: BTreeSet<_> =
        fleet.iter().map(|server| LoadSlots::new(server, &fleet, rate).until_next(now)).collect();
    assert_eq!(waits.len(), fleet.len());
}

#[test]
fn backoff_grows_to_its_maximum_and_is_forgotten() {
    let (mut backoff, now) = (LoadBackoff::default(), Instant::now());
    let weights = WeightsRef { kind: WeightsKind::Model, name: "itinerary".to_string() };
    let pauses: Vec<_> = (0..12).map(|_| backoff.record_failure(&weights, now, 1.0)).collect();
    assert!(pauses.is_sorted() && pauses[0] < pauses[1]);
    assert_eq!(pauses.last(), Some(&Duration::from_secs(60)));
    assert!(!backoff.may_try(&weights, now) && backoff.may_try(&weights, now + pauses[11]));
    backoff.keep_only(|_| false);
    assert!(backoff.may_try(&weights, now));
}
