//! Servers that leave while readers return from a partition.

use super::fleet::Fleet;

/// Maximum time from the removal of a server's entry until all routers in touch know it, in milliseconds.
const DEADLINE: u64 = 1_200;
/// Maximum time until the returned readers know it too, in milliseconds: the tightest bound on draining
/// servers.
const RETURNED_DEADLINE: u64 = 2_000;
/// Duration of a partition, in milliseconds.
const PARTITION: u64 = 8_000;

/// Returns the time until no router apart from `others` uses the server any more.
fn time_until_known(fleet: &mut Fleet, others: &[usize]) -> u64 {
    while fleet.users_besides(others) > 0 {
        fleet.run(10);
        assert!(fleet.now - fleet.departs_at < 10_000, "the departure stays unknown");
    }
    fleet.now - fleet.departs_at
}

/// A reader that was cut off keeps servers whose entries may have lapsed for lack of the store. It was the
/// first in the order, so that all others followed it as soon as it was back, and kept them as well.
#[test]
fn departure_is_known_in_time_when_isolated_readers_return() {
    // The largest fleets take minutes, and play the latest departure behind the first pair alone.
    let pairs = [(0, 1), (0, 2), (1, 2)];
    let offsets = [0, 100, 200, 300];
    for (routers, pairs, offsets) in [
        (6, &pairs[..], &offsets[..]),
        (30, &pairs[..], &offsets[..]),
        (300, &pairs[..1], &offsets[3..]),
        (1_000, &pairs[..1], &offsets[3..]),
    ] {
        for &(first, second) in pairs {
            for &offset in offsets {
                let mut fleet = Fleet::start(routers);
                fleet.run(5_000);
                let readers = fleet.readers();
                let cut = [first, second].map(|index| readers[index.min(readers.len() - 1)]);
                fleet.isolated = cut.into();
                fleet.run(PARTITION);
                fleet.isolated.clear();
                fleet.departs_at = fleet.now + offset;
                fleet.run(offset);
                let elapsed = time_until_known(&mut fleet, &cut);
                let elapsed_for_all = time_until_known(&mut fleet, &[]);
                assert!(elapsed_for_all <= RETURNED_DEADLINE, "{routers}: {elapsed_for_all} ms");
                assert!(
                    elapsed <= DEADLINE,
                    "{routers} routers, readers {first} and {second}, {offset} ms after their \
                     return: {elapsed} ms"
                );
            }
        }
    }
}

#[test]
fn departure_is_known_in_time_when_a_third_reaches_the_source_again() {
    for routers in [6, 30, 356, 712] {
        for remainder in 0..3 {
            let mut fleet = Fleet::start(routers);
            fleet.run(5_000);
            fleet.cut_off = (0..routers as usize).filter(|index| index % 3 == remainder).collect();
            fleet.run(PARTITION);
            let (before, from) = (fleet.calls, fleet.now);
            fleet.cut_off.clear();
            fleet.departs_at = fleet.now + 100;
            fleet.run(100);
            let elapsed = time_until_known(&mut fleet, &[]);
            assert!(elapsed <= DEADLINE, "{routers} routers, every {remainder}.: {elapsed} ms");
            fleet.run(2_000);
            let a_second = (fleet.calls - before) as f64 * 1_000.0 / (fleet.now - from) as f64;
            assert!(a_second <= 30.0, "{routers} routers: {a_second} calls a second");
        }
    }
}

/// Entries that have lapsed while the source was away for all must not be given up before they can be
/// renewed.
#[test]
fn lapsed_entry_is_kept_for_all_when_the_source_returns() {
    for routers in [6, 30, 300] {
        let mut fleet = Fleet::start(routers);
        fleet.run(5_000);
        fleet.source_is_away = true;
        fleet.departs_at = fleet.now + 3_000;
        fleet.run(PARTITION);
        fleet.source_is_away = false;
        for _ in 0..150 {
            fleet.run(10);
            assert_eq!(fleet.users_besides(&[]), routers as usize, "{routers} routers");
        }
        fleet.run(2_500);
        assert_eq!(fleet.users_besides(&[]), 0, "{routers} routers");
    }
}
