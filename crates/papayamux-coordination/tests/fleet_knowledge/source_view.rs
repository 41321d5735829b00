//! Three routers before a source that changes, in any order of reads, questions and statements that cross:
//! what they believe is at all times what the source held.
//!
//! Each router has its list of servers, its journal and its view, the product's own. Answers and statements
//! are made at one moment and arrive at another, or never. After each step, the servers that a router
//! believes must be those of its position, its position must reach as far as the source did at the moment
//! that it takes for confirmed, and its configuration must be no older than the one of that moment.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use papayamux_coordination::fleet_knowledge::{
    BeliefChange, BeliefJournal, BeliefSpan, SourceView, StatedView, ViewInForce,
};
use papayamux_coordination::server_presence::ServerPresence;
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::boot_time::BootInstant;
use papayamux_state::service_config::ConfigVersion;
use papayamux_state::source::SourcePosition;

use super::beliefs::{server, serving};

const ROUTERS: usize = 3;
/// Inputs tried: each of eight faults planted by hand was found within them.
const GENERATED_INPUTS: usize = 4_000;
/// Bytes of an input: some two hundred steps.
const STEPS_BYTES: usize = 512;

/// A change of the source.
#[derive(Debug, Clone)]
enum Written {
    Server(BackendServer),
    Gone(String),
    Configuration,
}

/// A read that was answered, or a statement that was made, and is still on its way.
#[derive(Debug, Clone)]
enum Message {
    Changes { to: usize, sent: u64, behind: u64, at: u64, configuration: Option<u64> },
    Statement { to: usize, span: BeliefSpan, version: u64, known: u64, has_span: bool },
}

#[derive(Default)]
struct Router {
    presence: ServerPresence,
    journal: BeliefJournal,
    view: SourceView,
    version: u64,
    confirmed: Option<u64>,
    reads: bool,
}

#[derive(Default)]
struct World {
    now: u64,
    /// Every change, with the moment at which it was written; the position counts them.
    written: Vec<(u64, Written)>,
    routers: [Router; ROUTERS],
    messages: Vec<Message>,
}

fn instant(moment: u64) -> BootInstant {
    BootInstant(Duration::from_millis(moment))
}

fn at(position: u64) -> SourcePosition {
    SourcePosition(position)
}

impl World {
    fn new() -> Self {
        let mut world = Self::default();
        for router in &mut world.routers {
            router.journal.note(router.presence.catalog(), at(0), |_| false);
            router.view.note_whole(at(0));
        }
        world
    }

    fn position(&self) -> u64 {
        self.written.len() as u64
    }

    /// The newest version of the configuration up to a position.
    fn version_at(&self, position: u64) -> u64 {
        let written = self.written[..position as usize].iter();
        written.filter(|(_, change)| matches!(change, Written::Configuration)).count() as u64
    }

    fn position_when(&self, moment: u64) -> u64 {
        self.written.iter().take_while(|(when, _)| *when <= moment).count() as u64
    }

    /// What the source listed at a position.
    fn listed_at(&self, position: u64) -> BTreeMap<String, (String, bool)> {
        let mut listed = BTreeMap::new();
        for (_, change) in &self.written[..position as usize] {
            match change {
                Written::Server(server) => {
                    let draining = server.phase == ServerPhase::Draining;
                    listed.insert(server.name.to_string(), (server.id.to_string(), draining));
                }
                Written::Gone(name) => drop(listed.remove(name)),
                Written::Configuration => {}
            }
        }
        listed
    }

    fn write(&mut self, change: Written) {
        self.written.push((self.now, change));
    }

    /// A read is sent and answered; the answer is on its way. Where another router has told of a newer
    /// configuration, that is read first.
    fn read(&mut self, to: usize) {
        let router = &mut self.routers[to];
        if std::mem::replace(&mut router.reads, true) {
            return;
        }
        let wanted = router.view.wanted(ConfigVersion(router.version));
        let behind = router.view.position().unwrap().0;
        let newest = self.version_at(self.position());
        let configuration = wanted.map(|_| newest);
        let read =
            Message::Changes { to, sent: self.now, behind, at: self.position(), configuration };
        self.messages.push(read);
    }

