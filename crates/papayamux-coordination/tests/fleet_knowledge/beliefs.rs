//! What readers believe of servers reaches those who follow them whole, in order, and whoever they follow.

use std::rc::Rc;
use std::time::Instant;

use papayamux_coordination::fleet_knowledge::{BeliefChange, BeliefJournal, BeliefSpan};
use papayamux_coordination::server_presence::{PresenceChange, ServerPresence};
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::ids::{ServerId, ServerName, ServerStart};
use papayamux_state::source::SourcePosition;

/// Inputs tried, and the bytes of each: some two hundred steps.
const GENERATED_INPUTS: usize = 4_000;
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
        cold_left: std::time::Duration::ZERO,
    }
}

pub fn serving(name: &str) -> BackendServer {
    server(name, 1, ServerPhase::Serving)
}

fn at(position: u64) -> SourcePosition {
    SourcePosition(position)
}

/// A router's list of servers, with its journal.
#[derive(Default)]
struct Believer {
    presence: ServerPresence,
    journal: BeliefJournal,
}

impl Believer {
    fn put(&mut self, server: BackendServer) {
        // A start that replaces another one is believed at once here.
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
        self.journal.note_departure(name);
    }

    fn note(&mut self, position: u64) {
        self.journal.note(self.presence.catalog(), at(position), |_| false);
    }

    fn adopt(&mut self, span: BeliefSpan) {
        for change in span.changes {
            match change {
                BeliefChange::Present(server) => drop(self.presence.adopt((*server).clone())),
                BeliefChange::Gone { name, .. } => self.remove(&name.to_string()),
            }
        }
        self.note(span.position.0);
    }

    fn position(&self) -> SourcePosition {
        self.journal.position().unwrap()
    }
}

#[test]
fn span_tells_each_server_once_as_it_is_now() {
    let mut reader = Believer::default();
    reader.put(serving("i-1"));
    reader.put(serving("i-2"));
    reader.note(10);
    reader.put(server("i-1", 1, ServerPhase::Draining));
    reader.note(12);
    reader.remove("i-1");
    reader.put(serving("i-3"));
    reader.note(15);
    let span = reader.journal.since(at(10)).unwrap();
    let gone = BeliefChange::Gone { name: "i-1".parse().unwrap(), lingers: false };
    assert_eq!(span.changes, [gone, BeliefChange::Present(Rc::new(serving("i-3")))]);
    assert!(reader.journal.since(at(15)).unwrap().changes.is_empty());
}

/// A follower may have given the server up meanwhile, and its own read of the entry may be overtaken by what it is
/// told.
#[test]
fn server_whose_lapsed_entry_came_back_is_told_again() {
    let mut reader = Believer::default();
    let back = Instant::now();
    reader.put(serving("i-1"));
    reader.note(10);
    let id = reader.presence.id_of(&"i-1".parse().unwrap()).unwrap();
    reader.presence.record_contact(true, back);
    assert_eq!(reader.presence.record_removal(&id, back), PresenceChange::Expired);
    reader.note(12);
    let mut follower = Believer::default();
    follower.put(serving("i-1"));
    follower.remove("i-1");
    follower.note(13);
    reader.put(serving("i-1"));
    reader.note(14);
    follower.adopt(reader.journal.since(follower.position()).unwrap());
    assert!(follower.presence.id_of(&"i-1".parse().unwrap()).is_some());
    assert_eq!(follower.journal.digest(), reader.journal.digest());
}

/// The reader heard of the lapse and of the return in one read, or of the return alone.
#[test]
fn server_that_lapsed_for_a_follower_alone_is_told_again() {
    let back = Instant::now();
    let mut reader = Believer::default();
    reader.put(serving("i-1"));
    reader.note(10);
    reader.presence.record_contact(true, back);
    let mut follower = Believer::default();
    follower.put(serving("i-1"));
    follower.presence.record_contact(true, back);
    let id = follower.presence.id_of(&"i-1".parse().unwrap()).unwrap();
    assert_eq!(follower.presence.record_removal(&id, back), PresenceChange::Expired);
    follower.note(12);
    reader.put(serving("i-1"));
    reader.note(14);
    follower.adopt(reader.journal.since(follower.position()).unwrap());
    assert!(!follower.presence.awaits_renewals(), "it is known to be back");
}

#[test]
fn what_a_reader_no_longer_knows_or_not_yet_is_not_told() {
    let mut reader = Believer::default();
    reader.put(serving("i-1"));
    reader.note(10);
    assert!(
        reader.journal.since(at(9)).is_none(),
        "somebody may have left before it began to read"
    );
    assert!(reader.journal.since(at(11)).is_none(), "the follower knows more");
    assert!(BeliefJournal::default().since(at(0)).is_none());
}

