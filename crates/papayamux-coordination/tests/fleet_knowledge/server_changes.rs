//! Changes of servers reach followers completely and in order, whichever router they follow.

use std::rc::Rc;
use std::time::Instant;

use papayamux_coordination::fleet_knowledge::{ServerChange, ServerChangeLog, ServerChangeSpan};
use papayamux_coordination::server_presence::{PresenceChange, ServerPresence};
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::ids::{ServerId, ServerName, ServerStart};
use papayamux_state::source::{SourceEra, SourcePosition};

/// Number of inputs.
const GENERATED_INPUTS: usize = 4_000;
/// Size of an input in bytes, enough for about 200 steps.
const STEPS_BYTES: usize = 512;

pub fn server(name: &str, start: u64, phase: ServerPhase) -> BackendServer {
    let name: ServerName = name.parse().unwrap();
    let start = Some(ServerStart(start));
    BackendServer {
        id: ServerId::of_start(&name, start),
        name,
        start,
        service: "chat".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "here".parse().unwrap(),
        slots: 16,
        phase,
        software: "v1".parse().ok(),
        cold_left: std::time::Duration::ZERO,
    }
}

pub fn serving(name: &str) -> BackendServer {
    server(name, 1, ServerPhase::Serving)
}

fn at(position: u64) -> SourcePosition {
    SourcePosition::new(SourceEra::default(), position)
}

/// A router's servers, with its change log.
#[derive(Default)]
struct RouterModel {
    presence: ServerPresence,
    change_log: ServerChangeLog,
}

impl RouterModel {
    fn put(&mut self, server: BackendServer) {
        // A start that replaces another one is adopted at once here.
        match self.presence.id_of(&server.name).is_some_and(|known| known != server.id) {
            true => drop(self.presence.adopt(server)),
            false => drop(self.presence.record_entry(server, Instant::now())),
        }
    }

    fn remove(&mut self, name: &str) {
        let name = name.parse().unwrap();
        if let Some(id) = self.presence.id_of(&name) {
            self.presence.record_overwrite(&id);
        }
        self.change_log.record_departure(name);
    }

    fn record(&mut self, position: u64) {
        self.change_log.record(&self.presence, at(position), |_| false);
    }

    fn adopt(&mut self, span: ServerChangeSpan) {
        for change in span.changes {
            match change {
                ServerChange::Present(server) => drop(self.presence.adopt((*server).clone())),
                ServerChange::Expired(server) => panic!("no entry of {} expires", server.name),
                ServerChange::Departed { name, .. } => self.remove(&name.to_string()),
            }
        }
        self.record(span.position.revision);
    }

    fn position(&self) -> SourcePosition {
        self.change_log.position().unwrap()
    }
}

#[test]
fn span_has_one_current_entry_per_server() {
    let mut reader = RouterModel::default();
    reader.put(serving("i-1"));
    reader.put(serving("i-2"));
    reader.record(10);
    reader.put(server("i-1", 1, ServerPhase::Draining));
    reader.record(12);
    reader.remove("i-1");
    reader.put(serving("i-3"));
    reader.record(15);
    let span = reader.change_log.since(at(10)).unwrap();
    let departed = ServerChange::Departed { name: "i-1".parse().unwrap(), terminating: false };
    assert_eq!(span.changes, [departed, ServerChange::Present(Rc::new(serving("i-3")))]);
    assert!(reader.change_log.since(at(15)).unwrap().changes.is_empty());
}

/// The follower may have removed the server in the meantime, and an update may overtake its own read of the
/// returned entry.
#[test]
fn server_whose_expired_entry_returned_is_reported_again() {
    let mut reader = RouterModel::default();
    let back = Instant::now();
    reader.put(serving("i-1"));
    reader.record(10);
    let id = reader.presence.id_of(&"i-1".parse().unwrap()).unwrap();
    reader.presence.record_contact(true, back);
    assert_eq!(reader.presence.record_removal(&id, back), PresenceChange::Expired);
    reader.record(12);
    let mut follower = RouterModel::default();
    follower.put(serving("i-1"));
    follower.remove("i-1");
    follower.record(13);
    reader.put(serving("i-1"));
    reader.record(14);
    follower.adopt(reader.change_log.since(follower.position()).unwrap());
    assert!(follower.presence.id_of(&"i-1".parse().unwrap()).is_some());
    assert_eq!(follower.change_log.digest(), reader.change_log.digest());
}

/// The reader saw the expiry and the return in one read, or the return alone.
#[test]
fn server_expired_only_at_a_follower_is_reported_again() {
    let back = Instant::now();
    let mut reader = RouterModel::default();
    reader.put(serving("i-1"));
    reader.record(10);
    reader.presence.record_contact(true, back);
    let mut follower = RouterModel::default();
    follower.put(serving("i-1"));
    follower.presence.record_contact(true, back);
    let id = follower.presence.id_of(&"i-1".parse().unwrap()).unwrap();
    assert_eq!(follower.presence.record_removal(&id, back), PresenceChange::Expired);
    follower.record(12);
    reader.put(serving("i-1"));
    reader.record(14);
    follower.adopt(reader.change_log.since(follower.position()).unwrap());
    assert!(!follower.presence.awaits_renewals(), "the server is known to have returned");
}

