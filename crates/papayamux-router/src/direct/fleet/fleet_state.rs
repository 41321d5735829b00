//! What a router believes, and what it has under way.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use papayamux_coordination::cold_servers::{ColdBook, RouterCensus};
use papayamux_coordination::crash_quarantine::CrashQuarantine;
use papayamux_coordination::domain_evacuations::DomainEvacuations;
use papayamux_coordination::failure_rates::FailureRates;
use papayamux_coordination::key_freshness::KeyFreshness;
use papayamux_coordination::link_delays::LinkDelays;
use papayamux_coordination::log_limit::LogLimit;
use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::part_flights::PartFlights;
use papayamux_coordination::placement::{LoadLedger, RecentHolders};
use papayamux_coordination::recent_departures::RecentDepartures;
use papayamux_coordination::round_trips::RoundTrips;
use papayamux_coordination::server_evidence::EvidenceTracker;
use papayamux_coordination::server_liveness::LivenessTracker;
use papayamux_coordination::server_notices::NoticeTable;
use papayamux_coordination::server_places::QueueReports;
use papayamux_coordination::server_presence::ServerPresence;
use papayamux_coordination::server_profile::ProfileBook;
use papayamux_coordination::service_queue::ServiceQueue;
use papayamux_coordination::service_retry_budget::ServiceRetryBudget;
use papayamux_coordination::usual_deadline::UsualDeadline;
use papayamux_state::ids::{RouteId, ServerId, ServiceId};
use papayamux_state::prompt::WarmParts;
use papayamux_state::service_config::ConfigurationSnapshot;
use papayamux_transport::http::upstream::UpstreamPool;
use papayamux_transport::shutdown::ShutdownSignal;

use super::part_inquiries::OwnerMail;
use super::part_waits::StartedReading;
use super::server_checks::ServerChecks;
use super::source_knowledge::SourceKnowledge;
use super::turns::Turn;
use crate::direct::attempt_watch::AttemptWatch;
use crate::direct::{DirectMetrics, FleetSettings};

/// All that a router knows. It belongs to one thread; clones of the `Rc` share it.
pub struct Fleet {
    pub(super) settings: FleetSettings,
    pub(super) configuration: RefCell<Option<Rc<ConfigurationSnapshot>>>,
    pub(super) freshness: RefCell<KeyFreshness>,
    pub(super) confirmed: RefCell<ShutdownSignal>,
    pub(super) vouched_for: Cell<bool>,
    pub(super) source_lost: Cell<bool>,
    pub(super) poke: RefCell<ShutdownSignal>,
    pub(super) knowledge: SourceKnowledge,
    pub(super) presence: RefCell<ServerPresence>,
    pub(super) departures: RefCell<RecentDepartures>,
    pub(super) evacuations: RefCell<DomainEvacuations>,
    pub(super) cold_book: RefCell<ColdBook>,
    pub(super) census: RefCell<RouterCensus>,
    pub(super) ledger: RefCell<LoadLedger>,
    pub(super) evidence: RefCell<EvidenceTracker>,
    pub(super) notices: RefCell<NoticeTable>,
    pub(super) liveness: RefCell<HashMap<ServiceId, LivenessTracker>>,
    pub(super) budget: RefCell<ServiceRetryBudget>,
    pub(super) records: RefCell<HashMap<ServiceId, FailureRates>>,
    pub(super) profiles: RefCell<ProfileBook>,
    pub(super) warm: RefCell<HashMap<ServerId, WarmParts>>,
    pub(super) holders: RefCell<RecentHolders>,
    pub(super) lines: RefCell<HashMap<ServiceId, ServiceQueue<Rc<Turn>>>>,
    pub(super) links: RefCell<LinkDelays>,
    pub(super) round_trips: RefCell<RoundTrips>,
    pub(super) queue_reports: RefCell<QueueReports>,
    pub(super) deadlines: RefCell<HashMap<RouteId, UsualDeadline>>,
    pub(super) in_flight: Cell<usize>,
    pub(super) fault_lines: RefCell<LogLimit>,
    pub(super) flights: RefCell<PartFlights>,
    pub(super) part_read: RefCell<ShutdownSignal>,
    pub(super) readings: RefCell<Vec<StartedReading>>,
    pub(super) reading_begun: RefCell<ShutdownSignal>,
    pub(super) mail: OwnerMail,
    pub(super) checks: ServerChecks,
    pub(super) quarantine: RefCell<CrashQuarantine>,
    pub(super) crash_noted: RefCell<ShutdownSignal>,
    pub(super) watch: AttemptWatch,
    pub(super) metrics: DirectMetrics,
    pub(super) pool: UpstreamPool,
}

