//! Three routers keep a consistent view of a changing source, in any order of reads and reports that
//! overtake one another.
//!
//! Each router has the real list of servers, change log and view. Answers and reports are created at one
//! time and arrive later, or never. Reads are lost, after which a router keeps servers whose entries are
//! missing for a while, and the source is restored from copies. After each step, the servers that a router
//! knows to be listed must be those of its position, its position must be no earlier than that of the source
//! at the router's confirmed time, and its configuration no older than the source's at that time. A removed
//! server must not come back without a write of its entry, nor stay beyond the grace period.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use papayamux_coordination::fleet_knowledge::{
    ReportedView, ServerChange, ServerChangeLog, ServerChangeSpan, SourceView, ViewInForce,
};
use papayamux_coordination::server_presence::{ServerPresence, RENEWAL_GRACE};
use papayamux_state::backend::ServerPhase;
use papayamux_state::boot_time::BootInstant;
use papayamux_state::service_config::ConfigVersion;
use papayamux_state::source::SourcePosition;

use super::server_changes::{server, serving};
use super::simulated_source::{at, listed_entry, SimulatedSource, Written};

const ROUTERS: usize = 3;
/// Number of inputs. They suffice to detect each of eight manually injected faults.
const GENERATED_INPUTS: usize = 4_000;
/// Size of an input in bytes, enough for about 200 steps.
const STEPS_BYTES: usize = 512;
/// Maximum time without contact to the list after which a router counts as connected to it.
const MAX_SILENCE: Duration = Duration::from_millis(1_000);
/// Time that passes in a step without any other event, in milliseconds.
const PAUSE: u64 = 400;

/// The answer of a read, or a report, in flight.
#[derive(Debug, Clone)]
enum Message {
    Changes {
        to: usize,
        sent: u64,
        after: SourcePosition,
        at: SourcePosition,
        configuration: Option<u64>,
    },
    /// The source was restored from a copy since the router's position.
    Restored { to: usize },
    Report {
        to: usize,
        span: ServerChangeSpan,
        version: u64,
        known: u64,
        grace: Duration,
        is_complete: bool,
    },
    /// A complete view, with the version in force at its sender.
    View {
        to: usize,
        span: ServerChangeSpan,
        version: u64,
        in_force: u64,
        known: u64,
        grace: Duration,
    },
}

#[derive(Default)]
struct Router {
    presence: ServerPresence,
    /// `true` if a read has failed since the last successful one.
    has_failed: bool,
    /// Servers that the router used after the last step, and its position then.
    used: Option<(BTreeSet<String>, SourcePosition)>,
    change_log: ServerChangeLog,
    view: SourceView,
    version: u64,
    confirmed: Option<u64>,
    reads: bool,
}

struct Simulation {
    begun: Instant,
    now: u64,
    source: SimulatedSource,
    routers: [Router; ROUTERS],
    messages: Vec<Message>,
}

