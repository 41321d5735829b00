//! Which servers are believed to be there through outages of the list.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

mod backend_servers;

use std::time::{Duration, Instant};

use backend_servers::server;
use papayamux_coordination::server_presence::{
    PresenceChange, ServerPresence, OUTAGE_THRESHOLD, RENEWAL_GRACE,
};
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::ids::{ServerId, ServerStart};

fn known(presence: &ServerPresence) -> Vec<String> {
    let service = "llm".parse().unwrap();
    presence.catalog().of_service(&service).map(|server| server.id.to_string()).collect()
}

fn begin(now: Instant) -> ServerPresence {
    let mut presence = ServerPresence::default();
    presence.note_contact(false, now);
    for id in ["a", "b"] {
        presence.note_entry(server(id, ServerPhase::Serving), now);
    }
    presence
}

#[test]
fn removal_while_the_list_is_there_is_a_departure_at_once() {
    let now = Instant::now();
    let mut presence = begin(now);
    let later = now + Duration::from_millis(700);
    presence.note_contact(false, later);
    let change = presence.note_removal(&"a".parse().unwrap(), later);
    assert_eq!(change, PresenceChange::Departed);
    assert_eq!(known(&presence), ["b"]);
}

#[test]
fn lapse_during_an_outage_may_be_taken_back() {
    let now = Instant::now();
    let mut presence = begin(now);
    let back = now + OUTAGE_THRESHOLD + Duration::from_secs(3);
    presence.note_contact(false, back);
    let lapsed = presence.note_list(Vec::new(), back);
    assert!(lapsed.iter().all(|(_, change)| *change == PresenceChange::Lapsed));
    assert_eq!(known(&presence), ["a", "b"]);
    // One renews within the grace, the other doesn't.
    let renewed = back + Duration::from_secs(1);
    presence.note_contact(false, renewed);
    presence.note_entry(server("b", ServerPhase::Serving), renewed);
    let over = back + RENEWAL_GRACE;
    assert_eq!(presence.expire_lapsed(over), ["a".parse().unwrap()]);
    assert_eq!(known(&presence), ["b"]);
}

#[test]
fn grace_of_a_router_that_was_not_cut_off_is_taken_over() {
    let now = Instant::now();
    let mut presence = begin(now);
    presence.note_contact(true, now);
    presence.note_removal(&"a".parse().unwrap(), now);
    let soon = now + Duration::from_millis(300);
    assert_eq!(presence.adopt_grace(Duration::ZERO, soon), ["a".parse().unwrap()]);
    assert_eq!(known(&presence), ["b"]);
    // What leaves from now on has left.
    assert_eq!(presence.note_removal(&"b".parse().unwrap(), soon), PresenceChange::Departed);
}

#[test]
fn grace_of_others_is_never_stretched_on_its_way() {
    let now = Instant::now();
    let mut presence = begin(now);
    presence.note_contact(true, now);
    presence.note_removal(&"a".parse().unwrap(), now);
    let left = presence.grace_left(now + Duration::from_millis(500));
    assert_eq!(left, RENEWAL_GRACE - Duration::from_millis(500));
    let mut told = begin(now);
    let heard = now + Duration::from_millis(510);
    assert!(told.adopt_grace(left, heard).is_empty());
    assert_eq!(told.note_removal(&"a".parse().unwrap(), heard), PresenceChange::Lapsed);
    assert_eq!(told.expire_lapsed(heard + left), ["a".parse().unwrap()]);
    // A longer one doesn't hold what was to be given up sooner.
    presence.adopt_grace(Duration::from_secs(9), heard);
    assert_eq!(presence.expire_lapsed(now + RENEWAL_GRACE), ["a".parse().unwrap()]);
}

#[test]
fn server_that_was_draining_does_not_come_back() {
    let now = Instant::now();
    let mut presence = begin(now);
    presence.note_entry(server("a", ServerPhase::Draining), now);
    let back = now + OUTAGE_THRESHOLD * 3;
    presence.note_contact(false, back);
    let change = presence.note_removal(&"a".parse().unwrap(), back);
    assert_eq!(change, PresenceChange::Departed);
}

