//! Requests that wait in the shared queue of a service that is short of slots.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::log_limit::LogLimit;
use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::service_queue::{QueueRefusal, QueuedRequest};
use papayamux_coordination::shared_queue::{
    pick_shard, queue_shards, ContentionTracker, QueueClient, QueueOwner, QueueShard,
};
use papayamux_state::backend::{BackendServer, ReportedQueue};
use papayamux_state::ids::{Incarnation, ServerKey, ServiceId};
use papayamux_state::shared_queue::{
    QueueDecision, QueueReport, ServerOccupancy, TicketAnswer, TicketNumber,
};
use papayamux_transport::shutdown::ShutdownSignal;

use super::shared_slot::{OwnerKnowledge, SharedOutcome, SharedSlot, SharedTicket};
use super::{Fleet, ServerFilter};

/// Age at which the division of a service's servers into shards is computed again. A server that
/// comes gets no grants for as long.
const SHARDS_EXPIRY: Duration = Duration::from_millis(250);
/// Maximum number of a router's requests in one shared queue; further ones wait in its own queue. A
/// report of so many fits into the receive buffer, whatever the length of their organisations' names.
const MAX_TICKETS: usize = 96;
/// Number of wait budgets for which a request waits for the owner's decision. The owner refuses
/// overdue requests earlier; after this time it is taken to have lost the request.
const MAX_WAIT_BUDGETS: f64 = 1.5;
/// Maximum number of reports per queue whose times are kept; an answer comes within a few reports.
const MAX_REPORT_TIMES: usize = 64;

/// The shared queues that this router takes part in.
#[derive(Default)]
pub(super) struct SharedQueues {
    pub(super) contention: RefCell<BTreeMap<ServiceId, ServiceContention>>,
    /// By the name of the queue: that of the service or of a shard.
    pub(super) queues: RefCell<BTreeMap<ServiceId, SharedQueue>>,
    shards: RefCell<HashMap<ServiceId, KnownShards>>,
    pub(super) changed: RefCell<ShutdownSignal>,
    pub(super) owner_log_limit: RefCell<LogLimit>,
}

/// Whether a service is short of slots.
#[derive(Debug, Default)]
pub(super) struct ServiceContention {
    pub(super) tracker: ContentionTracker,
    /// The state that was logged last.
    pub(super) was_contended: bool,
}

struct KnownShards {
    shards: Rc<[QueueShard]>,
    computed_at: Instant,
}

/// One shared queue: this router's requests in it, and the queue itself if the router owns it.
pub(super) struct SharedQueue {
    pub(super) service: ServiceId,
    pub(super) client: QueueClient,
    pub(super) owner: Option<QueueOwner>,
    /// Since when the owned queue has had nothing to do.
    pub(super) idle_since: Option<Instant>,
    /// Reports to the owner that came since the last round, if this router is the owner.
    pub(super) inbox: Vec<(IpAddr, QueueReport)>,
    /// The known routers by rank.
    pub(super) owners: Vec<IpAddr>,
    pub(super) ranked_at: Option<Instant>,
    pub(super) tickets: HashMap<TicketNumber, Rc<SharedTicket>>,
    /// The owner that was logged last.
    pub(super) logged_owner: Option<IpAddr>,
    report_times: VecDeque<(u64, Instant)>,
}

impl SharedQueue {
    pub(super) fn new(queue: &ServiceId, service: &ServiceId) -> Self {
        Self {
            service: service.clone(),
            client: QueueClient::new(queue.clone(), Incarnation::generate()),
            owner: None,
            idle_since: None,
            inbox: Vec::new(),
            owners: Vec::new(),
            ranked_at: None,
            tickets: HashMap::new(),
            logged_owner: None,
            report_times: VecDeque::new(),
        }
    }

    /// Remembers when a report was sent.
    pub(super) fn record_report(&mut self, sequence: u64, now: Instant) {
        if self.report_times.len() >= MAX_REPORT_TIMES {
            self.report_times.pop_front();
        }
        self.report_times.push_back((sequence, now));
    }