fn instant(moment: u64) -> BootInstant {
    BootInstant(Duration::from_millis(moment))
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            begun: Instant::now(),
            now: 0,
            source: SimulatedSource::new(),
            routers: Default::default(),
            messages: Vec::new(),
        };
        for router in &mut simulation.routers {
            router.change_log.record(&router.presence, at(0), |_| false);
            router.view.record_full_read(at(0));
        }
        simulation
    }

    fn instant(&self) -> Instant {
        self.begun + Duration::from_millis(self.now)
    }

    /// Lets time pass, in which servers whose entries are missing are given up.
    fn advance(&mut self, millis: u64) {
        self.now += millis;
        let now = self.instant();
        for router in &mut self.routers {
            router.presence.remove_expired(now);
        }
    }

    fn write(&mut self, change: Written) {
        self.source.write(change, self.now);
    }

    /// Sends a read, whose answer is then in flight. If another router reported a newer configuration, that
    /// is read first.
    fn read(&mut self, to: usize) {
        let router = &mut self.routers[to];
        if std::mem::replace(&mut router.reads, true) {
            return;
        }
        let wanted = router.view.wanted(ConfigVersion(router.version));
        let after = router.view.position().unwrap();
        let at = self.source.position();
        if after.era != at.era {
            self.messages.push(Message::Restored { to });
            return;
        }
        let configuration = wanted.map(|_| self.source.version_at(at));
        self.messages.push(Message::Changes { to, sent: self.now, after, at, configuration });
    }

    fn report_to(&mut self, from: usize, to: usize) {
        let sender = &self.routers[from];
        let Some(known) = sender.confirmed else { return };
        let after = self.routers[to].view.position().unwrap();
        let position = sender.change_log.position().unwrap();
        let complete = sender.change_log.since(after);
        let is_complete = complete.is_some();
        let empty = ServerChangeSpan {
            after,
            position,
            changes: Vec::new(),
            digest: sender.change_log.digest(),
        };
        let version = sender.view.newest(ConfigVersion(sender.version)).0;
        let span = complete.or_else(|| sender.change_log.known_since(after)).unwrap_or(empty);
        let grace = sender.presence.grace_left(self.instant());
        self.messages.push(Message::Report { to, span, version, known, grace, is_complete });
    }

    fn hand_view_to(&mut self, from: usize, to: usize) {
        let sender = &self.routers[from];
        let Some(known) = sender.confirmed else { return };
        let servers = sender.presence.catalog().iter();
        let changes = servers.map(|server| match sender.presence.is_expired(&server.id) {
            true => ServerChange::Expired(server.clone()),
            false => ServerChange::Present(server.clone()),
        });
        let span = ServerChangeSpan {
            after: at(0),
            position: sender.change_log.position().unwrap(),
            changes: changes.collect(),
            digest: sender.change_log.digest(),
        };
        let version = sender.view.newest(ConfigVersion(sender.version)).0;
        let in_force = sender.version;
        let grace = sender.presence.grace_left(self.instant());
        self.messages.push(Message::View { to, span, version, in_force, known, grace });
    }

    fn deliver(&mut self, index: usize) {
        let now = self.instant();
        match self.messages.remove(index) {
            Message::Restored { to } => {
                self.routers[to].reads = false;
                self.read_all(to);
            }
            Message::Changes { to, sent, after, at: up_to, configuration } => {
                let changes = self.source.written_up_to(up_to)[after.revision as usize..].to_vec();
                let router = &mut self.routers[to];
                router.reads = false;
                router.presence.record_contact(std::mem::take(&mut router.has_failed), now);
                router.version = router.version.max(configuration.unwrap_or_default());
                let known = router.view.record_changes(up_to);
                for (revision, change) in (after.revision + 1..).zip(changes) {
                    if let Written::Configuration(version) = change {
                        router.version = router.version.max(version);
                    } else if SourcePosition::new(after.era, revision) > known {
                        router.take(change, now);
                    }
                }
                router.record();
                if router.view.wanted(ConfigVersion(router.version)).is_none() {
                    router.confirmed = router.confirmed.max(Some(sent));
                }
            }
            Message::View { to, span, version, in_force, known, grace } => {
                let router = &mut self.routers[to];
                router.version = router.version.max(in_force);
                let report = ReportedView {
                    position: span.position,
                    after: None,
                    version: ConfigVersion(version),
                    known: instant(known),
                };
                let confirmed = router.confirmed.map(instant);
                let in_force = ViewInForce { version: ConfigVersion(router.version), confirmed };
                let verdict = router.view.evaluate_complete_view(report, in_force);
                if verdict.takes_servers {
                    let may_adopt = router.presence.may_adopt(grace, MAX_SILENCE, now);
                    let grace = if may_adopt { grace } else { Duration::ZERO };
                    router.replace_servers(span.changes, grace, now);
                    router.presence.adopt_grace(grace, now);
                    router.change_log.record_gap(span.position);
                    router.record();
                }
                if verdict.confirms {
                    router.presence.record_contact(false, now);
                    router.confirmed = router.confirmed.max(Some(known));
                }
            }
            Message::Report { to, span, version, known, grace, is_complete } => {
                let router = &mut self.routers[to];
                if !router.presence.may_adopt(grace, MAX_SILENCE, now) {
                    return;
                }
                let counts =
                    is_complete || router.change_log.digest_after(&span.changes) == span.digest;
                let report = ReportedView {
                    position: span.position,
                    after: counts.then_some(span.after),
                    version: ConfigVersion(version),
                    known: instant(known),
                };
                let confirmed = router.confirmed.map(instant);
                let in_force = ViewInForce { version: ConfigVersion(router.version), confirmed };
                let verdict = router.view.evaluate_report(report, in_force);
                if verdict.takes_servers {
                    if !is_complete {
                        router.change_log.record_gap(span.position);
                    }
                    span.changes.into_iter().for_each(|change| router.adopt(change, grace, now));
                    router.presence.adopt_grace(grace, now);
                    router.record();
                }
                if verdict.confirms {
                    router.presence.record_contact(false, now);
                    router.confirmed = router.confirmed.max(Some(known));
                }
            }
        }
    }

    /// Has the answer to a router's read be lost.
    fn lose_read(&mut self, index: usize) {
        let is_read =
            |message: &Message| matches!(message, Message::Changes { to, .. } if *to == index);
        if let Some(lost) = self.messages.iter().position(is_read) {
            self.messages.remove(lost);
            self.routers[index].reads = false;
            self.routers[index].has_failed = true;
        }
    }

    /// Has a router read the wanted configuration from an outdated state of the source.
    fn read_recent(&mut self, index: usize, age: u64) {
        let SourcePosition { era, revision } = self.source.position();
        let recent = SourcePosition::new(era, revision.saturating_sub(age));
        let version = self.source.version_at(recent);
        let router = &mut self.routers[index];
        if router.view.wanted(ConfigVersion(router.version)).is_some() {
            router.version = router.version.max(version);
        }
    }

    /// Has a router read everything from a source that was restored. Entries may be missing from the copy.
    fn read_all(&mut self, index: usize) {
        let (position, now) = (self.source.position(), self.instant());
        let (servers, version) =
            (self.source.servers_at(position), self.source.version_at(position));
        let router = &mut self.routers[index];
        router.presence.record_contact(true, now);
        let mut missing = router.used_servers();
        for server in servers {
            missing.remove(&server.name.to_string());
            router.take(Written::Server(server), now);
        }
        for name in missing {
            let id = router.presence.id_of(&name.parse().unwrap());
            id.map(|id| router.presence.record_removal(&id, now));
        }
        router.version = router.version.max(version);
        router.view.record_full_read(position);
        router.change_log.record_gap(position);
        router.record();
        if router.view.wanted(ConfigVersion(router.version)).is_none() {
            router.confirmed = router.confirmed.max(Some(self.now));
        }
    }

    /// Restarts a router, which makes a full read.
    fn restart(&mut self, index: usize) {
        let position = self.source.position();
        let version = self.source.version_at(position);
        let mut router = Router { version, confirmed: Some(self.now), ..Router::default() };
        router.presence.record_contact(false, self.instant());
        for server in self.source.servers_at(position) {
            router.presence.adopt(server);
        }
        router.change_log.record_gap(position);
        router.view.record_full_read(position);
        router.record();
        self.routers[index] = router;
        // Messages to its earlier incarnation are dropped.
        self.messages.retain(|message| match message {
            Message::Changes { to, .. }
            | Message::Restored { to }
            | Message::Report { to, .. }
            | Message::View { to, .. } => *to != index,
        });
    }

    fn check(&mut self) {
        for router in &self.routers {
            let position = router.view.position().unwrap();
            assert_eq!(router.listed_servers(), self.source.listed_at(position), "at {position}");
            let used = router.used_servers();
            // The copy of a new era may list servers that have been removed since.
            let in_same_era = router.used.as_ref().filter(|(_, from)| from.era == position.era);
            if let Some((before, from)) = in_same_era {
                for name in used.difference(before) {
                    let is_written = self.source.is_written_between(name, *from, position);
                    assert!(is_written, "{name} is back at {position}, was removed at {from}");
                }
            }
            let grace = router.presence.grace_left(self.instant());
            assert!(grace <= RENEWAL_GRACE, "{grace:?}");
            let is_kept = router.presence.awaits_renewals();
            assert!(!is_kept || !grace.is_zero(), "a removed server is kept without grace");
            let Some(confirmed) = router.confirmed else { continue };
            // Changes written at the confirmed time itself may be missing.
            let then = self.source.position_when(confirmed.saturating_sub(1));
            assert!(position >= then, "the list ends at {position}, the source was at {then}");
            assert!(
                router.version >= self.source.version_at(then),
                "{} is too old",
                router.version
            );
        }
        for router in &mut self.routers {
            router.used = Some((router.used_servers(), router.view.position().unwrap()));
        }
    }
}

