//! Queue of chunks that were read in one direction and not written yet.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Instant;

use papayamux_transport::shutdown::ShutdownSignal;

/// Number of queued bytes per direction of a connection at which reading pauses.
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// Number of queued chunks per direction of a connection at which reading pauses.
const MAX_QUEUED_CHUNKS: usize = 64 * 1024;

/// The result of a read.
#[derive(Debug)]
pub enum ReadChunk {
    /// Received bytes.
    Bytes(Vec<u8>),
    /// The sender closed its side of the connection.
    End,
    /// Reading failed, as after a reset by the sender.
    Broken,
}

#[derive(Default)]
struct QueueState {
    chunks: VecDeque<(Instant, ReadChunk)>,
    kept: usize,
    changed: ShutdownSignal,
}

/// A bounded queue between the reader and the writer of one direction.
#[derive(Default)]
pub struct ChunkQueue {
    state: RefCell<QueueState>,
}

impl ChunkQueue {
    /// Returns the number of queued bytes.
    pub fn kept(&self) -> usize {
        self.state.borrow().kept
    }

    /// Queues a chunk with the current time as its read time.
    pub fn push(&self, chunk: ReadChunk) {
        let mut state = self.state.borrow_mut();
        if let ReadChunk::Bytes(bytes) = &chunk {
            state.kept += bytes.len();
        }
        state.chunks.push_back((Instant::now(), chunk));
        notify_change(&mut state);
    }

    /// Waits until the queue is below its limits.
    pub async fn wait_room(&self) {
        while self.is_full() {
            self.wait_change().await;
        }
    }

    /// Waits until the queue is not empty, and returns the read time of its first chunk.
    pub async fn wait_first(&self) -> Instant {
        loop {
            let first = self.state.borrow().chunks.front().map(|(read, _)| *read);
            match first {
                Some(read) => return read,
                None => self.wait_change().await,
            }
        }
    }

    /// Removes and returns the first chunk.
    pub fn pop(&self) -> Option<ReadChunk> {
        let mut state = self.state.borrow_mut();
        let (_, chunk) = state.chunks.pop_front()?;
        if let ReadChunk::Bytes(bytes) = &chunk {
            state.kept -= bytes.len();
        }
        notify_change(&mut state);
        Some(chunk)
    }

    fn is_full(&self) -> bool {
        let state = self.state.borrow();
        state.kept >= MAX_QUEUED_BYTES || state.chunks.len() >= MAX_QUEUED_CHUNKS
    }

    async fn wait_change(&self) {
        let changed = self.state.borrow().changed.clone();
        changed.triggered().await;
    }
}

fn notify_change(state: &mut QueueState) {
    std::mem::take(&mut state.changed).trigger();
}
