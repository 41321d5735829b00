//! A model of routers, witnesses and executing agents around the real claim table and claim rounds.
//! Messages stay pending until a schedule delivers or loses them, in any order and at any time.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use papayamux_coordination::claims::{ClaimRound, ClaimVerdict, FleetWindow};
use papayamux_protocol::link::{ClaimReply, RefusalNotice};
use papayamux_state::claims::{
    CallFingerprint, ClaimId, ClaimKey, ClaimQuery, ClaimRefusal, ClaimTable, DeclaredServer,
    FleetView,
};
use papayamux_state::ids::{Incarnation, RequestId, ServerId};
use papayamux_state::refusal::RefusalReason;

/// Retention of claims.
pub const RETENTION: Duration = Duration::from_millis(1_000);
/// Maximum time from the start of an attempt to the execution of its call.
pub const START_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum time from the declaration of a fleet until every process has applied it.
pub const MAX_LAG: Duration = Duration::from_millis(200);

const MAX_CLAIMS: usize = 1_000;

/// A message in flight, or a call that an agent has accepted but not executed yet. `Open` is a call on
/// its way to the agent, `Execute` the accepted call.
#[derive(Debug, Clone)]
pub enum Pending {
    Claim { attempt: usize, witness: usize, query: ClaimQuery },
    Reply { attempt: usize, witness: usize, reply: ClaimReply },
    Release { attempt: usize, witness: usize },
    Open { attempt: usize, deadline: Duration },
    Execute { deadline: Duration },
    Refusal { attempt: usize },
}

#[derive(Debug, Clone)]
struct Witness {
    table: ClaimTable,
    started_at: Duration,
    fleet_index: usize,
}

#[derive(Debug, Clone)]
struct Attempt {
    claim: ClaimId,
    round: ClaimRound,
    all_witnesses: Vec<usize>,
    started_at: Duration,
    decided: bool,
}

/// The state of routers, witnesses and messages, and the times of all runs so far.
#[derive(Debug, Clone)]
pub struct Simulation {
    origin: Instant,
    pub now: Duration,
    fleets: Vec<FleetView>,
    routers: Vec<FleetWindow>,
    router_fleet_indexes: Vec<usize>,
    witnesses: Vec<Witness>,
    attempts: Vec<Attempt>,
    pub pending: Vec<Pending>,
    pub runs: Vec<Duration>,
    fleet_changed_at: Option<Duration>,
}

pub fn key() -> ClaimKey {
    ClaimKey::from(7)
}

fn name(witness: usize) -> ServerId {
    format!("server-{witness}").parse().unwrap()
}

fn index(server: &ServerId) -> usize {
    server.as_str().rsplit('-').next().unwrap().parse().unwrap()
}

fn fleet(servers: &[usize]) -> FleetView {
    let declared =
        servers.iter().map(|server| DeclaredServer { server: name(*server), domain: None });
    FleetView::new(declared.collect(), 3, RETENTION).unwrap()
}

impl Simulation {
    /// Creates `routers` routers, and five witnesses that have been running for one retention period.
    /// `fleets[0]` is in force; `fleets[1]`, if given, may replace it.
    pub fn new(routers: usize, fleets: &[&[usize]]) -> Self {
        let fleets: Vec<_> = fleets.iter().map(|servers| fleet(servers)).collect();
        let now = RETENTION;
        let mut table = ClaimTable::new(RETENTION, MAX_CLAIMS);
        table.declare_view(fleets[0].digest(), Duration::ZERO);
        let witness = Witness { table, started_at: Duration::ZERO, fleet_index: 0 };
        Self {
            origin: Instant::now(),
            now,
            routers: vec![FleetWindow::new(fleets[0].clone(), RETENTION); routers],
            router_fleet_indexes: vec![0; routers],
            witnesses: vec![witness; 5],
            attempts: Vec::new(),
            pending: Vec::new(),
            runs: Vec::new(),
            fleet_changed_at: None,
            fleets,
        }
    }