impl Router {
    fn take(&mut self, change: Written, now: Instant) {
        match change {
            // A start that replaces another one is adopted at once here.
            Written::Server(server)
                if self.presence.id_of(&server.name).is_some_and(|known| known != server.id) =>
            {
                self.presence.adopt(server);
            }
            Written::Server(server) => drop(self.presence.record_entry(server, now)),
            Written::Departed(name) => {
                let name = name.parse().unwrap();
                if let Some(id) = self.presence.id_of(&name) {
                    self.presence.record_removal(&id, now);
                }
                self.change_log.record_departure(name);
            }
            Written::Configuration(_) => {}
        }
    }

    fn adopt(&mut self, change: ServerChange, grace: Duration, now: Instant) {
        match change {
            ServerChange::Present(server) => drop(self.presence.adopt((*server).clone())),
            ServerChange::Expired(server) => {
                self.change_log.record_departure(server.name.clone());
                self.presence.adopt_expiry(&server, grace, now);
            }
            ServerChange::Departed { name, .. } => self.remove(&name.to_string()),
        }
    }

    fn replace_servers(&mut self, changes: Vec<ServerChange>, grace: Duration, now: Instant) {
        let mut missing = self.used_servers();
        for change in changes {
            if let ServerChange::Present(server) | ServerChange::Expired(server) = &change {
                missing.remove(&server.name.to_string());
            }
            self.adopt(change, grace, now);
        }
        missing.iter().for_each(|name| self.remove(name));
    }

