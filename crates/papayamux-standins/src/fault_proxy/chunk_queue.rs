//! What was read on one way and not written yet.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Instant;

use papayamux_transport::shutdown::ShutdownSignal;

/// Bytes kept on one way of one connection before no more are read.
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// Chunks kept on one way of one connection before no more are read.
const MAX_QUEUED_CHUNKS: usize = 64 * 1024;

/// What was read.
#[derive(Debug)]
pub enum ReadChunk {
    /// Bytes.
    Bytes(Vec<u8>),
    /// The sender has closed its side.
    End,
    /// The sender's connection broke.
    Broken,
}

#[derive(Default)]
struct QueueState {
    chunks: VecDeque<(Instant, ReadChunk)>,
    kept: usize,
    changed: ShutdownSignal,
}

/// A bounded queue between the reader and the writer of one way.
#[derive(Default)]
pub struct ChunkQueue {
    state: RefCell<QueueState>,
}

impl ChunkQueue {
    /// Bytes that wait.
    pub fn kept(&self) -> usize {
        self.state.borrow().kept
    }

    /// Adds what was read, with the time it was read at.
    pub fn push(&self, chunk: ReadChunk) {
        let mut state = self.state.borrow_mut();
        if let ReadChunk::Bytes(bytes) = &chunk {
            state.kept += bytes.len();
        }
        state.chunks.push_back((Instant::now(), chunk));
        notify_change(&mut state);
    }

    /// Waits until there is room for more.
    pub async fn wait_room(&self) {
        while self.is_full() {
            self.wait_change().await;
        }
    }

    /// Waits until something is there and gives the time it was read at.
    pub async fn wait_first(&self) -> Instant {
        loop {
            let first = self.state.borrow().chunks.front().map(|(read, _)| *read);
            match first {
                Some(read) => return read,
                None => self.wait_change().await,
            }
        }
    }

    /// Takes the first.
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
        changed.given().await;
    }
}

fn notify_change(state: &mut QueueState) {
    std::mem::take(&mut state.changed).give();
}