    /// Starts an attempt of a router to claim the key.
    pub fn begin(&mut self, router: usize) {
        let at = self.origin + self.now;
        let number = self.attempts.len() as u64;
        let claim = ClaimId(RequestId { incarnation: Incarnation::from(1), number });
        let round = ClaimRound::new(self.routers[router].witnesses(key(), at));
        let views = self.routers[router].digests(at).unwrap();
        let fingerprint = CallFingerprint::new("POST", "/book", b"");
        let all_witnesses: Vec<_> = round.all_witnesses().iter().map(index).collect();
        let attempt = self.attempts.len();
        for witness in all_witnesses.iter().copied() {
            let query = ClaimQuery { key: key(), fingerprint, claim, views: views.clone() };
            self.pending.push(Pending::Claim { attempt, witness, query });
        }
        self.attempts.push(Attempt {
            claim,
            round,
            all_witnesses,
            started_at: self.now,
            decided: false,
        });
    }

    /// Restarts a witness, which loses its claims and knows only the fleet in force.
    pub fn restart_witness(&mut self, witness: usize) {
        let fleet_index = match self.fleet_changed_at {
            Some(_) => 1,
            None => 0,
        };
        let mut table = ClaimTable::new(RETENTION, MAX_CLAIMS);
        table.declare_view(self.fleets[fleet_index].digest(), Duration::ZERO);
        self.witnesses[witness] = Witness { table, started_at: self.now, fleet_index };
    }

    /// Restarts a router, which then knows the fleet in force and no earlier one.
    pub fn restart_router(&mut self, router: usize) {
        self.router_fleet_indexes[router] = usize::from(self.fleet_changed_at.is_some());
        let view = self.fleets[self.router_fleet_indexes[router]].clone();
        self.routers[router] = FleetWindow::new(view, RETENTION);
    }

    /// Declares the second fleet.
    pub fn change_fleet(&mut self) {
        if self.fleets.len() > 1 && self.fleet_changed_at.is_none() {
            self.fleet_changed_at = Some(self.now);
        }
    }

    /// Applies the second fleet at a router, if it has been declared.
    pub fn apply_fleet_at_router(&mut self, router: usize) {
        if self.fleet_changed_at.is_some() && self.router_fleet_indexes[router] == 0 {
            self.router_fleet_indexes[router] = 1;
            let at = self.origin + self.now;
            self.routers[router].replace(self.fleets[1].clone(), at);
        }
    }

    /// Applies the second fleet at a witness, if it has been declared.
    pub fn apply_fleet_at_witness(&mut self, witness: usize) {
        let witness = &mut self.witnesses[witness];
        if self.fleet_changed_at.is_some() && witness.fleet_index == 0 {
            witness.fleet_index = 1;
            witness.table.declare_view(self.fleets[1].digest(), self.now - witness.started_at);
        }
    }

    /// Advances the time. Processes that have not applied a declared fleet after [`MAX_LAG`] apply it then.
    pub fn advance(&mut self, by: Duration) {
        let target = self.now + by;
        let lag_deadline = self.fleet_changed_at.map(|fleet_changed_at| fleet_changed_at + MAX_LAG);
        if let Some(lag_deadline) =
            lag_deadline.filter(|lag_deadline| *lag_deadline > self.now && *lag_deadline <= target)
        {
            self.now = lag_deadline;
            (0..self.routers.len()).for_each(|router| self.apply_fleet_at_router(router));
            (0..self.witnesses.len()).for_each(|witness| self.apply_fleet_at_witness(witness));
        }
        self.now = target;
    }

    /// Drops a message.
    pub fn lose(&mut self, message: usize) {
        self.pending.remove(message);
    }

