//! Requests over pooled connections.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::task::{Context, Wake, Waker};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use papayamux_transport::http::upstream::{PoolLimits, UpstreamPool};
use papayamux_transport::runtime;

/// Maximum number of polls of a request that waits for its answer: one for each step of connecting,
/// sending and receiving, with some margin.
const MAX_POLLS: usize = 50;

/// A waker that never equals another one, as copies of one task's waker may not be equal either.
struct DistinctWaker(Waker);

impl Wake for DistinctWaker {
    fn wake(self: Arc<Self>) {
        self.0.wake_by_ref();
    }
}

fn slow_server(answers: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        for _ in 0..answers {
            let mut buffer = [0; 1024];
            if stream.read(&mut buffer).unwrap() == 0 {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
        }
    });
    address
}

fn request() -> Request<Bytes> {
    Request::builder().uri("/").header("host", "here").body(Bytes::new()).unwrap()
}

/// Guards against a task that wakes itself. A caller's connection polls its answer more than once
/// per scheduling of the task; each poll woke the task again while it waited for the connection to
/// be ready, so that no other task ran for seconds.
#[test]
fn pending_request_does_not_wake_its_own_task() {
    let address = slow_server(1);
    runtime::run(async move {
        let pool = UpstreamPool::new(PoolLimits::default());
        let mut sending = std::pin::pin!(pool.send(address, request()));
        let polls = Cell::new(0);
        let answer = poll_fn(|context| {
            polls.set(polls.get() + 2);
            assert!(polls.get() <= MAX_POLLS, "the task wakes itself");
            let first = Waker::from(Arc::new(DistinctWaker(context.waker().clone())));
            let poll = sending.as_mut().poll(&mut Context::from_waker(&first));
            if poll.is_ready() {
                return poll;
            }
            let second = Waker::from(Arc::new(DistinctWaker(context.waker().clone())));
            sending.as_mut().poll(&mut Context::from_waker(&second))
        });
        assert_eq!(answer.await.unwrap().head.status, 200);
    })
    .unwrap();
}

#[test]
fn connection_is_reused_after_a_complete_answer() {
    // The server accepts only one connection.
    let address = slow_server(3);
    runtime::run(async move {
        let pool = UpstreamPool::new(PoolLimits::default());
        for _ in 0..3 {
            let mut answer = pool.send(address, request()).await.unwrap();
            let body = answer.next_piece().await.unwrap().unwrap();
            assert_eq!(&body[..], b"ok");
            assert!(answer.next_piece().await.is_none());
            answer.finish();
            monoio::time::sleep(PoolLimits::default().reuse_delay * 2).await;
        }
    })
    .unwrap();
}

#[test]
fn failure_to_connect_proves_that_nothing_was_sent() {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    runtime::run(async move {
        let pool = UpstreamPool::new(PoolLimits::default());
        let Err(error) = pool.send(address, request()).await else { panic!("it connected") };
        assert!(error.nothing_was_sent());
    })
    .unwrap();
}