#[test]
fn failed_read_is_an_outage_however_short() {
    let now = Instant::now();
    let mut presence = begin(now);
    let back = now + Duration::from_millis(900);
    presence.note_contact(true, back);
    assert_eq!(presence.note_removal(&"a".parse().unwrap(), back), PresenceChange::Lapsed);
}

#[test]
fn short_silence_is_no_outage() {
    let now = Instant::now();
    let mut presence = begin(now);
    let back = now + OUTAGE_THRESHOLD;
    presence.note_contact(false, back);
    assert_eq!(presence.note_removal(&"a".parse().unwrap(), back), PresenceChange::Departed);
}

/// The server "a" as it says after it started at `start`.
fn started(start: u64) -> BackendServer {
    let server = server("a", ServerPhase::Serving);
    let start = Some(ServerStart(start));
    BackendServer { id: ServerId::of_start(&server.name, start), start, ..server }
}

/// How often the servers of these tests renew their entries.
const RENEWAL: Duration = Duration::from_millis(1_200);

#[test]
fn server_that_starts_again_is_another_one() {
    let now = Instant::now();
    let mut presence = ServerPresence::default();
    presence.note_entry(started(5), now);
    let changes = presence.note_entry(started(9), now + RENEWAL);
    let expected =
        [(started(5).id, PresenceChange::Restarted), (started(9).id, PresenceChange::Arrived)];
    assert_eq!(changes, expected);
    assert_eq!(known(&presence), ["a#9"]);
    // A list that shows it says the same.
    let changes = presence.note_list(vec![started(12)], now + RENEWAL * 2);
    assert_eq!(changes[0], (started(9).id, PresenceChange::Restarted));
    assert_eq!(known(&presence), ["a#12"]);
}

#[test]
fn start_that_is_told_of_for_the_first_time_is_a_new_one() {
    let now = Instant::now();
    let mut presence = begin(now);
    presence.note_entry(started(5), now);
    assert_eq!(known(&presence), ["a#5", "b"]);
    // Who doesn't tell a start any more is not believed over one that did.
    let changes = presence.note_entry(server("a", ServerPhase::Draining), now);
    assert_eq!(changes[0].1, PresenceChange::Outdated);
    assert_eq!(known(&presence), ["a#5", "b"]);
}

#[test]
fn write_of_an_earlier_start_that_is_done_late_changes_nothing() {
    let now = Instant::now();
    let mut presence = ServerPresence::default();
    presence.note_entry(started(9), now);
    for renewal in 1..20 {
        let at = now + RENEWAL * renewal;
        let late = presence.note_entry(started(5), at - Duration::from_millis(1));
        assert_eq!(late, [(started(5).id, PresenceChange::Outdated)]);
        assert_eq!(presence.note_entry(started(9), at)[0].1, PresenceChange::Unchanged);
    }
}

#[test]
fn server_whose_clock_was_set_back_is_found_again() {
    let now = Instant::now();
    let mut presence = ServerPresence::default();
    presence.note_entry(started(9), now);
    let shown = (0..4).map(|renewal| {
        presence.note_entry(started(5), now + RENEWAL * renewal);
        known(&presence).remove(0)
    });
    assert_eq!(shown.collect::<Vec<_>>(), ["a#9", "a#9", "a#5", "a#5"]);
}

#[test]
fn overwritten_entry_is_no_lapse() {
    let now = Instant::now();
    let mut presence = begin(now);
    presence.note_contact(true, now);
    assert_eq!(presence.note_overwritten(&"a".parse().unwrap()), PresenceChange::Departed);
    assert_eq!(known(&presence), ["b"]);
    assert_eq!(presence.note_overwritten(&"a".parse().unwrap()), PresenceChange::Unchanged);
}
