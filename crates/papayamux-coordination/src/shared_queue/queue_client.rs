//! A router's requests in the shared queue of a service.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::ids::{Incarnation, ServerKey, ServiceId};
use papayamux_state::shared_queue::{
    HeldSlot, QueueAnswer, QueueDecision, QueueReport, QueuedTicket, ServerOccupancy, TicketAnswer,
    TicketNumber,
};

use super::owner_link::{LinkTarget, OwnerLink};
use super::slot_lease::SLOT_LEASE;
use crate::service_queue::QueuedRequest;

/// Time after which a report is sent though nothing changed while requests wait. A lost grant is
/// repeated then.
const WAITING_KEEP_ALIVE: Duration = Duration::from_millis(100);
/// Time after which a report is sent though nothing changed while slots are held, a quarter of the
/// lease.
const HELD_KEEP_ALIVE: Duration = Duration::from_millis(250);
/// Minimum time between two reports for changes, so that a router with many callers doesn't send its
/// whole state for each. It is a small part of a call and of any objective.
pub(super) const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(2);
/// Age from which a server's report is not passed on.
const OCCUPANCY_EXPIRY: Duration = Duration::from_millis(400);
/// Interval at which a router without an owner looks for one that is no longer skipped.
const OWNER_SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time until the next poll while there is nothing to do.
const IDLE_POLL: Duration = Duration::from_secs(1);

/// What a router does next for its requests in a shared queue.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientStep {
    /// The report to send, with its receiver, which may be this router itself.
    pub report: Option<(IpAddr, QueueReport)>,
    /// Requests that no owner answers. They are no longer in the shared queue.
    pub abandoned: Vec<TicketNumber>,
    /// When to poll again at the latest. Changes call for a poll at once.
    pub next_poll: Instant,
}

#[derive(Debug)]
struct ClientTicket {
    request: QueuedRequest,
    /// The server whose slot the request holds; `None` while it waits.
    server: Option<ServerKey>,
}

#[derive(Debug)]
struct KnownOccupancy {
    occupancy: ServerOccupancy,
    reported_at: Instant,
    /// Whether the owner has been sent it.
    is_sent: bool,
}

/// The requests of one router in the shared queue of one service. Any change calls for a
/// [`QueueClient::poll`].
#[derive(Debug)]
pub struct QueueClient {
    service: ServiceId,
    incarnation: Incarnation,
    sequence: u64,
    next_number: u64,
    tickets: BTreeMap<TicketNumber, ClientTicket>,
    occupancies: BTreeMap<ServerKey, KnownOccupancy>,
    link: OwnerLink,
    /// Whether the owner doesn't know of a change yet.
    is_changed: bool,
    last_report: Option<Instant>,
}

impl QueueClient {
    /// Creates the client of a router that runs as `incarnation`.
    pub fn new(service: ServiceId, incarnation: Incarnation) -> Self {
        Self {
            service,
            incarnation,
            sequence: 0,
            next_number: 0,
            tickets: BTreeMap::new(),
            occupancies: BTreeMap::new(),
            link: OwnerLink::default(),
            is_changed: false,
            last_report: None,
        }
    }

    /// Adds a request to the shared queue.
    pub fn enqueue(&mut self, request: QueuedRequest) -> TicketNumber {
        self.next_number += 1;
        let number = TicketNumber(self.next_number);
        self.tickets.insert(number, ClientTicket { request, server: None });
        self.is_changed = true;
        number
    }

    /// Removes a request that was answered or refused, or whose caller has disconnected. Its slot
    /// is free again.
    pub fn close(&mut self, number: TicketNumber) {
        self.is_changed |= self.tickets.remove(&number).is_some();
    }

    /// Records that a request was sent to another server than the granted one.
    pub fn record_server(&mut self, number: TicketNumber, server: ServerKey) {
        let Some(ticket) = self.tickets.get_mut(&number) else { return };
        self.is_changed |= ticket.server != Some(server);
        ticket.server = Some(server);
    }

