//! Exchanges reports with the other routers, in datagrams.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use monoio::net::udp::UdpSocket;
use papayamux_coordination::cache_survey::{CacheListing, ListingNews, FRESH_FOR};
use papayamux_coordination::part_flights::PromptReading;
use papayamux_coordination::part_owners::SilentOwners;
use papayamux_coordination::peer_vouching::{VouchQuestion, VouchQuestions, VouchStatement};
use papayamux_coordination::placement::{HolderNote, RouterId, ServerLoad};
use papayamux_coordination::router_peers::{PeerNews, RouterPeers};
use papayamux_protocol::router_report::{
    ReportedConfiguration, ReportedHolder, ReportedListing, ReportedLoad, ReportedPrefill,
    ReportedQuery, RouterReport,
};
use papayamux_state::boot_time::BootInstant;
use papayamux_state::quantities::TokenCount;
use papayamux_state::service_config::ConfigVersion;
use papayamux_transport::boot_clock::boot_now;

use super::owner_mail::OpenQuestion;
use crate::direct::fleet::StartedReading;
use crate::direct::Fleet;

/// Pause between two rounds of reports. Requests last from tens of milliseconds to seconds, so
/// that a quarter of a second shows most of what others have at a server.
const REPORT_EVERY: Duration = Duration::from_millis(250);
/// Bytes that a router sends to others in a second at most; the pause grows where more would be
/// needed. Half of what control may cost, the rest is for the source.
const MOST_BYTES_PER_SECOND: f64 = 10_000.0;
/// Bytes of readings that a router tells at once in a second at most. With reports that is under what
/// control may cost; one reading takes some 60 bytes for each router that hears of it, and as much when
/// it has ended.
const MOST_READING_BYTES_PER_SECOND: f64 = 6_000.0;
/// Routers told at once of a reading: all of a fleet of today's size, some of a larger one.
const MOST_TOLD_AT_ONCE: usize = 32;
/// Readings told together; what has begun beyond that shows in the next report.
const READINGS_AT_ONCE: usize = 8;
/// Bytes of the longest report: several hundred servers.
const LONGEST_REPORT: usize = 16 * 1024;
/// Pause after a failure to receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);

/// Reports from and to the other routers.
pub struct PeerExchange {
    pub(super) fleet: Rc<Fleet>,
    socket: UdpSocket,
    address: SocketAddr,
    pub(super) peers: RefCell<RouterPeers>,
    questions: RefCell<VouchQuestions<IpAddr>>,
    listings: RefCell<ListingNews>,
    pub(super) life: u64,
    pub(super) started: Instant,
    sequence: Cell<u64>,
    leaving: Cell<bool>,
    pub(super) asked: Cell<u64>,
    pub(super) open_questions: RefCell<HashMap<u64, OpenQuestion>>,
    pub(super) silent_owners: RefCell<SilentOwners>,
}