#[test]
fn positions_outside_the_known_range_have_no_span() {
    let mut reader = RouterModel::default();
    reader.put(serving("i-1"));
    reader.record(10);
    assert!(
        reader.change_log.since(at(9)).is_none(),
        "a server may have departed before the first read"
    );
    assert!(reader.change_log.since(at(11)).is_none(), "the follower is ahead of the reader");
    assert!(ServerChangeLog::default().since(at(0)).is_none());
}

#[test]
fn returning_server_is_reported_as_present() {
    let mut reader = RouterModel::default();
    reader.put(serving("i-1"));
    reader.record(1);
    reader.remove("i-1");
    reader.record(2);
    reader.put(server("i-1", 2, ServerPhase::Serving));
    reader.record(3);
    let present = ServerChange::Present(Rc::new(server("i-1", 2, ServerPhase::Serving)));
    assert_eq!(reader.change_log.since(at(1)).unwrap().changes, [present]);
}

#[test]
fn server_added_and_removed_between_two_reads_is_reported_as_departed() {
    let mut reader = RouterModel::default();
    reader.record(1);
    reader.put(serving("i-1"));
    reader.remove("i-1");
    reader.record(9);
    let departed = ServerChange::Departed { name: "i-1".parse().unwrap(), terminating: false };
    assert_eq!(reader.change_log.since(at(5)).unwrap().changes, [departed]);
    reader.change_log.record_gap(at(20));
    reader.record(20);
    assert!(
        reader.change_log.since(at(19)).is_none(),
        "servers that came and went before a full read are unknown"
    );
}

#[test]
fn server_that_changed_and_changed_back_between_two_reads_is_reported_again() {
    let mut reader = RouterModel::default();
    reader.put(serving("i-1"));
    reader.record(1);
    // Another reader saw the server draining at position 4, and notified a follower.
    reader.put(server("i-1", 1, ServerPhase::Draining));
    reader.put(serving("i-1"));
    reader.record(9);
    let present = ServerChange::Present(Rc::new(serving("i-1")));
    assert_eq!(reader.change_log.since(at(4)).unwrap().changes, [present]);
}

/// The source changes at random, and two readers read it at different times. A follower receives updates
/// from either of them, misses most, and must still end with the servers known to the readers. The same
/// holds for a router that follows the follower and a reader alternately.
#[test]
fn followers_of_alternating_readers_converge() {
    let steps = bolero::check!().with_iterations(GENERATED_INPUTS).with_max_len(STEPS_BYTES);
    steps.with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut source: Vec<(u64, BackendServer, bool)> = Vec::new();
        let mut readers = [RouterModel::default(), RouterModel::default()];
        let mut read_up_to = [0; 2];
        let (mut follower, mut leaf) = (RouterModel::default(), RouterModel::default());
        readers.iter_mut().for_each(|reader| reader.record(0));
        follower.record(0);
        leaf.record(0);
        for (kind, choice) in steps {
            let (which, name) = (usize::from(choice % 2), format!("i-{}", choice % 5));
            match kind % 7 {
                0 => source.push((0, serving(&name), false)),
                1 => source.push((0, server(&name, 1, ServerPhase::Draining), false)),
                2 => {
                    source.push((0, server(&name, u64::from(*choice), ServerPhase::Serving), false))
                }
                3 => source.push((0, serving(&name), true)),
                4 => {
                    for (_, server, departed) in &source[read_up_to[which]..] {
                        match departed {
                            true => readers[which].remove(&server.name.to_string()),
                            false => readers[which].put(server.clone()),
                        }
                    }
                    read_up_to[which] = source.len();
                    readers[which].record(source.len() as u64);
                }
                5 => {
                    let update = readers[which].change_log.since(follower.position());
                    update.into_iter().for_each(|span| follower.adopt(span));
                }
                _ => {
                    let sender = if which == 0 { &readers[0] } else { &follower };
                    let update = sender.change_log.since(leaf.position());
                    update.into_iter().for_each(|span| leaf.adopt(span));
                }
            }
        }
        for reader in &mut readers {
            for (_, server, departed) in &source {
                match departed {
                    true => reader.remove(&server.name.to_string()),
                    false => reader.put(server.clone()),
                }
            }
            reader.record(source.len() as u64);
        }
        let span = readers[0].change_log.since(follower.position()).unwrap();
        follower.adopt(span);
        let span = follower.change_log.since(leaf.position()).unwrap();
        leaf.adopt(span);
        assert_eq!(follower.change_log.digest(), readers[0].change_log.digest());
        assert_eq!(leaf.change_log.digest(), readers[0].change_log.digest());
        assert_eq!(follower.change_log.digest(), readers[1].change_log.digest());
    });
}

#[test]
fn adopted_entries_are_applied_without_reassessment() {
    let mut presence = ServerPresence::default();
    presence.adopt(server("i-1", 5, ServerPhase::Serving));
    // An entry of an earlier start would first have to be renewed for a while; the reporting router has
    // already verified that.
    let changes = presence.adopt(server("i-1", 3, ServerPhase::Serving));
    let changes: Vec<_> = changes.into_iter().map(|(_, change)| change).collect();
    assert_eq!(changes, [PresenceChange::Restarted, PresenceChange::Arrived]);
    assert_eq!(presence.catalog().len(), 1);
}
