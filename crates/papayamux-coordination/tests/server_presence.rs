//! Which servers are present through outages of the list.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

mod backend_servers;

use std::time::{Duration, Instant};

use backend_servers::server;
use papayamux_coordination::server_presence::{
    PresenceChange, ServerPresence, OUTAGE_THRESHOLD, RENEWAL_GRACE,
};
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::ids::{ServerId, ServerStart};

fn present_servers(presence: &ServerPresence) -> Vec<String> {
    let service = "llm".parse().unwrap();
    presence.catalog().of_service(&service).map(|server| server.id.to_string()).collect()
}

fn presence_of_two_servers(now: Instant) -> ServerPresence {
    let mut presence = ServerPresence::default();
    presence.record_contact(false, now);
    for id in ["a", "b"] {
        presence.record_entry(server(id, ServerPhase::Serving), now);
    }
    presence
}

#[test]
fn removal_while_the_list_is_available_is_a_departure() {
    let now = Instant::now();
    let mut presence = presence_of_two_servers(now);
    let later = now + Duration::from_millis(700);
    presence.record_contact(false, later);
    let change = presence.record_removal(&"a".parse().unwrap(), later);
    assert_eq!(change, PresenceChange::Departed);
    assert_eq!(present_servers(&presence), ["b"]);
}

#[test]
fn expiry_during_an_outage_is_revoked_by_a_renewal() {
    let now = Instant::now();
    let mut presence = presence_of_two_servers(now);
    let back = now + OUTAGE_THRESHOLD + Duration::from_secs(3);
    presence.record_contact(false, back);
    let expired = presence.record_list(Vec::new(), back);
    assert!(expired.iter().all(|(_, change)| *change == PresenceChange::Expired));
    assert_eq!(present_servers(&presence), ["a", "b"]);
    // One server renews within the grace period, the other one doesn't.
    let renewed = back + Duration::from_secs(1);
    presence.record_contact(false, renewed);
    presence.record_entry(server("b", ServerPhase::Serving), renewed);
    let over = back + RENEWAL_GRACE;
    assert_eq!(presence.remove_expired(over), ["a".parse().unwrap()]);
    assert_eq!(present_servers(&presence), ["b"]);
}

#[test]
fn grace_of_a_router_without_an_outage_is_adopted() {
    let now = Instant::now();
    let mut presence = presence_of_two_servers(now);
    presence.record_contact(true, now);
    presence.record_removal(&"a".parse().unwrap(), now);
    let soon = now + Duration::from_millis(300);
    assert_eq!(presence.adopt_grace(Duration::ZERO, soon), ["a".parse().unwrap()]);
    assert_eq!(present_servers(&presence), ["b"]);
    // A later removal counts as a departure at once.
    assert_eq!(presence.record_removal(&"b".parse().unwrap(), soon), PresenceChange::Departed);
}

#[test]
fn adopted_grace_is_never_extended() {
    let now = Instant::now();
    let mut presence = presence_of_two_servers(now);
    presence.record_contact(true, now);
    presence.record_removal(&"a".parse().unwrap(), now);
    let left = presence.grace_left(now + Duration::from_millis(500));
    assert_eq!(left, RENEWAL_GRACE - Duration::from_millis(500));
    let mut follower = presence_of_two_servers(now);
    let received_at = now + Duration::from_millis(510);
    assert!(follower.adopt_grace(left, received_at).is_empty());
    assert_eq!(
        follower.record_removal(&"a".parse().unwrap(), received_at),
        PresenceChange::Expired
    );
    assert_eq!(follower.remove_expired(received_at + left), ["a".parse().unwrap()]);
    // A longer grace period doesn't keep a server that was to be removed sooner.
    presence.adopt_grace(Duration::from_secs(9), received_at);
    assert_eq!(presence.remove_expired(now + RENEWAL_GRACE), ["a".parse().unwrap()]);
}

#[test]
fn adopted_expiry_ends_with_the_time_that_is_left() {
    let now = Instant::now();
    let mut presence = presence_of_two_servers(now);
    let [a, b] = ["a", "b"].map(|id| server(id, ServerPhase::Serving));
    let left = Duration::from_millis(600);
    let change_of = |change: Option<(ServerId, PresenceChange)>| change.map(|(_, change)| change);
    let expired = presence.adopt_expiry(&a, left, now);
    assert_eq!(change_of(expired), Some(PresenceChange::Expired));
    // A later end that another router reports changes nothing.
    let extended = presence.adopt_expiry(&a, left * 2, now);
    assert_eq!(change_of(extended), Some(PresenceChange::Unchanged));
    assert_eq!(presence.remove_expired(now + left), ["a".parse().unwrap()]);
    // Without any time left, the server has departed. It doesn't come back.
    let departed = presence.adopt_expiry(&b, Duration::ZERO, now);
    assert_eq!(change_of(departed), Some(PresenceChange::Departed));
    assert_eq!(presence.adopt_expiry(&b, left, now), None);
    assert!(present_servers(&presence).is_empty());
}

#[test]
fn expiry_of_another_start_is_a_departure() {
    let now = Instant::now();
    let mut presence = ServerPresence::default();
    presence.record_entry(started(5), now);
    let change = presence.adopt_expiry(&started(9), Duration::from_secs(1), now);
    assert_eq!(change, Some((started(5).id, PresenceChange::Departed)));
    assert!(present_servers(&presence).is_empty());
}