impl PeerExchange {
    /// Opens the socket. All routers use the same port.
    pub fn open(fleet: Rc<Fleet>, listen: SocketAddr, seeds: Vec<IpAddr>) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(listen)?;
        let peers = RefCell::new(RouterPeers::new(listen.ip(), seeds));
        let exchange = Rc::new(Self {
            fleet,
            socket,
            address: listen,
            peers,
            questions: RefCell::default(),
            listings: RefCell::default(),
            life: rand::random(),
            started: Instant::now(),
            sequence: Cell::new(0),
            leaving: Cell::new(false),
            asked: Cell::new(0),
            open_questions: RefCell::default(),
            silent_owners: RefCell::default(),
        });
        monoio::spawn(exchange.clone().receive());
        monoio::spawn(exchange.clone().report());
        monoio::spawn(exchange.clone().tell_readings());
        monoio::spawn(exchange.clone().follow());
        monoio::spawn(exchange.clone().tell_news());
        monoio::spawn(exchange.clone().write_to_owners());
        monoio::spawn(exchange.clone().tell_crashes());
        Ok(exchange)
    }

    /// Replaces the addresses to begin with.
    pub fn set_seeds(&self, seeds: Vec<IpAddr>) {
        self.peers.borrow_mut().set_seeds(seeds);
    }

    /// Tells the others that this router is about to end.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// The other routers that are heard, where all have started lately and so know little of caches.
    pub fn fresh_routers(&self) -> Option<Vec<IpAddr>> {
        let (peers, now) = (self.peers.borrow(), Instant::now());
        peers.all_are_fresh(now).then(|| peers.alive(now))
    }

    /// The address by which the others know this router.
    pub fn own_address(&self) -> IpAddr {
        self.address.ip()
    }

    /// Tells the others what an engine listed of its cache.
    pub fn tell_listing(&self, listing: CacheListing) {
        self.listings.borrow_mut().add(listing, Instant::now());
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0u8; LONGEST_REPORT];
        loop {
            let (result, returned) = self.socket.recv_from(buffer).await;
            buffer = returned;
            match result {
                Ok((length, sender)) => {
                    self.take_report(sender.ip(), Bytes::copy_from_slice(&buffer[..length]));
                }
                Err(error) => {
                    log::warn!(error:% = error; "receiving a report failed");
                    monoio::time::sleep(RECEIVE_PAUSE).await;
                }
            }
        }
    }

    fn take_report(self: &Rc<Self>, sender: IpAddr, bytes: Bytes) {
        let report = match RouterReport::decode(bytes) {
            Ok(report) => report,
            Err(error) => {
                log::warn!(peer:% = sender, error:% = error; "a report can't be read");
                return;
            }
        };
        let now = Instant::now();
        let news =
            PeerNews { sequence: report.sequence, known: &report.known, fresh: report.fresh };
        let newer = self.peers.borrow_mut().hear(sender, news, now);
        self.fleet.note_routers(sender, &report.known, report.counted, now);
        if !newer {
            return;
        }
        if let Some(question) = report.question {
            self.questions.borrow_mut().note(sender, read_question(question), now);
        }
        if let Some(configuration) = report.configuration {
            self.take_answers(sender, &configuration);
        }
        for ReportedHolder { server, prefixes } in report.holders {
            if let Some(server) = self.fleet.server_by_key(server) {
                self.fleet.note_holder(&HolderNote { server, prefixes });
            }
        }
        for ReportedListing { server, parts } in report.listings {
            if let Some(server) = self.fleet.server_by_key(server) {
                self.fleet.note_listing(&CacheListing::new(server, parts));
            }
        }
        for reading in report.readings {
            self.take_reading(reading, now);
        }
        if let Some(question) = report.part_question {
            self.answer_part_question(sender, question);
        }
        if let Some(answer) = report.part_answer {
            self.take_part_answer(sender, answer);
        }
        if let Some(request) = report.follow {
            self.take_follower(sender, request, now);
        }
        if let Some(news) = report.news {
            self.fleet.take_news(sender, self.life, news);
        }
        self.fleet.take_crash_notices(sender, &report.crashes);
        if report.is_partial {
            return;
        }
        let loads = report.loads.into_iter().filter_map(|load| {
            let ReportedLoad { server, requests, backlog } = load;
            Some((self.fleet.server_by_key(server)?, ServerLoad { requests, backlog }))
        });
        let mut ledger = self.fleet.ledger().borrow_mut();
        let before = ledger.reporting();
        ledger.note_report(RouterId(sender), loads.collect(), now);
        let routers = u32::try_from(ledger.reporting() + 1).unwrap_or(u32::MAX);
        if ledger.reporting() > before {
            log::info!(peer:% = sender, routers = routers; "router heard");
        }
    }

    fn take_reading(&self, reported: ReportedPrefill, now: Instant) {
        let ReportedPrefill { server, prefixes, cold, expected_ms } = reported;
        let Some(server) = self.fleet.server_by_key(server) else { return };
        let expected = Duration::from_millis(u64::from(expected_ms));
        let reading = PromptReading { cold, begun: now, expected, ahead: cold, waiting: 0 };
        let reading = (expected_ms > 0).then_some(reading);
        self.fleet.note_reading(&StartedReading { server, prefixes, reading });
    }

    /// Tells others at once of long parts that engines begin to read: the next report would come when
    /// most are read, and another router would have them read beside that.
    async fn tell_readings(self: Rc<Self>) {
        loop {
            let readings = self.fleet.next_readings().await;
            let now = Instant::now();
            let readings = readings.iter().filter_map(|started| reported_reading(started, now));
            let readings: Vec<_> = readings.take(READINGS_AT_ONCE).collect();
            if readings.is_empty() {
                continue;
            }
            let report = RouterReport { readings, ..RouterReport::default() };
            let targets = self.some_alive(MOST_TOLD_AT_ONCE);
            let bytes = self.send_partial(report, &targets).await;
            let pause = Duration::from_secs_f64(bytes as f64 / MOST_READING_BYTES_PER_SECOND);
            monoio::time::sleep(pause).await;
        }
    }

    /// Sends a report without loads, ahead of the next whole one.
    pub(super) async fn send_partial(&self, report: RouterReport, targets: &[IpAddr]) -> usize {
        self.sequence.set(self.sequence.get() + 1);
        let report = RouterReport {
            sequence: self.sequence.get(),
            fresh: self.started.elapsed() < FRESH_FOR,
            is_partial: true,
            ..report
        };
        self.send(&report, targets).await
    }

    /// Sends a report; returns the bytes that this took in all.
    async fn send(&self, report: &RouterReport, targets: &[IpAddr]) -> usize {
        let datagram = report.encode();
        let bytes = datagram.len() * targets.len();
        self.fleet.metrics().report_bytes.inc_by(bytes as u64);
        for target in targets {
            let address = SocketAddr::new(*target, self.address.port());
            if let (Err(error), _) = self.socket.send_to(datagram.clone(), address).await {
                log::warn!(peer:% = target, error:% = error; "sending a report failed");
            }
        }
        bytes
    }

    fn take_answers(&self, sender: IpAddr, configuration: &ReportedConfiguration) {
        let statement = VouchStatement {
            version: ConfigVersion(configuration.version),
            age: Duration::from_millis(configuration.age_ms),
        };
        let own = configuration.answers.iter().filter(|(asker, _)| *asker == self.address.ip());
        for (_, question) in own {
            self.fleet.take_vouching(sender, self.life, read_question(*question), statement);
        }
    }

    async fn report(self: Rc<Self>) {
        loop {
            let now = Instant::now();
            for silent in self.fleet.ledger().borrow_mut().expire(now) {
                log::info!(peer:% = silent; "router no longer heard");
            }
            let targets = self.peers.borrow_mut().next_targets(now);
            let report = self.next_report(now);
            let bytes = self.send(&report, &targets).await;
            let needed = Duration::from_secs_f64(bytes as f64 / MOST_BYTES_PER_SECOND);
            let pause = REPORT_EVERY.max(needed);
            // The others report at about the same pace.
            let rounds = u32::try_from(self.peers.borrow().rounds()).unwrap_or(u32::MAX);
            self.fleet.ledger().borrow_mut().note_cycle(pause * rounds);
            monoio::time::sleep(pause).await;
        }
    }

    fn next_report(&self, now: Instant) -> RouterReport {
        self.sequence.set(self.sequence.get() + 1);
        let question = self
            .fleet
            .needs_vouching()
            .then(|| ReportedQuery { life: self.life, asked_ms: whole_millis(boot_now().0) });
        let ledger = self.fleet.ledger().borrow();
        let loads = ledger.own().map(|(server, load)| ReportedLoad {
            server: server.into(),
            requests: load.requests,
            backlog: load.backlog,
        });
        let notes = self.fleet.next_holder_notes(now);
        let holders = notes.into_iter().map(|note| {
            let HolderNote { server, prefixes } = note;
            ReportedHolder { server: (&server).into(), prefixes }
        });
        let listings = self.listings.borrow_mut().next(now).into_iter();
        let listings = listings.map(|CacheListing { server, parts }| ReportedListing {
            server: (&server).into(),
            parts,
        });
        RouterReport {
            sequence: self.sequence.get(),
            known: self.peers.borrow_mut().next_named(now),
            loads: loads.collect(),
            holders: holders.collect(),
            listings: listings.collect(),
            leaving: self.leaving.get(),
            fresh: now.saturating_duration_since(self.started) < FRESH_FOR,
            question,
            configuration: self.next_answers(now),
            readings: Vec::new(),
            follow: None,
            news: None,
            part_question: None,
            part_answer: None,
            crashes: self.fleet.next_held_requests(now),
            counted: self.fleet.counted_routers(),
            is_partial: false,
        }
    }

    /// Answers to the routers that ask. Their questions are looked at before the age is, which so
    /// counts from a later moment than they asked.
    fn next_answers(&self, now: Instant) -> Option<ReportedConfiguration> {
        let open = self.questions.borrow_mut().open(now);
        if open.is_empty() {
            return None;
        }
        let VouchStatement { version, age } = self.fleet.statement()?;
        let answers = open.into_iter().map(|(router, question)| {
            let asked_ms = whole_millis(question.asked.0);
            (router, ReportedQuery { life: question.life, asked_ms })
        });
        Some(ReportedConfiguration {
            version: version.0,
            age_ms: whole_millis(age).saturating_add(1),
            answers: answers.collect(),
        })
    }
}

/// What to tell others of a reading; nothing where it should have ended by now.
pub(super) fn reported_reading(started: &StartedReading, now: Instant) -> Option<ReportedPrefill> {
    let StartedReading { server, prefixes, reading } = started;
    let (cold, expected_ms) = match reading {
        Some(reading) => {
            let age = now.saturating_duration_since(reading.begun);
            let left = reading.expected.saturating_sub(age).as_millis();
            (reading.cold, u32::try_from(left).ok().filter(|left| *left > 0)?)
        }
        None => (TokenCount::default(), 0),
    };
    Some(ReportedPrefill { server: server.into(), prefixes: prefixes.clone(), cold, expected_ms })
}

fn read_question(question: ReportedQuery) -> VouchQuestion {
    let asked = BootInstant(Duration::from_millis(question.asked_ms));
    VouchQuestion { life: question.life, asked }
}

fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