    fn remove(&mut self, name: &str) {
        let name = name.parse().unwrap();
        if let Some(id) = self.presence.id_of(&name) {
            self.presence.record_overwrite(&id);
        }
        self.change_log.record_departure(name);
    }

    fn record(&mut self) {
        let position = self.view.position().unwrap();
        self.change_log.record(&self.presence, position, |_| false);
    }

    /// Returns the names of the servers that are used, listed or not.
    fn used_servers(&self) -> BTreeSet<String> {
        self.presence.catalog().iter().map(|server| server.name.to_string()).collect()
    }

    fn listed_servers(&self) -> BTreeMap<String, (String, bool)> {
        let servers = self.presence.catalog().iter();
        let listed = servers.filter(|server| !self.presence.is_expired(&server.id));
        listed.map(|server| listed_entry(server)).collect()
    }
}

#[test]
fn known_servers_match_the_source_at_each_position() {
    let steps = bolero::check!().with_iterations(GENERATED_INPUTS).with_max_len(STEPS_BYTES);
    steps.with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut simulation = Simulation::new();
        for (kind, choice) in steps {
            simulation.advance(1);
            let (router, choice) = (usize::from(choice % 3), usize::from(*choice));
            let name = format!("i-{}", choice % 4);
            match kind % 22 {
                0 => simulation.write(Written::Server(serving(&name))),
                1 => simulation.write(Written::Server(server(&name, 1, ServerPhase::Draining))),
                2 => simulation.write(Written::Server(server(
                    &name,
                    choice as u64,
                    ServerPhase::Serving,
                ))),
                3 => simulation.write(Written::Departed(name)),
                4 => simulation.source.write_configuration(simulation.now),
                5 | 6 => simulation.read(router),
                7 => simulation.report_to(router, (router + 1) % ROUTERS),
                8 => simulation.report_to(router, (router + 2) % ROUTERS),
                9..=13 if !simulation.messages.is_empty() => {
                    simulation.deliver(choice % simulation.messages.len());
                }
                14 => simulation.read_recent(router, choice as u64 % 4),
                15 if choice % 4 == 0 => simulation.restart(router),
                16 => simulation.hand_view_to(router, (router + 1) % ROUTERS),
                17 => simulation.hand_view_to(router, (router + 2) % ROUTERS),
                18 | 19 => simulation.lose_read(router),
                20 => simulation.advance(PAUSE),
                21 if choice % 3 == 0 => {
                    simulation.source.restore(choice as u64 % 8, simulation.now)
                }
                _ => {}
            }
            simulation.check();
        }
    });
}

