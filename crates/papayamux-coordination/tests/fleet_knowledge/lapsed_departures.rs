//! Servers that leave after an outage of the source, while routers still keep entries that may be renewed. The
//! source may come back from a copy, at lower revisions.

use super::fleet::Fleet;

/// Maximum time from the removal of a server's entry until all routers know it, in milliseconds, if no router
/// keeps expired entries any more.
const DEADLINE: u64 = 1_200;
/// Time for which a router keeps expired entries after its return, in milliseconds.
const RENEWAL_GRACE: u64 = 2_000;
/// Duration of the outage, in milliseconds.
const OUTAGE: u64 = 4_000;

/// Age of the copy from which the source is restored, in milliseconds.
const COPY_AGE: u64 = 6_000;

/// Plays outages that end while a server leaves: at 0 to 3.5 s after the return for small fleets, in between for
/// large ones. A third of the routers are turned away for longer, and learn from the others what these have read
/// since. Some of the others still keep the server.
fn play_overlapping_outages(end_outage: impl Fn(&mut Fleet)) {
    let all_offsets = [0, 400, 800, 1_200, 1_600, 2_000, 2_600, 3_500];
    for (routers, offsets) in [
        (6, &all_offsets[..]),
        (30, &all_offsets[..]),
        (356, &all_offsets[2..4]),
        (712, &all_offsets[2..3]),
    ] {
        for turned_away in [600, 2_200] {
            for offset in offsets {
                let mut fleet = Fleet::start(routers);
                fleet.run(5_000);
                fleet.source_is_away = true;
                fleet.run(OUTAGE);
                end_outage(&mut fleet);
                fleet.source_is_away = false;
                let ended = fleet.now + turned_away;
                fleet.cut_off = (0..routers as usize).filter(|index| index % 3 == 0).collect();
                fleet.departs_at = fleet.now + offset;
                fleet.run(turned_away);
                fleet.cut_off.clear();
                let deadline = fleet.departs_at.max(ended + RENEWAL_GRACE) + DEADLINE;
                fleet.run(deadline - fleet.now);
                let users = fleet.users_besides(&[]);
                assert_eq!(users, 0, "{routers} routers, {turned_away} ms, leaves at {offset} ms");
            }
        }
    }
}

#[test]
fn departure_is_known_to_all_after_outages_that_overlap() {
    play_overlapping_outages(|_| {});
}

/// Routers that have not read the source since stand at revisions that it doesn't have any more, or gives out
/// again.
#[test]
fn departure_is_known_to_all_after_a_restore_from_a_copy() {
    play_overlapping_outages(|fleet| fleet.restore_source(COPY_AGE));
}
