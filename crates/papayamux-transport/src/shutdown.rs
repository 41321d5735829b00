//! One-shot signal that wakes all its waiters.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

#[derive(Debug, Default)]
struct SignalState {
    triggered: bool,
    wakers: Vec<Option<Waker>>,
    free_slots: Vec<usize>,
}

/// A one-shot signal. Clones share its state.
#[derive(Debug, Clone, Default)]
pub struct ShutdownSignal {
    state: Rc<RefCell<SignalState>>,
}

impl ShutdownSignal {
    /// Creates a signal that isn't triggered.
    pub fn new() -> Self {
        Self::default()
    }

    /// Triggers the signal and wakes all waiters. Further calls have no effect.
    pub fn trigger(&self) {
        let wakers = {
            let mut state = self.state.borrow_mut();
            state.triggered = true;
            std::mem::take(&mut state.wakers)
        };
        wakers.into_iter().flatten().for_each(Waker::wake);
    }

    /// Returns whether the signal was triggered.
    pub fn is_triggered(&self) -> bool {
        self.state.borrow().triggered
    }

    /// Returns a future that completes once the signal is triggered.
    pub fn triggered(&self) -> SignalWait {
        SignalWait { state: self.state.clone(), slot: None }
    }
}

/// Future that waits for a signal. Each waiter has its own slot, so that the cost of polling it
/// again doesn't depend on the number of waiters.
#[derive(Debug)]
pub struct SignalWait {
    state: Rc<RefCell<SignalState>>,
    slot: Option<usize>,
}

impl Future for SignalWait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let wait = &mut *self;
        let mut state = wait.state.borrow_mut();
        if state.triggered {
            return Poll::Ready(());
        }
        let slot = *wait.slot.get_or_insert_with(|| state.claim_slot());
        match &mut state.wakers[slot] {
            Some(known) => known.clone_from(context.waker()),
            unset => *unset = Some(context.waker().clone()),
        }
        Poll::Pending
    }
}

impl SignalState {
    fn claim_slot(&mut self) -> usize {
        self.free_slots.pop().unwrap_or_else(|| {
            self.wakers.push(None);
            self.wakers.len() - 1
        })
    }
}

impl Drop for SignalWait {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        if let (Some(slot), false) = (self.slot, state.triggered) {
            state.wakers[slot] = None;
            state.free_slots.push(slot);
        }
    }
}
