//! The order of the queue, and which entries it displaces.

use papayamux_coordination::fair_queue::{FairQueue, PushOutcome, QueueEntry};
use papayamux_state::ids::{IdError, OrganisationId};

/// Inputs for each property: at least as many as run within a second in a debug build.
const GENERATED_INPUTS: usize = 25_000;

type Item = (&'static str, u32);

fn entry(organisation: &'static str, number: u32) -> Result<QueueEntry<Item>, IdError> {
    let name: OrganisationId = organisation.parse()?;
    Ok(QueueEntry { priority: 2, organisation: name, share: 1, item: (organisation, number) })
}

fn count(queue: &mut FairQueue<Item>, pops: usize, organisation: &str) -> usize {
    (0..pops).filter(|_| queue.pop().is_some_and(|(name, _)| name == organisation)).count()
}

#[test]
fn surging_organisation_does_not_delay_others() -> Result<(), IdError> {
    let mut queue = FairQueue::new(1_000);
    for number in 0..500 {
        queue.push(entry("surging", number)?);
    }
    for number in 0..10 {
        queue.push(entry("steady", number)?);
    }
    assert_eq!(count(&mut queue, 20, "steady"), 10);
    Ok(())
}

#[test]
fn organisations_are_served_by_their_shares() -> Result<(), IdError> {
    let mut queue = FairQueue::new(1_000);
    for number in 0..100 {
        queue.push(entry("small", number)?);
        queue.push(QueueEntry { share: 3, ..entry("large", number)? });
    }
    let large = count(&mut queue, 80, "large");
    assert!((59..=61).contains(&large), "{large}");
    Ok(())
}

#[test]
fn full_queue_displaces_the_surging_organisation() -> Result<(), IdError> {
    let mut queue = FairQueue::new(10);
    for number in 0..10 {
        queue.push(entry("surging", number)?);
    }
    assert_eq!(queue.push(entry("steady", 0)?), PushOutcome::Displaced(("surging", 9)));
    assert_eq!(queue.push(entry("surging", 10)?), PushOutcome::Full(("surging", 10)));
    assert_eq!(queue.len(), 10);
    Ok(())
}

#[test]
fn surge_displaces_no_organisation_below_its_share() {
    bolero::check!().with_iterations(GENERATED_INPUTS).with_type::<Vec<(bool, u8)>>().for_each(
        |steps| {
            const CAPACITY: usize = 12;
            const NAMES: [&str; 3] = ["one", "two", "three"];
            let mut queue = FairQueue::new(CAPACITY);
            let mut waiting = [0_usize; 3];
            let index_of = |name: &str| NAMES.iter().position(|known| *known == name);
            for (push, choice) in steps {
                let index = usize::from(*choice) % NAMES.len();
                if !push {
                    if let Some(index) = queue.pop().and_then(|(name, _)| index_of(name)) {
                        waiting[index] -= 1;
                    }
                    continue;
                }
                let Ok(entry) = entry(NAMES[index], 0) else { return };
                match queue.push(entry) {
                    PushOutcome::Queued => waiting[index] += 1,
                    PushOutcome::Displaced((name, _)) => {
                        let Some(victim) = index_of(name) else { return };
                        assert!(waiting[victim] > CAPACITY / NAMES.len());
                        waiting[victim] -= 1;
                        waiting[index] += 1;
                    }
                    PushOutcome::Full(_) => assert!(waiting[index] >= CAPACITY / NAMES.len()),
                }
                assert_eq!(queue.len(), waiting.iter().sum::<usize>());
            }
        },
    );
}

#[test]
fn priority_classes_are_ordered_and_the_lowest_is_displaced() -> Result<(), IdError> {
    let mut queue = FairQueue::new(2);
    queue.push(entry("itineraries", 0)?);
    queue.push(entry("itineraries", 1)?);
    let gate = QueueEntry { priority: 0, ..entry("gates", 0)? };
    assert_eq!(queue.push(gate), PushOutcome::Displaced(("itineraries", 1)));
    assert_eq!(queue.pop(), Some(("gates", 0)));
    assert_eq!(queue.pop(), Some(("itineraries", 0)));
    assert_eq!(queue.pop(), None);
    Ok(())
}
