//! A signal that is given once and seen by all who wait for it.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

#[derive(Debug, Default)]
struct SignalState {
    given: bool,
    wakers: Vec<Waker>,
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
    pub fn give(&self) {
        let wakers = {
            let mut state = self.state.borrow_mut();
            state.given = true;
            std::mem::take(&mut state.wakers)
        };
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Whether the signal was given.
    pub fn is_given(&self) -> bool {
        self.state.borrow().given
    }

    /// Waits until the signal is given.
    pub async fn given(&self) {
        poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            if state.given {
                return Poll::Ready(());
            }
            let waker = context.waker();
            if !state.wakers.iter().any(|known| known.will_wake(waker)) {
                state.wakers.push(waker.clone());
            }
            Poll::Pending
        })
        .await;
    }
}
