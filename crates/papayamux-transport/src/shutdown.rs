//! A signal that is given once and seen by all who wait for it.

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

/// A one-shot signal; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ShutdownSignal {
    state: Rc<RefCell<SignalState>>,
}

impl ShutdownSignal {
    /// A signal not given yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives the signal; giving it again changes nothing.
    pub fn trigger(&self) {
        let wakers = {
            let mut state = self.state.borrow_mut();
            state.triggered = true;
            std::mem::take(&mut state.wakers)
        };
        wakers.into_iter().flatten().for_each(Waker::wake);
    }

    /// Whether the signal was given.
    pub fn is_triggered(&self) -> bool {
        self.state.borrow().triggered
    }

    /// Waits until the signal is given.
    pub fn triggered(&self) -> SignalWait {
        SignalWait { state: self.state.clone(), slot: None }
    }
}

/// Waits for a signal. Each waiter has its own place, so that polling it again costs the same
/// however many others wait.
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
