//! Rounds in which shared queues are polled, and the messages between routers and owners.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::server_evidence::ServerStanding;
use papayamux_coordination::shared_queue::{ranked_by_capacity, QueueOwner, SlotServer};
use papayamux_state::backend::BackendServer;
use papayamux_state::capacity_class::CapacityClass;
use papayamux_state::ids::{ServerKey, ServiceId};
use papayamux_state::quantities::TokenCount;
use papayamux_state::shared_queue::{QueueAnswer, QueueReport, QueuedTicket};
use papayamux_transport::shutdown::ShutdownSignal;

use super::shared_queues::SharedQueue;
use super::shared_slot::SharedOutcome;
use super::Fleet;

/// Age at which owners are ranked again. A router that comes or goes is known by reports within
/// about a second, and one that doesn't answer is skipped without a new ranking.
const RANKING_EXPIRY: Duration = Duration::from_secs(1);
/// Time without any request after which an owned queue is dropped. Routers use the queue for some
/// seconds after the last sign of a shortage, and what the owner knows serves them until then.
const OWNER_RETENTION: Duration = Duration::from_secs(5);
/// Interval at which the end of a shortage is looked for.
const CONTENTION_CHECK: Duration = Duration::from_millis(500);
/// Maximum number of exchanges of a round between this router's requests and a queue that it owns
/// itself.
const MAX_LOCAL_EXCHANGES: u32 = 4;

/// Maximum number of reports that are kept until the next round, which is due within a millisecond.
/// A report that is dropped is sent again.
const MAX_INBOX_REPORTS: usize = 4_096;

/// Time in which a request usually reaches the owner: the pause between two rounds and a round trip to
/// another region.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// A message about a shared queue.
#[derive(Debug, Clone, PartialEq)]
pub(in crate::direct) enum QueueMessage {
    /// To the owner of a queue.
    Report(QueueReport),
    /// From the owner of a queue.
    Answer(QueueAnswer),
}

/// What is to be done after a round.
#[derive(Debug, Default)]
pub(in crate::direct) struct QueueRound {
    /// The messages to send.
    pub messages: Vec<(IpAddr, QueueMessage)>,
    /// Services of which other routers are to be told that they are short of slots.
    pub contended: Vec<ServiceId>,
    /// When the next round is due at the latest; `None` if it is due only after a change.
    pub next_poll: Option<Instant>,
}

impl QueueRound {
    fn poll_again(&mut self, at: Instant) {
        self.next_poll = Some(self.next_poll.map_or(at, |known| known.min(at)));
    }
}

/// This router among all routers that it knows.
pub(in crate::direct) struct KnownOwners<'a> {
    /// The own address.
    pub own: IpAddr,
    /// Returns all known routers, this one included, with their processor capacities.
    pub routers: &'a dyn Fn() -> Vec<(IpAddr, CapacityClass)>,
}

impl Fleet {
    /// Returns a signal that is triggered at the next change of a shared queue.
    pub(in crate::direct) fn shared_queue_change(&self) -> ShutdownSignal {
        self.shared.changed.borrow().clone()
    }

    /// Polls all shared queues.
    pub(in crate::direct) fn poll_shared_queues(
        &self,
        owners: &KnownOwners<'_>,
        now: Instant,
    ) -> QueueRound {
        let mut round = QueueRound::default();
        let mut queues = self.shared.queues.borrow_mut();
        for (name, queue) in queues.iter_mut() {
            self.poll_queue(name, queue, owners, &mut round, now);
        }
        queues.retain(|_, queue| self.is_in_use(queue, now));
        let owned = queues.values().filter(|queue| queue.owner.is_some()).count();
        self.metrics.owned_queues.set(i64::try_from(owned).unwrap_or(i64::MAX));
        drop(queues);
        self.update_contention(&mut round, now);
        round
    }

    fn poll_queue(
        &self,
        name: &ServiceId,
        queue: &mut SharedQueue,
        owners: &KnownOwners<'_>,
        round: &mut QueueRound,
        now: Instant,
    ) {
        let is_ranked = |at: Instant| now.saturating_duration_since(at) < RANKING_EXPIRY;
        if !queue.ranked_at.is_some_and(is_ranked) {
            queue.owners = ranked_by_capacity(name, (owners.routers)());
            queue.ranked_at = Some(now);
        }
        for _ in 0..MAX_LOCAL_EXCHANGES {
            self.poll_client(queue, owners.own, round, now);
            if !self.poll_owner(name, queue, owners.own, round, now) {
                break;
            }
        }
        self.log_owner(name, queue, owners.own, now);
    }

