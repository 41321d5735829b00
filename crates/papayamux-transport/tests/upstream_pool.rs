//! Requests over kept connections.
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

/// Polls of a request that waits for its answer, at most: one for each step of connecting,
/// sending and receiving, with room to spare.
const MOST_POLLS: usize = 50;

/// A waker that is never equal to another one, as copies of one task's waker need not be.
struct OwnWaker(Waker);

impl Wake for OwnWaker {
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

/// A caller's connection polls its answer more than once in a turn. Each poll woke the task again
/// while it waited for the connection to be ready, so that no other task ran for seconds.
#[test]
fn waiting_for_an_answer_wakes_nobody() {
    let address = slow_server(1);
    runtime::run(async move {
        let pool = UpstreamPool::new(PoolLimits::default());
        let mut sending = std::pin::pin!(pool.send(address, request()));
        let polls = Cell::new(0);
        let answer = poll_fn(|context| {
            polls.set(polls.get() + 2);
            assert!(polls.get() <= MOST_POLLS, "the task wakes itself");
            let first = Waker::from(Arc::new(OwnWaker(context.waker().clone())));
            let poll = sending.as_mut().poll(&mut Context::from_waker(&first));
            if poll.is_ready() {
                return poll;
            }
            let second = Waker::from(Arc::new(OwnWaker(context.waker().clone())));
            sending.as_mut().poll(&mut Context::from_waker(&second))
        });
        assert_eq!(answer.await.unwrap().head.status, 200);
    })
    .unwrap();
}

#[test]
fn connection_is_kept_after_a_whole_answer() {
    // The server takes one connection only.
    let address = slow_server(3);
    runtime::run(async move {
        let pool = UpstreamPool::new(PoolLimits::default());
        for _ in 0..3 {
            let mut answer = pool.send(address, request()).await.unwrap();
            let body = answer.next_piece().await.unwrap().unwrap();
            assert_eq!(&body[..], b"ok");
            assert!(answer.next_piece().await.is_none());
            answer.finish();
            monoio::time::sleep(PoolLimits::default().min_idle * 2).await;
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