/// A report of the first router arrives while a read of the second one is in flight. The read shows a server
/// that has come and gone before the position of the report, after a lost read, so that it might be renewed.
#[test]
fn read_overtaken_in_part_does_not_bring_a_server_back() {
    let mut simulation = Simulation::new();
    simulation.read(1);
    simulation.lose_read(1);
    simulation.now = 1;
    simulation.write(Written::Server(serving("i-1")));
    simulation.write(Written::Departed("i-1".to_string()));
    simulation.read(0);
    simulation.deliver(0);
    simulation.source.write_configuration(simulation.now);
    simulation.read(1);
    simulation.report_to(0, 1);
    simulation.deliver(1);
    simulation.check();
    assert_eq!(simulation.routers[1].view.position(), Some(at(2)));
    simulation.deliver(0);
    simulation.check();
    assert!(simulation.routers[1].used_servers().is_empty());
}

/// The first router reads everything after a server has come and gone, which only the third one knows.
#[test]
fn partial_changes_are_relayed_as_partial_ones() {
    let mut simulation = Simulation::new();
    simulation.now = 1;
    simulation.write(Written::Server(serving("i-1")));
    simulation.read(2);
    simulation.deliver(0);
    simulation.now = 2;
    simulation.write(Written::Departed("i-1".to_string()));
    simulation.now = 3;
    simulation.restart(0);
    simulation.report_to(0, 1);
    simulation.deliver(0);
    simulation.check();
    assert_eq!(simulation.routers[1].view.position(), Some(at(2)), "the digests are the same");
    simulation.report_to(1, 2);
    simulation.deliver(0);
    simulation.check();
    assert_eq!(simulation.routers[2].view.position(), Some(at(1)), "the digests differ");
    simulation.hand_view_to(1, 2);
    simulation.deliver(0);
    simulation.check();
    assert_eq!(simulation.routers[2].view.position(), Some(at(2)));
}

#[test]
fn mutual_followers_stop_relaying() {
    let mut views = [SourceView::default(), SourceView::default()];
    views.iter_mut().for_each(|view| view.record_full_read(at(5)));
    let in_force = ViewInForce { version: ConfigVersion(3), confirmed: Some(instant(10)) };
    let report = ReportedView {
        position: at(9),
        after: Some(at(5)),
        version: ConfigVersion(4),
        known: instant(20),
    };
    assert!(views[0].evaluate_report(report, in_force).progresses);
    // A relayed report has a slightly earlier timestamp.
    let relayed = ReportedView { known: instant(19), ..report };
    assert!(views[1].evaluate_report(relayed, in_force).progresses);
    let returned = ReportedView { known: instant(18), after: Some(at(9)), ..report };
    assert!(!views[0].evaluate_report(returned, in_force).progresses);
}

#[test]
fn later_report_of_an_older_version_keeps_the_newer_one() {
    let mut view = SourceView::default();
    view.record_full_read(at(5));
    let in_force = ViewInForce { version: ConfigVersion(3), confirmed: None };
    let newer = ReportedView {
        position: at(9),
        after: Some(at(5)),
        version: ConfigVersion(7),
        known: instant(20),
    };
    assert!(view.evaluate_report(newer, in_force).needs_read);
    view.evaluate_report(
        ReportedView { position: at(8), version: ConfigVersion(4), ..newer },
        in_force,
    );
    // Otherwise, the next read would confirm version 4, as its changes start after version 7.
    assert_eq!(view.wanted(ConfigVersion(4)), Some(ConfigVersion(7)));
}