#[test]
fn server_that_comes_back_is_told_as_present() {
    let mut reader = Believer::default();
    reader.put(serving("i-1"));
    reader.note(1);
    reader.remove("i-1");
    reader.note(2);
    reader.put(server("i-1", 2, ServerPhase::Serving));
    reader.note(3);
    let present = BeliefChange::Present(Rc::new(server("i-1", 2, ServerPhase::Serving)));
    assert_eq!(reader.journal.since(at(1)).unwrap().changes, [present]);
}

#[test]
fn server_that_came_and_went_between_two_reads_is_told_as_gone() {
    let mut reader = Believer::default();
    reader.note(1);
    reader.put(serving("i-1"));
    reader.remove("i-1");
    reader.note(9);
    let gone = BeliefChange::Gone { name: "i-1".parse().unwrap(), lingers: false };
    assert_eq!(reader.journal.since(at(5)).unwrap().changes, [gone]);
    reader.journal.note_gap(at(20));
    reader.note(20);
    assert!(
        reader.journal.since(at(19)).is_none(),
        "what came and went before a whole read is unknown"
    );
}

#[test]
fn server_that_changed_and_changed_back_between_two_reads_is_told_again() {
    let mut reader = Believer::default();
    reader.put(serving("i-1"));
    reader.note(1);
    // Another reader saw the server draining at 4, and told a follower.
    reader.put(server("i-1", 1, ServerPhase::Draining));
    reader.put(serving("i-1"));
    reader.note(9);
    let present = BeliefChange::Present(Rc::new(serving("i-1")));
    assert_eq!(reader.journal.since(at(4)).unwrap().changes, [present]);
}

/// The source changes at random; two readers read it at moments of their own. A follower is told by
/// either in turn, misses most of it, and still ends with what the readers believe; so does one that
/// follows it or a reader in turn.
#[test]
fn follower_of_changing_readers_ends_with_the_same_beliefs() {
    let steps = bolero::check!().with_iterations(GENERATED_INPUTS).with_max_len(STEPS_BYTES);
    steps.with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut source: Vec<(u64, BackendServer, bool)> = Vec::new();
        let mut readers = [Believer::default(), Believer::default()];
        let mut read_up_to = [0; 2];
        let (mut follower, mut leaf) = (Believer::default(), Believer::default());
        readers.iter_mut().for_each(|reader| reader.note(0));
        follower.note(0);
        leaf.note(0);
        for (kind, place) in steps {
            let (which, name) = (usize::from(place % 2), format!("i-{}", place % 5));
            match kind % 7 {
                0 => source.push((0, serving(&name), false)),
                1 => source.push((0, server(&name, 1, ServerPhase::Draining), false)),
                2 => {
                    source.push((0, server(&name, u64::from(*place), ServerPhase::Serving), false))
                }
                3 => source.push((0, serving(&name), true)),
                4 => {
                    for (_, server, gone) in &source[read_up_to[which]..] {
                        match gone {
                            true => readers[which].remove(&server.name.to_string()),
                            false => readers[which].put(server.clone()),
                        }
                    }
                    read_up_to[which] = source.len();
                    readers[which].note(source.len() as u64);
                }
                5 => {
                    let told = readers[which].journal.since(follower.position());
                    told.into_iter().for_each(|span| follower.adopt(span));
                }
                _ => {
                    let teller = if which == 0 { &readers[0] } else { &follower };
                    let told = teller.journal.since(leaf.position());
                    told.into_iter().for_each(|span| leaf.adopt(span));
                }
            }
        }
        for reader in &mut readers {
            for (_, server, gone) in &source {
                match gone {
                    true => reader.remove(&server.name.to_string()),
                    false => reader.put(server.clone()),
                }
            }
            reader.note(source.len() as u64);
        }
        let span = readers[0].journal.since(follower.position()).unwrap();
        follower.adopt(span);
        let span = follower.journal.since(leaf.position()).unwrap();
        leaf.adopt(span);
        assert_eq!(follower.journal.digest(), readers[0].journal.digest());
        assert_eq!(leaf.journal.digest(), readers[0].journal.digest());
        assert_eq!(follower.journal.digest(), readers[1].journal.digest());
    });
}

#[test]
fn beliefs_are_taken_over_without_being_weighed_again() {
    let mut presence = ServerPresence::default();
    presence.adopt(server("i-1", 5, ServerPhase::Serving));
    // An entry of an earlier start would have to be renewed for a while; the router that tells of it
    // has seen that.
    let changes = presence.adopt(server("i-1", 3, ServerPhase::Serving));
    let changes: Vec<_> = changes.into_iter().map(|(_, change)| change).collect();
    assert_eq!(changes, [PresenceChange::Restarted, PresenceChange::Arrived]);
    assert_eq!(presence.catalog().len(), 1);
}