    fn poll_client(
        &self,
        queue: &mut SharedQueue,
        own: IpAddr,
        round: &mut QueueRound,
        now: Instant,
    ) {
        let step = queue.client.poll(&queue.owners, now);
        round.poll_again(step.next_poll);
        for number in step.abandoned {
            if let Some(ticket) = queue.tickets.remove(&number) {
                ticket.decide(SharedOutcome::Abandoned);
            }
        }
        let Some((target, report)) = step.report else { return };
        queue.record_report(report.sequence, now);
        if target != own {
            round.messages.push((target, QueueMessage::Report(report)));
            return;
        }
        // Requests of this router would otherwise always come after those of the others.
        let position = rand::random_range(0..=queue.inbox.len());
        queue.inbox.insert(position, (own, report));
    }

    /// Polls the queue itself if this router owns it. Returns whether its own requests got an
    /// answer.
    fn poll_owner(
        &self,
        name: &ServiceId,
        queue: &mut SharedQueue,
        own: IpAddr,
        round: &mut QueueRound,
        now: Instant,
    ) -> bool {
        let reports = std::mem::take(&mut queue.inbox);
        if queue.owner.is_none() && reports.is_empty() {
            return false;
        }
        let owner = queue.owner.get_or_insert_with(|| self.begin_owning(name));
        for (sender, report) in reports {
            owner.receive(sender, self.comparable(&queue.service, report), now);
        }
        let servers = self.slot_servers(name, &queue.service, now);
        let step = owner.poll(&servers, now);
        step.next_poll.into_iter().for_each(|at| round.poll_again(at));
        if owner.is_contended(now) {
            self.record_contention(&queue.service, now, |tracker| tracker.record_owned(now));
        }
        if !owner.is_idle(now) {
            queue.idle_since = None;
        } else if now - *queue.idle_since.get_or_insert(now) < OWNER_RETENTION {
            round.poll_again(now + OWNER_RETENTION);
        } else {
            log::info!(queue:% = name; "shared queue is no longer owned");
            queue.owner = None;
            queue.idle_since = None;
        }
        let mut has_own = false;
        for (target, answer) in step.answers {
            if target != own {
                round.messages.push((target, QueueMessage::Answer(answer)));
                continue;
            }
            let decisions = queue.client.receive(own, &answer, now);
            queue.decide(own, answer.sequence, &decisions, now);
            has_own = true;
        }
        has_own
    }

    fn begin_owning(&self, name: &ServiceId) -> QueueOwner {
        log::info!(queue:% = name; "shared queue is owned");
        match self.uses(Mechanism::Displacement) {
            true => QueueOwner::with_displacement(name.clone()),
            false => QueueOwner::new(name.clone()),
        }
    }

    fn log_owner(&self, name: &ServiceId, queue: &mut SharedQueue, own: IpAddr, now: Instant) {
        let owner = queue.client.owner();
        if owner == queue.logged_owner {
            return;
        }
        let Some(suppressed) = self.shared.owner_log_limit.borrow_mut().next(now) else { return };
        queue.logged_owner = owner;
        match owner {
            Some(owner) => log::info!(
                queue:% = name, owner:% = owner, is_own = owner == own, waiting = queue.client.len(),
                suppressed = suppressed; "owner of the shared queue"
            ),
            None => log::info!(
                queue:% = name, waiting = queue.client.len(), suppressed = suppressed;
                "no owner of the shared queue answers"
            ),
        }
    }

    /// Returns whether a shared queue is still needed.
    fn is_in_use(&self, queue: &SharedQueue, now: Instant) -> bool {
        let contention = self.shared.contention.borrow();
        let known = contention.get(&queue.service);
        let is_contended = known.is_some_and(|service| service.tracker.is_contended(now));
        is_contended || !queue.client.is_empty() || queue.owner.is_some()
    }

    /// Logs shortages that begin or end, and collects those that other routers are to be told of.
    fn update_contention(&self, round: &mut QueueRound, now: Instant) {
        let mut contended = 0;
        for (service, contention) in self.shared.contention.borrow_mut().iter_mut() {
            let is_contended = contention.tracker.is_contended(now);
            if is_contended != contention.was_contended {
                contention.was_contended = is_contended;
                let message = match is_contended {
                    true => "service is short of slots",
                    false => "service is no longer short of slots",
                };
                log::info!(service:% = service; "{message}");
            }
            if !is_contended {
                continue;
            }
            contended += 1;
            round.poll_again(now + CONTENTION_CHECK);
            if contention.tracker.take_notice(now) {
                round.contended.push(service.clone());
            }
        }
        self.metrics.contended_services.set(contended);
    }

