//! The queue of a service at the router that owns it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::ids::{ServerKey, ServiceId};
use papayamux_state::quantities::TokenCount;
use papayamux_state::shared_queue::{QueueAnswer, QueueReport, QueuedTicket, TicketNumber};

use super::held_slots::HeldSlots;
use super::router_tickets::{OwnerTicket, RouterRun, RouterTickets, TicketKey, TicketState};
use super::server_reports::{report_validity, ServerReports};
use super::slot_lease::SLOT_LEASE;
use super::slot_server::{earliest_server, SlotServer};
use crate::service_queue::{
    request_work, CallerTime, EnqueueOutcome, FlowKey, QueueRefusal, QueuedRequest, ServiceQueue,
};

/// Time without a waiting or refused request after which the service counts as no longer contended
/// at the owner. Routers wait longer before they return to queues of their own.
const CONTENTION_PAUSE: Duration = Duration::from_secs(1);
/// Time for which an ended run of a router is remembered, so that its late datagrams are recognised.
const RUN_MEMORY: Duration = Duration::from_secs(10);
/// Maximum number of waiting requests. More can't be served before their callers give up.
const MAX_WAITING: usize = 4_096;
/// Interval at which ended leases are looked for, a small part of a lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which overdue requests are looked for. Callers have objectives of 100 to 300 ms.
const OVERDUE_INTERVAL: Duration = Duration::from_millis(10);

/// What the owner does next.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnerStep {
    /// The answers to send, each with its receiver, which may be this router itself.
    pub answers: Vec<(IpAddr, QueueAnswer)>,
    /// When to poll again at the latest; `None` if nothing is to be done before the next report.
    pub next_poll: Option<Instant>,
}

/// The shared queue of one service. Each report calls for a [`QueueOwner::poll`].
#[derive(Debug)]
pub struct QueueOwner {
    service: ServiceId,
    queue: ServiceQueue<TicketKey>,
    /// Requests that have come since the last poll.
    arrivals: Vec<(TicketKey, QueuedRequest)>,
    runs: BTreeMap<RouterRun, RouterTickets>,
    /// The number of requests in all runs.
    tickets: usize,
    held: HeldSlots,
    reports: ServerReports,
    /// Runs that get an answer at the next poll.
    due: BTreeSet<RouterRun>,
    started_at: Option<Instant>,
    last_wait: Option<Instant>,
    leases_checked_at: Option<Instant>,
    /// Share of the demand that comes from routers that still report.
    heard_share: f64,
}