    /// Hands decisions of an owner, based on the report with this number, to their requests.
    pub(super) fn decide(
        &mut self,
        owner: IpAddr,
        sequence: u64,
        decisions: &[TicketAnswer],
        now: Instant,
    ) {
        let report = self.report_times.iter().find(|(number, _)| *number == sequence);
        let knowledge = report.map(|(_, sent_at)| OwnerKnowledge {
            owner,
            age: now.saturating_duration_since(*sent_at),
        });
        for TicketAnswer { number, decision } in decisions {
            let Some(ticket) = self.tickets.remove(number) else { continue };
            ticket.decide(match *decision {
                QueueDecision::Granted(server) => SharedOutcome::Granted(server),
                QueueDecision::Refused { wait, waiting } => {
                    let waiting = usize::try_from(waiting).unwrap_or(usize::MAX);
                    let refusal = QueueRefusal { wait, waiting, ..QueueRefusal::default() };
                    SharedOutcome::Refused(refusal, knowledge)
                }
            });
        }
    }
}

/// The result of a wait in a shared queue.
pub(super) enum SharedWait {
    /// The service has no shared queue now, or no owner answers.
    Unavailable,
    /// The request holds a slot.
    Granted(SharedSlot),
    /// The request would wait longer than it can.
    Refused(QueueRefusal, Option<OwnerKnowledge>),
}

impl Fleet {
    /// Waits for a slot in the shared queue of the service, if the service is short of slots and
    /// the request may run at each of its servers.
    pub(super) async fn wait_in_shared_queue(
        self: &Rc<Self>,
        service: &ServiceId,
        request: &QueuedRequest,
        filter: ServerFilter<'_>,
    ) -> SharedWait {
        let now = Instant::now();
        if !self.shares_queue(service, now) || !self.is_admitted_everywhere(service, filter) {
            return SharedWait::Unavailable;
        }
        let shards = self.queue_shards(service, now);
        let Some(shard) = pick_shard(&shards, rand::random()) else {
            return SharedWait::Unavailable;
        };
        let Some((mut slot, ticket)) = self.enqueue_shared(service, &shard.queue, request) else {
            self.metrics.shared_queue.count("over_limit");
            return SharedWait::Unavailable;
        };
        let limit = request.time.wait_budget().mul_f64(MAX_WAIT_BUDGETS);
        if monoio::time::timeout(limit, ticket.decided.triggered()).await.is_err() {
            self.metrics.shared_queue.count("undecided");
            return SharedWait::Unavailable;
        }
        match ticket.outcome.take() {
            Some(SharedOutcome::Granted(server)) => {
                self.metrics.shared_queue.count("granted");
                slot.granted = Some(server);
                SharedWait::Granted(slot)
            }
            Some(SharedOutcome::Refused(refusal, knowledge)) => {
                self.metrics.shared_queue.count("refused");
                SharedWait::Refused(refusal, knowledge)
            }
            Some(SharedOutcome::Abandoned) | None => {
                self.metrics.shared_queue.count("abandoned");
                SharedWait::Unavailable
            }
        }
    }

    /// Adds a request to a shared queue; `None` if this router has too many there.
    fn enqueue_shared(
        self: &Rc<Self>,
        service: &ServiceId,
        queue: &ServiceId,
        request: &QueuedRequest,
    ) -> Option<(SharedSlot, Rc<SharedTicket>)> {
        let ticket = Rc::new(SharedTicket::default());
        let mut queues = self.shared.queues.borrow_mut();
        let shared_queue =
            queues.entry(queue.clone()).or_insert_with(|| SharedQueue::new(queue, service));
        if shared_queue.client.len() >= MAX_TICKETS {
            return None;
        }
        let number = shared_queue.client.enqueue(request.clone());
        shared_queue.tickets.insert(number, ticket.clone());
        drop(queues);
        self.wake_shared_queues();
        let slot = SharedSlot { fleet: self.clone(), queue: queue.clone(), number, granted: None };
        Some((slot, ticket))
    }

    /// Returns whether requests of a service go to its shared queue: it is a plain service that is
    /// short of slots, and there are other routers.
    fn shares_queue(&self, service: &ServiceId, now: Instant) -> bool {
        let contention = self.shared.contention.borrow();
        let is_contended =
            contention.get(service).is_some_and(|service| service.tracker.is_contended(now));
        drop(contention);
        is_contended
            && self.may_share_queue(service)
            && self.ledger.borrow().reporting() > 0
            && self.has_known_slots(service)
    }

    /// Returns whether the number of slots is known of all servers of a service. Without it the
    /// owner couldn't tell a full server from a free one.
    fn has_known_slots(&self, service: &ServiceId) -> bool {
        let presence = self.presence.borrow();
        let mut servers = presence.catalog().of_service(service);
        servers.all(|server| server.slots > 0)
    }

