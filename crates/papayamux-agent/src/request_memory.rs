//! The memory that the bodies of admitted requests take.

use std::cell::Cell;
use std::rc::Rc;

use papayamux_state::quantities::ByteCount;

/// Accounts for the bodies of queued and running requests. Clones share the account.
#[derive(Debug, Clone)]
pub struct RequestMemory {
    limit: ByteCount,
    held: Rc<Cell<ByteCount>>,
}

/// A place for the body of one request, until it is dropped.
#[derive(Debug)]
pub struct BodyHold {
    memory: RequestMemory,
    bytes: ByteCount,
}

impl RequestMemory {
    /// Creates an account with this limit.
    pub fn new(limit: ByteCount) -> Self {
        Self { limit, held: Rc::default() }
    }

    /// Returns a place for a body of `bytes`; `None` if there is none. An empty body always has one.
    pub fn hold(&self, bytes: ByteCount) -> Option<BodyHold> {
        let held = self.held.get() + bytes;
        if held > self.limit && bytes > ByteCount::default() {
            return None;
        }
        self.held.set(held);
        Some(BodyHold { memory: self.clone(), bytes })
    }

    /// Returns what all bodies take.
    pub fn held(&self) -> ByteCount {
        self.held.get()
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.memory.held.set(self.memory.held.get() - self.bytes);
    }
}