impl QueueOwner {
    /// Creates the queue of a service.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            queue: ServiceQueue::default(),
            arrivals: Vec::new(),
            runs: BTreeMap::new(),
            tickets: 0,
            held: HeldSlots::default(),
            reports: ServerReports::default(),
            due: BTreeSet::new(),
            started_at: None,
            last_wait: None,
            leases_checked_at: None,
            heard_share: 1.0,
        }
    }

    /// Creates the queue of a service in which urgent requests displace less urgent ones.
    pub fn with_displacement(service: ServiceId) -> Self {
        Self { queue: ServiceQueue::with_displacement(), ..Self::new(service) }
    }

    /// Applies the report of a router. Reports of an earlier run of the router, and reports that a
    /// later one has overtaken, are ignored.
    pub fn receive(&mut self, sender: IpAddr, report: QueueReport, now: Instant) {
        if report.service != self.service {
            return;
        }
        let run = RouterRun { address: sender, incarnation: report.incarnation };
        if self.is_outdated(run, report.sequence, now) {
            return;
        }
        self.started_at.get_or_insert(now);
        self.supersede_others(run, now);
        let router = self.runs.entry(run).or_insert_with(|| RouterTickets::new(now));
        router.sequence = report.sequence;
        router.heard_at = now;
        router.is_superseded = false;
        self.close_missing(run, &report, now);
        for slot in &report.held {
            self.show_held(run, slot.number, slot.server, now);
        }
        for ticket in report.waiting {
            self.add_waiting(run, ticket, now);
        }
        for occupancy in &report.occupancy {
            let Some(reported_at) = now.checked_sub(occupancy.age) else { continue };
            let held = self.held.count_at(occupancy.server, reported_at);
            self.reports.record(occupancy, held, reported_at);
        }
        self.due.insert(run);
    }

    /// Decides which requests are granted a slot or refused, given the service's servers. While no
    /// server is known nothing is answered, so that routers ask another owner.
    pub fn poll(&mut self, servers: &[SlotServer], now: Instant) -> OwnerStep {
        self.end_leases(now);
        self.reports.forget_old(now);
        if servers.is_empty() {
            self.due.clear();
            return OwnerStep { answers: Vec::new(), next_poll: self.next_poll(servers, now) };
        }
        for (key, refusal) in self.queue.take_overdue(now) {
            self.refuse(key, refusal, now);
        }
        // A report doesn't tell whether its requests came before or after its releases, so half of
        // them are decided before these.
        let is_early = |arrival: &(TicketKey, QueuedRequest)| arrival.0.number.0.is_multiple_of(2);
        let (early, late): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.arrivals).into_iter().partition(is_early);
        for (key, request) in early {
            self.admit(key, request, servers, now);
        }
        self.dispatch(servers, now);
        for (key, request) in late {
            self.admit(key, request, servers, now);
        }
        for (key, refusal) in self.queue.take_displaced() {
            self.refuse(key, refusal, now);
        }
        self.dispatch(servers, now);
        OwnerStep { answers: self.take_answers(now), next_poll: self.next_poll(servers, now) }
    }

    /// Returns whether nothing is queued, granted or recently contended: the queue can be dropped.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.tickets == 0 && !self.is_contended(now)
    }

    /// Returns whether requests had to wait, or were refused, recently.
    pub fn is_contended(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < CONTENTION_PAUSE;
        !self.queue.is_empty() || self.last_wait.is_some_and(recent)
    }

    /// Returns the number of requests that wait in the whole fleet.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.arrivals.len()
    }

    /// Returns the number of slots that routers hold or were granted at a server.
    pub fn held_slots(&self, server: ServerKey) -> u32 {
        self.held.count(server)
    }

    fn is_outdated(&self, run: RouterRun, sequence: u64, now: Instant) -> bool {
        if let Some(router) = self.runs.get(&run) {
            return router.is_superseded || sequence <= router.sequence;
        }
        // A clock that was set back gives a later run a lower number.
        self.runs.range(RouterRun::all_of(run.address)).any(|(other, router)| {
            let is_live = now.saturating_duration_since(router.heard_at) < SLOT_LEASE;
            other.incarnation > run.incarnation && is_live
        })
    }

    /// Ends earlier runs of a router: what waited is removed. The slots stay taken until their lease
    /// ends, because the servers may still be working for them.
    fn supersede_others(&mut self, run: RouterRun, now: Instant) {
        let others = self.runs.range(RouterRun::all_of(run.address));
        let others = others.filter(|(other, router)| **other != run && !router.is_superseded);
        let others: Vec<_> = others.map(|(other, _)| *other).collect();
        for other in others {
            let Some(router) = self.runs.get_mut(&other) else { continue };
            router.is_superseded = true;
            let is_granted =
                |ticket: &OwnerTicket| matches!(ticket.state, TicketState::Granted { .. });
            let numbers = router.tickets.iter().filter(|(_, ticket)| !is_granted(ticket));
            let numbers: Vec<_> = numbers.map(|(number, _)| *number).collect();
            numbers.into_iter().for_each(|number| self.close(other, number, now));
            self.due.remove(&other);
        }
    }

    /// Closes the requests that the router no longer reports.
    fn close_missing(&mut self, run: RouterRun, report: &QueueReport, now: Instant) {
        let waiting = report.waiting.iter().map(|ticket| ticket.number);
        let held = report.held.iter().map(|slot| slot.number);
        let reported: BTreeSet<_> = waiting.chain(held).collect();
        let Some(router) = self.runs.get(&run) else { return };
        let missing = router.tickets.keys().filter(|number| !reported.contains(number));
        let missing: Vec<_> = missing.copied().collect();
        missing.into_iter().for_each(|number| self.close(run, number, now));
    }

    /// Removes a request and frees its slot.
    fn close(&mut self, run: RouterRun, number: TicketNumber, now: Instant) {
        let Some(router) = self.runs.get_mut(&run) else { return };
        let Some(ticket) = router.tickets.remove(&number) else { return };
        self.tickets -= 1;
        let key = TicketKey { run, number };
        match ticket.state {
            TicketState::Waiting => self.remove_waiting(key),
            TicketState::Granted { server, granted_at, .. } => {
                self.held.release(server, key);
                let elapsed = now.saturating_duration_since(granted_at);
                self.queue.record_completion(ticket.work, elapsed, now);
            }
            TicketState::Refused(_) => {}
        }
    }

    fn remove_waiting(&mut self, key: TicketKey) {
        let arrivals = self.arrivals.len();
        self.arrivals.retain(|(other, _)| *other != key);
        if self.arrivals.len() == arrivals {
            self.queue.remove(&key);
        }
    }

    /// Records a slot that the router holds, whoever granted it.
    fn show_held(&mut self, run: RouterRun, number: TicketNumber, server: ServerKey, now: Instant) {
        let Some(router) = self.runs.get_mut(&run) else { return };
        let key = TicketKey { run, number };
        let Some(ticket) = router.tickets.get_mut(&number) else {
            let work = request_work(TokenCount::new(0), TokenCount::new(0), 0.0);
            let state = TicketState::Granted { server, granted_at: now, is_shown: true };
            router.tickets.insert(number, OwnerTicket { work, state });
            self.tickets += 1;
            self.held.learn(server, key);
            self.queue.record_dispatch(work, now);
            return;
        };
        let (known, work) = (ticket.state.clone(), ticket.work);
        let granted_at = match known {
            TicketState::Granted { granted_at, .. } => granted_at,
            TicketState::Waiting | TicketState::Refused(_) => now,
        };
        ticket.state = TicketState::Granted { server, granted_at, is_shown: true };
        match known {
            TicketState::Granted { server: granted, .. } if granted == server => return,
            TicketState::Granted { server: granted, .. } => self.held.release(granted, key),
            TicketState::Waiting | TicketState::Refused(_) => {
                self.remove_waiting(key);
                self.queue.record_dispatch(work, now);
            }
        }
        self.held.learn(server, key);
    }

    fn add_waiting(&mut self, run: RouterRun, ticket: QueuedTicket, now: Instant) {
        let waiting = self.waiting();
        let Some(router) = self.runs.get_mut(&run) else { return };
        if router.tickets.contains_key(&ticket.number) {
            return;
        }
        let (key, work) = (TicketKey { run, number: ticket.number }, ticket.work);
        router.tickets.insert(ticket.number, OwnerTicket { work, state: TicketState::Waiting });
        router.arrivals.record(TokenCount::new(1), now);
        self.tickets += 1;
        let request = queued_request(ticket, now);
        if waiting >= MAX_WAITING {
            let wait = request.time.wait_budget();
            self.refuse(key, QueueRefusal { wait, waiting, ..QueueRefusal::default() }, now);
            return;
        }
        self.arrivals.push((key, request));
    }

    /// Frees the slots of routers that aren't heard.
    fn end_leases(&mut self, now: Instant) {
        let checks_at = self.leases_checked_at.map(|at| at + LEASE_CHECK_INTERVAL);
        if checks_at.is_some_and(|checks_at| now < checks_at) {
            return;
        }
        self.leases_checked_at = Some(now);
        let ended = self.runs.iter().filter(|(_, router)| {
            now.saturating_duration_since(router.heard_at) >= SLOT_LEASE
                && !router.tickets.is_empty()
        });
        let ended: Vec<_> = ended.map(|(run, _)| *run).collect();
        for run in ended {
            let Some(router) = self.runs.get(&run) else { continue };
            let numbers: Vec<_> = router.tickets.keys().copied().collect();
            numbers.into_iter().for_each(|number| self.close(run, number, now));
            self.due.remove(&run);
        }
        self.runs.retain(|_, router| {
            now.saturating_duration_since(router.heard_at) < RUN_MEMORY
                || !router.tickets.is_empty()
        });
        self.heard_share = self.heard_share(now);
    }

    /// Returns the share of the demand that comes from routers that still report. The others may be
    /// lost, idle, or behind a cut with an owner of their own.
    fn heard_share(&self, now: Instant) -> f64 {
        let (mut heard, mut silent) = (0.0, 0.0);
        for router in self.runs.values().filter(|router| !router.is_superseded) {
            match now.saturating_duration_since(router.heard_at) < SLOT_LEASE {
                true => heard += router.arrivals.per_second(now),
                false => silent += router.arrivals.per_second(router.heard_at),
            }
        }
        if silent > 0.0 {
            heard / (heard + silent)
        } else {
            1.0
        }
    }

    /// Grants slots to queued requests.
    fn dispatch(&mut self, servers: &[SlotServer], now: Instant) {
        if self.queue.is_empty() {
            return;
        }
        let mut taken = self.taken(servers, now);
        let free = free_grants(servers, &taken);
        for key in self.queue.dispatch(free, free) {
            self.queue.release_reservation();
            self.grant(key, servers, &mut taken, now);
        }
    }

    /// Grants, queues or refuses a request that has come.
    fn admit(
        &mut self,
        key: TicketKey,
        request: QueuedRequest,
        servers: &[SlotServer],
        now: Instant,
    ) {
        let mut taken = self.taken(servers, now);
        match self.queue.enqueue(request, key, free_grants(servers, &taken)) {
            EnqueueOutcome::Admitted => self.grant(key, servers, &mut taken, now),
            EnqueueOutcome::Queued(_) => self.last_wait = Some(now),
            EnqueueOutcome::Refused(refusal) => self.refuse(key, refusal, now),
        }
    }

    fn grant(&mut self, key: TicketKey, servers: &[SlotServer], taken: &mut [u32], now: Instant) {
        let Some(index) = earliest_server(servers, taken) else { return };
        let Some(router) = self.runs.get_mut(&key.run) else { return };
        let Some(ticket) = router.tickets.get_mut(&key.number) else { return };
        let server = servers[index].key;
        let work = ticket.work;
        ticket.state = TicketState::Granted { server, granted_at: now, is_shown: false };
        taken[index] = taken[index].saturating_add(1);
        self.held.grant(server, key, now);
        self.queue.record_dispatch(work, now);
        self.due.insert(key.run);
    }

    fn refuse(&mut self, key: TicketKey, refusal: QueueRefusal, now: Instant) {
        self.last_wait = Some(now);
        let Some(router) = self.runs.get_mut(&key.run) else { return };
        let Some(ticket) = router.tickets.get_mut(&key.number) else { return };
        ticket.state = TicketState::Refused(refusal);
        self.due.insert(key.run);
    }

    /// Returns the number of requests at each server: what routers hold there, and what the server
    /// reported beyond that. Where another owner grants slots as well, the share of routers that
    /// stopped reporting is left to it.
    fn taken(&self, servers: &[SlotServer], now: Instant) -> Vec<u32> {
        let unknown: Vec<_> =
            servers.iter().map(|server| self.unknown_requests(server, now)).collect();
        let expected = servers.iter().map(SlotServer::extra_grants).fold(0, u32::saturating_add);
        // A few are unknown at times because reports and releases overtake one another.
        let has_other_owner = unknown.iter().copied().fold(0, u32::saturating_add) > expected;
        let taken = servers.iter().zip(unknown).map(|(server, unknown)| {
            let left = match has_other_owner {
                true => server.left_to_others(self.heard_share),
                false => 0,
            };
            self.held.count(server.key).saturating_add(unknown.max(left))
        });
        taken.collect()
    }

    /// Returns the number of requests at a server that the owner has not granted nor learnt of.
    fn unknown_requests(&self, server: &SlotServer, now: Instant) -> u32 {
        let call_time = server.current_call_time();
        match self.reports.unknown(server.key, call_time, now) {
            Some(unknown) => unknown,
            None if now < self.learns_until(call_time, now) => {
                server.slots.saturating_sub(self.held.count_learnt(server.key))
            }
            None => 0,
        }
    }

    /// Returns until when a new owner assumes that all slots of a server without a report are taken:
    /// what other routers and an earlier owner have sent there is done after a call's time, or
    /// reported.
    fn learns_until(&self, call_time: Duration, now: Instant) -> Instant {
        self.started_at.unwrap_or(now) + report_validity(call_time)
    }

    fn take_answers(&mut self, now: Instant) -> Vec<(IpAddr, QueueAnswer)> {
        let is_contended = self.is_contended(now);
        let due = std::mem::take(&mut self.due);
        let answers = due.into_iter().filter_map(|run| {
            let router = self.runs.get(&run).filter(|router| !router.is_superseded)?;
            let answer = QueueAnswer {
                service: self.service.clone(),
                incarnation: run.incarnation,
                sequence: router.sequence,
                decisions: router.undelivered(),
                is_contended,
            };
            Some((run.address, answer))
        });
        answers.collect()
    }

    fn next_poll(&self, servers: &[SlotServer], now: Instant) -> Option<Instant> {
        let is_waiting = !self.queue.is_empty() && !servers.is_empty();
        match (is_waiting, self.tickets) {
            (true, _) => Some(now + OVERDUE_INTERVAL),
            (false, 0) => None,
            (false, _) => Some(now + LEASE_CHECK_INTERVAL),
        }
    }
}

fn free_grants(servers: &[SlotServer], taken: &[u32]) -> u32 {
    let free = servers.iter().zip(taken).map(|(server, taken)| server.free_grants(*taken));
    free.fold(0, u32::saturating_add)
}

fn queued_request(ticket: QueuedTicket, now: Instant) -> QueuedRequest {
    QueuedRequest {
        flow: FlowKey { organisation: ticket.organisation, priority: ticket.priority },
        work: ticket.work,
        time: CallerTime {
            arrived: now.checked_sub(ticket.waited).unwrap_or(now),
            since_first_attempt: ticket.since_first_attempt,
            objective: ticket.objective,
            time_left: ticket.time_left,
            service_time: ticket.service_time,
        },
    }
}
