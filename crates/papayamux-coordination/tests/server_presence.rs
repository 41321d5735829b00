//! Which servers are believed to be there through outages of the list.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

mod backend_servers;

use std::time::{Duration, Instant};

use backend_servers::server;
use papayamux_coordination::server_presence::{
    PresenceChange, ServerPresence, OUTAGE_THRESHOLD, RENEWAL_GRACE,
};
use papayamux_state::backend::ServerPhase;

fn known(presence: &ServerPresence) -> Vec<String> {
    let service = "llm".parse().unwrap();
    presence.catalog().of_service(&service).map(|server| server.id.to_string()).collect()
}

fn begin(now: Instant) -> ServerPresence {
    let mut presence = ServerPresence::default();
    presence.note_contact(false, now);
    for id in ["a", "b"] {
        presence.note_entry(server(id, ServerPhase::Serving));
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
    presence.note_entry(server("b", ServerPhase::Serving));
    let over = back + RENEWAL_GRACE;
    assert_eq!(presence.expire_lapsed(over), ["a".parse().unwrap()]);
    assert_eq!(known(&presence), ["b"]);
}

#[test]
fn server_that_was_draining_does_not_come_back() {
    let now = Instant::now();
    let mut presence = begin(now);
    presence.note_entry(server("a", ServerPhase::Draining));
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
