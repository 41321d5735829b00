//! Timer service with periodic ticks, which also reports pauses of the process.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::mpsc::unbounded;

/// Interval at which the service checks the clock.
pub const RESOLUTION: Duration = Duration::from_millis(50);
/// Minimum gap between two checks of the clock that counts as a pause of the process.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// A tick of a subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimerTick {
    /// Time for which the tick was scheduled, or the current time if a pause made it early.
    pub scheduled_at: Instant,
    /// Duration of a pause of the process before this tick, if there was one.
    pub paused: Option<Duration>,
}

struct Subscriber {
    period: Duration,
    next_tick: Instant,
    tick_pending: Rc<Cell<bool>>,
    sender: unbounded::Tx<TimerTick>,
}

/// Sends periodic ticks to subscribers. A subscriber that has not received its last tick gets no
/// further one, so that ticks don't accumulate for a slow subscriber. Only ticks that report a
/// pause are always sent.
#[derive(Clone, Default)]
pub struct TimerService {
    subscribers: Rc<RefCell<Vec<Subscriber>>>,
}

/// A subscription to periodic ticks, which ends when dropped.
pub struct TimerSubscription {
    tick_pending: Rc<Cell<bool>>,
    receiver: unbounded::Rx<TimerTick>,
}

impl TimerService {
    /// Starts the service on the current runtime.
    pub fn start() -> Self {
        let service = Self::default();
        monoio::spawn(run_service(service.clone()));
        service
    }

    /// Subscribes to a tick every `period`, the first after one period.
    pub fn every(&self, period: Duration) -> TimerSubscription {
        let (sender, receiver) = unbounded::channel();
        let tick_pending = Rc::new(Cell::new(false));
        self.subscribers.borrow_mut().push(Subscriber {
            period,
            next_tick: Instant::now() + period,
            tick_pending: tick_pending.clone(),
            sender,
        });
        TimerSubscription { tick_pending, receiver }
    }

    fn send_ticks(&self, now: Instant, paused: Option<Duration>) {
        self.subscribers.borrow_mut().retain_mut(|subscriber| {
            if subscriber.next_tick > now && paused.is_none() {
                return !subscriber.sender.is_closed();
            }
            let scheduled_at = subscriber.next_tick.min(now);
            subscriber.next_tick = now + subscriber.period;
            if subscriber.tick_pending.replace(true) && paused.is_none() {
                return !subscriber.sender.is_closed();
            }
            subscriber.sender.send(TimerTick { scheduled_at, paused }).is_ok()
        });
    }
}

impl TimerSubscription {
    /// Returns the next tick, or `None` once the service has stopped.
    pub async fn tick(&mut self) -> Option<TimerTick> {
        let tick = self.receiver.recv().await;
        self.tick_pending.set(false);
        tick
    }
}

async fn run_service(service: TimerService) {
    let mut last = Instant::now();
    loop {
        monoio::time::sleep(RESOLUTION).await;
        let now = Instant::now();
        let gap = now - last;
        let paused = (gap > PAUSE_THRESHOLD).then_some(gap);
        service.send_ticks(now, paused);
        last = now;
    }
}
