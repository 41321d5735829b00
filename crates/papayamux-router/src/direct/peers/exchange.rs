//! Exchanges reports with the other routers, in datagrams.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use monoio::net::udp::UdpSocket;
use papayamux_coordination::cache_survey::{CacheListing, ListingUpdates, FRESH_DURATION};
use papayamux_coordination::fleet_knowledge::ViewDistributor;
use papayamux_coordination::freshness_confirmation::{
    FreshnessQueries, FreshnessQuery, FreshnessReport,
};
use papayamux_coordination::part_owners::SilentOwners;
use papayamux_coordination::part_prefills::PromptPrefill;
use papayamux_coordination::placement::{HolderUpdate, RouterId, ServerLoad};
use papayamux_coordination::router_peers::{PeerUpdate, RouterPeers};
use papayamux_protocol::router_report::{
    ReportedConfiguration, ReportedHolder, ReportedListing, ReportedLoad, ReportedPrefill,
    ReportedQuery, RouterReport,
};
use papayamux_state::boot_time::BootInstant;
use papayamux_state::quantities::TokenCount;
use papayamux_state::service_config::ConfigVersion;
use papayamux_transport::boot_clock::boot_now;

use super::origin_exchange::OriginExchange;
use super::owner_queries::OpenQuery;
use crate::direct::fleet::PrefillUpdate;
use crate::direct::Fleet;

/// Interval between two rounds of reports. Requests last from tens of milliseconds to seconds, so
/// that a quarter of a second shows most of the load of the others at a server.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum bytes per second that a router sends in reports; the interval grows if more would be
/// needed. This is half of the budget for control traffic; the rest is for the source.
const MAX_REPORT_BYTES_PER_SECOND: f64 = 10_000.0;
/// Maximum bytes per second of prefills that a router announces at once. Together with the reports
/// this stays within the budget for control traffic. A prefill takes about 60 bytes for each router
/// that is notified, and as much at its end.
const MAX_PREFILL_BYTES_PER_SECOND: f64 = 6_000.0;
/// Number of routers that are notified of a prefill at once: all routers of a fleet of the current
/// size, some of a larger one.
const PREFILL_FANOUT: usize = 32;
/// Maximum number of prefills announced in one report. The others show in the loads and holders of
/// the next regular report.
const MAX_PREFILLS_PER_REPORT: usize = 8;
/// Maximum size of a report, which covers several hundred servers.
const MAX_REPORT_BYTES: usize = 16 * 1024;
/// Pause after a failure to receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);

/// Sends reports to the other routers and receives theirs.
pub struct PeerExchange {
    pub(super) fleet: Rc<Fleet>,
    socket: UdpSocket,
    address: SocketAddr,
    pub(super) peers: RefCell<RouterPeers>,
    pub(super) distributor: RefCell<ViewDistributor>,
    freshness_queries: RefCell<FreshnessQueries<IpAddr>>,
    listings: RefCell<ListingUpdates>,
    pub(super) life: u64,
    pub(super) started: Instant,
    sequence: Cell<u64>,
    leaving: Cell<bool>,
    pub(super) last_query_number: Cell<u64>,
    pub(super) open_queries: RefCell<HashMap<u64, OpenQuery>>,
    pub(super) silent_owners: RefCell<SilentOwners>,
    pub(super) origins: OriginExchange,
}