    /// Receives the report of another router for a queue that this router owns.
    pub(in crate::direct) fn receive_queue_report(
        &self,
        sender: IpAddr,
        report: QueueReport,
        now: Instant,
    ) {
        self.metrics.shared_queue.count("report_received");
        let Some(service) = self.service_of_queue(&report.service, now) else {
            self.metrics.shared_queue.count("unknown_queue");
            return;
        };
        self.record_reported_slowdowns(&report.occupancy, now);
        let name = report.service.clone();
        {
            let mut queues = self.shared.queues.borrow_mut();
            let queue =
                queues.entry(name.clone()).or_insert_with(|| SharedQueue::new(&name, &service));
            if queue.inbox.len() >= MAX_INBOX_REPORTS {
                self.metrics.shared_queue.count("report_dropped");
                return;
            }
            queue.inbox.push((sender, report));
        }
        self.wake_shared_queues();
    }

    /// Makes requests of all routers comparable: their service times are this router's own estimate,
    /// if it has made calls, and those that have just come count from now. In a queue that is as long
    /// as callers can bear, a router that is closer or estimates shorter times would get more of the
    /// slots.
    fn comparable(&self, service: &ServiceId, report: QueueReport) -> QueueReport {
        let knows_calls = self.profiles.borrow().knows_calls(service);
        let own_time = knows_calls.then(|| self.serving_time(service, TokenCount::default()));
        let waiting = report.waiting.into_iter().map(|ticket| {
            let has_just_come = ticket.waited < REPORT_DELAY;
            let waited = if has_just_come { Duration::ZERO } else { ticket.waited };
            let service_time = own_time.unwrap_or(ticket.service_time);
            QueuedTicket { waited, service_time, ..ticket }
        });
        QueueReport { waiting: waiting.collect(), ..report }
    }

    /// Receives the answer of an owner.
    pub(in crate::direct) fn receive_queue_answer(
        &self,
        sender: IpAddr,
        answer: &QueueAnswer,
        now: Instant,
    ) {
        self.metrics.shared_queue.count("answer_received");
        let service = {
            let mut queues = self.shared.queues.borrow_mut();
            let Some(queue) = queues.get_mut(&answer.service) else { return };
            let decisions = queue.client.receive(sender, answer, now);
            queue.decide(sender, answer.sequence, &decisions, now);
            queue.service.clone()
        };
        self.record_contention(&service, now, |tracker| {
            tracker.record_owner(answer.is_contended, now);
        });
        self.wake_shared_queues();
    }

    /// Records that another router reports services as short of slots.
    pub(in crate::direct) fn record_contention_notices(
        &self,
        services: &[ServiceId],
        now: Instant,
    ) {
        for service in services.iter().filter(|service| self.may_share_queue(service)) {
            self.record_contention(service, now, |tracker| tracker.record_notice(now));
        }
    }

    /// Returns the service to which a queue belongs; `None` if this router knows no such queue.
    fn service_of_queue(&self, queue: &ServiceId, now: Instant) -> Option<ServiceId> {
        let is_queue_of = |service: &ServiceId| {
            self.may_share_queue(service)
                && self.queue_shards(service, now).iter().any(|shard| shard.queue == *queue)
        };
        if is_queue_of(queue) {
            return Some(queue.clone());
        }
        let (service, _) = queue.as_str().rsplit_once('#')?;
        service.parse().ok().filter(is_queue_of)
    }

    /// Returns the servers whose slots a queue grants.
    fn slot_servers(
        &self,
        queue: &ServiceId,
        service: &ServiceId,
        now: Instant,
    ) -> Vec<SlotServer> {
        let shards = self.queue_shards(service, now);
        let Some(shard) = shards.iter().find(|shard| shard.queue == *queue) else {
            return Vec::new();
        };
        let presence = self.presence.borrow();
        let servers = shard.servers.iter().filter_map(|key| presence.catalog().by_key(*key));
        let mut known: Vec<_> = servers
            .map(|server| (self.slot_server(server, now), self.standing(server, now)))
            .collect();
        let has_healthy = known
            .iter()
            .any(|(server, standing)| server.is_usable && *standing != ServerStanding::Ejected);
        if has_healthy {
            let ejected = known.iter_mut().filter(|(_, known)| *known == ServerStanding::Ejected);
            ejected.for_each(|(server, _)| server.is_usable = false);
        }
        known.into_iter().map(|(server, _)| server).collect()
    }

    fn slot_server(&self, server: &BackendServer, now: Instant) -> SlotServer {
        SlotServer {
            key: ServerKey::from(&server.id),
            slots: server.slots,
            call_time: self.profiles.borrow().speed(&server.service, &server.id).call_time(),
            slowdown: self.slowdowns.borrow().factor(&server.id, now),
            is_usable: self.takes_requests(server)
                && !self.is_backing_off(server, now)
                && !self.send_quota(server, now).is_empty(),
        }
    }

    fn standing(&self, server: &BackendServer, now: Instant) -> ServerStanding {
        match self.is_silent(server, self.speed(server, now).call_silence(), now) {
            true => ServerStanding::Ejected,
            false => self.evidence.borrow().standing(&server.id, now),
        }
    }
}