    /// Records what a server reported to this router. The next report passes it on.
    pub fn record_occupancy(&mut self, occupancy: ServerOccupancy, now: Instant) {
        self.occupancies.retain(|_, known| is_fresh(known, now));
        let Some(reported_at) = now.checked_sub(occupancy.age) else { return };
        let known = KnownOccupancy { occupancy, reported_at, is_sent: false };
        self.occupancies.insert(occupancy.server, known);
    }

    /// Applies an answer and returns the decisions in it that are new. Answers of other routers
    /// than the present owner, or for another incarnation, are ignored, and so are those to a report
    /// that is so old that the owner may have ended the router's leases since.
    pub fn receive(
        &mut self,
        sender: IpAddr,
        answer: &QueueAnswer,
        now: Instant,
    ) -> Vec<TicketAnswer> {
        if answer.service != self.service || answer.incarnation != self.incarnation {
            return Vec::new();
        }
        let was_owner = self.link.owner();
        let answered = self.link.record_answer(sender, answer.sequence, now);
        if self.link.owner() != was_owner {
            self.record_new_owner();
        }
        match answered {
            Some(sent_at) if now.saturating_duration_since(sent_at) < SLOT_LEASE => {
                answer.decisions.iter().filter(|decision| self.apply(decision)).copied().collect()
            }
            Some(_) | None => Vec::new(),
        }
    }

    /// Returns the router that reports go to; `None` before the first report and while no owner
    /// answers.
    pub fn owner(&self) -> Option<IpAddr> {
        self.link.owner()
    }

    /// Returns the number of requests that wait or hold a slot.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no request waits or holds a slot.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Decides what to do now. `owners` are the live routers in the order of
    /// [`ranked_owners`](super::ranked_owners), this one included.
    pub fn poll(&mut self, owners: &[IpAddr], now: Instant) -> ClientStep {
        if self.tickets.is_empty() && !self.is_changed && self.link.repeats_at().is_none() {
            return ClientStep { report: None, abandoned: Vec::new(), next_poll: now + IDLE_POLL };
        }
        let was_owner = self.link.owner();
        let target = self.link.choose(owners, now);
        if self.link.owner() != was_owner {
            self.record_new_owner();
        }
        let is_given_up = target == LinkTarget::Nobody || self.link.is_given_up();
        let abandoned = if is_given_up { self.abandon() } else { Vec::new() };
        let LinkTarget::Owner(owner) = target else {
            return ClientStep { report: None, abandoned, next_poll: now + OWNER_SEARCH_INTERVAL };
        };
        let report = self.next_report(owner, owners, now);
        ClientStep { report, abandoned, next_poll: self.next_poll(now) }
    }

    fn next_report(
        &mut self,
        owner: IpAddr,
        owners: &[IpAddr],
        now: Instant,
    ) -> Option<(IpAddr, QueueReport)> {
        if self.is_report_due(now) {
            return Some((owner, self.full_report(now)));
        }
        let target = self.link.probe_target(owners, now)?;
        self.sequence += 1;
        self.link.record_probe(target, self.sequence, now);
        Some((target, QueueReport { held: self.held(), ..self.empty_report() }))
    }

    fn is_report_due(&self, now: Instant) -> bool {
        self.report_due_at(now).is_some_and(|due_at| now >= due_at)
    }

    /// Returns when the next report is due.
    fn report_due_at(&self, now: Instant) -> Option<Instant> {
        if self.is_changed {
            return Some(self.last_report.map_or(now, |at| at + MIN_REPORT_INTERVAL));
        }
        let keep_alive = self.keep_alive().zip(self.last_report);
        let keep_alive_at = keep_alive.map(|(interval, last_report)| last_report + interval);
        [keep_alive_at, self.link.repeats_at()].into_iter().flatten().min()
    }