impl PeerExchange {
    /// Opens the socket, and the listener that hands on the view of the source. All routers use the same
    /// port.
    pub fn open(fleet: Rc<Fleet>, listen: SocketAddr, seeds: Vec<IpAddr>) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(listen)?;
        let peers = RefCell::new(RouterPeers::new(listen.ip(), seeds));
        let exchange = Rc::new(Self {
            fleet,
            socket,
            address: listen,
            peers,
            distributor: RefCell::default(),
            freshness_queries: RefCell::default(),
            listings: RefCell::default(),
            life: rand::random(),
            started: Instant::now(),
            sequence: Cell::new(0),
            leaving: Cell::new(false),
            last_query_number: Cell::new(0),
            open_queries: RefCell::default(),
            silent_owners: RefCell::default(),
            origins: OriginExchange::default(),
        });
        monoio::spawn(exchange.clone().receive());
        monoio::spawn(exchange.clone().report());
        monoio::spawn(exchange.clone().announce_prefills());
        monoio::spawn(exchange.clone().follow());
        monoio::spawn(exchange.clone().send_updates());
        monoio::spawn(exchange.clone().send_to_owners());
        monoio::spawn(exchange.clone().announce_crashes());
        monoio::spawn(exchange.clone().notify_origin_owners());
        monoio::spawn(exchange.clone().search_origins());
        monoio::spawn(exchange.clone().exchange_queues());
        match papayamux_transport::listen::listen(listen) {
            Ok(listener) => {
                monoio::spawn(exchange.clone().serve_views(listener));
            }
            Err(error) => {
                log::error!(error:% = error; "the view of the source can't be handed on");
            }
        }
        Ok(exchange)
    }

    /// Replaces the first routers to contact.
    pub fn set_seeds(&self, seeds: Vec<IpAddr>) {
        self.peers.borrow_mut().set_seeds(seeds);
    }

    /// Announces to the other routers that this one is about to exit.
    pub fn announce_shutdown(&self) {
        self.leaving.set(true);
    }

    /// Returns the other known routers if all that are in contact have started recently and so know
    /// little about caches. In a large fleet a router is in contact with few of them by then, and the
    /// others are named by the router that handed it its view.
    pub fn fresh_routers(&self) -> Option<Vec<IpAddr>> {
        let peers = self.peers.borrow();
        peers.all_are_fresh(Instant::now()).then(|| peers.known())
    }

    /// Returns the address by which the other routers know this one.
    pub fn own_address(&self) -> IpAddr {
        self.address.ip()
    }

    /// Returns the port of all routers.
    pub(super) fn own_port(&self) -> u16 {
        self.address.port()
    }

    /// Announces the cache contents that an engine listed.
    pub fn announce_listing(&self, listing: CacheListing) {
        self.listings.borrow_mut().add(listing, Instant::now());
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0u8; MAX_REPORT_BYTES];
        loop {
            let (result, returned) = self.socket.recv_from(buffer).await;
            buffer = returned;
            match result {
                Ok((length, sender)) => {
                    self.receive_report(sender.ip(), Bytes::copy_from_slice(&buffer[..length]));
                }
                Err(error) => {
                    log::warn!(error:% = error; "receiving a report failed");
                    monoio::time::sleep(RECEIVE_PAUSE).await;
                }
            }
        }
    }

    fn receive_report(self: &Rc<Self>, sender: IpAddr, bytes: Bytes) {
        let report = match RouterReport::decode(bytes) {
            Ok(report) => report,
            Err(error) => {
                log::warn!(peer:% = sender, error:% = error; "malformed report");
                return;
            }
        };
        let now = Instant::now();
        // Reports that overtake one another on the way don't outdate these.
        self.fleet.record_origin_notices(&report.origins, now);
        if let Some(query) = report.origin_query {
            self.answer_origin_query(sender, query);
        }
        if let Some(answer) = report.origin_answer {
            self.receive_origin_answer(sender, answer);
        }
        if let Some(report) = report.queue_report {
            self.fleet.receive_queue_report(sender, report, now);
        }
        if let Some(answer) = &report.queue_answer {
            self.fleet.receive_queue_answer(sender, answer, now);
        }
        self.fleet.record_contention_notices(&report.contended, now);
        let update =
            PeerUpdate { sequence: report.sequence, known: &report.known, fresh: report.fresh };
        let newer = self.peers.borrow_mut().record_update(sender, update, now);
        self.fleet.record_reported_routers(sender, &report.known, report.counted, now);
        if !newer {
            return;
        }
        if let Some(question) = report.question {
            self.freshness_queries.borrow_mut().record(
                sender,
                parse_freshness_query(question),
                now,
            );
        }
        if let Some(configuration) = report.configuration {
            self.receive_freshness_answers(sender, &configuration);
        }
        for ReportedHolder { server, prefixes } in report.holders {
            if let Some(server) = self.fleet.server_by_key(server) {
                self.fleet.record_holder(&HolderUpdate { server, prefixes });
            }
        }
        for ReportedListing { server, parts } in report.listings {
            if let Some(server) = self.fleet.server_by_key(server) {
                self.fleet.record_listing(&CacheListing::new(server, parts));
            }
        }
        for prefill in report.readings {
            self.receive_prefill(prefill, now);
        }
        if let Some(question) = report.part_question {
            self.answer_part_query(sender, question);
        }
        if let Some(answer) = report.part_answer {
            self.receive_part_answer(sender, answer);
        }
        if let Some(request) = report.follow {
            self.receive_follow_request(sender, request, now);
        }
        if let Some(update) = report.news {
            self.fleet.receive_update(sender, self.life, update);
        }
        self.fleet.receive_crash_notices(sender, &report.crashes);
        if report.is_partial {
            return;
        }
        self.peers.borrow_mut().record_capacity(sender, report.capacity);
        let loads = report.loads.into_iter().filter_map(|load| {
            let ReportedLoad { server, requests, backlog } = load;
            Some((self.fleet.server_by_key(server)?, ServerLoad { requests, backlog }))
        });
        let mut ledger = self.fleet.ledger().borrow_mut();
        let before = ledger.reporting();
        ledger.record_report(RouterId(sender), loads.collect(), now);
        let routers = u32::try_from(ledger.reporting() + 1).unwrap_or(u32::MAX);
        if ledger.hears_all() && ledger.reporting() > before {
            log::info!(peer:% = sender, routers = routers; "router heard");
        }
    }

    fn receive_prefill(&self, reported: ReportedPrefill, now: Instant) {
        let ReportedPrefill { server, prefixes, cold, expected_ms } = reported;
        let Some(server) = self.fleet.server_by_key(server) else { return };
        let expected = Duration::from_millis(u64::from(expected_ms));
        let prefill = PromptPrefill { cold, started_at: now, expected, ahead: cold, waiting: 0 };
        let prefill = (expected_ms > 0).then_some(prefill);
        self.fleet.record_prefill(&PrefillUpdate { server, prefixes, prefill });
    }

    /// Announces long prefills to other routers at once: by the next report they would mostly be
    /// done, and another router would have had the same parts prefilled in addition.
    async fn announce_prefills(self: Rc<Self>) {
        loop {
            let prefills = self.fleet.next_prefills().await;
            let now = Instant::now();
            let prefills = prefills.iter().filter_map(|update| reported_prefill(update, now));
            let prefills: Vec<_> = prefills.take(MAX_PREFILLS_PER_REPORT).collect();
            if prefills.is_empty() {
                continue;
            }
            let report = RouterReport { readings: prefills, ..RouterReport::default() };
            let targets = self.sample_alive(PREFILL_FANOUT);
            let bytes = self.send_partial(report, &targets).await;
            let pause = Duration::from_secs_f64(bytes as f64 / MAX_PREFILL_BYTES_PER_SECOND);
            monoio::time::sleep(pause).await;
        }
    }

    /// Sends a report without loads, ahead of the next complete one.
    pub(super) async fn send_partial(&self, report: RouterReport, targets: &[IpAddr]) -> usize {
        self.sequence.set(self.sequence.get() + 1);
        let report = RouterReport {
            sequence: self.sequence.get(),
            fresh: self.started.elapsed() < FRESH_DURATION,
            is_partial: true,
            ..report
        };
        self.send(&report, targets).await
    }

    /// Sends a report; returns the total number of bytes.
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

    fn receive_freshness_answers(&self, sender: IpAddr, configuration: &ReportedConfiguration) {
        let freshness_report = FreshnessReport {
            version: ConfigVersion(configuration.version),
            age: Duration::from_millis(configuration.age_ms),
        };
        let own = configuration.answers.iter().filter(|(asker, _)| *asker == self.address.ip());
        for (_, question) in own {
            self.fleet.receive_freshness_report(
                sender,
                self.life,
                parse_freshness_query(*question),
                freshness_report,
            );
        }
    }

    async fn report(self: Rc<Self>) {
        loop {
            let now = Instant::now();
            let expired = self.fleet.ledger().borrow_mut().expire(now);
            if self.fleet.ledger().borrow().hears_all() {
                for silent in expired {
                    log::info!(peer:% = silent; "router no longer heard");
                }
            }
            let targets = self.peers.borrow_mut().next_targets(now);
            let report = self.next_report(now);
            let bytes = self.send(&report, &targets).await;
            let needed = Duration::from_secs_f64(bytes as f64 / MAX_REPORT_BYTES_PER_SECOND);
            let pause = REPORT_INTERVAL.max(needed);
            // The others send reports at about the same interval.
            let rounds = u32::try_from(self.peers.borrow().rounds()).unwrap_or(u32::MAX);
            self.fleet.ledger().borrow_mut().record_cycle(pause * rounds);
            monoio::time::sleep(pause).await;
        }
    }

    fn next_report(&self, now: Instant) -> RouterReport {
        self.sequence.set(self.sequence.get() + 1);
        let question = self
            .fleet
            .needs_freshness_confirmation()
            .then(|| ReportedQuery { life: self.life, asked_ms: whole_millis(boot_now().0) });
        let ledger = self.fleet.ledger().borrow();
        let loads = ledger.own().map(|(server, load)| ReportedLoad {
            server: server.into(),
            requests: load.requests,
            backlog: load.backlog,
        });
        let updates = self.fleet.next_holder_updates(now);
        let holders = updates.into_iter().map(|update| {
            let HolderUpdate { server, prefixes } = update;
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
            fresh: now.saturating_duration_since(self.started) < FRESH_DURATION,
            question,
            configuration: self.next_answers(now),
            crashes: self.fleet.next_held_suspects(now),
            counted: self.fleet.counted_routers(),
            capacity: self.fleet.settings().capacity,
            ..RouterReport::default()
        }
    }

    /// Returns the answers to the pending freshness queries. The queries are taken before the age
    /// is computed, so that the age counts from a later time than that of each query.
    fn next_answers(&self, now: Instant) -> Option<ReportedConfiguration> {
        let open = self.freshness_queries.borrow_mut().open(now);
        if open.is_empty() {
            return None;
        }
        let FreshnessReport { version, age } = self.fleet.freshness_report()?;
        let answers = open.into_iter().map(|(router, question)| {
            let asked_ms = whole_millis(question.sent_at.0);
            (router, ReportedQuery { life: question.incarnation, asked_ms })
        });
        Some(ReportedConfiguration {
            version: version.0,
            age_ms: whole_millis(age).saturating_add(1),
            answers: answers.collect(),
        })
    }
}

/// Returns the report of a prefill; `None` if it should have ended by now.
pub(super) fn reported_prefill(update: &PrefillUpdate, now: Instant) -> Option<ReportedPrefill> {
    let PrefillUpdate { server, prefixes, prefill } = update;
    let (cold, expected_ms) = match prefill {
        Some(prefill) => {
            let age = now.saturating_duration_since(prefill.started_at);
            let left = prefill.expected.saturating_sub(age).as_millis();
            (prefill.cold, u32::try_from(left).ok().filter(|left| *left > 0)?)
        }
        None => (TokenCount::default(), 0),
    };
    Some(ReportedPrefill { server: server.into(), prefixes: prefixes.clone(), cold, expected_ms })
}

fn parse_freshness_query(question: ReportedQuery) -> FreshnessQuery {
    let sent_at = BootInstant(Duration::from_millis(question.asked_ms));
    FreshnessQuery { incarnation: question.life, sent_at }
}

fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
