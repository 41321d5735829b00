//! Forwarding of bytes in one direction: a reader that fills the queue, a writer that drains it.

use std::time::Instant;

use futures_util::future::{join, select, Either};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf};
use monoio::net::TcpStream;

use super::chunk_queue::ReadChunk;
use super::link_faults::LinkDirection;
use super::proxy_connection::ProxyConnection;

/// Maximum number of bytes per read.
const READ_BYTES: usize = 16 * 1024;

/// Forwards bytes in one direction of a connection.
pub struct DirectionPump<'a> {
    /// Connection that the direction belongs to.
    pub connection: &'a ProxyConnection,
    /// Direction of the forwarded bytes.
    pub direction: LinkDirection,
    /// The reverse direction.
    pub opposite: LinkDirection,
}

impl DirectionPump<'_> {
    /// Forwards bytes until the sender has closed its side and all bytes are delivered.
    pub async fn run(&self, mut from: OwnedReadHalf<TcpStream>, mut to: OwnedWriteHalf<TcpStream>) {
        join(self.read_all(&mut from), self.write_all(&mut to)).await;
    }

    async fn read_all(&self, from: &mut OwnedReadHalf<TcpStream>) {
        let queue = self.connection.queue(self.direction);
        loop {
            queue.wait_room().await;
            let (outcome, mut bytes) = from.read(Vec::with_capacity(READ_BYTES)).await;
            let chunk = match outcome {
                Ok(0) => ReadChunk::End,
                Ok(count) => {
                    bytes.truncate(count);
                    bytes.shrink_to_fit();
                    ReadChunk::Bytes(bytes)
                }
                Err(_) => ReadChunk::Broken,
            };
            let ends = !matches!(chunk, ReadChunk::Bytes(_));
            queue.push(chunk);
            if ends {
                self.connection.read_ended(self.direction).trigger();
                return;
            }
        }
    }

    async fn write_all(&self, to: &mut OwnedWriteHalf<TcpStream>) {
        let mut is_writable = true;
        while let Some(chunk) = self.next_chunk().await {
            let drops = self.connection.drops(self.direction);
            match chunk {
                ReadChunk::Bytes(_) if drops || !is_writable => {}
                ReadChunk::Bytes(bytes) => is_writable = self.write(to, bytes).await,
                ReadChunk::End | ReadChunk::Broken if drops => break,
                ReadChunk::Broken => return self.connection.cut(),
                ReadChunk::End => {
                    let _ = to.shutdown().await;
                    return;
                }
            }
        }
        self.connection.read_ended(self.opposite).triggered().await;
    }

    /// Waits for the next chunk that may be delivered, or for a half-close of this direction, which
    /// yields [`ReadChunk::End`] once the queue is drained.
    async fn next_chunk(&self) -> Option<ReadChunk> {
        let queue = self.connection.queue(self.direction);
        loop {
            let first = std::pin::pin!(queue.wait_first());
            let change = std::pin::pin!(self.connection.wait_change());
            if self.connection.is_half_closed(self.direction) && queue.kept() == 0 {
                return Some(ReadChunk::End);
            }
            let Either::Left((read, _)) = select(first, change).await else { continue };
            self.connection.wait_released(self.direction).await;
            let late = (read + self.connection.delay()).saturating_duration_since(Instant::now());
            if !late.is_zero() {
                let sleep = std::pin::pin!(monoio::time::sleep(late));
                let change = std::pin::pin!(self.connection.wait_change());
                let _ = select(sleep, change).await;
                continue;
            }
            return queue.pop();
        }
    }

    /// Writes as many bytes as the allowance permits. Returns `false` if the receiver no longer
    /// accepts bytes.
    async fn write(&self, to: &mut OwnedWriteHalf<TcpStream>, mut bytes: Vec<u8>) -> bool {
        let allowance = self.connection.allowance(self.direction).unwrap_or(u64::MAX);
        bytes.truncate(usize::try_from(allowance).unwrap_or(usize::MAX));
        let (outcome, written) = to.write_all(bytes).await;
        if outcome.is_err() {
            if !self.connection.hides(self.opposite) {
                self.connection.cut();
            }
            return false;
        }
        self.connection.record_passed(self.direction, written.len() as u64);
        if self.connection.allowance(self.direction) == Some(0) {
            self.connection.cut();
        }
        true
    }
}