    fn keep_alive(&self) -> Option<Duration> {
        let is_waiting = self.tickets.values().any(|ticket| ticket.server.is_none());
        match (is_waiting, self.tickets.is_empty()) {
            (true, _) => Some(WAITING_KEEP_ALIVE),
            (false, false) => Some(HELD_KEEP_ALIVE),
            (false, true) => None,
        }
    }

    fn next_poll(&self, now: Instant) -> Instant {
        let times = [self.report_due_at(now), self.link.next_decision()];
        let next = times.into_iter().flatten().min();
        next.map_or(now + IDLE_POLL, |next| next.clamp(now, now + IDLE_POLL))
    }

    fn full_report(&mut self, now: Instant) -> QueueReport {
        self.sequence += 1;
        self.link.record_sent(self.sequence, now);
        self.link.forget_sent(now.checked_sub(SLOT_LEASE).unwrap_or(now));
        self.is_changed = false;
        self.last_report = Some(now);
        let waiting = self.tickets.iter().filter(|(_, ticket)| ticket.server.is_none());
        let waiting = waiting.map(|(number, ticket)| queued_ticket(*number, &ticket.request, now));
        QueueReport {
            waiting: waiting.collect(),
            held: self.held(),
            occupancy: unsent_occupancies(&mut self.occupancies, now),
            ..self.empty_report()
        }
    }

    fn held(&self) -> Vec<HeldSlot> {
        let held = self.tickets.iter().filter_map(|(number, ticket)| {
            ticket.server.map(|server| HeldSlot { number: *number, server })
        });
        held.collect()
    }

    fn empty_report(&self) -> QueueReport {
        QueueReport {
            service: self.service.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            waiting: Vec::new(),
            held: Vec::new(),
            occupancy: Vec::new(),
        }
    }

    /// A new owner is told all that this router knows.
    fn record_new_owner(&mut self) {
        self.is_changed |= !self.tickets.is_empty();
        self.occupancies.values_mut().for_each(|known| known.is_sent = false);
    }

    /// Removes the requests that wait.
    fn abandon(&mut self) -> Vec<TicketNumber> {
        self.link.reset_silent();
        let waiting = self.tickets.iter().filter(|(_, ticket)| ticket.server.is_none());
        let numbers: Vec<_> = waiting.map(|(number, _)| *number).collect();
        self.tickets.retain(|_, ticket| ticket.server.is_some());
        numbers
    }

    /// Applies a decision and returns whether it is new.
    fn apply(&mut self, answer: &TicketAnswer) -> bool {
        let Some(ticket) = self.tickets.get_mut(&answer.number) else { return false };
        if ticket.server.is_some() {
            return false;
        }
        match answer.decision {
            QueueDecision::Granted(server) => ticket.server = Some(server),
            QueueDecision::Refused { .. } => {
                self.tickets.remove(&answer.number);
            }
        }
        true
    }
}

fn is_fresh(known: &KnownOccupancy, now: Instant) -> bool {
    now.saturating_duration_since(known.reported_at) < OCCUPANCY_EXPIRY
}

fn unsent_occupancies(
    occupancies: &mut BTreeMap<ServerKey, KnownOccupancy>,
    now: Instant,
) -> Vec<ServerOccupancy> {
    let unsent = occupancies.values_mut().filter(|known| !known.is_sent && is_fresh(known, now));
    let sent = unsent.map(|known| {
        known.is_sent = true;
        let age = now.saturating_duration_since(known.reported_at);
        ServerOccupancy { age, ..known.occupancy }
    });
    sent.collect()
}

fn queued_ticket(number: TicketNumber, request: &QueuedRequest, now: Instant) -> QueuedTicket {
    QueuedTicket {
        number,
        organisation: request.flow.organisation.clone(),
        priority: request.flow.priority,
        work: request.work,
        waited: now.saturating_duration_since(request.time.arrived),
        since_first_attempt: request.time.since_first_attempt,
        objective: request.time.objective,
        time_left: request.time.time_left,
        service_time: request.time.service_time,
    }
}
