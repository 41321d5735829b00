//! A small plain service for which two organisations compete.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayamux_platform_standins::{
    CallRoute, CallerConnection, CallerRequest, OrganisationDraft, ServerListing, ServerRequest,
    ServerStandIn, StoreStandIn, SCARCE_SERVICE,
};
use parking_lot::{Condvar, Mutex};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::checks::DEADLINE;
use super::history::{CallKind, CallRecord, CallResult, RunRecord};
use super::scarce_history::{Competitor, ScarceCall, ScarceHistory};
use super::workload::CallerState;

/// Number of servers of the service.
const SERVERS: usize = 2;
/// Number of requests that a server runs concurrently.
const SLOTS: u32 = 2;
/// Number of requests that wait at a server while its slots are taken.
const QUEUE: u32 = 2;
/// Service time of a request.
const WORK: Duration = Duration::from_millis(40);
/// Callers of the organisation that stays within its share.
const STEADY_CALLERS: u64 = 3;
/// Callers of the organisation that sends several times its usual.
const SURGING_CALLERS: u64 = 14;
/// Pause between two requests of a caller that stays within its share, in milliseconds.
const STEADY_PAUSE_MILLIS: std::ops::Range<u64> = 20..60;
/// The same for the other organisation, whose callers come back almost at once.
const SURGING_PAUSE_MILLIS: std::ops::Range<u64> = 2..20;
/// Separates these callers' random sequences from those of the faults and of the others.
const SERIES: u64 = 0x7363_6172_6365;

/// The requests at a server.
#[derive(Debug, Default)]
struct Occupancy {
    running: Mutex<u32>,
    waiting: Mutex<u32>,
    freed: Condvar,
}

impl Occupancy {
    /// Runs `work` in a slot. Returns `false` without running it if the queue is full.
    fn run(&self, work: impl FnOnce()) -> bool {
        let mut running = self.running.lock();
        if *running >= SLOTS {
            if *self.waiting.lock() >= QUEUE {
                return false;
            }
            *self.waiting.lock() += 1;
            while *running >= SLOTS {
                self.freed.wait(&mut running);
            }
            *self.waiting.lock() -= 1;
        }
        *running += 1;
        drop(running);
        work();
        *self.running.lock() -= 1;
        self.freed.notify_one();
        true
    }
}

/// The servers of the service with what they have seen.
#[derive(Debug, Clone)]
pub(super) struct ScarceService {
    begun: Instant,
    history: Arc<Mutex<ScarceHistory>>,
}

/// Returns the organisations that compete for the service.
pub(super) fn competing_organisations() -> [OrganisationDraft; 2] {
    [Competitor::Steady, Competitor::Surging].map(|competitor| OrganisationDraft {
        name: competitor.name().to_string(),
        keys: vec![competitor.key()],
    })
}

impl ScarceService {
    /// Starts the servers and lists them in the store.
    pub(super) fn start(store: &StoreStandIn, begun: Instant) -> Self {
        let service = Self { begun, history: Arc::default() };
        for number in 0..SERVERS {
            let server = service.start_server(&format!("{SCARCE_SERVICE}-{number}"));
            let listing = ServerListing { slots: SLOTS, ..ServerListing::default() };
            server.list(store, listing);
        }
        service
    }

    fn start_server(&self, id: &str) -> ServerStandIn {
        let (service, occupancy) = (self.clone(), Occupancy::default());
        ServerStandIn::start(id, SCARCE_SERVICE, move |request, stream| {
            if !request.is_addressed_here() {
                return stream.write_all(request.misdirected_answer().as_bytes()).is_ok();
            }
            service.answer(&occupancy, request, stream)
        })
    }

    fn answer(
        &self,
        occupancy: &Occupancy,
        request: &ServerRequest,
        stream: &mut TcpStream,
    ) -> bool {
        let arrived = self.record(request);
        let run = || {
            self.history.lock().runs.push(arrived.clone());
            std::thread::sleep(WORK);
        };
        let answer = match occupancy.run(run) {
            true => request.answer(200, "done"),
            false => {
                self.history.lock().overflows.push(arrived.clone());
                request.overflow_answer()
            }
        };
        stream.write_all(answer.as_bytes()).is_ok()
    }

    fn record(&self, request: &ServerRequest) -> RunRecord {
        RunRecord {
            id: request.id().to_string(),
            server: request.server.clone(),
            service: SCARCE_SERVICE.to_string(),
            at: self.begun.elapsed(),
        }
    }

    /// Returns what callers and servers have recorded.
    pub(super) fn take_history(&self) -> ScarceHistory {
        std::mem::take(&mut *self.history.lock())
    }

    /// Starts the callers, which end with the soak.
    pub(super) fn start_callers(
        &self,
        caller_state: &Arc<CallerState>,
        seed: u64,
    ) -> Vec<std::thread::JoinHandle<()>> {
        let callers = (0..STEADY_CALLERS + SURGING_CALLERS).map(|number| {
            let competitor = match number < STEADY_CALLERS {
                true => Competitor::Steady,
                false => Competitor::Surging,
            };
            let (service, caller_state) = (self.clone(), caller_state.clone());
            let random = StdRng::seed_from_u64(seed ^ (SERIES + number));
            std::thread::spawn(move || {
                service.run_caller(&caller_state, competitor, number, random);
            })
        });
        callers.collect()
    }

    fn run_caller(
        &self,
        caller_state: &CallerState,
        competitor: Competitor,
        number: u64,
        mut random: StdRng,
    ) {
        let pause = match competitor {
            Competitor::Steady => STEADY_PAUSE_MILLIS,
            Competitor::Surging => SURGING_PAUSE_MILLIS,
        };
        let mut count = 0u64;
        while !caller_state.is_ended() {
            std::thread::sleep(Duration::from_millis(random.random_range(pause.clone())));
            let routers = caller_state.routers();
            let router = random.random_range(0..routers.len());
            let Some(address) = routers[router] else { continue };
            count += 1;
            let id = format!("{SCARCE_SERVICE}-{number:x}-{count:x}");
            let sent = caller_state.now();
            let connection = CallerConnection::open(address, DEADLINE);
            let text = call_text(&id, competitor);
            let answer = connection.and_then(|mut connection| connection.exchange(&text));
            let result = match answer {
                Some(answer) if !answer.whole => CallResult::Nothing,
                Some(answer) if answer.status == 200 => CallResult::Served,
                Some(answer) if answer.promises_not_run() => CallResult::NotRun,
                Some(answer) => CallResult::Failed(answer.status),
                None => CallResult::Nothing,
            };
            let (kind, key, ended) = (CallKind::Idempotent, competitor.key(), caller_state.now());
            let call = CallRecord { id, kind, router, key, sent, ended, result };
            self.history.lock().calls.push(ScarceCall { competitor, call });
        }
    }
}

fn call_text(id: &str, competitor: Competitor) -> String {
    let request = CallerRequest::builder()
        .route(CallRoute::Scarce)
        .id(id.to_string())
        .key(competitor.key())
        .left(DEADLINE)
        .build();
    request.text()
}
