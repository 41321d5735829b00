//! The state of a router: its view of the fleet and its requests in progress.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use papayamux_coordination::cold_servers::{ColdTracker, KnownRouters};
use papayamux_coordination::configuration_readability::ConfigurationReadability;
use papayamux_coordination::crash_quarantine::CrashQuarantine;
use papayamux_coordination::domain_evacuations::DomainEvacuations;
use papayamux_coordination::failure_rates::FailureRates;
use papayamux_coordination::key_freshness::KeyFreshness;
use papayamux_coordination::link_delays::LinkDelays;
use papayamux_coordination::log_limit::{LogBudget, LogLimit};
use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::part_prefills::PartPrefills;
use papayamux_coordination::placement::{LoadLedger, RecentHolders};
use papayamux_coordination::recent_departures::RecentDepartures;
use papayamux_coordination::retry_benefit::BenefitTracker;
use papayamux_coordination::round_trips::RoundTrips;
use papayamux_coordination::server_evidence::EvidenceTracker;
use papayamux_coordination::server_liveness::LivenessTracker;
use papayamux_coordination::server_notices::NoticeTable;
use papayamux_coordination::server_presence::ServerPresence;
use papayamux_coordination::server_profile::ProfileTracker;
use papayamux_coordination::server_slots::QueueReports;
use papayamux_coordination::server_slowdown::SlowdownTracker;
use papayamux_coordination::service_queue::ServiceQueue;
use papayamux_coordination::service_retry_budget::ServiceRetryBudget;
use papayamux_coordination::usual_deadline::UsualDeadline;
use papayamux_state::boot_time::BootInstant;
use papayamux_state::ids::{RouteId, ServerId, ServiceId};
use papayamux_state::prompt::WarmParts;
use papayamux_state::service_config::ConfigurationSnapshot;
use papayamux_transport::http::upstream::UpstreamPool;
use papayamux_transport::shutdown::ShutdownSignal;

use super::part_inquiries::OwnerOutbox;
use super::part_prefills::PrefillUpdate;
use super::queued_requests::QueueTicket;
use super::server_checks::ServerChecks;
use super::shared_queues::SharedQueues;
use super::source_knowledge::SourceKnowledge;
use super::stream_origins::StreamOrigins;
use super::view_adoption::ViewHandover;
use crate::direct::attempt_watch::AttemptWatch;
use crate::direct::{DirectMetrics, FleetSettings};

