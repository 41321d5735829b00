//! Servers that send bytes without end in place of an answer's head or framing: each client gives them up after
//! a bounded number of bytes, and other tasks go on meanwhile.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use papayamux_transport::http::upstream::{PoolLimits, UpstreamPool};
use papayamux_transport::http::HttpClient;
use papayamux_transport::runtime;

/// What a server sends first, and what it then repeats.
type EndlessBytes = (&'static str, &'static str);

const HEADS: [EndlessBytes; 5] = [
    ("", "garbage "),
    ("HTTP/1.1 200 S\r\na: ", "x"),
    ("HTTP/1.1 200 S\r\n", "a: b\r\n"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("", "HTTP/1.1 103 E\r\nlink: </a>\r\n\r\n"),
];
const CHUNKED: &str = "HTTP/1.1 200 S\r\ntransfer-encoding: chunked\r\n\r\n";
const FRAMINGS: [EndlessBytes; 3] = [("", "0"), ("4;", "x"), ("0\r\n", "a: b\r\n")];
/// Time within which a client gives the bytes up.
const GIVE_UP_TIME: Duration = Duration::from_secs(2);
/// Interval of another task, and the longest that it may wait for its turn.
const TICK: Duration = Duration::from_millis(10);
const MAX_TICK: Duration = Duration::from_millis(500);
/// Bytes that a client may read of an answer, and what the buffers of two sockets hold.
const MAX_SENT_BYTES: usize = 16 * 1024 * 1024;
/// Time after which a server gives up, so that a failing test ends.
const SENDER_TIMEOUT: Duration = Duration::from_secs(10);

struct EndlessServer {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
}

/// Starts a server that answers with `head` and with `bytes` for as long as the client reads.
fn serve(head: &'static str, bytes: EndlessBytes) -> EndlessServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let count = sent.clone();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        assert!(stream.read(&mut request).unwrap() > 0);
        let (begin, repeated) = bytes;
        let block = repeated.repeat(4096);
        let started_at = Instant::now();
        let mut is_open = stream.write_all(format!("{head}{begin}").as_bytes()).is_ok();
        while is_open && started_at.elapsed() < SENDER_TIMEOUT {
            is_open = stream.write_all(block.as_bytes()).is_ok();
            count.fetch_add(block.len(), Ordering::Relaxed);
        }
    });
    EndlessServer { address, sent }
}

fn request() -> Request<Bytes> {
    Request::get("/a").header("host", "here").body(Bytes::new()).unwrap()
}

/// Runs `exchange` with a server for each of `cases`, and checks that it fails in time while other tasks go on.
fn check<F: std::future::Future<Output = bool>>(
    head: &'static str,
    cases: &'static [EndlessBytes],
    exchange: fn(SocketAddr) -> F,
) {
    runtime::run(async move {
        for bytes in cases {
            let server = serve(head, *bytes);
            let is_done = Rc::new(Cell::new(false));
            let ends = is_done.clone();
            let slowest_tick = monoio::spawn(async move {
                let mut slowest = Duration::ZERO;
                while !ends.get() {
                    let slept_at = Instant::now();
                    monoio::time::sleep(TICK).await;
                    slowest = slowest.max(slept_at.elapsed());
                }
                slowest
            });
            let exchange = monoio::time::timeout(GIVE_UP_TIME, exchange(server.address));
            assert_eq!(exchange.await.ok(), Some(false), "{head:?} {bytes:?}");
            is_done.set(true);
            let slowest = slowest_tick.await;
            assert!(slowest < MAX_TICK, "{head:?} {bytes:?}: another task waited {slowest:?}");
            let sent = server.sent.load(Ordering::Relaxed);
            assert!(sent < MAX_SENT_BYTES, "{head:?} {bytes:?}: {sent} bytes");
        }
    })
    .unwrap();
}

/// Returns whether the answer is read to its end by the connection pool.
async fn read_with_pool(address: SocketAddr) -> bool {
    let pool = UpstreamPool::new(PoolLimits::default());
    let Ok(mut answer) = pool.send(address, request()).await else { return false };
    while let Some(piece) = answer.next_piece().await {
        if piece.is_err() {
            return false;
        }
    }
    true
}

/// Returns whether the answer is read to its end by the client of a single server.
async fn read_with_client(address: SocketAddr) -> bool {
    let Ok(answer) = HttpClient::new(address).send_once(request()).await else { return false };
    answer.read_body(1024).await.is_ok()
}

#[test]
fn endless_head_fails_the_exchange() {
    check("", &HEADS, read_with_pool);
    check("", &HEADS, read_with_client);
}

#[test]
fn endless_framing_of_a_body_fails_the_exchange() {
    check(CHUNKED, &FRAMINGS, read_with_pool);
    check(CHUNKED, &FRAMINGS, read_with_client);
}

/// Guards against timers that don't fire while the tasks of a connection and its reader are ready by turns.
#[test]
fn timeout_ends_an_answer_in_pieces_of_one_byte() {
    const TIMEOUT: Duration = Duration::from_millis(200);
    let server = serve(CHUNKED, ("", "1\r\nx\r\n"));
    runtime::run(async move {
        let client = HttpClient::new(server.address);
        let answer = client.send_once(request()).await.unwrap();
        let started_at = Instant::now();
        let body = monoio::time::timeout(TIMEOUT, answer.read_body(u64::MAX)).await;
        assert!(body.is_err() && started_at.elapsed() < MAX_TICK, "{:?}", started_at.elapsed());
    })
    .unwrap();
}

/// A reader's own pauses are no lack of progress.
#[test]
fn long_answer_is_whole_for_a_slow_reader() {
    const BODY_BYTES: usize = 8 * 1024 * 1024;
    for framing in
        ["content-length: 8388608\r\n\r\n", "transfer-encoding: chunked\r\n\r\n800000\r\n"]
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut request = [0; 1024];
            assert!(stream.read(&mut request).unwrap() > 0);
            stream.write_all(format!("HTTP/1.1 200 S\r\n{framing}").as_bytes()).unwrap();
            stream.write_all(&vec![b'x'; BODY_BYTES]).unwrap();
            stream.write_all(b"\r\n0\r\n\r\n").unwrap();
        });
        runtime::run(async move {
            let pool = UpstreamPool::new(PoolLimits::default());
            let mut answer = pool.send(address, request()).await.unwrap();
            let mut length = 0;
            loop {
                monoio::time::sleep(Duration::from_millis(2)).await;
                let Some(piece) = answer.next_piece().await else { break };
                length += piece.unwrap().len();
            }
            assert_eq!(length, BODY_BYTES, "{framing:?}");
        })
        .unwrap();
    }
}
