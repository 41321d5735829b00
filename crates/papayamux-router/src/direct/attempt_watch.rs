//! Notices attempts whose time is up, and those whose server has gone silent.
//!
//! One task looks at all attempts at each tick. A timer for each piece of each stream would cost
//! more than passing the piece on.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use papayamux_state::backend::BackendServer;
use papayamux_transport::shutdown::ShutdownSignal;
use papayamux_transport::timer::TimerService;

use super::Fleet;

/// How often attempts are looked at: the precision of timeouts.
const WATCH_EVERY: Duration = Duration::from_millis(50);

/// Why an attempt is woken up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptAlarm {
    /// Its server owes a sign of life for longer than is borne, or has started again and knows
    /// nothing of it.
    Silent(&'static str),
    /// The caller or the route gives up.
    TimeUp,
}

/// One attempt as the watch sees it.
pub(super) struct WatchedAttempt {
    server: Rc<BackendServer>,
    give_up: Instant,
    patience: Cell<Option<Duration>>,
    alarm: Cell<Option<AttemptAlarm>>,
    signal: RefCell<ShutdownSignal>,
}

impl WatchedAttempt {
    /// An attempt at `server` that ends at `give_up` at the latest.
    pub(super) fn new(server: Rc<BackendServer>, give_up: Instant) -> Rc<Self> {
        Rc::new(Self {
            server,
            give_up,
            patience: Cell::new(None),
            alarm: Cell::new(None),
            signal: RefCell::default(),
        })
    }

    /// Sets how long a silence of the server is borne from now on; `None` bears any.
    pub(super) fn set_patience(&self, patience: Option<Duration>) {
        self.patience.set(patience);
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

    fn ring(&self, alarm: AttemptAlarm) {
        self.alarm.set(Some(alarm));
        self.signal.take().trigger();
    }

    fn look(&self, fleet: &Fleet, now: Instant) {
        if now >= self.give_up {
            self.ring(AttemptAlarm::TimeUp);
            return;
        }
        let Some(patience) = self.patience.get() else { return };
        if fleet.has_restarted(&self.server) {
            self.ring(AttemptAlarm::Silent("the server has started again"));
            return;
        }
        if fleet.is_silent(&self.server, patience, now) {
            self.ring(AttemptAlarm::Silent("the server is silent"));
        }
    }
}

/// All attempts that are under way.
#[derive(Default)]
pub(super) struct AttemptWatch {
    attempts: RefCell<Vec<Weak<WatchedAttempt>>>,
}

impl AttemptWatch {
    /// Watches an attempt for as long as it lives.
    pub(super) fn add(&self, attempt: &Rc<WatchedAttempt>) {
        self.attempts.borrow_mut().push(Rc::downgrade(attempt));
    }

    fn look(&self, fleet: &Fleet) {
        let now = Instant::now();
        let mut attempts = self.attempts.borrow_mut();
        attempts.retain(|attempt| match attempt.upgrade() {
            Some(attempt) => {
                attempt.look(fleet, now);
                true
            }
            None => false,
        });
    }
}

/// Looks at all attempts for ever.
pub(super) async fn watch_attempts(fleet: Rc<Fleet>, timer: TimerService) {
    let mut ticks = timer.every(WATCH_EVERY);
    while ticks.tick().await.is_some() {
        fleet.expire_servers();
        fleet.watch_lines();
        fleet.watch().look(&fleet);
    }
}