fn retry_budget(settings: &FleetSettings) -> ServiceRetryBudget {
    let now = Instant::now();
    match settings.expects_others {
        true => ServiceRetryBudget::new(settings.retries, now),
        false => ServiceRetryBudget::alone(settings.retries, now),
    }
}

impl Fleet {
    /// A router that knows nothing yet.
    pub fn new(settings: FleetSettings) -> Rc<Self> {
        let pool = UpstreamPool::new(settings.pool);
        Rc::new(Self {
            freshness: RefCell::new(KeyFreshness::new(settings.revoke_within)),
            budget: RefCell::new(retry_budget(&settings)),
            round_trips: RefCell::new(RoundTrips::new(settings.domain.clone())),
            knowledge: SourceKnowledge::new(settings.address, settings.read_bounds().interval()),
            departures: RefCell::new(RecentDepartures::new(settings.departure_bounds())),
            census: RefCell::new(RouterCensus::new(
                settings.address,
                settings.expects_others,
                Instant::now(),
            )),
            settings,
            configuration: RefCell::default(),
            confirmed: RefCell::default(),
            vouched_for: Cell::new(false),
            source_lost: Cell::new(false),
            poke: RefCell::default(),
            presence: RefCell::default(),
            evacuations: RefCell::default(),
            cold_book: RefCell::default(),
            ledger: RefCell::default(),
            evidence: RefCell::default(),
            notices: RefCell::default(),
            liveness: RefCell::default(),
            records: RefCell::default(),
            profiles: RefCell::default(),
            warm: RefCell::default(),
            holders: RefCell::default(),
            lines: RefCell::default(),
            links: RefCell::default(),
            queue_reports: RefCell::default(),
            deadlines: RefCell::default(),
            in_flight: Cell::new(0),
            fault_lines: RefCell::default(),
            flights: RefCell::default(),
            part_read: RefCell::default(),
            readings: RefCell::default(),
            reading_begun: RefCell::default(),
            mail: OwnerMail::default(),
            checks: ServerChecks::default(),
            quarantine: RefCell::default(),
            crash_noted: RefCell::default(),
            watch: AttemptWatch::default(),
            metrics: DirectMetrics::default(),
            pool,
        })
    }

    /// The settings.
    pub fn settings(&self) -> &FleetSettings {
        &self.settings
    }

    /// Whether a mechanism is in use: all are, but for those that an experiment has switched off.
    pub(in crate::direct) fn uses(&self, mechanism: Mechanism) -> bool {
        self.settings.disabled.allow(mechanism)
    }

    /// Counters and histograms.
    pub fn metrics(&self) -> &DirectMetrics {
        &self.metrics
    }

    /// Connections to servers.
    pub fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    /// The watch over attempts.
    pub(in crate::direct) fn watch(&self) -> &AttemptWatch {
        &self.watch
    }

    /// Loads at servers, own and others'.
    pub fn ledger(&self) -> &RefCell<LoadLedger> {
        &self.ledger
    }

    /// The budget for repeats.
    pub fn budget(&self) -> &RefCell<ServiceRetryBudget> {
        &self.budget
    }
}