#[test]
fn copy_of_the_list_undoes_no_departure() {
    let now = Instant::now();
    let mut presence = presence_of_two_servers(now);
    let listed = ["a", "b", "c"].map(|id| server(id, ServerPhase::Serving));
    presence.record_removal(&"a".parse().unwrap(), now);
    presence.record_entry(server("b", ServerPhase::Draining), now);
    presence.record_contact(true, now);
    let changes = presence.record_restored_list(listed.to_vec(), now);
    assert_eq!(changes, [("c".parse().unwrap(), PresenceChange::Arrived)]);
    let phase = |presence: &ServerPresence, id: &str| {
        presence.catalog().get(&id.parse().unwrap()).map(|server| server.phase)
    };
    assert_eq!(phase(&presence, "a"), None);
    assert_eq!(phase(&presence, "b"), Some(ServerPhase::Draining));
    // A server that writes its entry again is there after all, also in a later copy.
    let renewed = presence.record_entry(server("a", ServerPhase::Serving), now);
    assert_eq!(renewed, [("a".parse().unwrap(), PresenceChange::Arrived)]);
    assert!(presence.record_restored_list(listed.to_vec(), now).is_empty());
    assert_eq!(present_servers(&presence), ["a", "b", "c"]);
}

#[test]
fn draining_server_gets_no_grace() {
    let now = Instant::now();
    let mut presence = presence_of_two_servers(now);
    presence.record_entry(server("a", ServerPhase::Draining), now);
    let back = now + OUTAGE_THRESHOLD * 3;
    presence.record_contact(false, back);
    let change = presence.record_removal(&"a".parse().unwrap(), back);
    assert_eq!(change, PresenceChange::Departed);
}

#[test]
fn failed_read_is_an_outage_however_short() {
    let now = Instant::now();
    let mut presence = presence_of_two_servers(now);
    let back = now + Duration::from_millis(900);
    presence.record_contact(true, back);
    assert_eq!(presence.record_removal(&"a".parse().unwrap(), back), PresenceChange::Expired);
}

#[test]
fn short_silence_is_no_outage() {
    let now = Instant::now();
    let mut presence = presence_of_two_servers(now);
    let back = now + OUTAGE_THRESHOLD;
    presence.record_contact(false, back);
    assert_eq!(presence.record_removal(&"a".parse().unwrap(), back), PresenceChange::Departed);
}

/// Returns the server "a" as it reports itself after it started at `start`.
fn started(start: u64) -> BackendServer {
    let server = server("a", ServerPhase::Serving);
    let start = Some(ServerStart(start));
    BackendServer { id: ServerId::of_start(&server.name, start), start, ..server }
}

/// The interval at which the servers of these tests renew their entries.
const RENEWAL: Duration = Duration::from_millis(1_200);

#[test]
fn restarted_server_is_a_new_server() {
    let now = Instant::now();
    let mut presence = ServerPresence::default();
    presence.record_entry(started(5), now);
    let changes = presence.record_entry(started(9), now + RENEWAL);
    let expected =
        [(started(5).id, PresenceChange::Restarted), (started(9).id, PresenceChange::Arrived)];
    assert_eq!(changes, expected);
    assert_eq!(present_servers(&presence), ["a#9"]);
    // A list that shows the new start has the same effect.
    let changes = presence.record_list(vec![started(12)], now + RENEWAL * 2);
    assert_eq!(changes[0], (started(9).id, PresenceChange::Restarted));
    assert_eq!(present_servers(&presence), ["a#12"]);
}

#[test]
fn first_reported_start_is_a_new_server() {
    let now = Instant::now();
    let mut presence = presence_of_two_servers(now);
    presence.record_entry(started(5), now);
    assert_eq!(present_servers(&presence), ["a#5", "b"]);
    // An entry without a start has no effect once a start is known.
    let changes = presence.record_entry(server("a", ServerPhase::Draining), now);
    assert_eq!(changes[0].1, PresenceChange::Outdated);
    assert_eq!(present_servers(&presence), ["a#5", "b"]);
}

#[test]
fn late_write_of_an_earlier_start_changes_nothing() {
    let now = Instant::now();
    let mut presence = ServerPresence::default();
    presence.record_entry(started(9), now);
    for renewal in 1..20 {
        let at = now + RENEWAL * renewal;
        let late = presence.record_entry(started(5), at - Duration::from_millis(1));
        assert_eq!(late, [(started(5).id, PresenceChange::Outdated)]);
        assert_eq!(presence.record_entry(started(9), at)[0].1, PresenceChange::Unchanged);
    }
}

#[test]
fn server_whose_clock_was_set_back_is_accepted_again() {
    let now = Instant::now();
    let mut presence = ServerPresence::default();
    presence.record_entry(started(9), now);
    let shown = (0..4).map(|renewal| {
        presence.record_entry(started(5), now + RENEWAL * renewal);
        present_servers(&presence).remove(0)
    });
    assert_eq!(shown.collect::<Vec<_>>(), ["a#9", "a#9", "a#5", "a#5"]);
}

#[test]
fn overwritten_entry_is_a_departure() {
    let now = Instant::now();
    let mut presence = presence_of_two_servers(now);
    presence.record_contact(true, now);
    assert_eq!(presence.record_overwrite(&"a".parse().unwrap()), PresenceChange::Departed);
    assert_eq!(present_servers(&presence), ["b"]);
    assert_eq!(presence.record_overwrite(&"a".parse().unwrap()), PresenceChange::Unchanged);
}
