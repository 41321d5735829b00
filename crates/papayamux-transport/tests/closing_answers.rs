//! Answers after which the connection is closed reach callers that read slowly.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use papayamux_transport::http::{serve_callers, AnswerBody, HttpLimits};
use papayamux_transport::listen::listen_for_callers;
use papayamux_transport::runtime;
use papayamux_transport::shutdown::ShutdownSignal;

/// Size of an answer that no socket's buffer holds.
const ANSWER_BYTES: usize = 24 * 1024 * 1024;
/// Pause of the caller before it reads.
const READ_DELAY: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns how many bytes a caller reads that sends `request` and reads nothing at first.
fn read_slowly(request: &'static str) -> usize {
    runtime::run(async move {
        let listener = listen_for_callers("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let shutdown = ShutdownSignal::new();
        let handler = Rc::new(|_| async {
            Response::new(AnswerBody::Whole(Bytes::from(vec![b'x'; ANSWER_BYTES])))
        });
        let limits = HttpLimits::default();
        let serving = monoio::spawn(serve_callers(listener, limits, shutdown.clone(), handler));
        let reading = std::thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            stream.write_all(request.as_bytes()).unwrap();
            std::thread::sleep(READ_DELAY);
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).unwrap();
            answer.len()
        });
        while !reading.is_finished() {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        shutdown.trigger();
        serving.await.unwrap();
        reading.join().unwrap()
    })
    .unwrap()
}

/// Guards against a connection that is closed once the answer was handed over and not yet written.
#[test]
fn slow_readers_get_the_whole_answer_before_the_connection_is_closed() {
    let closing = "GET / HTTP/1.1\r\nhost: here\r\nconnection: close\r\n\r\n";
    assert!(read_slowly(closing) > ANSWER_BYTES, "after a request to close");
    let refused = "POST / HTTP/1.1\r\nhost: here\r\ncontent-length: 9\r\n\r\n";
    assert!(read_slowly(refused) > ANSWER_BYTES, "before the body was received");
}

/// Sends `request` to a handler that reads no body. Returns the head of the answer.
fn read_head(stream: &mut TcpStream, request: &str) -> String {
    stream.write_all(request.as_bytes()).unwrap();
    let mut text = String::new();
    while !text.ends_with("no\n") {
        let mut buffer = [0; 1_024];
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "the connection was closed: {text:?}");
        text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
    }
    text.to_lowercase()
}

/// Guards against requests that are sent on a connection that is about to be closed, and dropped there.
#[test]
fn answer_before_the_end_of_a_body_says_that_its_connection_is_closed() {
    runtime::run(async {
        let listener = listen_for_callers("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let shutdown = ShutdownSignal::new();
        let handler =
            Rc::new(|_| async { Response::new(AnswerBody::Whole(Bytes::from_static(b"no\n"))) });
        let limits = HttpLimits::default();
        let serving = monoio::spawn(serve_callers(listener, limits, shutdown.clone(), handler));
        let calling = std::thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            let whole = "POST / HTTP/1.1\r\nhost: here\r\ncontent-length: 4\r\n\r\nbody";
            for _ in 0..3 {
                let head = read_head(&mut stream, whole);
                assert!(!head.contains("connection: close"), "{head}");
            }
            let begun = "POST / HTTP/1.1\r\nhost: here\r\ncontent-length: 9\r\n\r\nbody";
            let head = read_head(&mut stream, begun);
            assert!(head.contains("connection: close"), "{head}");
            assert_eq!(stream.read(&mut [0; 1]).unwrap(), 0);
        });
        while !calling.is_finished() {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        shutdown.trigger();
        serving.await.unwrap();
        calling.join().unwrap();
    })
    .unwrap();
}