    fn state(&mut self, from: usize, to: usize) {
        let teller = &self.routers[from];
        let Some(known) = teller.confirmed else { return };
        let behind = self.routers[to].view.position().unwrap();
        let position = teller.journal.position().unwrap();
        let told = teller.journal.since(behind);
        let has_span = told.is_some();
        let nothing =
            BeliefSpan { behind, position, changes: Vec::new(), digest: teller.journal.digest() };
        let version = teller.view.newest(ConfigVersion(teller.version)).0;
        let span = told.unwrap_or(nothing);
        self.messages.push(Message::Statement { to, span, version, known, has_span });
    }

    fn deliver(&mut self, index: usize) {
        match self.messages.remove(index) {
            Message::Changes { to, sent, behind, at: up_to, configuration } => {
                let changes = self.written[behind as usize..up_to as usize].to_vec();
                let newest = self.version_at(up_to);
                let has_newest =
                    changes.iter().any(|(_, change)| matches!(change, Written::Configuration));
                let router = &mut self.routers[to];
                router.reads = false;
                router.version = router.version.max(configuration.unwrap_or_default());
                if has_newest {
                    router.version = router.version.max(newest);
                }
                if router.view.note_changes(at(up_to)) {
                    changes.into_iter().for_each(|(_, change)| router.take(change));
                }
                router.note();
                if router.view.wanted(ConfigVersion(router.version)).is_none() {
                    router.confirmed = router.confirmed.max(Some(sent));
                }
            }
            Message::Statement { to, span, version, known, has_span } => {
                let router = &mut self.routers[to];
                let stated = StatedView {
                    position: span.position,
                    behind: has_span.then_some(span.behind),
                    version: ConfigVersion(version),
                    known: instant(known),
                };
                let confirmed = router.confirmed.map(instant);
                let in_force = ViewInForce { version: ConfigVersion(router.version), confirmed };
                let verdict = router.view.judge(stated, in_force);
                if verdict.takes_servers {
                    span.changes.into_iter().for_each(|change| router.adopt(change));
                    router.note();
                }
                if verdict.confirms {
                    router.confirmed = router.confirmed.max(Some(known));
                }
            }
        }
    }

    /// A router reads the configuration that it was told of, as it was a while ago.
    fn read_recent(&mut self, index: usize, age: u64) {
        let version = self.version_at(self.position().saturating_sub(age));
        let router = &mut self.routers[index];
        if router.view.wanted(ConfigVersion(router.version)).is_some() {
            router.version = router.version.max(version);
        }
    }

    /// A router starts again and reads everything.
    fn restart(&mut self, index: usize) {
        let (position, version, now) =
            (self.position(), self.version_at(self.position()), self.now);
        let listed = self.listed_at(position);
        let mut router = Router { version, confirmed: Some(now), ..Router::default() };
        for (name, (_, draining)) in listed {
            let written = self.written.iter().rev();
            let last = written.into_iter().find_map(|(_, change)| match change {
                Written::Server(server) if server.name.to_string() == name => Some(server.clone()),
                _ => None,
            });
            assert_eq!(last.as_ref().unwrap().phase == ServerPhase::Draining, draining);
            router.presence.adopt(last.unwrap());
        }
        router.journal.note_gap(at(position));
        router.view.note_whole(at(position));
        router.note();
        self.routers[index] = router;
        // What was on its way to its earlier life counts for nothing.
        self.messages.retain(|message| match message {
            Message::Changes { to, .. } | Message::Statement { to, .. } => *to != index,
        });
    }

    fn check(&self) {
        for router in &self.routers {
            let position = router.view.position().unwrap().0;
            assert_eq!(router.believed(), self.listed_at(position), "at {position}");
            let Some(confirmed) = router.confirmed else { continue };
            // The moment itself may lie before what was written in it.
            let then = self.position_when(confirmed.saturating_sub(1));
            assert!(position >= then, "the list ends at {position}, the source was at {then}");
            assert!(router.version >= self.version_at(then), "{} is too old", router.version);
        }
    }
}