    /// Returns whether a service may have a shared queue: it is a known service without engines.
    pub(super) fn may_share_queue(&self, service: &ServiceId) -> bool {
        let configuration = self.configuration.borrow();
        let known = configuration.as_ref().and_then(|known| known.services.get(service));
        self.uses(Mechanism::SharedQueue) && known.is_some_and(|service| service.engine.is_none())
    }

    /// Returns whether a request may run at each server of a service that takes requests.
    fn is_admitted_everywhere(&self, service: &ServiceId, filter: ServerFilter<'_>) -> bool {
        let presence = self.presence.borrow();
        let servers = presence.catalog().of_service(service);
        let mut open = servers.filter(|server| self.takes_requests(server));
        open.all(|server| self.is_admitted(server, filter))
    }

    /// Returns the shards of a service's shared queue.
    pub(super) fn queue_shards(&self, service: &ServiceId, now: Instant) -> Rc<[QueueShard]> {
        let mut known = self.shared.shards.borrow_mut();
        let is_recent =
            |known: &&KnownShards| now.saturating_duration_since(known.computed_at) < SHARDS_EXPIRY;
        if let Some(known) = known.get(service).filter(is_recent) {
            return known.shards.clone();
        }
        let presence = self.presence.borrow();
        let servers = presence.catalog().of_service(service);
        let servers: Vec<_> =
            servers.map(|server| (ServerKey::from(&server.id), server.slots)).collect();
        let shards: Rc<[QueueShard]> = match queue_shards(service, &servers) {
            Ok(shards) => shards.into(),
            Err(error) => {
                log::warn!(service:% = service, error:% = error; "service has no shared queue");
                Rc::default()
            }
        };
        known.insert(service.clone(), KnownShards { shards: shards.clone(), computed_at: now });
        shards
    }

    pub(super) fn record_shared_server(
        &self,
        queue: &ServiceId,
        number: TicketNumber,
        server: ServerKey,
    ) {
        if let Some(shared_queue) = self.shared.queues.borrow_mut().get_mut(queue) {
            shared_queue.client.record_server(number, server);
        }
        self.wake_shared_queues();
    }

    pub(super) fn close_shared_ticket(&self, queue: &ServiceId, number: TicketNumber) {
        if let Some(shared_queue) = self.shared.queues.borrow_mut().get_mut(queue) {
            shared_queue.client.close(number);
            if shared_queue.tickets.remove(&number).is_some() {
                self.metrics.shared_queue.count("left");
            }
        }
        self.wake_shared_queues();
    }

    /// Records the queue that a server reported, for the shared queue of its service.
    pub(super) fn record_shared_occupancy(
        &self,
        server: &BackendServer,
        queue: ReportedQueue,
        now: Instant,
    ) {
        if !self.may_share_queue(&server.service) {
            return;
        }
        let key = ServerKey::from(&server.id);
        self.record_contention(&server.service, now, |tracker| {
            tracker.record_occupancy(key, queue, now);
        });
        let occupancy = ServerOccupancy {
            server: key,
            running: queue.running,
            waiting: queue.waiting,
            slowdown: queue.slowdown,
            age: Duration::ZERO,
        };
        let mut queues = self.shared.queues.borrow_mut();
        let own = queues.values_mut().filter(|queue| queue.service == server.service);
        own.for_each(|queue| queue.client.record_occupancy(occupancy, now));
    }

    /// Records that a server turned a request away because its slots and its queue were full.
    pub(in crate::direct) fn record_full_server(&self, server: &BackendServer) {
        let now = Instant::now();
        if self.may_share_queue(&server.service) {
            self.record_contention(&server.service, now, |tracker| tracker.record_full(now));
        }
    }

    /// Records a sign of a shortage of slots.
    pub(super) fn record_contention(
        &self,
        service: &ServiceId,
        now: Instant,
        record: impl FnOnce(&mut ContentionTracker),
    ) {
        let mut contention = self.shared.contention.borrow_mut();
        if !contention.contains_key(service) {
            contention.insert(service.clone(), ServiceContention::default());
        }
        let Some(service) = contention.get_mut(service) else { return };
        record(&mut service.tracker);
        let has_begun = service.tracker.is_contended(now) && !service.was_contended;
        drop(contention);
        if has_begun {
            self.wake_shared_queues();
        }
    }

    /// Has the shared queues polled.
    pub(super) fn wake_shared_queues(&self) {
        self.shared.changed.take().trigger();
    }
}