/// The state that all tasks of a router share. It belongs to one thread; clones of the `Rc` share
/// it.
pub struct Fleet {
    pub(super) settings: FleetSettings,
    pub(super) configuration: RefCell<Option<Rc<ConfigurationSnapshot>>>,
    pub(super) readability: Cell<ConfigurationReadability>,
    pub(super) freshness: RefCell<KeyFreshness>,
    /// When the view of the source was last known to be the newest, whether or not its configuration can be read.
    pub(super) view_confirmed: Cell<Option<BootInstant>>,
    pub(super) confirmed: RefCell<ShutdownSignal>,
    pub(super) configuration_applied: RefCell<ShutdownSignal>,
    pub(super) confirmed_by_peers: Cell<bool>,
    pub(super) source_lost: Cell<bool>,
    pub(super) read_request: RefCell<ShutdownSignal>,
    pub(super) needs_own_read: Cell<bool>,
    pub(super) knowledge: SourceKnowledge,
    pub(super) handover: ViewHandover,
    pub(super) presence: RefCell<ServerPresence>,
    pub(super) departures: RefCell<RecentDepartures>,
    pub(super) evacuations: RefCell<DomainEvacuations>,
    pub(super) cold_tracker: RefCell<ColdTracker>,
    pub(super) router_count: RefCell<KnownRouters>,
    pub(super) ledger: RefCell<LoadLedger>,
    pub(super) evidence: RefCell<EvidenceTracker>,
    pub(super) notices: RefCell<NoticeTable>,
    pub(super) liveness: RefCell<HashMap<ServiceId, LivenessTracker>>,
    pub(super) budget: RefCell<ServiceRetryBudget>,
    pub(super) records: RefCell<HashMap<ServiceId, FailureRates>>,
    pub(super) retry_benefit: RefCell<BenefitTracker>,
    pub(super) withheld_log_limit: RefCell<LogLimit>,
    pub(super) profiles: RefCell<ProfileTracker>,
    pub(super) warm: RefCell<HashMap<ServerId, WarmParts>>,
    pub(super) holders: RefCell<RecentHolders>,
    pub(super) queues: RefCell<HashMap<ServiceId, ServiceQueue<Rc<QueueTicket>>>>,
    pub(super) shared: SharedQueues,
    pub(super) links: RefCell<LinkDelays>,
    pub(super) round_trips: RefCell<RoundTrips>,
    pub(super) queue_reports: RefCell<QueueReports>,
    pub(super) slowdowns: RefCell<SlowdownTracker>,
    pub(super) deadlines: RefCell<HashMap<RouteId, UsualDeadline>>,
    pub(super) in_flight: Cell<usize>,
    pub(super) fault_log_limit: RefCell<LogLimit>,
    pub(super) refusal_log_budget: RefCell<LogBudget>,
    pub(super) part_prefills: RefCell<PartPrefills>,
    pub(super) prefill_ended: RefCell<ShutdownSignal>,
    pub(super) prefills: RefCell<Vec<PrefillUpdate>>,
    pub(super) prefill_begun: RefCell<ShutdownSignal>,
    pub(super) outbox: OwnerOutbox,
    pub(super) origins: StreamOrigins,
    pub(super) checks: ServerChecks,
    pub(super) quarantine: RefCell<CrashQuarantine>,
    pub(super) crash_recorded: RefCell<ShutdownSignal>,
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
    /// Creates the state of a router that knows nothing yet.
    pub fn new(settings: FleetSettings) -> Rc<Self> {
        let pool = UpstreamPool::new(settings.pool);
        Rc::new(Self {
            freshness: RefCell::new(KeyFreshness::new(settings.revoke_within)),
            budget: RefCell::new(retry_budget(&settings)),
            round_trips: RefCell::new(RoundTrips::new(settings.domain.clone())),
            knowledge: SourceKnowledge::new(settings.address, settings.read_bounds().interval()),
            departures: RefCell::new(RecentDepartures::new(settings.departure_bounds())),
            router_count: RefCell::new(KnownRouters::new(
                settings.address,
                settings.expects_others,
                Instant::now(),
            )),
            settings,
            configuration: RefCell::default(),
            readability: Cell::default(),
            view_confirmed: Cell::new(None),
            handover: ViewHandover::default(),
            confirmed: RefCell::default(),
            configuration_applied: RefCell::default(),
            confirmed_by_peers: Cell::new(false),
            source_lost: Cell::new(false),
            read_request: RefCell::default(),
            needs_own_read: Cell::new(false),
            presence: RefCell::default(),
            evacuations: RefCell::default(),
            cold_tracker: RefCell::default(),
            ledger: RefCell::default(),
            evidence: RefCell::default(),
            notices: RefCell::default(),
            liveness: RefCell::default(),
            records: RefCell::default(),
            retry_benefit: RefCell::default(),
            withheld_log_limit: RefCell::default(),
            profiles: RefCell::default(),
            warm: RefCell::default(),
            holders: RefCell::default(),
            queues: RefCell::default(),
            shared: SharedQueues::default(),
            links: RefCell::default(),
            queue_reports: RefCell::default(),
            slowdowns: RefCell::default(),
            deadlines: RefCell::default(),
            in_flight: Cell::new(0),
            fault_log_limit: RefCell::default(),
            refusal_log_budget: RefCell::default(),
            part_prefills: RefCell::default(),
            prefill_ended: RefCell::default(),
            prefills: RefCell::default(),
            prefill_begun: RefCell::default(),
            outbox: OwnerOutbox::default(),
            origins: StreamOrigins::new(Instant::now()),
            checks: ServerChecks::default(),
            quarantine: RefCell::default(),
            crash_recorded: RefCell::default(),
            watch: AttemptWatch::default(),
            metrics: DirectMetrics::default(),
            pool,
        })
    }

    /// Returns the settings.
    pub fn settings(&self) -> &FleetSettings {
        &self.settings
    }

    /// Returns whether a mechanism is in use: all are, except those that an experiment has
    /// disabled.
    pub(in crate::direct) fn uses(&self, mechanism: Mechanism) -> bool {
        self.settings.disabled.allow(mechanism)
    }

    /// Returns counters and histograms.
    pub fn metrics(&self) -> &DirectMetrics {
        &self.metrics
    }

    /// Returns the connections to servers.
    pub fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    /// Returns the watch over attempts.
    pub(in crate::direct) fn watch(&self) -> &AttemptWatch {
        &self.watch
    }

    /// Returns the loads of servers by the requests of this router and of the others.
    pub fn ledger(&self) -> &RefCell<LoadLedger> {
        &self.ledger
    }

    /// Returns the budget for retries.
    pub fn budget(&self) -> &RefCell<ServiceRetryBudget> {
        &self.budget
    }
}