impl Router {
    fn take(&mut self, change: Written) {
        match change {
            // A start that replaces another one is believed at once here.
            Written::Server(server)
                if self.presence.id_of(&server.name).is_some_and(|known| known != server.id) =>
            {
                self.presence.adopt(server);
            }
            Written::Server(server) => drop(self.presence.record_entry(server, Instant::now())),
            Written::Gone(name) => self.remove(&name),
            Written::Configuration => {}
        }
    }

    fn adopt(&mut self, change: BeliefChange) {
        match change {
            BeliefChange::Present(server) => drop(self.presence.adopt((*server).clone())),
            BeliefChange::Gone { name, .. } => self.remove(&name.to_string()),
        }
    }

    fn remove(&mut self, name: &str) {
        let name = name.parse().unwrap();
        if let Some(id) = self.presence.id_of(&name) {
            self.presence.record_overwrite(&id);
        }
        self.journal.note_departure(name);
    }

    fn note(&mut self) {
        let position = self.view.position().unwrap();
        self.journal.note(self.presence.catalog(), position, |_| false);
    }

    fn believed(&self) -> BTreeMap<String, (String, bool)> {
        let servers = self.presence.catalog().iter();
        let entry = |server: &std::rc::Rc<BackendServer>| {
            let draining = server.phase == ServerPhase::Draining;
            (server.name.to_string(), (server.id.to_string(), draining))
        };
        servers.map(entry).collect()
    }
}

#[test]
fn what_routers_believe_is_what_the_source_held() {
    let steps = bolero::check!().with_iterations(GENERATED_INPUTS).with_max_len(STEPS_BYTES);
    steps.with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut world = World::new();
        for (kind, draw) in steps {
            world.now += 1;
            let (router, draw) = (usize::from(draw % 3), usize::from(*draw));
            let name = format!("i-{}", draw % 4);
            match kind % 16 {
                0 => world.write(Written::Server(serving(&name))),
                1 => world.write(Written::Server(server(&name, 1, ServerPhase::Draining))),
                2 => world.write(Written::Server(server(&name, draw as u64, ServerPhase::Serving))),
                3 => world.write(Written::Gone(name)),
                4 => world.write(Written::Configuration),
                5 | 6 => world.read(router),
                7 => world.state(router, (router + 1) % ROUTERS),
                8 => world.state(router, (router + 2) % ROUTERS),
                9..=13 if !world.messages.is_empty() => {
                    world.deliver(draw % world.messages.len());
                }
                14 => world.read_recent(router, draw as u64 % 4),
                15 if draw % 16 == 0 => world.restart(router),
                _ => {}
            }
            world.check();
        }
    });
}

#[test]
fn routers_that_follow_each_other_stop_telling() {
    let mut views = [SourceView::default(), SourceView::default()];
    views.iter_mut().for_each(|view| view.note_whole(at(5)));
    let in_force = ViewInForce { version: ConfigVersion(3), confirmed: Some(instant(10)) };
    let stated = StatedView {
        position: at(9),
        behind: Some(at(5)),
        version: ConfigVersion(4),
        known: instant(20),
    };
    assert!(views[0].judge(stated, in_force).progresses);
    // Told on, it is dated a little earlier.
    let told_on = StatedView { known: instant(19), ..stated };
    assert!(views[1].judge(told_on, in_force).progresses);
    let told_back = StatedView { known: instant(18), behind: Some(at(9)), ..stated };
    assert!(!views[0].judge(told_back, in_force).progresses);
}

#[test]
fn older_version_told_of_later_makes_no_newer_one_forgotten() {
    let mut view = SourceView::default();
    view.note_whole(at(5));
    let in_force = ViewInForce { version: ConfigVersion(3), confirmed: None };
    let newer = StatedView {
        position: at(9),
        behind: Some(at(5)),
        version: ConfigVersion(7),
        known: instant(20),
    };
    assert!(view.judge(newer, in_force).needs_read);
    view.judge(StatedView { position: at(8), version: ConfigVersion(4), ..newer }, in_force);
    // Version 4 would be confirmed by the next read, whose changes begin behind version 7.
    assert_eq!(view.wanted(ConfigVersion(4)), Some(ConfigVersion(7)));
}