    /// Delivers a message. With `refuses`, an agent refuses a call instead of executing it.
    pub fn deliver(&mut self, message: usize, refuses: bool) {
        match self.pending.remove(message) {
            Pending::Claim { attempt, witness, query } => {
                let (now, started_at) = (self.now, self.witnesses[witness].started_at);
                let claimed = self.witnesses[witness].table.claim(&query, now - started_at);
                let reply = reply_to(claimed);
                self.pending.push(Pending::Reply { attempt, witness, reply });
            }
            Pending::Reply { attempt, witness, reply } => {
                self.attempts[attempt].round.record_reply(&name(witness), Some(reply));
                self.decide(attempt);
            }
            Pending::Release { attempt, witness } => {
                let claim = self.attempts[attempt].claim;
                self.witnesses[witness].table.release(key(), claim);
            }
            Pending::Open { attempt, .. } if refuses => {
                self.pending.push(Pending::Refusal { attempt });
            }
            Pending::Open { deadline, .. } if self.now < deadline => {
                self.pending.push(Pending::Execute { deadline });
            }
            Pending::Execute { deadline } if self.now < deadline => self.runs.push(self.now),
            Pending::Open { .. } | Pending::Execute { .. } => {}
            Pending::Refusal { attempt } => self.release(attempt),
        }
    }

    /// Delivers a message: a claim together with its reply, and all releases of an attempt together, so
    /// that an exhaustive search stays feasible.
    pub fn deliver_at_once(&mut self, message: usize) {
        match self.pending[message] {
            Pending::Claim { .. } => {
                self.deliver(message, false);
                self.deliver(self.pending.len() - 1, false);
            }
            Pending::Release { attempt: released, .. } => {
                let of_attempt = |pending: &Pending| matches!(pending, Pending::Release { attempt, .. } if *attempt == released);
                while let Some(release) = self.pending.iter().position(of_attempt) {
                    self.deliver(release, false);
                }
            }
            _ => self.deliver(message, false),
        }
    }

    /// Returns whether delivering this message differs from delivering the previous pending one. It
    /// doesn't if both are releases of one attempt, which are delivered together.
    pub fn is_distinct_step(&self, message: usize) -> bool {
        let released = |pending: &Pending| match pending {
            Pending::Release { attempt, .. } => Some(*attempt),
            _ => None,
        };
        let attempt = released(&self.pending[message]);
        attempt.is_none() || message == 0 || released(&self.pending[message - 1]) != attempt
    }

    fn decide(&mut self, attempt: usize) {
        let entry = &mut self.attempts[attempt];
        if entry.decided || entry.round.verdict() == ClaimVerdict::Pending {
            return;
        }
        entry.decided = true;
        match entry.round.verdict() {
            ClaimVerdict::Won => {
                let deadline = entry.started_at + START_TIMEOUT;
                self.pending.push(Pending::Open { attempt, deadline });
            }
            _ => self.release(attempt),
        }
    }

    fn release(&mut self, attempt: usize) {
        for witness in self.attempts[attempt].all_witnesses.clone() {
            self.pending.push(Pending::Release { attempt, witness });
        }
    }

    /// Returns the shortest time between two runs.
    pub fn shortest_run_interval(&self) -> Option<Duration> {
        let mut runs = self.runs.clone();
        runs.sort_unstable();
        runs.windows(2).map(|pair| pair[1] - pair[0]).min()
    }

    /// Returns the number of attempts with a message in flight.
    pub fn busy_attempts(&self) -> usize {
        let attempt_of = |pending: &Pending| match pending {
            Pending::Claim { attempt, .. }
            | Pending::Reply { attempt, .. }
            | Pending::Release { attempt, .. }
            | Pending::Open { attempt, .. }
            | Pending::Refusal { attempt } => Some(*attempt),
            Pending::Execute { .. } => None,
        };
        self.pending.iter().filter_map(attempt_of).collect::<HashSet<_>>().len()
    }
}

fn reply_to(claimed: Result<(), ClaimRefusal>) -> ClaimReply {
    match claimed {
        Ok(()) => ClaimReply::Granted,
        Err(refusal) => {
            let held = match refusal {
                ClaimRefusal::Held(held) => Some(held),
                _ => None,
            };
            let reason = RefusalReason::KeyHeld;
            ClaimReply::Refused { notice: RefusalNotice::new(reason, 0), held }
        }
    }
}
