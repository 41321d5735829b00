//! Fencing numbers strictly increase and distinguish a successor from a predecessor.

use bolero::check;
use papayamux_coordination::orders::{
    FenceError, FenceObservation, FenceTracker, FENCE_CEILING, STEPS_PER_TERM,
};
use papayamux_state::ids::Incarnation;

/// Number of inputs per property. Trying them takes at least a second in a debug build.
const GENERATED_INPUTS: usize = 150_000;

fn started_at(seconds: u64) -> FenceTracker {
    FenceTracker::new(Incarnation::from((seconds * 1_000) << 20))
}

#[test]
fn issued_numbers_strictly_rise_above_all_reported_numbers() {
    let steps = check!().with_iterations(GENERATED_INPUTS).with_type::<(u32, Vec<(u8, u64)>)>();
    steps.for_each(|(seconds, steps)| {
        let mut tracker = started_at(u64::from(*seconds));
        let (mut last, mut seen) = (0, 0);
        for (kind, number) in steps {
            let number = number % FENCE_CEILING;
            match kind % 3 {
                0 if !tracker.is_established() => {
                    tracker.observe(Some(number));
                    seen = seen.max(number);
                }
                1 if !tracker.is_established() => {
                    tracker.record_refusal(number);
                    seen = seen.max(number);
                }
                _ => match tracker.issue(number) {
                    Ok(fence) => {
                        assert!(fence.get() > last && fence.get() < FENCE_CEILING);
                        let own = last != 0 && seen <= last;
                        assert!(own || fence.get() > seen, "{fence} is not above {seen}");
                        last = fence.get();
                    }
                    Err(error) => assert!(match error {
                        FenceError::Contended => true,
                        FenceError::Exhausted(_) => seen >= FENCE_CEILING - 4 * STEPS_PER_TERM,
                    }),
                },
            }
        }
    });
}

#[test]
fn agent_whose_clock_stepped_back_issues_numbers_above_its_predecessor() {
    let mut old = started_at(2_000);
    old.observe(None);
    let given = old.issue(7).unwrap();
    old.record_obeyed();
    let mut new = started_at(1_000);
    assert_eq!(new.observe(Some(given.get())), FenceObservation::Predecessor);
    let first = new.issue(7).unwrap();
    let late = (0..1_000).map(|_| old.issue(9).unwrap()).max().unwrap();
    assert!(first > late);
    new.record_obeyed();
    assert_eq!(new.observe(Some(late.get())), FenceObservation::LateOrder);
    assert_eq!(new.observe(Some(first.get())), FenceObservation::Own);
    assert_eq!(old.observe(Some(first.get())), FenceObservation::Successor);
    assert_eq!(new.observe(None), FenceObservation::Restarted);
}

#[test]
fn agent_refused_before_its_first_order_raises_its_term_until_contention_is_reported() {
    let mut tracker = started_at(10);
    assert_eq!(tracker.observe(None), FenceObservation::Unclaimed);
    let mut refusals = 0;
    let end = loop {
        match tracker.issue(0) {
            Ok(fence) => {
                assert_eq!(tracker.record_refusal(fence.get() + 1), FenceObservation::Predecessor)
            }
            Err(error) => break error,
        }
        refusals += 1;
    };
    assert_eq!((end, refusals), (FenceError::Contended, 16));
    let mut tracker = started_at(10);
    tracker.observe(Some(u64::MAX));
    assert_eq!(tracker.issue(0), Err(FenceError::Exhausted(u64::MAX)));
}
