//! Detects attempts whose deadline has passed or whose server has gone silent.
//!
//! One task checks all attempts at each tick: a timer for each piece of each stream would cost more
//! than forwarding the piece.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use papayamux_state::backend::BackendServer;
use papayamux_transport::shutdown::ShutdownSignal;
use papayamux_transport::timer::TimerService;

use super::Fleet;

/// Interval between two checks of the attempts, which is the precision of timeouts.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// The reason to wake up an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptAlarm {
    /// The server has owed a response for longer than is tolerated, or has restarted and lost the
    /// request.
    Silent(&'static str),
    /// The deadline of the caller or of the route has passed.
    DeadlinePassed,
}

/// An attempt as seen by the watch.
pub(super) struct WatchedAttempt {
    server: Rc<BackendServer>,
    give_up_at: Instant,
    silence_limit: Cell<Option<Duration>>,
    alarm: Cell<Option<AttemptAlarm>>,
    signal: RefCell<ShutdownSignal>,
}

impl WatchedAttempt {
    /// Creates the entry of an attempt at `server` that ends at `give_up_at` at the latest.
    pub(super) fn new(server: Rc<BackendServer>, give_up_at: Instant) -> Rc<Self> {
        Rc::new(Self {
            server,
            give_up_at,
            silence_limit: Cell::new(None),
            alarm: Cell::new(None),
            signal: RefCell::default(),
        })
    }

    /// Sets the maximum silence of the server from now on; `None` tolerates any.
    pub(super) fn set_silence_limit(&self, silence_limit: Option<Duration>) {
        self.silence_limit.set(silence_limit);
    }

    /// Waits for the next alarm.
    pub(super) async fn alarm(&self) -> AttemptAlarm {
        loop {
            if let Some(alarm) = self.alarm.take() {
                return alarm;
            }
            let signal = self.signal.borrow().clone();
            signal.triggered().await;
        }
    }

    fn raise(&self, alarm: AttemptAlarm) {
        self.alarm.set(Some(alarm));
        self.signal.take().trigger();
    }

    fn check(&self, fleet: &Fleet, now: Instant) {
        if now >= self.give_up_at {
            self.raise(AttemptAlarm::DeadlinePassed);
            return;
        }
        let Some(silence_limit) = self.silence_limit.get() else { return };
        if fleet.has_restarted(&self.server) {
            self.raise(AttemptAlarm::Silent("the server has restarted"));
            return;
        }
        if fleet.is_silent(&self.server, silence_limit, now) {
            self.raise(AttemptAlarm::Silent("the server is silent"));
        }
    }
}

/// All attempts in progress.
#[derive(Default)]
pub(super) struct AttemptWatch {
    attempts: RefCell<Vec<Weak<WatchedAttempt>>>,
}

impl AttemptWatch {
    /// Watches an attempt until it is dropped.
    pub(super) fn add(&self, attempt: &Rc<WatchedAttempt>) {
        self.attempts.borrow_mut().push(Rc::downgrade(attempt));
    }

    fn check(&self, fleet: &Fleet) {
        let now = Instant::now();
        let mut attempts = self.attempts.borrow_mut();
        attempts.retain(|attempt| match attempt.upgrade() {
            Some(attempt) => {
                attempt.check(fleet, now);
                true
            }
            None => false,
        });
    }
}

/// Checks all attempts at each tick, indefinitely.
pub(super) async fn watch_attempts(fleet: Rc<Fleet>, timer: TimerService) {
    let mut ticks = timer.every(WATCH_INTERVAL);
    while ticks.tick().await.is_some() {
        fleet.expire_servers();
        fleet.expire_evacuations();
        fleet.update_queues();
        fleet.watch().check(&fleet);
    }
}
